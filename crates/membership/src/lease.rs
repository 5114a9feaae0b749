//! How long a router may go by what it surely knew. See "Lease" in `docs/design/policy.md`, where it is shown
//! why no router decides by an old policy for longer.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::{Incarnation, Timings};

/// Somebody's word that it was at that index, no earlier than then by our clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    pub index: u64,
    pub at: Moment,
}

/// The lease of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The voters' word of the newest kind, and the last that was at or before the own index.
    newest: Option<Confirmation>,
    voters: Option<Moment>,
    /// The last word of each peer, at whatever index it was.
    peers: BTreeMap<Incarnation, Confirmation>,
    until: Option<Moment>,
}

impl Lease {
    /// The voters' word: that index was all that was agreed, no earlier than then.
    pub fn confirm_by_quorum(&mut self, terms: &Timings, own: u64, word: Confirmation) {
        if self.newest.is_none_or(|known| known.at <= word.at) {
            self.newest = Some(word);
        }
        // A word for what is agreed beyond the own index says that something is not known here.
        if word.index <= own && self.voters.is_none_or(|at| at < word.at) {
            self.voters = Some(word.at);
            self.reach(terms, word.at + terms.lease);
        }
    }

    /// A peer's word, direct or passed on.
    pub fn confirm_by_peer(&mut self, peer: Incarnation, word: Confirmation) {
        let known = self.peers.entry(peer).or_insert(word);
        if (known.index, known.at) < (word.index, word.at) {
            *known = word;
        }
    }

    /// Reckons the lease from what was said: `own` is the own word now, `listed` are all routers listed at its
    /// index, `open` says that no change waits for its decision there.
    pub fn renew<'a>(
        &mut self,
        terms: &Timings,
        own: Confirmation,
        open: bool,
        listed: impl ExactSizeIterator<Item = &'a Incarnation>,
        me: Incarnation,
    ) {
        if let Some(word) = self.newest {
            self.confirm_by_quorum(terms, own.index, word);
        }
        let Some(voters) = self.voters.filter(|_| open) else { return };
        let more_than_half = listed.len() / 2 + 1;
        let said = |start: &Incarnation| self.peers.get(start).filter(|word| word.index == own.index);
        let mut moments: Vec<Moment> = listed
            .filter_map(|start| if *start == me { Some(own.at) } else { Some(said(start)?.at) })
            .collect();
        if moments.len() < more_than_half {
            return;
        }
        // The moment since when more than half have said so: the latest but so many.
        let nth = moments.len() - more_than_half;
        let since = *moments.select_nth_unstable(nth).1;
        self.reach(terms, (since + terms.lease).min(voters + terms.quorum_loss_grace));
    }

    fn reach(&mut self, terms: &Timings, until: Moment) {
        let until = until - terms.drift(terms.lease);
        self.until = self.until.max(Some(until));
    }

    /// Whether new requests may be taken now.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// How much of it is left.
    pub fn remaining(&self, now: Moment) -> Span {
        self.until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// The voters' last word, for telling others.
    pub fn latest_quorum_confirmation(&self) -> Option<Confirmation> {
        self.newest
    }

    /// Words of peers at that index, the freshest first; at most so many.
    pub fn peer_confirmations(&self, index: u64, most: usize) -> Vec<(Incarnation, Moment)> {
        let at_index = self.peers.iter().filter(|(_, word)| word.index == index);
        let mut words: Vec<(Incarnation, Moment)> = at_index.map(|(start, word)| (*start, word.at)).collect();
        words.sort_unstable_by_key(|(start, at)| (std::cmp::Reverse(*at), *start));
        words.truncate(most);
        words
    }

    /// Nothing that was heard may be reckoned with any more: the own clock has jumped.
    pub fn expire(&mut self) {
        *self = Self::default();
    }

    /// Keeps only the words of these: memory stays bounded.
    pub fn retain_peers(&mut self, which: impl Fn(Incarnation) -> bool) {
        self.peers.retain(|start, _| which(*start));
    }
}

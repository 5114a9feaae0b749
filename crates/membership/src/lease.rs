//! How long a router may go by what it knew for certain. See "Lease" in `docs/design/policy.md`, where it is
//! shown why no router decides by an old policy for longer.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::{Incarnation, Timings};

/// A confirmation that an index was the latest, no earlier than that moment of the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// The index.
    pub index: u64,
    /// The moment.
    pub at: Moment,
}

/// The lease of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    latest_by_quorum: Option<Confirmation>,
    /// When a quorum last confirmed an index that this router had reached.
    confirmed_by_quorum: Option<Moment>,
    /// The last confirmation by each peer, of whatever index.
    by_peers: BTreeMap<Incarnation, Confirmation>,
    valid_until: Option<Moment>,
}

impl Lease {
    /// A quorum of the voters confirmed that nothing beyond that index was committed. `own_index` is this
    /// router's.
    pub fn confirm_by_quorum(&mut self, timings: &Timings, own_index: u64, confirmation: Confirmation) {
        if self.latest_by_quorum.is_none_or(|known| known.at <= confirmation.at) {
            self.latest_by_quorum = Some(confirmation);
        }
        // A confirmation of an index beyond the own one says that something is not known here.
        let is_known_here = confirmation.index <= own_index;
        if is_known_here && self.confirmed_by_quorum.is_none_or(|at| at < confirmation.at) {
            self.confirmed_by_quorum = Some(confirmation.at);
            self.extend(timings, confirmation.at + timings.lease);
        }
    }

    /// A peer confirmed its index, directly or by way of another.
    pub fn confirm_by_peer(&mut self, peer: Incarnation, confirmation: Confirmation) {
        let known = self.by_peers.entry(peer).or_insert(confirmation);
        if (known.index, known.at) < (confirmation.index, confirmation.at) {
            *known = confirmation;
        }
    }

    /// Renews the lease by what was confirmed. `own` is the local confirmation now, `members` are all members
    /// at its index, and `confirms_index` says that no change waits for its decision there.
    pub fn renew<'a>(
        &mut self,
        timings: &Timings,
        own: Confirmation,
        confirms_index: bool,
        members: impl ExactSizeIterator<Item = &'a Incarnation>,
        local: Incarnation,
    ) {
        if let Some(latest) = self.latest_by_quorum {
            self.confirm_by_quorum(timings, own.index, latest);
        }
        let Some(by_quorum) = self.confirmed_by_quorum.filter(|_| confirms_index) else { return };
        let majority = members.len() / 2 + 1;
        let by_peer = |member: &Incarnation| self.by_peers.get(member).filter(|peer| peer.index == own.index);
        let mut moments: Vec<Moment> = members
            .filter_map(|member| if *member == local { Some(own.at) } else { Some(by_peer(member)?.at) })
            .collect();
        if moments.len() < majority {
            return;
        }
        // The latest moment since which a majority has confirmed.
        let position = moments.len() - majority;
        let since = *moments.select_nth_unstable(position).1;
        self.extend(timings, (since + timings.lease).min(by_quorum + timings.quorum_loss_grace));
    }

    fn extend(&mut self, timings: &Timings, until: Moment) {
        let until = until - timings.drift(timings.lease);
        self.valid_until = self.valid_until.max(Some(until));
    }

    /// Whether requests may be accepted now.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// The time remaining until it expires.
    pub fn remaining(&self, now: Moment) -> Span {
        self.valid_until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// The latest confirmation by a quorum of the voters, of whatever index.
    pub fn latest_quorum_confirmation(&self) -> Option<Confirmation> {
        self.latest_by_quorum
    }

    /// The peers that confirmed that index, and when: the latest first, at most `limit` of them.
    pub fn peer_confirmations(&self, index: u64, limit: usize) -> Vec<(Incarnation, Moment)> {
        let of_index = self.by_peers.iter().filter(|(_, confirmation)| confirmation.index == index);
        let mut latest: Vec<(Incarnation, Moment)> =
            of_index.map(|(peer, confirmation)| (*peer, confirmation.at)).collect();
        latest.sort_unstable_by_key(|(peer, at)| (Reverse(*at), *peer));
        latest.truncate(limit);
        latest
    }

    /// Expires the lease and discards all confirmations: the local clock has jumped.
    pub fn expire(&mut self) {
        *self = Self::default();
    }

    /// Keeps only the confirmations of these peers, to bound the memory.
    pub fn retain_peers(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.by_peers.retain(|peer, _| is_needed(*peer));
    }
}

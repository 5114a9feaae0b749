//! The lease of a router: how long the router may act on the agreed state that it last confirmed. The
//! section "Lease" of `docs/design/policy.md` shows why no router decides by an old policy beyond its lease.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::{Incarnation, Timings};

/// A confirmation that `index` was the latest index at the moment `at` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// The confirmed index.
    pub index: u64,
    /// A moment of the local clock that is not later than the confirmation.
    pub at: Moment,
}

/// The lease of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The latest confirmation by a quorum of the voters, of any index.
    latest_quorum_confirmation: Option<Confirmation>,
    /// When a quorum of the voters last confirmed an index that this router had reached.
    reached_index_confirmed_at: Option<Moment>,
    /// The latest confirmation by each peer, of any index.
    peer_confirmations: BTreeMap<Incarnation, Confirmation>,
    valid_until: Option<Moment>,
}

impl Lease {
    /// Records that a quorum of the voters confirmed that no entry beyond the confirmation's index was
    /// committed. `own_index` is the index that this router has reached. Extends the lease if this router has
    /// reached the confirmed index.
    pub fn confirm_by_quorum(&mut self, timings: &Timings, own_index: u64, confirmation: Confirmation) {
        if self.latest_quorum_confirmation.is_none_or(|known| known.at <= confirmation.at) {
            self.latest_quorum_confirmation = Some(confirmation);
        }
        // If the confirmed index is beyond its own, this router does not know the latest state.
        let is_reached = confirmation.index <= own_index;
        if is_reached && self.reached_index_confirmed_at.is_none_or(|at| at < confirmation.at) {
            self.reached_index_confirmed_at = Some(confirmation.at);
            self.extend(timings, confirmation.at + timings.lease);
        }
    }

    /// Records that a peer confirmed its index, directly or as reported by another peer.
    pub fn confirm_by_peer(&mut self, peer: Incarnation, confirmation: Confirmation) {
        let known = self.peer_confirmations.entry(peer).or_insert(confirmation);
        if (known.index, known.at) < (confirmation.index, confirmation.at) {
            *known = confirmation;
        }
    }

    /// Renews the lease from the recorded confirmations by a quorum of the voters. Confirmations by a
    /// majority of the members also renew the lease, until [`Timings::quorum_loss_grace`] after the last
    /// confirmation by a quorum.
    ///
    /// `own` is the index of this router and the current time, and `members` are all members at that index.
    /// `confirms_index` is true if no change waits for its decision at that index.
    pub fn renew<'a>(
        &mut self,
        timings: &Timings,
        own: Confirmation,
        confirms_index: bool,
        members: impl ExactSizeIterator<Item = &'a Incarnation>,
        local: Incarnation,
    ) {
        if let Some(latest) = self.latest_quorum_confirmation {
            self.confirm_by_quorum(timings, own.index, latest);
        }
        let Some(by_quorum) = self.reached_index_confirmed_at.filter(|_| confirms_index) else { return };
        let majority = members.len() / 2 + 1;
        let by_peer = |member: &Incarnation| {
            self.peer_confirmations.get(member).filter(|confirmation| confirmation.index == own.index)
        };
        let mut moments: Vec<Moment> = members
            .filter_map(|member| if *member == local { Some(own.at) } else { Some(by_peer(member)?.at) })
            .collect();
        if moments.len() < majority {
            return;
        }
        // The latest moment since which a majority of the members has confirmed the index.
        let position = moments.len() - majority;
        let since = *moments.select_nth_unstable(position).1;
        self.extend(timings, (since + timings.lease).min(by_quorum + timings.quorum_loss_grace));
    }

    /// Extends the lease to `until`, less the possible clock drift over one lease. Never shortens the lease.
    fn extend(&mut self, timings: &Timings, until: Moment) {
        let until = until - timings.drift(timings.lease);
        self.valid_until = self.valid_until.max(Some(until));
    }

    /// Whether the lease is valid, so that this router may accept requests now.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// The time until the lease expires; zero if it has expired or was never granted.
    pub fn remaining(&self, now: Moment) -> Span {
        self.valid_until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// Returns the latest confirmation by a quorum of the voters, of any index.
    pub fn latest_quorum_confirmation(&self) -> Option<Confirmation> {
        self.latest_quorum_confirmation
    }

    /// Returns the peers that confirmed `index`, with the times of their confirmations: at most `limit` of
    /// them, the latest first.
    pub fn peer_confirmations(&self, index: u64, limit: usize) -> Vec<(Incarnation, Moment)> {
        let of_index = self.peer_confirmations.iter().filter(|(_, confirmation)| confirmation.index == index);
        let mut latest: Vec<(Incarnation, Moment)> =
            of_index.map(|(peer, confirmation)| (*peer, confirmation.at)).collect();
        latest.sort_unstable_by_key(|(peer, at)| (Reverse(*at), *peer));
        latest.truncate(limit);
        latest
    }

    /// Ends the lease and discards all confirmations, after a jump of the local clock.
    pub fn expire(&mut self) {
        *self = Self::default();
    }

    /// Keeps only the confirmations of peers for which `is_needed` returns true, to bound memory use.
    pub fn retain_peers(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.peer_confirmations.retain(|peer, _| is_needed(*peer));
    }
}

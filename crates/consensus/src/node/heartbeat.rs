//! The periodic work of a node at each heartbeat.

use rand::Rng;
use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};

use super::Node;
use crate::messages::Command;

/// The probability that a member which knows reachable peers also sends a status request to a seed at a
/// heartbeat.
const SEED_REQUEST_PROBABILITY: f64 = 0.1;

/// The number of entries in `first_observed` that are always kept.
const MIN_OBSERVATIONS: usize = 8;

impl Node {
    pub(super) fn heartbeat(&mut self, now: Moment) {
        self.request_statuses(now);
        let is_member = self.is_member();
        if !is_member && self.agreed.fleet != 0 {
            self.send_join(now);
        }
        if self.heartbeats.is_multiple_of(self.limits.resend_interval) {
            self.send_policy_check(now);
            self.resend_pending_commands(now);
        }
        if self.heartbeats.is_multiple_of(self.limits.report_interval) && is_member {
            self.report_outcomes(now);
        }
        if self.is_leader() {
            self.request_quorum_confirmation(now);
            self.lead(now);
        } else {
            self.leadership = None;
        }
        self.renew_lease(now);
        self.reconcile_quota(now);
        self.discard_unneeded();
    }

    fn request_statuses(&mut self, now: Moment) {
        let mut peers: Vec<String> =
            (0..self.limits.status_requests).filter_map(|_| self.random_peer(now, false)).collect();
        if self.is_local_replica_voter() {
            peers.extend(self.random_peer(now, true));
        }
        // A router that is not a member, or that knows no reachable peer, sends a request to a seed.
        if !self.is_member() || peers.is_empty() || self.rng.random_bool(SEED_REQUEST_PROBABILITY) {
            peers.extend(self.random_seed_address());
        }
        peers.sort_unstable();
        peers.dedup();
        for address in &peers {
            self.request_status(now, address);
        }
    }

    fn send_join(&mut self, now: Moment) {
        let identity = self.identity.clone();
        let member = Member {
            name: identity.name,
            address: identity.address,
            replica_id: identity.replica_id,
            location: identity.location,
        };
        let (incarnation, predecessor) = (identity.incarnation, identity.predecessor);
        self.route_command(now, 0, Command::Join { incarnation, member, predecessor });
    }

    /// Requests a confirmation by a quorum that this router is still the leader. Does nothing while a
    /// proposed decision is not yet committed: a confirmation that is requested after the activation time was
    /// set, but made before the commit, would extend a lease beyond the activation time.
    fn request_quorum_confirmation(&mut self, now: Moment) {
        if self.is_decision_uncommitted() {
            return;
        }
        let number = self.rng.random();
        while self.read_requests.len() >= self.limits.outstanding_requests {
            self.read_requests.pop_first();
        }
        self.read_requests.insert(number, now);
        self.replica.as_mut().expect("a leader has a replica").request_read(number);
    }

    /// Discards state that is no longer needed, so that memory is bounded by the number of members.
    fn discard_unneeded(&mut self) {
        let candidates: Vec<Incarnation> = self.clock_candidates().collect();
        let agreed = &self.agreed;
        self.clocks.retain(|clock| agreed.clocks.contains_key(&clock) || candidates.contains(&clock));
        self.lease.retain_peers(|peer| agreed.members.contains(peer));
        self.failure_detector.retain(|peer| agreed.members.contains(peer));
        let staged_at = agreed.staged.as_ref().map(|staged| staged.index);
        let oldest_needed = agreed.members.oldest_superseded().into_iter().chain(staged_at).min();
        while self.first_observed.len() > MIN_OBSERVATIONS
            && self
                .first_observed
                .keys()
                .next()
                .is_some_and(|first| oldest_needed.is_none_or(|needed| *first < needed))
        {
            self.first_observed.pop_first();
        }
    }
}

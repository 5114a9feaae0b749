//! Lookups of members, replicas and their addresses.

use std::collections::BTreeMap;

use rand::Rng;
use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};
use tindoor_policy::{AgreedState, budgets};

use super::Node;
use crate::replica::Replica;

/// The maximum number of random draws to find a peer that is not suspected to have failed.
const PEER_DRAWS: usize = 4;

/// The silence after which a peer is suspected to have failed, as a multiple of its mean heartbeat interval.
const SUSPICION_THRESHOLD: f64 = 4.0;

/// The minimum mean heartbeat interval that is assumed for a peer to decide whether it is suspected, in
/// heartbeats.
const MIN_MEAN_SILENCE_HEARTBEATS: f64 = 4.0;

/// The probability that a suspected peer is chosen when it is drawn.
const SUSPECTED_PEER_PROBABILITY: f64 = 0.25;

/// Lookup tables of the members and replicas, kept because each message needs a lookup.
#[derive(Default)]
pub(super) struct Directory {
    /// The members, in order.
    pub members: Vec<Incarnation>,
    /// The processes and addresses of replicas, by replica id.
    pub replicas: BTreeMap<u64, (Incarnation, String)>,
}

impl Directory {
    /// Builds the tables from the replicated state.
    pub fn new(agreed: &AgreedState) -> Self {
        let members = agreed.members.members();
        let replica = |(incarnation, member): (&Incarnation, &Member)| {
            Some((member.replica_id?, (*incarnation, member.address.clone())))
        };
        let mut replicas = agreed.replica_addresses.clone();
        replicas.extend(members.iter().filter_map(replica));
        Self { members: members.keys().copied().collect(), replicas }
    }
}

impl Node {
    /// Returns the processes of the voters, as far as they are known.
    pub(super) fn voters(&self) -> impl Iterator<Item = Incarnation> {
        let replicas = &self.directory.replicas;
        self.agreed.voters.iter().filter_map(|replica_id| Some(replicas.get(replica_id)?.0))
    }

    pub(super) fn is_local_replica_voter(&self) -> bool {
        self.identity.replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id))
    }

    pub(super) fn replica_address(&self, replica_id: u64) -> Option<&str> {
        self.directory.replicas.get(&replica_id).map(|(_, address)| address.as_str())
    }

    /// Returns the leader's address: the one known from the local replica, otherwise the one last reported by
    /// a peer.
    pub(super) fn leader_address(&self) -> Option<String> {
        let replica_id = self.replica.as_ref().map_or(0, Replica::leader_id);
        match self.replica_address(replica_id).filter(|_| replica_id != 0) {
            Some(address) => Some(address.to_string()),
            None => self.reported_leader.clone(),
        }
    }

    /// Returns whether messages from a process are handled.
    pub(super) fn is_known(&self, sender: Incarnation, address: &str) -> bool {
        self.agreed.members.contains(sender)
            || !self.is_member()
            || self.seeds.iter().any(|seed| seed == address)
            || self.directory.replicas.values().any(|(_, known)| known == address)
            || self.agreed.members.members().values().any(|member| member.address == address)
    }

    /// Returns the address of a random other member, or of a random voter if `voters_only` is set. Rarely
    /// chooses a peer that is suspected to have failed.
    pub(super) fn random_peer(&mut self, now: Moment, voters_only: bool) -> Option<String> {
        let min_mean_silence = self.timings.heartbeat_interval * MIN_MEAN_SILENCE_HEARTBEATS;
        for _ in 0..PEER_DRAWS {
            let voters: Vec<Incarnation> = self.voters().filter(|_| voters_only).collect();
            let candidates = if voters_only { &voters } else { &self.directory.members };
            if candidates.is_empty() {
                return None;
            }
            let peer = candidates[self.rng.random_range(0..candidates.len())];
            let Some(member) = self.agreed.members.get(peer).filter(|_| peer != self.identity.incarnation)
            else {
                continue;
            };
            let suspicion = self.failure_detector.suspicion(peer, now, min_mean_silence);
            let is_suspected = suspicion.is_some_and(|suspicion| suspicion > SUSPICION_THRESHOLD);
            if !is_suspected || self.rng.random_bool(SUSPECTED_PEER_PROBABILITY) {
                return Some(member.address.clone());
            }
        }
        None
    }

    /// Returns the address of a random seed other than this router.
    pub(super) fn random_seed_address(&mut self) -> Option<String> {
        let own = &self.identity.address;
        let seeds: Vec<&String> = self.seeds.iter().filter(|seed| *seed != own).collect();
        if seeds.is_empty() {
            return None;
        }
        Some(seeds[self.rng.random_range(0..seeds.len())].clone())
    }

    /// Returns the number of processes that may act as members.
    pub fn possible_members(&self) -> usize {
        self.agreed.members.possible_members()
    }

    /// Returns whether one more process may join. The number is limited because a guaranteed minimum is
    /// reserved for each process that may act as a member.
    pub(super) fn has_room_for_member(&self) -> bool {
        let staged = self.agreed.staged.as_ref().map(|staged| &staged.version);
        let versions = staged.into_iter().chain(&self.agreed.in_force);
        let limit = versions.filter_map(|version| budgets::max_routers(&version.policy)).min();
        limit.is_none_or(|limit| (self.possible_members() as u64) < limit)
    }
}

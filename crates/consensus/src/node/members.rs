//! Look-ups among members and replicas.

use std::collections::BTreeMap;

use rand::Rng;
use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};
use tindoor_policy::{AgreedState, budgets};

use super::Node;
use crate::replica::Replica;

/// Random peers that are drawn until one is found that is not suspected.
const PEER_DRAWS: usize = 4;

/// Mean silences after which a peer is suspected, and heartbeats that a mean silence is taken for at least.
const SUSPICION_THRESHOLD: f64 = 4.0;
const MIN_MEAN_SILENCE_HEARTBEATS: f64 = 4.0;

/// How often a suspected peer is chosen all the same.
const SUSPECTED_PEER_PROBABILITY: f64 = 0.25;

/// Indexes over the members: they are looked up for each message.
#[derive(Default)]
pub(super) struct Directory {
    /// The members, by position.
    pub members: Vec<Incarnation>,
    /// The processes and addresses of replicas, by replica id.
    pub replicas: BTreeMap<u64, (Incarnation, String)>,
}

impl Directory {
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
    /// The voters whose processes are known.
    pub(super) fn voters(&self) -> impl Iterator<Item = Incarnation> {
        let replicas = &self.directory.replicas;
        self.agreed.voters.iter().filter_map(|replica_id| Some(replicas.get(replica_id)?.0))
    }

    pub(super) fn is_own_replica_voting(&self) -> bool {
        self.identity.replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id))
    }

    pub(super) fn replica_address(&self, replica_id: u64) -> Option<&str> {
        self.directory.replicas.get(&replica_id).map(|(_, address)| address.as_str())
    }

    /// Where the leader is reached: by the own replica, or as peers tell.
    pub(super) fn leader_address(&self) -> Option<String> {
        let replica_id = self.replica.as_ref().map_or(0, Replica::leader_id);
        match self.replica_address(replica_id).filter(|_| replica_id != 0) {
            Some(address) => Some(address.to_string()),
            None => self.reported_leader.clone(),
        }
    }

    /// Whether messages of that process are handled.
    pub(super) fn is_known(&self, sender: Incarnation, address: &str) -> bool {
        self.agreed.members.contains(sender)
            || !self.is_member()
            || self.seeds.iter().any(|seed| seed == address)
            || self.directory.replicas.values().any(|(_, known)| known == address)
            || self.agreed.members.members().values().any(|member| member.address == address)
    }

    /// A random member; rarely one that is suspected to have failed.
    pub(super) fn random_peer(&mut self, now: Moment, voters_only: bool) -> Option<String> {
        let usual = self.timings.heartbeat_interval * MIN_MEAN_SILENCE_HEARTBEATS;
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
            let suspicion = self.failure_detector.suspicion(peer, now, usual);
            let is_suspected = suspicion.is_some_and(|suspicion| suspicion > SUSPICION_THRESHOLD);
            if !is_suspected || self.rng.random_bool(SUSPECTED_PEER_PROBABILITY) {
                return Some(member.address.clone());
            }
        }
        None
    }

    /// A random seed that is not this router.
    pub(super) fn random_seed_address(&mut self) -> Option<String> {
        let own = &self.identity.address;
        let seeds: Vec<&String> = self.seeds.iter().filter(|seed| *seed != own).collect();
        if seeds.is_empty() {
            return None;
        }
        Some(seeds[self.rng.random_range(0..seeds.len())].clone())
    }

    /// How many processes may act as members.
    pub fn possible_members(&self) -> usize {
        self.agreed.members.possible_members()
    }

    /// Whether one more process may join: the guaranteed minimum of each that may spend is reserved.
    pub(super) fn has_room_for_member(&self) -> bool {
        let staged = self.agreed.staged.as_ref().map(|staged| &staged.version);
        let versions = staged.into_iter().chain(&self.agreed.in_force);
        let limit = versions.filter_map(|version| budgets::max_routers(&version.policy)).min();
        limit.is_none_or(|limit| (self.possible_members() as u64) < limit)
    }
}

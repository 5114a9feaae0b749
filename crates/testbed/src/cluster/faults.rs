//! Injects faults into a cluster: a lossy or partitioned network, killed, stopped and restarted processes,
//! truncated storage, clock faults, draining endpoints, purges.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{Cluster, Node};
use crate::relay::NetworkFaults;

/// Faults that are injected one at a time, at random moments.
const RANDOM_FAULTS: [&str; 16] = [
    "voters", "oneway", "split", "island", "kill", "killmost", "pause", "restart", "torn", "leader", "deaf",
    "heir", "doze", "drain", "purge", "clock",
];

/// How often the injector checks for due faults and recoveries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of endpoints that are drained during a run.
const MAX_DRAINED: usize = 2;

/// How a disrupted router recovers.
#[derive(Clone, Copy)]
enum Recovery {
    /// The router was killed; its process is started again.
    Start,
    /// The router was stopped; its process is resumed.
    Resume,
}

/// A scheduled recovery of a router.
struct PendingRecovery {
    due: Instant,
    node: usize,
    recovery: Recovery,
}

/// The target of a fault: when it is injected, the index of a random router, and when the fault ends.
#[derive(Clone, Copy)]
struct Target {
    now: Instant,
    node: usize,
    until: Instant,
}

/// Injects random faults into a cluster, and repairs them at the end.
pub struct FaultInjector<'a> {
    cluster: &'a Cluster,
    random: Pcg64Mcg,
    pending: Vec<PendingRecovery>,
    /// When the partition of the network ends.
    partitioned_until: Instant,
    is_partitioned: bool,
    /// When the next fault is injected.
    next_fault: Instant,
    drained: usize,
    clock_changed: bool,
}

impl<'a> FaultInjector<'a> {
    /// Returns an injector for the faults in the cluster's plan.
    pub fn new(cluster: &'a Cluster) -> Self {
        Self {
            cluster,
            random: Pcg64Mcg::seed_from_u64(cluster.plan.seed ^ 0xfa17),
            pending: Vec::new(),
            partitioned_until: Instant::now(),
            is_partitioned: false,
            next_fault: Instant::now() + Duration::from_millis(500),
            drained: 0,
            clock_changed: false,
        }
    }

    /// Injects faults until [`Cluster::faults_finished`] is set, then repairs all of them.
    pub fn run(mut self) {
        self.set_message_faults();
        let faults: Vec<&str> =
            RANDOM_FAULTS.into_iter().filter(|fault| self.cluster.has_fault(fault)).collect();
        while !self.cluster.faults_finished.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
            let now = Instant::now();
            self.recover_due(now);
            self.repair_network(now);
            if now < self.next_fault || faults.is_empty() {
                continue;
            }
            self.next_fault = now + self.random_millis(500..3000);
            let node = self.random.random_range(0..self.cluster.nodes.len());
            let until = now + self.random_millis(200..4000);
            let fault = faults[self.random.random_range(0..faults.len())];
            self.cluster.injected.lock().unwrap().push((now, fault));
            self.inject(fault, Target { now, node, until });
        }
        for PendingRecovery { node, recovery, .. } in std::mem::take(&mut self.pending) {
            self.recover(node, recovery);
        }
        self.cluster.relay.change_faults(|faults| *faults = NetworkFaults::default());
    }

    fn inject(&mut self, fault: &str, target: Target) {
        match fault {
            "oneway" => self.cut_off_one_way(target),
            "split" => self.partition_network(target),
            "voters" => self.separate_voters(target),
            "island" => self.isolate_one(target),
            "deaf" => self.block_leader_to_high_demand_routers(target),
            "heir" => self.kill_leader_and_isolate_router(target),
            "doze" if self.cluster.all_running() => self.pause_non_voters(target),
            "kill" | "restart" if self.cluster.is_running(target.node) => self.kill_one(target),
            "torn" if self.cluster.all_running() && can_lose_a_replica(self.cluster) => {
                self.truncate_storage(target);
            }
            "killmost" => self.kill_most(target),
            "pause" if self.cluster.is_running(target.node) => self.pause_one(target),
            "leader" => self.kill_leader(target),
            "drain" if self.drained < MAX_DRAINED => self.drain_endpoint(),
            "purge" => self.purge_object(),
            "clock" if !self.clock_changed && self.cluster.all_running() => self.change_clock(target),
            _ => {}
        }
    }

    /// Sets the loss, delay, reordering and duplication of messages. These last until the injector ends.
    fn set_message_faults(&self) {
        let has = |fault| self.cluster.has_fault(fault);
        self.cluster.relay.change_faults(|faults| {
            faults.loss = if has("drop") { 0.1 } else { 0.0 };
            faults.delayed = if has("delay") { 0.1 } else { 0.0 };
            faults.delayed += if has("reorder") { 0.2 } else { 0.0 };
            faults.duplicated = if has("duplicate") { 0.1 } else { 0.0 };
            faults.max_delay = Duration::from_millis(if has("delay") { 400 } else { 30 });
        });
    }

    fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn lease(&self) -> Duration {
        Duration::from_millis(self.cluster.plan.lease)
    }

    fn recover_due(&mut self, now: Instant) {
        let due = |index: &usize| self.pending[*index].due <= now;
        for index in (0..self.pending.len()).rev().filter(due).collect::<Vec<_>>() {
            let PendingRecovery { node, recovery, .. } = self.pending.swap_remove(index);
            self.recover(node, recovery);
        }
    }

    fn recover(&self, node: usize, recovery: Recovery) {
        match recovery {
            Recovery::Start => self.cluster.start_node(node, None),
            Recovery::Resume => self.cluster.pause(node, false),
        }
    }

    fn recover_at(&mut self, due: Instant, node: usize, recovery: Recovery) {
        self.pending.push(PendingRecovery { due, node, recovery });
    }

    /// Ends a partition made by this injector when it is due. An experiment ends the partitions that it made
    /// itself.
    fn repair_network(&mut self, now: Instant) {
        if self.is_partitioned && self.partitioned_until <= now {
            self.cluster.relay.change_faults(|faults| faults.severed.clear());
        }
        self.is_partitioned = self.partitioned_until > now;
    }

    /// Extends the partition of the network to last at least until this time.
    fn extend_partition(&mut self, until: Instant) {
        self.partitioned_until = self.partitioned_until.max(until);
    }

    /// Drops all messages from node `a` to node `b` if `separated(a, b)` is true.
    fn separate_where(&self, separated: impl Fn(usize, usize) -> bool) {
        let nodes = &self.cluster.nodes;
        let count = nodes.len();
        self.cluster.relay.change_faults(|faults| {
            for (a, b) in (0..count * count).map(|pair| (pair / count, pair % count)) {
                if separated(a, b) {
                    faults.severed.insert((nodes[a].name.clone(), nodes[b].name.clone()));
                }
            }
        });
    }

    fn cut_off_one_way(&mut self, target: Target) {
        let other = self.random.random_range(0..self.cluster.nodes.len());
        let nodes = &self.cluster.nodes;
        let route = (nodes[target.node].name.clone(), nodes[other].name.clone());
        self.cluster.relay.change_faults(|faults| faults.severed.extend([route]));
        self.extend_partition(target.until);
    }

    fn partition_network(&mut self, target: Target) {
        let parts = self.random.random_range(2..4u32);
        let count = self.cluster.nodes.len();
        let sides: Vec<u32> = (0..count).map(|_| self.random.random_range(0..parts)).collect();
        self.separate_where(|a, b| sides[a] != sides[b]);
        self.extend_partition(target.until);
    }

    /// Partitions the voters from all other routers. The other routers are a majority of the fleet and
    /// continue without the voters.
    fn separate_voters(&mut self, target: Target) {
        let voters = self.cluster.voters();
        let votes = |index: usize| voters.contains(&self.cluster.nodes[index].name);
        self.separate_where(|a, b| votes(a) != votes(b));
        self.extend_partition(target.now + 3 * self.lease());
        self.next_fault = self.partitioned_until + Duration::from_millis(500);
    }

    /// Isolates one router for longer than a policy change takes.
    fn isolate_one(&mut self, target: Target) {
        isolate(self.cluster, target.node);
        self.extend_partition(target.now + 3 * self.lease());
        self.next_fault = self.partitioned_until + Duration::from_millis(500);
    }

    /// Drops the leader's messages to routers whose clients have high demand now and low demand in the next
    /// period. These routers continue with their grants, and the leader receives their lower demand.
    fn block_leader_to_high_demand_routers(&mut self, target: Target) {
        let late_in_period = self.cluster.remaining_demand_period() < Duration::from_millis(500);
        if self.cluster.has_fault("shift") && !late_in_period {
            self.next_fault = target.now;
            return;
        }
        let cluster = self.cluster;
        let count = cluster.nodes.len();
        let Some(leader) = (0..count).find(|index| cluster.is_leader(*index)) else { return };
        // Limits the voters that are cut off to a minority, so that the leader keeps its quorum.
        let mut spare_voters = (cluster.voters().len().max(1) - 1) / 2;
        let mut cut_off: Vec<usize> =
            (0..count).filter(|index| *index != leader && cluster.has_high_demand(*index)).collect();
        cut_off.retain(|index| {
            let votes = cluster.voters().contains(&cluster.nodes[*index].name);
            let allowed = !votes || spare_voters > 0;
            spare_voters -= usize::from(votes && allowed);
            allowed
        });
        cluster.relay.change_faults(|faults| {
            let route =
                |index: usize| (cluster.nodes[leader].name.clone(), cluster.nodes[index].name.clone());
            faults.severed.extend(cut_off.into_iter().map(route));
        });
        // Shorter than a lease; otherwise another router would become leader.
        self.extend_partition(target.now + self.lease() * 4 / 5);
        self.next_fault = self.partitioned_until + Duration::from_millis(100);
    }

    /// Kills the leader, and isolates a router with high demand that is not a voter, so that this router does
    /// not learn of the next leader.
    fn kill_leader_and_isolate_router(&mut self, target: Target) {
        let cluster = self.cluster;
        let count = cluster.nodes.len();
        let Some(leader) = (0..count).find(|index| cluster.is_leader(*index)) else { return };
        let voters = cluster.voters();
        let is_candidate = |index: &usize| {
            *index != leader
                && cluster.has_high_demand(*index)
                && !voters.contains(&cluster.nodes[*index].name)
        };
        let Some(other) = (0..count).find(is_candidate) else {
            self.next_fault = target.now + Duration::from_millis(50);
            return;
        };
        if cluster.kill(leader) {
            self.recover_at(target.until, leader, Recovery::Start);
            isolate(cluster, other);
            self.extend_partition(target.now + self.lease());
            self.next_fault = self.partitioned_until + Duration::from_millis(500);
        }
    }

    /// Stops all routers that are not voters until their grants have expired.
    fn pause_non_voters(&mut self, target: Target) {
        let voters = self.cluster.voters();
        let until = target.now + self.lease() + Duration::from_millis(4500);
        let count = self.cluster.nodes.len();
        for index in (0..count).filter(|index| !voters.contains(&self.cluster.nodes[*index].name)) {
            self.cluster.pause(index, true);
            self.recover_at(until, index, Recovery::Resume);
        }
        self.next_fault = until + Duration::from_millis(1500);
    }

    fn kill_one(&mut self, target: Target) {
        if self.cluster.kill(target.node) {
            self.recover_at(target.until, target.node, Recovery::Start);
        }
    }

    /// Kills one router and truncates the storage of its replica at a random byte.
    fn truncate_storage(&mut self, target: Target) {
        if !self.cluster.kill(target.node) {
            return;
        }
        let file = self.cluster.nodes[target.node].storage.join("seat.redb");
        if let Ok(bytes) = std::fs::read(&file) {
            let length = self.random.random_range(0..bytes.len().max(1));
            let _ = std::fs::write(&file, &bytes[..length]);
        }
        self.recover_at(target.until, target.node, Recovery::Start);
    }

    /// With a probability of 0.3, kills each running router with a probability of 0.7.
    fn kill_most(&mut self, target: Target) {
        if !self.random.random_bool(0.3) {
            return;
        }
        for index in 0..self.cluster.nodes.len() {
            let chosen = self.random.random_bool(0.7);
            if chosen && self.cluster.is_running(index) && self.cluster.kill(index) {
                let later = self.random_millis(0..1500);
                self.recover_at(target.until + later, index, Recovery::Start);
            }
        }
    }

    fn pause_one(&mut self, target: Target) {
        self.cluster.pause(target.node, true);
        self.recover_at(target.until + self.lease(), target.node, Recovery::Resume);
    }

    fn kill_leader(&mut self, target: Target) {
        let leader = (0..self.cluster.nodes.len()).find(|index| self.cluster.is_leader(*index));
        if let Some(leader) = leader.filter(|index| self.cluster.kill(*index)) {
            self.recover_at(target.until, leader, Recovery::Start);
        }
    }

    fn drain_endpoint(&mut self) {
        self.cluster.fleet.lock().unwrap().drain(self.drained);
        self.drained += 1;
    }

    fn purge_object(&mut self) {
        let object = format!("00000000000010{:02x}", self.random.random_range(0..64));
        self.cluster.fleet.lock().unwrap().purge(&object);
    }

    /// Restarts one router, once in a run, with a clock that jumps and may run at a wrong rate.
    fn change_clock(&mut self, target: Target) {
        if !self.cluster.kill(target.node) {
            return;
        }
        self.clock_changed = true;
        let jump = self.random.random_range(-1500..1500);
        let rate = if self.random.random_bool(0.5) { 1.0 } else { self.random.random_range(0.9..1.1) };
        let clock = format!("{rate}:{}:{jump}", self.random.random_range(500..5000));
        self.cluster.start_node(target.node, Some(clock));
    }
}

/// Drops all messages between one router and all others, in both directions.
pub fn isolate(cluster: &Cluster, index: usize) {
    let own = &cluster.nodes[index].name;
    cluster.relay.change_faults(|faults| {
        for other in cluster.nodes.iter().map(|node: &Node| &node.name).filter(|name| *name != own) {
            faults.severed.insert((other.clone(), own.clone()));
            faults.severed.insert((own.clone(), other.clone()));
        }
    });
}

/// Whether all routers are in service and there are enough voters for one of them to lose its storage.
/// Otherwise the fleet does not guarantee to survive the loss of a replica's storage.
fn can_lose_a_replica(cluster: &Cluster) -> bool {
    let is_intact = |status: Value| {
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        // A replica that belongs to no router is listed as a number and is being replaced.
        let has_router = |voter: &Value| voter.as_str().is_some_and(|name| name.starts_with('n'));
        status["out"].is_null() && voters.len() >= 3 && voters.iter().all(has_router)
    };
    (0..cluster.nodes.len()).all(|index| cluster.control(index, &json!("status")).is_some_and(is_intact))
}

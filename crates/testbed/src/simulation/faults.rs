//! Fault injection: makes processes, links, disks and clocks fail and recover.

use rand::Rng;
use tindoor_consensus::{Node, StoredState};
use tindoor_membership::Timings;

use super::process::Process;
use super::world::{Event, World};

/// The faults that are injected one at a time. The remaining faults of a day apply to individual messages or
/// proposals, or to the load.
const INJECTED_FAULTS: [&str; 12] = [
    "oneway", "split", "kill", "killmost", "pause", "restart", "forget", "leader", "away", "sleep", "deaf",
    "clock",
];
/// How long after a fault the fleet is considered disturbed, in microseconds.
const DISTURBANCE_US: u64 = 5_000_000;
/// The minimum time between two clock jumps, in microseconds.
const CLOCK_JUMP_INTERVAL_US: u64 = 8_000_000;

impl World {
    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        if self.faults_over {
            return;
        }
        let interval_us = self.rng.random_range(300_000..2_000_000);
        self.schedule_in(interval_us, Event::Fault);
        let faults: Vec<&str> = INJECTED_FAULTS.into_iter().filter(|fault| self.day.has(fault)).collect();
        if faults.is_empty() {
            return;
        }
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.disturbed_until = self.now + DISTURBANCE_US;
        let process = self.rng.random_range(0..self.processes.len());
        let duration_us = self.rng.random_range(200_000..5_000_000);
        self.trace(process, &fault);
        match fault {
            "oneway" => self.block_one_way(process, duration_us),
            "split" => self.partition(duration_us),
            "kill" | "restart" => self.kill_and_restart(process, duration_us),
            "forget" => self.lose_storage(process, duration_us),
            "killmost" => self.kill_most(duration_us),
            "away" => self.take_offline(process, duration_us),
            "pause" => self.pause(process, duration_us),
            "leader" => self.kill_leader(duration_us),
            "sleep" => self.suspend_all(duration_us),
            "deaf" => self.block_leader(process, duration_us),
            "clock" => self.jump_clock(process),
            _ => {}
        }
    }

    /// Ends all faults: unblocks all links, and starts or resumes every process that is not running.
    pub(super) fn end_faults(&mut self) {
        self.faults_over = true;
        self.blocked_links.clear();
        for index in 0..self.processes.len() {
            match (&self.processes[index].node, self.processes[index].paused) {
                (None, _) => self.start(index),
                (Some(_), true) => self.resume(index),
                _ => {}
            }
        }
    }

    fn block_one_way(&mut self, from: usize, duration_us: u64) {
        let to = self.rng.random_range(0..self.processes.len());
        self.blocked_links.insert((from, to));
        self.schedule_in(duration_us, Event::UnblockLinks);
    }

    fn partition(&mut self, duration_us: u64) {
        let count = self.processes.len();
        let parts = self.rng.random_range(2..4u32);
        let sides: Vec<u32> = (0..count).map(|_| self.rng.random_range(0..parts)).collect();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.blocked_links.extend(links.filter(|(from, to)| sides[*from] != sides[*to]));
        self.schedule_in(duration_us, Event::UnblockLinks);
    }

    fn kill(&mut self, process: usize) {
        self.processes[process].node = None;
        self.processes[process].epoch += 1;
        self.unreleased_fills.retain(|fill| fill.process != process);
    }

    fn kill_and_restart(&mut self, process: usize, duration_us: u64) {
        self.kill(process);
        self.schedule_in(duration_us, Event::Restart { process });
    }

    /// Erases the storage of one replica. Does nothing unless all other replicas are available with the
    /// entries that the erased storage held.
    fn lose_storage(&mut self, process: usize, duration_us: u64) {
        if !self.all_running() || !self.has_redundant_voters() {
            return;
        }
        self.kill(process);
        // The storage is erased now and not at the restart, because another replica may have lost its storage
        // by then.
        if self.processes[process].replica_id.is_some() {
            self.processes[process].storage = Some(StoredState::default());
            self.processes[process].replica_id = Some(self.rng.random_range(1_000..u64::MAX));
        }
        self.schedule_in(duration_us, Event::Restart { process });
    }

    fn kill_most(&mut self, duration_us: u64) {
        if !self.rng.random_bool(0.3) {
            return;
        }
        for process in 0..self.processes.len() {
            if self.rng.random_bool(0.7) {
                self.kill(process);
                let delay_us = duration_us + self.rng.random_range(0..1_000_000);
                self.schedule_in(delay_us, Event::Restart { process });
            }
        }
    }

    /// Kills or isolates one process for so long that it is removed from the member list. Only one process is
    /// offline at a time, and never the leader.
    fn take_offline(&mut self, process: usize, duration_us: u64) {
        let undisturbed = self.has_redundant_voters() && self.all_running() && self.blocked_links.is_empty();
        if !undisturbed || self.processes[process].is_leader() {
            return;
        }
        let Timings { lease, quorum_loss_grace, .. } = self.day.timings;
        let offline_us = (quorum_loss_grace + lease * 4.0).as_micros() + duration_us;
        if self.rng.random_bool(0.5) {
            self.kill_and_restart(process, offline_us);
        } else {
            let others = 0..self.processes.len();
            self.blocked_links.extend(others.flat_map(|other| [(process, other), (other, process)]));
            self.schedule_in(offline_us, Event::UnblockLinks);
        }
    }

    fn pause(&mut self, process: usize, duration_us: u64) {
        if self.processes[process].node.is_some() {
            self.processes[process].paused = true;
            self.schedule_in(duration_us, Event::Resume { process });
        }
    }

    fn kill_leader(&mut self, duration_us: u64) {
        if let Some(leader) = self.leader() {
            self.kill_and_restart(leader, duration_us);
        }
    }

    /// Suspends all machines together, as if they ran on one suspended host: every process detects that its
    /// clock jumped.
    fn suspend_all(&mut self, duration_us: u64) {
        if self.now <= self.last_clock_jump + CLOCK_JUMP_INTERVAL_US {
            return;
        }
        self.last_clock_jump = self.now;
        for process in 0..self.processes.len() {
            self.shift_clock(process, duration_us as i64);
        }
    }

    /// Blocks messages from the leader to half of the other processes; the leader still receives theirs. The
    /// parity of `process` selects the half.
    fn block_leader(&mut self, process: usize, duration_us: u64) {
        if let Some(leader) = self.leader() {
            let others = (0..self.processes.len()).filter(|other| *other != leader);
            let half = others.filter(|other| (other + process).is_multiple_of(2));
            self.blocked_links.extend(half.map(|other| (leader, other)));
            self.schedule_in(duration_us, Event::UnblockLinks);
        }
    }

    /// Moves one clock beyond its stated error bound; the process detects the jump. Clocks jump one at a
    /// time.
    fn jump_clock(&mut self, process: usize) {
        let offset_us = self.rng.random_range(-2_000_000..2_000_000);
        if self.now < self.last_clock_jump + CLOCK_JUMP_INTERVAL_US {
            return;
        }
        self.last_clock_jump = self.now;
        self.shift_clock(process, offset_us);
    }

    fn shift_clock(&mut self, process: usize, offset_us: i64) {
        self.processes[process].clock_offset_us += offset_us;
        let now = self.local_time(process);
        if let Some(node) = self.processes[process].node.as_mut() {
            node.clock_jumped(now);
        }
    }

    fn leader(&self) -> Option<usize> {
        self.processes.iter().position(Process::is_leader)
    }

    fn all_running(&self) -> bool {
        self.processes.iter().all(Process::is_running)
    }

    /// Returns whether at least three voters are running and agree on who the voters are. If one of them then
    /// loses its storage, it was not the only replica that held an entry. While a third voter is being added
    /// to two, both of the two are needed.
    fn has_redundant_voters(&self) -> bool {
        let Some(newest) = self.most_advanced_node() else { return false };
        let voters = &newest.agreed().voters;
        let agrees =
            |node: &Node| node.agreed().voters == *voters && node.agreed().outgoing_voters.is_empty();
        let settled = |replica_id: &u64| {
            let process = self.processes.iter().find(|process| process.replica_id == Some(*replica_id));
            let node = process.and_then(|process| process.node.as_ref());
            node.is_some_and(|node| node.is_settled() && agrees(node))
        };
        voters.len() >= 3 && voters.iter().all(settled)
    }
}

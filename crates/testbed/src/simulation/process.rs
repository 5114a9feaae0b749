//! A simulated router: its process, storage, clock and disk.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tindoor::time::Moment;
use tindoor_consensus::{Envelope, Node, StorageWrite, StoredState};
use tindoor_membership::{Incarnation, Member};

/// The number of routers that have replica storage and can therefore become voters.
const REPLICAS: usize = 9;
/// The number of low bits of an incarnation that count the starts of a router.
const START_COUNT_BITS: u32 = 20;

/// A router of the simulated fleet: its current process, and the state that survives a restart.
pub(super) struct Process {
    /// The node of the running process. `None` while the process is down.
    pub node: Option<Node>,
    pub name: String,
    pub address: String,
    pub location: u16,
    pub start_count: u64,
    /// The identity of the replica storage. `None` if the router has no storage.
    pub replica_id: Option<u64>,
    /// The completed writes. `None` if the router has no storage.
    pub storage: Option<StoredState>,
    /// The reading of the router's clock at true time 0, in microseconds.
    pub clock_offset_us: i64,
    /// The rate of the router's clock relative to true time.
    pub clock_rate: f64,
    pub paused: bool,
    /// The true time at which the disk will have completed all writes, in microseconds.
    pub disk_busy_until: u64,
    /// Messages that arrived while the process was paused.
    pub queued_messages: Vec<Envelope>,
    /// The number of starts and kills. Events that were scheduled in an earlier epoch are dropped.
    pub epoch: u64,
    /// The request rate relative to the mean rate of the day.
    pub load_factor: f64,
    /// Fills requested in the current period.
    pub fills_requested: u64,
    /// Fills admitted in the current period.
    pub fills_admitted: u64,
    /// The number of member removals that the router's processes have observed.
    pub members_removed: u64,
}

impl Process {
    /// Creates a router that is not started yet and has a random clock.
    pub fn new(index: usize, rng: &mut Pcg64Mcg) -> Self {
        let ppm = rng.random_range(-100.0..100.0);
        let has_storage = index < REPLICAS;
        Self {
            node: None,
            name: format!("n{index}"),
            address: format!("10.0.{}.{}:7000", index / 250, index % 250),
            location: (index % 4) as u16,
            start_count: 0,
            replica_id: has_storage.then_some(index as u64 + 1),
            storage: has_storage.then(StoredState::default),
            clock_offset_us: rng.random_range(10_000_000..1_000_000_000),
            clock_rate: 1.0 + ppm / 1e6,
            paused: false,
            disk_busy_until: 0,
            queued_messages: Vec::new(),
            epoch: 0,
            load_factor: 1.0,
            fills_requested: 0,
            fills_admitted: 0,
            members_removed: 0,
        }
    }

    /// Returns the reading of the router's clock at a true time, in microseconds.
    pub fn local_time(&self, now_us: u64) -> Moment {
        let reading = self.clock_offset_us + (now_us as f64 * self.clock_rate) as i64;
        Moment::at_micros(reading.max(0) as u64)
    }

    /// Returns whether the process is up and not paused.
    pub fn is_running(&self) -> bool {
        self.node.is_some() && !self.paused
    }

    /// Returns whether the process is the consensus leader.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(Node::is_leader)
    }

    /// Returns the incarnation of the current process.
    pub fn incarnation(&self, index: usize) -> Incarnation {
        Incarnation((index as u64 + 1) << START_COUNT_BITS | self.start_count)
    }

    /// Returns the router's entry in the member list.
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            address: self.address.clone(),
            replica_id: self.replica_id,
            location: self.location,
        }
    }

    /// Applies a completed write to the storage.
    pub fn store(&mut self, write: StorageWrite) {
        let Some(storage) = &mut self.storage else { return };
        let StorageWrite { hard_state, snapshot, entries, discard_before, .. } = write;
        if let Some(hard_state) = hard_state {
            storage.hard_state = hard_state;
        }
        if let Some(snapshot) = snapshot {
            storage.snapshot = snapshot;
            if discard_before.is_none() {
                storage.entries.clear();
            }
        }
        if let Some(before) = discard_before {
            storage.entries.retain(|(index, _)| *index >= before);
        }
        if let Some((first, _)) = entries.first() {
            storage.entries.retain(|(index, _)| index < first);
        }
        storage.entries.extend(entries);
    }
}

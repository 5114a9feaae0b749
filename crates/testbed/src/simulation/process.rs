//! A simulated router process and its machine.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tindoor::time::Moment;
use tindoor_consensus::{Envelope, Node, StorageWrite, StoredState};
use tindoor_membership::{Incarnation, Member};

/// The number of routers that have replica storage and thus can be voters.
const REPLICAS: usize = 9;
/// The bits of an incarnation that count the starts of one router.
const START_COUNT_BITS: u32 = 20;

/// A router of the simulated fleet: its process, and what outlives it.
pub(super) struct Process {
    /// The running process; none while it is down.
    pub node: Option<Node>,
    pub name: String,
    pub address: String,
    pub location: u16,
    pub start_count: u64,
    /// The identity of its replica storage, where it has any.
    pub replica_id: Option<u64>,
    pub storage: Option<StoredState>,
    /// The reading of its clock at the true time 0.
    pub clock_offset_us: i64,
    /// The rate of its clock.
    pub clock_rate: f64,
    pub paused: bool,
    /// When its disk has completed all writes.
    pub disk_busy_until: u64,
    /// Messages that arrived while it was paused.
    pub queued_messages: Vec<Envelope>,
    /// Counts starts and kills, so that events for an earlier process are dropped.
    pub epoch: u64,
    /// Request rate relative to the usual one.
    pub load_factor: f64,
    /// Fills wanted and admitted in the current sampling period.
    pub fills_wanted: u64,
    pub fills_admitted: u64,
    /// How many removals of members its processes have seen.
    pub members_removed: u64,
}

impl Process {
    /// A router that has not been started yet, with a random clock.
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
            fills_wanted: 0,
            fills_admitted: 0,
            members_removed: 0,
        }
    }

    /// The reading of its clock at a true time.
    pub fn local_time(&self, now_us: u64) -> Moment {
        let reading = self.clock_offset_us + (now_us as f64 * self.clock_rate) as i64;
        Moment::at_micros(reading.max(0) as u64)
    }

    /// Whether its process runs and is not paused.
    pub fn is_running(&self) -> bool {
        self.node.is_some() && !self.paused
    }

    /// Whether its process is the consensus leader.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(Node::is_leader)
    }

    /// The incarnation of its current process.
    pub fn incarnation(&self, index: usize) -> Incarnation {
        Incarnation((index as u64 + 1) << START_COUNT_BITS | self.start_count)
    }

    /// Its entry in the member list.
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            address: self.address.clone(),
            replica_id: self.replica_id,
            location: self.location,
        }
    }

    /// Applies a completed write to its storage.
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

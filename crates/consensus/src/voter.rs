//! One voter: the `raft` library, stepped, with what it wants written and sent in the order that it needs.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, EntryType, Message,
};
use raft::{ProgressState, RawNode, SnapshotStatus, StateRole};
use tindoor_policy::{AgreedState, LogEntry};

use crate::log::{Log, StorageWrite};
use crate::voters::MembershipChange;

/// Ticks until a voter that hears nothing stands for election, and between a leader's heartbeats.
const ELECTION: usize = 12;
const HEARTBEAT: usize = 3;

/// Ticks until a snapshot that nothing is heard of is sent again.
const SNAPSHOT: u64 = 10;

/// Entries that are kept before they are folded into a snapshot.
const FOLDED_AT: usize = 512;

pub struct Voter {
    raw: RawNode<Log>,
    replica_id: u64,
    /// What waits for its write, in order.
    waiting: VecDeque<Waiting>,
    ticks: u64,
    /// What is to be folded once it counts as taken in: up to where, who votes there, and all that is agreed.
    to_fold: Option<(u64, ConfState, Vec<u8>)>,
    /// A snapshot that is to be written with what comes next.
    folded: Option<StorageWrite>,
}

struct Waiting {
    /// The library's number of it.
    number: u64,
    /// Whether there is a write that is not yet done.
    writes: bool,
    messages: Vec<Message>,
    /// How far it has been taken in.
    applied: u64,
}

/// What came of a step.
#[derive(Default)]
pub struct Progress {
    /// To which seat, and the message.
    pub messages: Vec<(u64, Vec<u8>)>,
    pub writes: Vec<StorageWrite>,
    /// A whole state in place of all before.
    pub installed: Option<Vec<u8>>,
    pub agreed: Vec<(u64, LogEntry)>,
    /// A read that a majority confirmed: its number, and what was committed then.
    pub reads: Vec<(u64, u64)>,
}

impl Voter {
    /// Takes its seat with this log.
    pub fn sit(replica_id: u64, log: Log) -> Result<Self, String> {
        let told = raft::Config {
            id: replica_id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: log.base(),
            max_size_per_msg: 64 << 10,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 4 << 20,
            ..raft::Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&told, log, &quiet).map_err(|error| error.to_string())?;
        let mut voter =
            Self { raw, replica_id, waiting: VecDeque::new(), ticks: 0, to_fold: None, folded: None };
        voter.steady();
        Ok(voter)
    }

    /// The library draws its election timeouts from the system: they are set from seat, term and ticks instead,
    /// so that a simulated day replays exactly.
    fn steady(&mut self) {
        let mixed =
            self.replica_id ^ self.raw.raft.term.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (self.ticks >> 6);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        let extra = ((mixed >> 32) as usize) % ELECTION;
        self.raw.raft.set_randomized_election_timeout(ELECTION + extra);
    }

    pub fn tick(&mut self) {
        self.ticks += 1;
        self.raw.tick();
        self.steady();
        // A snapshot may have been lost, or refused by one that was not yet in it: the library waits for a word on
        // it, for ever.
        if self.ticks.is_multiple_of(SNAPSHOT) && self.leads() {
            let sent =
                self.raw.raft.prs().iter().filter(|(_, progress)| progress.state == ProgressState::Snapshot);
            let sent: Vec<u64> = sent.map(|(replica_id, _)| *replica_id).collect();
            sent.into_iter()
                .for_each(|replica_id| self.raw.report_snapshot(replica_id, SnapshotStatus::Failure));
        }
    }

    /// Stands for election at once: for a fleet that was just founded.
    pub fn stand(&mut self) {
        let _ = self.raw.campaign();
        self.steady();
    }

    /// Takes in a message of another voter. What can't be read is dropped.
    pub fn step(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.to == self.replica_id
        {
            let _ = self.raw.step(message);
            self.steady();
        }
    }

    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The seat of the leader; 0 where none is known.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// How far it has taken in its log.
    pub fn applied(&self) -> u64 {
        self.raw.raft.raft_log.applied
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// False where it doesn't lead, or where too much is on its way.
    pub fn propose(&mut self, entry: &LogEntry) -> bool {
        let data = postcard::to_stdvec(entry).expect("plain values have a form");
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Has some seats vote and others no longer: from when this is agreed on, until [`finish_membership_change`](Self::finish_membership_change) is,
    /// those before and those to come must both agree to anything.
    pub fn plan_membership_change(&mut self, membership_change: &MembershipChange) -> bool {
        let single = |(replica_id, kind): (u64, ConfChangeType)| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = replica_id;
            single
        };
        let come = membership_change.come.iter().map(|replica_id| (*replica_id, ConfChangeType::AddNode));
        let go = membership_change.go.iter().map(|replica_id| (*replica_id, ConfChangeType::RemoveNode));
        let mut change = ConfChangeV2::default();
        // Left by a step of its own: the library's way of leaving by itself may be lost with its leader.
        change.set_transition(ConfChangeTransition::Explicit);
        change.changes = come.chain(go).map(single).collect::<Vec<_>>().into();
        self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Has another lead in its place.
    pub fn hand_over(&mut self, replica_id: u64) {
        self.raw.transfer_leader(replica_id);
    }

    /// Those before have no say any more.
    pub fn finish_membership_change(&mut self) -> bool {
        self.raw.propose_conf_change(Vec::new(), ConfChangeV2::default()).is_ok()
    }

    /// Asks what is committed, confirmed by a majority; the answer bears the same number.
    pub fn read(&mut self, number: u64) {
        self.raw.read_index(number.to_be_bytes().to_vec());
    }

    /// That write, and all before it, lasts.
    pub fn wrote(&mut self, number: u64) -> Progress {
        for waiting in self.waiting.iter_mut().filter(|waiting| waiting.number <= number) {
            waiting.writes = false;
        }
        self.progress()
    }

    /// Folds what was applied into a snapshot, where there is much of it, or where it is `due`: a new voter takes
    /// none from before it was one.
    pub fn fold(&mut self, index: u64, due: bool, agreed: &AgreedState) {
        let log = self.raw.store();
        if (due || log.len() >= FOLDED_AT && self.to_fold.is_none()) && index > log.base() {
            // Who votes there, as agreed at that index: the library's own request of it may lag behind.
            let (voters, voters_outgoing) = (agreed.voters.clone(), agreed.outgoing_voters.clone());
            let conf = ConfState { voters, voters_outgoing, ..ConfState::default() };
            let data = postcard::to_stdvec(agreed).expect("plain values have a form");
            self.to_fold = Some((index, conf, data));
            self.fold_now();
        }
    }

    /// Folds what waits for it, once the library counts it as taken in: it reads its log up to there.
    fn fold_now(&mut self) {
        let applied = self.raw.raft.raft_log.applied;
        if let Some((index, conf, data)) = self.to_fold.take_if(|(index, ..)| *index <= applied) {
            let write = self.folded.get_or_insert_default();
            self.raw.mut_store().compact(index, conf, data, write);
        }
    }

    /// All that is due now.
    pub fn progress(&mut self) -> Progress {
        let mut progress = Progress::default();
        loop {
            self.release(&mut progress);
            if !self.raw.has_ready() {
                return progress;
            }
            let mut ready = self.raw.ready();
            let number = ready.number();
            let mut write = self.folded.take().unwrap_or_default();
            let mut applied = 0;
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                applied = snapshot.get_metadata().index;
                progress.installed = Some(snapshot.data.to_vec());
                progress.agreed.clear();
                self.raw.mut_store().install(snapshot, &mut write);
            }
            let entries = ready.take_entries();
            self.raw.mut_store().append(&entries, &mut write);
            if let Some(hard) = ready.hs().cloned() {
                self.raw.mut_store().set_hard(hard, &mut write);
            }
            send(ready.take_messages(), &mut progress);
            let reads = ready
                .take_read_states()
                .into_iter()
                .filter_map(|read| Some((u64::from_be_bytes(read.request_ctx.try_into().ok()?), read.index)));
            progress.reads.extend(reads);
            for entry in ready.take_committed_entries() {
                let meant = match entry.get_entry_type() {
                    EntryType::EntryNormal if entry.data.is_empty() => LogEntry::NoOp,
                    // What can't be read was proposed by a newer version of the program: it changes nothing here.
                    EntryType::EntryNormal => postcard::from_bytes(&entry.data).unwrap_or(LogEntry::NoOp),
                    // This program changes voters by the other kind alone.
                    EntryType::EntryConfChange => LogEntry::NoOp,
                    EntryType::EntryConfChangeV2 => match ConfChangeV2::parse_from_bytes(&entry.data) {
                        Ok(change) => self.changed(|raw| raw.apply_conf_change(&change)),
                        Err(_) => LogEntry::NoOp,
                    },
                };
                applied = entry.index;
                progress.agreed.push((entry.index, meant));
            }
            let writes = write != StorageWrite::default();
            if writes {
                write.number = number;
                progress.writes.push(write);
            }
            let messages = ready.take_persisted_messages();
            self.waiting.push_back(Waiting { number, writes, messages, applied });
            self.raw.advance_append_async(ready);
        }
    }

    fn changed(
        &mut self,
        apply: impl FnOnce(&mut RawNode<Log>) -> raft::Result<raft::eraftpb::ConfState>,
    ) -> LogEntry {
        match apply(&mut self.raw) {
            Ok(conf) => {
                // The library goes on leading where it has no say any more, and fails at the next answer.
                if self.leads()
                    && !conf.voters.contains(&self.replica_id)
                    && !conf.voters_outgoing.contains(&self.replica_id)
                {
                    let term = self.raw.raft.term;
                    self.raw.raft.become_follower(term, raft::INVALID_ID);
                }
                let (mut replica_ids, mut leaving) = (conf.voters, conf.voters_outgoing);
                replica_ids.sort_unstable();
                leaving.sort_unstable();
                LogEntry::Voters { replica_ids, outgoing: leaving }
            }
            Err(_) => LogEntry::NoOp,
        }
    }

    /// Sends what has waited for writes that are done.
    fn release(&mut self, progress: &mut Progress) {
        while self.waiting.front().is_some_and(|waiting| !waiting.writes) {
            let Waiting { number, messages, applied, .. } = self.waiting.pop_front().expect("there is one");
            send(messages, progress);
            self.raw.on_persist_ready(number);
            if applied > 0 {
                self.raw.advance_apply_to(applied);
            }
            self.fold_now();
        }
    }
}

fn send(messages: Vec<Message>, progress: &mut Progress) {
    let bytes = |message: Message| Some((message.to, message.write_to_bytes().ok()?));
    progress.messages.extend(messages.into_iter().filter_map(bytes));
}

//! Golden files of the data that replicas send to each other and store. Each file in `tests/golden` holds the
//! encoding of one sample value. The tests encode each sample and compare it with its file byte for byte, and
//! decode each file and compare the result with its sample.
//!
//! Record the files again only for an intended change of the encoding. Such a change breaks fleets that are
//! in production:
//!
//! ```sh
//! cargo test -p tindoor-consensus --test golden -- --ignored record
//! ```

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use tindoor::time::{Moment, Span};
use tindoor_consensus::{
    Action, AgedConfirmation, CatchUp, ClassOutcomes, Command, Envelope, Limits, LocalIdentity, Message,
    Node, NodeConfig, PeerConfirmation, SafetyChecks, StorageWrite, StoredState,
};
use tindoor_membership::{ClockOffset, FleetTime, Incarnation, Interval, Member, Timings};
use tindoor_policy::{AgreedState, LogEntry, OutcomeCount, Policy, Proposal};
use tindoor_quota::{BudgetKey, Granted, KeyDemand, Quota, QuotaGrant, QuotaRequest};

fn golden_directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn recorded(name: &str) -> Vec<u8> {
    let path = golden_directory().join(format!("{name}.bin"));
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

// Sample values that several messages contain.

fn sample_member(replica_id: Option<u64>) -> Member {
    Member { name: "router-1".into(), address: "192.0.2.1:7000".into(), replica_id, location: 300 }
}

fn sample_policy() -> Policy {
    let keys = [
        ("budget.origin_fills.per_s", 1250.5),
        ("calling_off", 1.0),
        ("cold_floor", 0.1),
        ("offering.video.latency_goal_ms", 200.0),
    ];
    Policy::default().with(keys.map(|(key, number)| (key.to_string(), number)))
}

fn changed_policy() -> Policy {
    sample_policy().with([("cold_floor".to_string(), 0.25)])
}

fn sample_proposal(token: u64, base_generation: u64, reverts: Option<u64>) -> Proposal {
    let (author, note) = ("operator".to_string(), "raise the floor".to_string());
    Proposal { token, base_generation, policy: changed_policy(), reverts, author, note }
}

// Messages between routers.

fn status_request(wants_peer_confirmations: bool) -> Message {
    Message::StatusRequest {
        nonce: 0x1234_5678_9abc_def0,
        fleet: 0xfeed_f00d,
        index: 1000,
        wants_peer_confirmations,
    }
}

fn status_response(catch_up: CatchUp, complete: bool) -> Message {
    let offset = |clock: u64, low: i64, high: i64| ClockOffset {
        clock: Incarnation(clock),
        offset: Interval { low, high },
    };
    let by_peer = |peer: u64, age_micros: u64| PeerConfirmation { peer: Incarnation(peer), age_micros };
    Message::StatusResponse {
        nonce: 77,
        clock_micros: if complete { 1_700_000_000_123_456 } else { -1 },
        clock_offsets: if complete { vec![offset(2, -1500, 250), offset(3, 0, 70_000)] } else { Vec::new() },
        index: 1000,
        confirms_index: complete,
        quorum_confirmation: complete.then_some(AgedConfirmation { index: 1000, age_micros: 15_000 }),
        peer_confirmations: if complete { vec![by_peer(2, 12_000), by_peer(3, 300)] } else { Vec::new() },
        catch_up,
        leader_address: complete.then(|| "192.0.2.2:7000".to_string()),
    }
}

fn sample_log_tail() -> CatchUp {
    let encode = |entry: LogEntry| postcard::to_stdvec(&entry).unwrap();
    CatchUp::Entries {
        first: 998,
        entries: vec![encode(LogEntry::NoOp), encode(LogEntry::Activated { generation: 300 })],
    }
}

fn sample_snapshot() -> CatchUp {
    CatchUp::Snapshot(postcard::to_stdvec(&bootstrapped_state()).unwrap())
}

fn quota_request(key_demands: Vec<KeyDemand>) -> Message {
    Message::QuotaRequest(QuotaRequest { nonce: 900, demands: key_demands })
}

fn sample_key_demands() -> Vec<KeyDemand> {
    let fleet_wide = KeyDemand {
        key: BudgetKey { budget: 1, scope: 0 },
        demand: Quota { rate: 100_000, burst: 40_000 },
        weight: 1,
        holdings: Quota { rate: 50_000, burst: 20_000 },
        lender_term: 0,
    };
    let per_account = KeyDemand {
        key: BudgetKey { budget: 500, scope: 0xabcd_ef01_2345_6789 },
        demand: Quota::NONE,
        weight: 16,
        holdings: Quota { rate: 0, burst: 1 },
        lender_term: 12,
    };
    vec![fleet_wide, per_account]
}

fn quota_grant(lender_term: u64, grants: Vec<Granted>) -> Message {
    Message::QuotaGrant(QuotaGrant { nonce: 900, lender_term, grants })
}

fn sample_grants() -> Vec<Granted> {
    let key = |budget, scope| BudgetKey { budget, scope };
    let rate =
        Granted { key: key(1, 0), quota: Quota { rate: 50_000, burst: 20_000 }, duration_us: 1_000_000 };
    let concurrency =
        Granted { key: key(500, 0xabcd_ef01), quota: Quota { rate: 0, burst: 3000 }, duration_us: 0 };
    vec![rate, concurrency]
}

fn join_request(replica_id: Option<u64>, predecessor: Option<Incarnation>) -> Command {
    let incarnation = Incarnation(0x0123_4567_89ab_cdef);
    Command::Join { incarnation, member: sample_member(replica_id), predecessor }
}

fn policy_check(objection: Option<&str>) -> Command {
    let objection = objection.map(str::to_string);
    Command::PolicyCheck { generation: 300, incarnation: Incarnation(2), objection }
}

fn outcome_report(outcomes: Vec<ClassOutcomes>) -> Command {
    Command::ReportOutcomes { incarnation: Incarnation(2), location: 300, outcomes }
}

fn sample_outcomes() -> Vec<ClassOutcomes> {
    vec![
        ClassOutcomes { generation: 299, class: 0, count: OutcomeCount { requests: 1000, in_time: 990 } },
        ClassOutcomes { generation: 300, class: 400, count: OutcomeCount { requests: 1, in_time: 0 } },
    ]
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("command-join", join_request(Some(7), Some(Incarnation(9)))),
        ("command-join-without-seat", join_request(None, None)),
        ("command-leave", Command::Leave { incarnation: Incarnation(9) }),
        ("command-vote-accept", policy_check(None)),
        ("command-vote-reject", policy_check(Some("over its limit"))),
        ("command-propose", Command::Propose(sample_proposal(0xdead_beef, 299, None))),
        ("command-propose-rollback", Command::Propose(sample_proposal(0xdead_beef, 300, Some(300)))),
        ("command-withdraw", Command::Withdraw { generation: 300 }),
        ("command-remove-member", Command::RemoveMember { name: "router-1".into() }),
        ("command-report", outcome_report(sample_outcomes())),
        ("command-report-empty", outcome_report(Vec::new())),
    ]
}

/// Returns samples of every kind of message, each with its header.
fn messages() -> Vec<(&'static str, Envelope)> {
    let mut messages = vec![
        ("status-request", status_request(false)),
        ("status-request-with-samples", status_request(true)),
        ("status-response-unchanged", status_response(CatchUp::None, false)),
        ("status-response-entries", status_response(sample_log_tail(), true)),
        ("status-response-snapshot", status_response(sample_snapshot(), true)),
        ("raft", Message::Raft(vec![8, 4, 16, 1, 24, 2, 255, 0])),
        ("quota-request", quota_request(sample_key_demands())),
        ("quota-request-empty", quota_request(Vec::new())),
        ("quota-grant", quota_grant(12, sample_grants())),
        ("quota-grant-empty", quota_grant(0, Vec::new())),
    ];
    let forwarded_command = |hops: u8| move |(name, command)| (name, Message::Command { hops, command });
    messages.extend(commands().into_iter().map(forwarded_command(3)));
    messages.into_iter().map(|(name, message)| (name, with_header(message))).collect()
}

fn with_header(message: Message) -> Envelope {
    let (fleet, sender_address) = ("video-edge".to_string(), "192.0.2.1:7000".to_string());
    Envelope { fleet, sender: Incarnation(0x0123_4567_89ab_cdef), sender_address, message }
}

// Entries of the replicated log.

fn log_entries() -> Vec<(&'static str, LogEntry)> {
    let join = |replica_id, predecessor| LogEntry::Join {
        incarnation: Incarnation(0x1111),
        member: sample_member(replica_id),
        predecessor,
    };
    let clock = |offset| LogEntry::Clock { incarnation: Incarnation(0x1111), offset_us: offset };
    let joint_configuration = LogEntry::Voters { replica_ids: vec![7, 8, 900], outgoing: vec![7, 6] };
    vec![
        (
            "log-entry-bootstrap",
            LogEntry::Bootstrap { fleet: 0xfeed_f00d, policy: sample_policy(), replica_id: 7 },
        ),
        ("log-entry-add-member", join(Some(7), Some(Incarnation(9)))),
        ("log-entry-add-member-without-seat", join(None, None)),
        ("log-entry-remove-member", LogEntry::Leave { incarnation: Incarnation(0x1111), ended: false }),
        ("log-entry-remove-ended-member", LogEntry::Leave { incarnation: Incarnation(0x1111), ended: true }),
        ("log-entry-trim-membership-history", LogEntry::RetireLists { before: 1000 }),
        ("log-entry-no-op", LogEntry::NoOp),
        ("log-entry-joint-voter-configuration", joint_configuration),
        (
            "log-entry-voter-configuration",
            LogEntry::Voters { replica_ids: vec![7, 8, 900], outgoing: Vec::new() },
        ),
        ("log-entry-clock-offset", clock(Some(-123_456))),
        ("log-entry-clock-removed", clock(None)),
        ("log-entry-propose", LogEntry::Propose(sample_proposal(0xdead_beef, 299, None))),
        ("log-entry-propose-rollback", LogEntry::Propose(sample_proposal(0xdead_beef, 300, Some(300)))),
        (
            "log-entry-commit",
            LogEntry::Decide { generation: 300, activation_time: FleetTime(1_700_000_000_123_456) },
        ),
        (
            "log-entry-commit-at-negative-time",
            LogEntry::Decide { generation: 300, activation_time: FleetTime(-5) },
        ),
        ("log-entry-abort", LogEntry::Cancel { generation: 300, reason: "router-1 rejects it".into() }),
        ("log-entry-activate", LogEntry::Activated { generation: 300 }),
        ("log-entry-end-probation", LogEntry::ProbationEnded { generation: 300, finding: "NoHarm".into() }),
    ]
}

// Snapshots of the replicated state.

/// Returns the state after applying these entries to an empty state.
fn state_after(entries: Vec<LogEntry>) -> AgreedState {
    let mut state = AgreedState::new();
    for (position, entry) in entries.into_iter().enumerate() {
        state.apply(position as u64 + 1, entry);
    }
    state
}

fn bootstrap() -> LogEntry {
    LogEntry::Bootstrap { fleet: 0xfeed_f00d, policy: sample_policy(), replica_id: 7 }
}

fn add_member(number: u64, replica_id: Option<u64>) -> LogEntry {
    let (name, address) = (format!("router-{number}"), format!("192.0.2.{number}:7000"));
    let new_member = Member { name, address, replica_id, location: number as u16 };
    LogEntry::Join { incarnation: Incarnation(number), member: new_member, predecessor: None }
}

/// Returns entries after which the fleet has three members. Two replicas are voters, one of the members has
/// replaced its predecessor after a restart, and a fourth member was removed.
fn membership() -> Vec<LogEntry> {
    let restarted = Member { location: 9, ..sample_member(Some(7)) };
    vec![
        bootstrap(),
        add_member(1, Some(7)),
        add_member(2, Some(8)),
        add_member(3, None),
        add_member(4, None),
        LogEntry::Voters { replica_ids: vec![7, 8], outgoing: vec![7] },
        LogEntry::Leave { incarnation: Incarnation(4), ended: true },
        LogEntry::Join { incarnation: Incarnation(5), member: restarted, predecessor: Some(Incarnation(1)) },
        LogEntry::Clock { incarnation: Incarnation(5), offset_us: Some(0) },
        LogEntry::Clock { incarnation: Incarnation(2), offset_us: Some(-123_456) },
        LogEntry::Clock { incarnation: Incarnation(3), offset_us: Some(70_000) },
    ]
}

fn membership_followed_by(more: Vec<LogEntry>) -> AgreedState {
    state_after(membership().into_iter().chain(more).collect())
}

fn propose(token: u64, base_generation: u64, reverted_generation: Option<u64>) -> LogEntry {
    LogEntry::Propose(sample_proposal(token, base_generation, reverted_generation))
}

fn decide(generation: u64) -> LogEntry {
    LogEntry::Decide { generation, activation_time: FleetTime(1_700_000_000_123_456) }
}

/// Returns entries with a rejected, a cancelled and an activated change. The activated change is on
/// probation.
fn finished_changes() -> Vec<LogEntry> {
    vec![
        propose(21, 9, None),
        propose(22, 1, None),
        LogEntry::Cancel { generation: 2, reason: "router-1 rejects it".into() },
        propose(23, 1, None),
        decide(3),
        LogEntry::Activated { generation: 3 },
    ]
}

fn bootstrapped_state() -> AgreedState {
    state_after(vec![bootstrap()])
}

fn snapshots() -> Vec<(&'static str, AgreedState)> {
    let proposed_revert = [finished_changes(), vec![propose(24, 3, Some(3))]].concat();
    let reverted = [proposed_revert.clone(), vec![decide(4), LogEntry::Activated { generation: 4 }]].concat();
    vec![
        ("snapshot-empty", AgreedState::new()),
        ("snapshot-bootstrapped", bootstrapped_state()),
        ("snapshot-members", membership_followed_by(Vec::new())),
        ("snapshot-proposed-change", membership_followed_by(vec![propose(20, 1, None)])),
        ("snapshot-committed-change", membership_followed_by(vec![propose(20, 1, None), decide(2)])),
        ("snapshot-change-on-probation", membership_followed_by(finished_changes())),
        ("snapshot-proposed-rollback", membership_followed_by(proposed_revert)),
        ("snapshot-rolled-back", membership_followed_by(reverted)),
    ]
}

#[test]
fn sample_snapshots_have_every_part_of_the_state() {
    let named = |name: &str| snapshots().into_iter().find(|sample| sample.0 == name).unwrap().1;
    let members = named("snapshot-members");
    assert_eq!(
        (members.voters.len(), members.outgoing_voters.len(), members.replica_addresses.len()),
        (2, 1, 2)
    );
    assert_eq!(
        (members.members.members().len(), members.members.possible_members(), members.clocks.len()),
        (3, 3, 3)
    );
    assert!(named("snapshot-proposed-change").staged.unwrap().activation_time.is_none());
    assert!(named("snapshot-committed-change").staged.unwrap().activation_time.is_some());
    let on_probation = named("snapshot-change-on-probation");
    assert_eq!((on_probation.probation.is_some(), on_probation.past.len()), (true, 3));
    assert_eq!(named("snapshot-proposed-rollback").staged.unwrap().reverts, Some(3));
    let reverted = named("snapshot-rolled-back");
    assert_eq!((reverted.probation.is_none(), reverted.generation()), (true, 4));
}

// The stored data of a replica: its hard state, snapshot and log entries after all writes.

fn timings() -> Timings {
    Timings {
        lease: Span::millis(1000),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    }
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(10_000_000 + ms * 1000)
}

fn start_replica(stored: Option<StoredState>, ms: u64) -> Node {
    let identity = LocalIdentity {
        incarnation: Incarnation(1),
        name: "router-1".into(),
        address: "192.0.2.1:7000".into(),
        location: 0,
        replica_id: Some(7),
        predecessor: None,
    };
    let config = NodeConfig {
        fleet: "video-edge".into(),
        identity,
        timings: timings(),
        limits: Limits::default(),
        checks: SafetyChecks::default(),
        seeds: Vec::new(),
        stored,
        random_seed: 7,
    };
    Node::start(config, at(ms)).unwrap()
}

/// The only replica of its fleet, with its storage.
struct Replica {
    node: Node,
    ms: u64,
    stored: StoredState,
    compacted: bool,
}

impl Replica {
    fn bootstrapped() -> Self {
        let mut node = start_replica(None, 0);
        node.bootstrap(at(0), sample_policy()).unwrap();
        let mut replica = Self { node, ms: 0, stored: StoredState::default(), compacted: false };
        replica.run_for(3000);
        replica
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.ms += 20;
            self.node.tick(at(self.ms));
            self.handle_actions();
        }
    }

    fn command(&mut self, command: Command) {
        self.node.submit(at(self.ms), command).unwrap();
        self.handle_actions();
    }

    fn handle_actions(&mut self) {
        while !self.node.is_quiet() {
            for action in self.node.take_actions() {
                match action {
                    Action::Write(write) => {
                        let number = write.number;
                        self.store(write);
                        self.node.write_completed(at(self.ms), number);
                    }
                    Action::CheckPolicy(version) => {
                        self.node.policy_checked(at(self.ms), version.generation, None);
                    }
                    Action::Send { .. } | Action::Transition(_) | Action::LeadershipChanged(_) => {}
                }
            }
        }
    }

    fn store(&mut self, write: StorageWrite) {
        let entries = &mut self.stored.entries;
        if let Some(hard_state) = write.hard_state {
            self.stored.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            self.stored.snapshot = snapshot;
            if write.discard_before.is_none() {
                entries.clear();
            }
        }
        if let Some(before) = write.discard_before {
            entries.retain(|(index, _)| *index >= before);
            self.compacted = true;
        }
        if let Some((first, _)) = write.entries.first() {
            entries.retain(|(index, _)| index < first);
        }
        entries.extend(write.entries);
    }
}

/// Returns the request of another member to join, from the given location.
fn join(location: u16) -> Command {
    let member = Member { name: "router-2".into(), location, ..sample_member(None) };
    Command::Join { incarnation: Incarnation(0x1111), member, predecessor: None }
}

/// Returns a replica whose log contains a joined member and an activated change.
fn replica_with_log() -> Replica {
    let mut replica = Replica::bootstrapped();
    replica.command(Command::Propose(sample_proposal(0xdead_beef, 1, None)));
    replica.run_for(3000);
    replica.command(join(300));
    replica.run_for(500);
    replica
}

/// Returns a replica that has just compacted its log into a snapshot.
fn replica_after_compaction() -> Replica {
    let mut replica = replica_with_log();
    for location in 0..1000 {
        replica.command(join(location));
        replica.run_for(20);
        if replica.compacted {
            return replica;
        }
    }
    panic!("the log was never compacted");
}

fn replicas() -> Vec<(&'static str, Replica)> {
    vec![("replica-with-log", replica_with_log()), ("replica-after-compaction", replica_after_compaction())]
}

fn stored_files(name: &str, stored: &StoredState) -> Vec<(String, Vec<u8>)> {
    vec![
        (format!("{name}-hard-state"), stored.hard_state.clone()),
        (format!("{name}-snapshot"), stored.snapshot.clone()),
        (format!("{name}-entries"), postcard::to_stdvec(&stored.entries).unwrap()),
    ]
}

fn recorded_storage(name: &str) -> StoredState {
    let entries = recorded(&format!("{name}-entries"));
    StoredState {
        hard_state: recorded(&format!("{name}-hard-state")),
        snapshot: recorded(&format!("{name}-snapshot")),
        entries: postcard::from_bytes(&entries).unwrap(),
    }
}

// The tests.

fn encoded_samples() -> Vec<(String, Vec<u8>)> {
    let messages = messages().into_iter().map(|(name, message)| (name.to_string(), message.to_bytes()));
    let log_entries = log_entries()
        .into_iter()
        .map(|(name, entry)| (name.to_string(), postcard::to_stdvec(&entry).unwrap()));
    let snapshots =
        snapshots().into_iter().map(|(name, state)| (name.to_string(), postcard::to_stdvec(&state).unwrap()));
    let storage = replicas().into_iter().flat_map(|(name, replica)| stored_files(name, &replica.stored));
    messages.chain(log_entries).chain(snapshots).chain(storage).collect()
}

#[test]
fn samples_are_encoded_as_recorded() {
    for (name, bytes) in encoded_samples() {
        assert!(bytes == recorded(&name), "{name}: the encoding differs from the golden file");
    }
}

#[test]
fn recorded_messages_are_decoded() {
    for (name, message) in messages() {
        assert_eq!(Envelope::from_bytes(&recorded(name)), Ok(message), "{name}");
    }
}

#[test]
fn recorded_log_entries_are_decoded() {
    for (name, entry) in log_entries() {
        assert_eq!(postcard::from_bytes(&recorded(name)), Ok(entry), "{name}");
    }
}

#[test]
fn recorded_snapshots_are_decoded() {
    for (name, state) in snapshots() {
        assert_eq!(postcard::from_bytes(&recorded(name)), Ok(state), "{name}");
    }
}

/// A replica that starts from recorded storage applies all committed entries of the stored log, and so
/// reaches the same state as the replica that stored them.
#[test]
fn replicas_start_from_recorded_storage_with_the_same_state() {
    for (name, replica) in replicas() {
        let mut restarted = start_replica(Some(recorded_storage(name)), replica.ms);
        let mut writes = restarted.take_actions().into_iter();
        assert!(writes.all(|action| !matches!(action, Action::Send { .. })), "{name}");
        assert_eq!(restarted.agreed().generation(), 2, "{name}: the change is in force");
        assert!(restarted.agreed().members.contains(Incarnation(0x1111)), "{name}: the member has joined");
        assert_eq!(restarted.agreed(), replica.node.agreed(), "{name}");
    }
}

#[test]
fn every_golden_file_belongs_to_a_sample() {
    let expected: BTreeSet<String> =
        encoded_samples().into_iter().map(|(name, _)| format!("{name}.bin")).collect();
    let file_name = |entry: std::io::Result<fs::DirEntry>| entry.unwrap().file_name().into_string().unwrap();
    let found: BTreeSet<String> = fs::read_dir(golden_directory()).unwrap().map(file_name).collect();
    assert_eq!(found, expected);
}

#[test]
#[ignore = "replaces the golden files"]
fn record() {
    fs::create_dir_all(golden_directory()).unwrap();
    for (name, bytes) in encoded_samples() {
        fs::write(golden_directory().join(format!("{name}.bin")), bytes).unwrap();
    }
}

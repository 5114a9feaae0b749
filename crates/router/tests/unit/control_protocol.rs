//! Compares the JSON text of the control socket's requests, and of the answers that need no running fleet,
//! with the golden file `tests/golden/control-socket.txt`. Each line of that file has a name, a tab and the
//! JSON text.
//!
//! To regenerate the golden file:
//!
//! ```sh
//! cargo test -p tindoor-router -- --ignored record_control_socket
//! ```

use std::path::PathBuf;

use serde_json::{Value, json};
use tindoor_consensus::{Status, UnavailableReason};
use tindoor_policy::{PastProposal, ProposalOutcome};

use super::{ControlRequest, PolicyChanges};

fn recorded_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/control-socket.txt")
}

fn sample_changes() -> PolicyChanges {
    PolicyChanges::from([("cold_floor".to_string(), Some(0.25)), ("budget.looks.per_s".to_string(), None)])
}

fn propose(base_generation: Option<u64>) -> ControlRequest {
    let (author, note) = ("operator".to_string(), "raise the floor".to_string());
    ControlRequest::Propose { changes: sample_changes(), base_generation, author, note }
}

fn requests() -> Vec<(&'static str, ControlRequest)> {
    let author = || "operator".to_string();
    vec![
        ("request-status", ControlRequest::Status),
        ("request-policy", ControlRequest::Policy),
        ("request-history", ControlRequest::History),
        ("request-quotas", ControlRequest::Quotas),
        ("request-bootstrap", ControlRequest::Bootstrap { changes: sample_changes() }),
        ("request-bootstrap-unchanged", ControlRequest::Bootstrap { changes: PolicyChanges::new() }),
        ("request-propose", propose(Some(300))),
        ("request-propose-from-current", propose(None)),
        ("request-rollback", ControlRequest::Revert { generation: Some(300), author: author() }),
        ("request-rollback-current", ControlRequest::Revert { generation: None, author: author() }),
        ("request-withdraw", ControlRequest::Withdraw { generation: 300 }),
        ("request-remove-member", ControlRequest::RemoveMember { name: "router-1".into() }),
        ("request-outcome", ControlRequest::Outcome { token: u64::MAX }),
    ]
}

/// Requests as other clients may write them, without optional fields.
const SHORT_REQUESTS: [(&str, &str); 3] = [
    (r#"{"found":{}}"#, "request-bootstrap-unchanged"),
    (
        r#"{"propose":{"changes":{"cold_floor":0.25,"budget.looks.per_s":null},"by":"operator","note":"raise the floor"}}"#,
        "request-propose-from-current",
    ),
    (r#"{"undo":{"by":"operator"}}"#, "request-rollback-current"),
];

/// A status answer. The optional fields are only set if `complete` is true.
fn status(unavailable: Option<UnavailableReason>, complete: bool) -> Value {
    let text = |text: &str| complete.then(|| text.to_string());
    json!(Status {
        name: "router-1".into(),
        incarnation: "0123456789abcdef".into(),
        fleet: 0xfeed_f00d,
        index: 1000,
        generation: 300,
        hash: "0011223344556677".into(),
        unavailable,
        lease_remaining_ms: 900,
        members: 3,
        voters: vec!["router-1".into(), "router-2".into()],
        leader: text("router-2"),
        clock_bound_us: complete.then_some(1500),
        staged_change: text("generation 301"),
        on_probation: complete.then_some(300),
    })
}

fn outcome(generation: Option<u64>, reverts: Option<u64>, outcome: ProposalOutcome) -> Value {
    let (hash, author, note) = ("0011223344556677".into(), "operator".into(), "raise the floor".into());
    json!(PastProposal {
        token: 0xdead_beef,
        generation,
        base_generation: 299,
        hash,
        author,
        note,
        reverts,
        outcome
    })
}

fn answers() -> Vec<(&'static str, Value)> {
    vec![
        ("answer-status", status(None, true)),
        ("answer-status-not-a-member", status(Some(UnavailableReason::NotAMember), false)),
        ("answer-status-lease-expired", status(Some(UnavailableReason::LeaseExpired), false)),
        ("answer-status-clock-unsynchronized", status(Some(UnavailableReason::ClockUncertain), false)),
        ("answer-status-policy-not-applicable", status(Some(UnavailableReason::PolicyNotApplicable), false)),
        ("answer-outcome-rejected", outcome(None, None, ProposalOutcome::Rejected("under way".into()))),
        ("answer-outcome-aborted", outcome(Some(300), None, ProposalOutcome::Cancelled("withdrawn".into()))),
        ("answer-outcome-activated", outcome(Some(300), None, ProposalOutcome::Activated)),
        ("answer-outcome-rolled-back", outcome(Some(301), Some(300), ProposalOutcome::Activated)),
    ]
}

/// The lines of the golden file for all requests and answers.
fn samples() -> Vec<String> {
    let line = |name: &str, json: String| format!("{name}\t{json}");
    let requests =
        requests().into_iter().map(|(name, request)| line(name, serde_json::to_string(&request).unwrap()));
    let answers = answers().into_iter().map(|(name, answer)| line(name, answer.to_string()));
    requests.chain(answers).collect()
}

fn recorded() -> Vec<String> {
    std::fs::read_to_string(recorded_file()).unwrap().lines().map(str::to_string).collect()
}

fn recorded_json(name: &str) -> String {
    let prefix = format!("{name}\t");
    let line = recorded().into_iter().find(|line| line.starts_with(&prefix));
    line.unwrap_or_else(|| panic!("{name} is not recorded"))[prefix.len()..].to_string()
}

/// The variant and fields of a request as text, because `ControlRequest` does not implement `PartialEq`.
fn debug_text(request: &ControlRequest) -> String {
    format!("{request:?}")
}

#[test]
fn requests_and_answers_are_serialized_as_recorded() {
    assert_eq!(samples(), recorded());
}

#[test]
fn recorded_requests_are_parsed() {
    for (name, request) in requests() {
        let parsed: ControlRequest = serde_json::from_str(&recorded_json(name)).unwrap();
        assert_eq!(debug_text(&parsed), debug_text(&request), "{name}");
    }
}

#[test]
fn requests_without_optional_fields_are_parsed() {
    for (short, name) in SHORT_REQUESTS {
        let parsed: ControlRequest = serde_json::from_str(short).unwrap();
        let complete: ControlRequest = serde_json::from_str(&recorded_json(name)).unwrap();
        assert_eq!(debug_text(&parsed), debug_text(&complete), "{short}");
    }
}

#[test]
fn requests_with_unknown_variants_or_wrong_fields_are_rejected() {
    for request in [r#""restart""#, r#"{"withdraw":{"generation":1,"now":true}}"#, r#"{"forget":{}}"#, "{}"] {
        assert!(serde_json::from_str::<ControlRequest>(request).is_err(), "{request}");
    }
}

#[test]
fn recorded_answers_are_parsed() {
    for (name, answer) in answers() {
        let json = recorded_json(name);
        let serialized_again = match name.starts_with("answer-status") {
            true => json!(serde_json::from_str::<Status>(&json).unwrap()),
            false => json!(serde_json::from_str::<PastProposal>(&json).unwrap()),
        };
        assert_eq!(serialized_again, answer, "{name}");
    }
}

#[test]
#[ignore = "replaces the golden file"]
fn record_control_socket() {
    std::fs::create_dir_all(recorded_file().parent().unwrap()).unwrap();
    std::fs::write(recorded_file(), samples().join("\n") + "\n").unwrap();
}

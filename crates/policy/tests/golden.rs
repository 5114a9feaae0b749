//! Golden file of the policy: the declaration of every key, and the hashes and encodings of some policies.
//! Replicas of one fleet compare policies by hash, so a policy must have the same hash in every version of
//! the program.
//!
//! This command replaces the file:
//!
//! ```sh
//! cargo test -p tindoor-policy --test golden -- --ignored record
//! ```

use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;

use tindoor_policy::{Policy, keys};

fn golden_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/policy.txt")
}

fn policy(keys: &[(&str, f64)]) -> Policy {
    Policy::default().with(keys.iter().map(|(key, number)| (key.to_string(), *number)))
}

/// Returns a policy that sets each key to one of its bounds. The keys of request classes are those of a class
/// named `video`.
fn policy_at_bounds(bound: impl Fn(&keys::Key) -> f64) -> Policy {
    let setting = |key: &keys::Key| (key.name.replace('*', "video"), bound(key));
    Policy::default().with(keys::KEYS.iter().map(setting))
}

fn sample_policies() -> Vec<(&'static str, Policy)> {
    vec![
        ("empty", Policy::default()),
        ("one-key", policy(&[("cold_floor", 0.1)])),
        ("zero", policy(&[("cold_floor", 0.0)])),
        ("negative-zero", policy(&[("cold_floor", -0.0)])),
        ("two-keys", policy(&[("cold_floor", 0.1), ("budget.origin_fills.per_s", 1250.5)])),
        ("two-offerings", policy(&[("offering.a.fresh_ms", 5.0), ("offering.b.fresh_ms", 1e9 / 3.0)])),
        ("all-keys-at-least", policy_at_bounds(|key| key.min)),
        ("all-keys-at-most", policy_at_bounds(|key| key.max)),
    ]
}

fn describe_key(key: &keys::Key) -> String {
    let keys::Key { name, setting, unit, min, max, applies, description } = key;
    let fact = setting.map_or("", recorded_name);
    format!("key {name} | fact {fact:?} | {unit} | {min} to {max} | {applies} | {description}")
}

/// Returns the name of a setting in the golden file, which keeps the names of the version that recorded it.
fn recorded_name(setting: keys::Setting) -> &'static str {
    use keys::Setting::*;
    match setting {
        LatencyObjective => "latency_goal",
        ObjectiveStretch => "goal_stretch",
        PriorityWeight => "earnings",
        LateShare => "late_share",
        StaleShare => "old_share",
        MaxAge => "fresh",
        StaleWhileFailing => "older_by",
        Deadline => "cut_off",
        RetryWindow => "window",
        RetryAfterSent => "come_back_told",
        MaxRetryAfter => "longest_come_back",
        MaxAttempts => "most_dispatches",
        Cancellation => "calling_off",
        BypassAllowed => "direct",
        CacheInitialShare => "cold_floor",
        CacheOverloadMultiple => "cold_multiple",
        SlowStartWindow => "cold_window",
        ParentInitialShare => "parent_floor",
        ParentOverloadMultiple => "parent_multiple",
        ParentRampDuration => "parent_warm_within",
        CacheRampDuration => "warm_within",
        CopiesGoneAfter => "copies_gone_after",
        DrainGrace => "drain_grace",
        PurgeGrace => "purge_grace",
    }
}

fn golden_text() -> String {
    let mut text = String::new();
    for key in keys::KEYS {
        writeln!(text, "{}", describe_key(key)).unwrap();
    }
    for (name, policy) in sample_policies() {
        let bytes = postcard::to_stdvec(&policy).unwrap();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "policy {name} | hash {} | encoded {hex}", policy.hash()).unwrap();
    }
    text
}

#[test]
fn declarations_hashes_and_encodings_match_the_golden_file() {
    let recorded = fs::read_to_string(golden_path()).unwrap();
    for (line, recorded) in golden_text().lines().zip(recorded.lines()) {
        assert_eq!(line, recorded);
    }
    assert_eq!(golden_text(), recorded);
}

#[test]
#[ignore = "replaces the golden file"]
fn record() {
    fs::write(golden_path(), golden_text()).unwrap();
}

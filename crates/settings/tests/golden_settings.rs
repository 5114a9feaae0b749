//! Compares the settings that are read from samples with the recorded file in `tests/golden/`. The file was
//! recorded by the version before the typed settings, with the names and values that it looked up. Values
//! that the old version stored but never used, such as a word in place of a number, are left out of the
//! comparison.

use std::collections::BTreeSet;

use tindoor::settings::{ClassSettings, Idempotency, RetryScope, Settings};
use tindoor::time::Span;
use tindoor_settings::from_text;

const RECORDED: &str = include_str!("golden/settings.txt");

/// All known settings, and some unknown ones.
const ALL_SETTINGS: &str = r#"{
    "family": "edge", "zone": 1, "zones": ["east", "west"], "flavors": ["cache", "parent", "origin"],
    "balancers": 3, "weights": "nominal", "registry_mode": "on_request", "unknown": {"a": [1]},
    "request_classes": [
        {"name": "pages", "deadline": 3000000, "objective": 300000, "aim_stretch": 1.5, "effect": "read_like",
         "group": "all", "late_value": 0.2, "points": 1.0, "window": 0},
        {"name": "saves", "deadline": 5000000, "objective": 400000, "effect": "idempotency_key", "group": "zone",
         "late_value": 0.1, "points": 3, "window": 3000000},
        {"name": "orders", "deadline": 2500000, "objective": 300000, "effect": "non_idempotent", "group": "all",
         "late_value": 0, "points": 2, "window": 0}],
    "limits": {"cancelling": true, "most_tries": 8, "max_retry_after": 500000, "retry_after": false,
               "second_copies": true, "open_cap": 20000},
    "rules": {"cold_share": 0.2, "warm_within": 18000000, "drain_grace": 500000, "overload_factor": 4.0,
              "overload_for": 1000000},
    "family_info": {"bypass_allowed": true, "class_fresh": [8000000, 0, 0], "older_by": [0, 1, 2],
                    "worth_when_old": [0.5, 0.25, 1], "goes_through": [false, true, false], "note_level": "all",
                    "root_kind": 2, "second_tier_kind": 1, "gone_everywhere": 6000000, "heed_within": 500000,
                    "instances_by_zone": [1, 2], "client_kb_per_s": 9000.0, "parent_floor": 0.3,
                    "parent_warms_in": 7000000, "parent_breaks_at": 2.5}
}"#;

const SAMPLES: &[&str] = &[
    ALL_SETTINGS,
    r#"{"zone": 0, "rules": {"drain_grace": 1}, "request_classes": [{"deadline": 1, "objective": 1}]}"#,
    r#"{"zone": 2, "rules": {"drain_grace": 5.0, "warm_within": "x", "cold_share": null}, "family": 1, "weights": true,
        "registry_mode": null, "limits": {"cancelling": {}, "most_tries": [8], "retry_after": 1, "max_retry_after": {}},
        "request_classes": [{"deadline": 7.0, "objective": true, "window": null, "effect": "read_like"}],
        "family_info": {"class_fresh": [1], "goes_through": "all", "instances_by_zone": ["many", 2]}}"#,
    r#"{"zone": 5, "family": "compute", "weights": "off", "registry_mode": "pushed", "rules": {"drain_grace": 0},
        "request_classes": [], "family_info": {"instances_by_zone": [1], "root_kind": 0, "note_level": "hit"}}"#,
    r#"{"zone": 0, "balancers": 0, "rules": {"drain_grace": 9}, "request_classes":
        [{"deadline": 3, "objective": 2, "effect": "idempotency_key", "group": "cell", "window": 4},
         {"deadline": 3, "objective": 2, "effect": "idempotency_key", "group": "all"}],
        "family_info": {"class_fresh": [1], "older_by": [2], "worth_when_old": [0.5], "instances_by_zone": [3]}}"#,
];

/// Each sample lacks a setting that the engine requires.
const REJECTED: &[&str] = &[
    r#"{"request_classes": []}"#,
    r#"{"request_classes": [{}]}"#,
    r#"{"request_classes": [{"effect": "other", "group": 7, "deadline": "soon", "window": null}]}"#,
    r#"{"request_classes": [1, "a"]}"#,
    r#"{"request_classes": [], "family": "compute", "weights": "off", "registry_mode": "pushed"}"#,
    r#"{"request_classes": [], "family": 1, "weights": true, "registry_mode": null}"#,
    r#"{"request_classes": [], "zone": 5, "family_info": {"instances_by_zone": [1]}}"#,
    r#"{"request_classes": [], "zone": -1, "family_info": {"instances_by_zone": [1, 2]}}"#,
    r#"{"request_classes": [], "family_info": {"instances_by_zone": ["many"], "class_fresh": [1]}}"#,
    r#"{"request_classes": [{}, {}], "family_info": {"class_fresh": [1], "goes_through": "all"}}"#,
    r#"{"request_classes": [], "rules": 3, "limits": {"cancelling": {}, "most_tries": [8]}}"#,
    r#"{"request_classes": {}}"#,
    "{}",
    "[]",
    "[",
    "",
];

#[test]
fn settings_are_read_as_recorded() {
    let mut rest = RECORDED;
    for text in SAMPLES {
        rest = rest.strip_prefix(text).expect("samples in the order of the file").trim_start_matches('\n');
        let values: Vec<&str> = rest.lines().take_while(|line| line.starts_with("    ")).collect();
        let recorded: BTreeSet<String> =
            values.iter().map(|line| line.trim().to_string()).filter(|line| is_used(line)).collect();
        assert_eq!(described(&from_text(text.as_bytes()).unwrap()), recorded, "{text}");
        rest = &rest[values.iter().map(|line| line.len() + 1).sum()..];
    }
    assert_eq!(rest, "");
}

#[test]
fn settings_without_a_required_value_are_rejected() {
    for text in REJECTED {
        assert!(from_text(text.as_bytes()).is_err(), "{text}");
    }
}

/// Whether the version that recorded the value used it.
fn is_used(line: &str) -> bool {
    let (name, value) = line.split_once(": ").unwrap();
    let is_flag_off = value == "0" && (name == "second_copies" || name.ends_with("runs_at_origin"));
    let is_stray_word = [r#""x""#, r#""hit""#, r#""once-only""#].contains(&value);
    !is_flag_off && !is_stray_word && name != "offerings"
}

/// Formats the settings with the names used in the recorded file.
fn described(settings: &Settings) -> BTreeSet<String> {
    let Settings { topology, attempts, rejection, slow_start, purges, classes } = settings;
    let mut values = vec![
        ("location".to_string(), Some(f64::from(topology.location))),
        ("parent_kind".to_string(), topology.parent_kind.map(f64::from)),
        ("origin_kind".to_string(), topology.origin_kind.map(f64::from)),
        ("routers".to_string(), topology.routers.map(f64::from)),
        ("routers_here".to_string(), topology.routers_in_location.map(f64::from)),
        ("direct".to_string(), topology.bypass_allowed.map(flag)),
        ("fills".to_string(), Some(flag(topology.caches_fill))),
        ("list_on_request".to_string(), Some(flag(topology.discovery_on_request))),
        ("size_told".to_string(), Some(flag(topology.capacity_known))),
        ("client_kb_per_s".to_string(), Some(topology.client_kb_per_s).filter(|speed| *speed > 0.0)),
        ("most_dispatches".to_string(), attempts.max_attempts.map(f64::from)),
        ("calling_off".to_string(), attempts.cancellation.map(flag)),
        ("second_copies".to_string(), attempts.hedging.then_some(1.0)),
        ("drain_grace".to_string(), Some(micros(attempts.drain_grace))),
        ("come_back_told".to_string(), rejection.retry_after_sent.map(flag)),
        ("longest_come_back".to_string(), rejection.max_retry_after.map(micros)),
        ("cold_floor".to_string(), slow_start.caches.initial_share),
        ("warm_within".to_string(), slow_start.caches.duration.map(micros)),
        ("cold_multiple".to_string(), slow_start.caches.overload_multiple),
        ("parent_floor".to_string(), slow_start.parents.initial_share),
        ("parent_warm_within".to_string(), slow_start.parents.duration.map(micros)),
        ("parent_multiple".to_string(), slow_start.parents.overload_multiple),
        ("cold_window".to_string(), slow_start.window.map(micros)),
        ("copies_gone_after".to_string(), purges.copies_gone_after.map(micros)),
        ("purge_grace".to_string(), purges.grace.map(micros)),
    ];
    let mut described = BTreeSet::new();
    if topology.fill_details_reported {
        described.insert("notes: \"all\"".to_string());
    }
    for (index, class) in classes.iter().enumerate() {
        values.extend(class_values(class).map(|(name, value)| (format!("offering.{index}.{name}"), value)));
        described.extend(class_words(class).map(|(name, word)| format!("offering.{index}.{name}: {word:?}")));
    }
    let set = values.into_iter().filter_map(|(name, value)| Some(format!("{name}: {}", value?)));
    described.extend(set);
    described
}

fn class_values(class: &ClassSettings) -> [(&'static str, Option<f64>); 10] {
    [
        ("cut_off", Some(micros(class.deadline))),
        ("latency_goal", Some(micros(class.latency_objective))),
        ("goal_stretch", class.objective_stretch),
        ("earnings", class.priority_weight),
        ("late_share", class.late_share),
        ("old_share", class.stale_share),
        ("window", class.retry_window.map(micros)),
        ("fresh", class.max_age.map(micros)),
        ("older_by", class.stale_while_failing.map(micros)),
        ("runs_at_origin", class.runs_at_origin.then_some(1.0)),
    ]
}

fn class_words(class: &ClassSettings) -> impl Iterator<Item = (&'static str, &'static str)> {
    let effect = match class.idempotency {
        Idempotency::Idempotent => Some("repeatable"),
        Idempotency::WithKey => Some("tagged"),
        Idempotency::NonIdempotent => None,
    };
    let group = match class.retry_scope {
        RetryScope::Everywhere => Some("all"),
        RetryScope::Location => Some("location"),
        RetryScope::Cell => Some("cell"),
        RetryScope::Nowhere => None,
    };
    effect.map(|effect| ("effect", effect)).into_iter().chain(group.map(|group| ("group", group)))
}

fn flag(flag: bool) -> f64 {
    f64::from(u8::from(flag))
}

fn micros(span: Span) -> f64 {
    span.as_micros() as f64
}

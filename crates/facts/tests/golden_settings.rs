//! The facts that are made of sample settings, compared with the recorded file in `tests/golden/`.
//!
//! To record the file anew: `cargo test -p tindoor-facts --test golden_settings -- --ignored record`

#[path = "../../lab/tests/support/golden.rs"]
mod golden;

use golden::Recording;
use tindoor::host::Fact;
use tindoor_facts::from_text;

fn recordings() -> Vec<Recording> {
    vec![("settings.txt", settings())]
}

#[test]
fn settings_are_read_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded file"]
fn record() {
    golden::record(&recordings());
}

/// Every setting that is known, and some that aren't.
const EVERY: &str = r#"{
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
    EVERY,
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

fn fact_text(fact: &Fact) -> String {
    match fact {
        Fact::Number(number) => number.to_string(),
        Fact::Word(word) => format!("{word:?}"),
    }
}

fn sample(text: &&str) -> String {
    let facts = match from_text(text.as_bytes()) {
        Ok(facts) => facts.iter().map(|(name, fact)| format!("    {name}: {}\n", fact_text(fact))).collect(),
        Err(_) => "    rejected\n".to_string(),
    };
    format!("{text}\n{facts}")
}

fn settings() -> String {
    SAMPLES.iter().map(sample).collect()
}

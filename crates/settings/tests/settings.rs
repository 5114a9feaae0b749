//! Reading settings from JSON, and the errors for invalid settings.

use tindoor::settings::{Idempotency, RetryScope};
use tindoor::time::Span;
use tindoor_settings::from_text;

const SETTINGS: &str = r#"{"zone": 1, "balancers": 3, "family": "edge", "weights": "off", "registry_mode": "pushed",
    "rules": {"drain_grace": 500000}, "unknown": {"a": [1]},
    "request_classes": [{"deadline": 5000000, "objective": 400000, "effect": "idempotency_key", "group": "zone"},
                        {"deadline": 2500000, "objective": 300000, "effect": "read_like"}],
    "family_info": {"class_fresh": [0, 8000000], "goes_through": [true, false], "instances_by_zone": [1, 2]}}"#;

#[test]
fn settings_are_read_by_their_json_keys() {
    let settings = from_text(SETTINGS.as_bytes()).unwrap();
    assert_eq!(settings.topology.location, 1);
    assert_eq!(settings.topology.routers, Some(3));
    assert_eq!(settings.topology.routers_in_location, Some(2));
    assert_eq!(settings.attempts.drain_grace, Span::micros(500_000));
    let [uploads, pages] = &settings.classes[..] else { panic!("two classes") };
    assert_eq!(uploads.deadline, Span::micros(5_000_000));
    assert!(uploads.runs_at_origin);
    assert_eq!(pages.latency_objective, Span::micros(300_000));
    assert_eq!(pages.max_age, Some(Span::micros(8_000_000)));
    assert!(!settings.topology.discovery_on_request);
    assert!(settings.topology.caches_fill);
    assert_eq!(uploads.idempotency, Idempotency::WithKey);
    assert_eq!(uploads.retry_scope, RetryScope::Location);
    assert_eq!(pages.idempotency, Idempotency::Idempotent);
    assert_eq!(settings.purges.grace, None, "a missing value is `None`, so that the engine uses its default");
}

#[test]
fn the_error_for_a_missing_setting_names_its_key() {
    let cases = [
        (r#"{"request_classes": [], "rules": {"drain_grace": 1}}"#, "zone is missing or not a number"),
        (r#"{"request_classes": [], "zone": 1}"#, "rules.drain_grace is missing or not a number"),
        (
            r#"{"request_classes": [{"deadline": 1}], "zone": 1, "rules": {"drain_grace": 1}}"#,
            "request_classes[0].objective is missing or not a number",
        ),
        (
            r#"{"request_classes": [{"objective": 1, "deadline": "soon"}], "zone": 1, "rules": {"drain_grace": 1}}"#,
            "request_classes[0].deadline is missing or not a number",
        ),
    ];
    for (text, message) in cases {
        assert_eq!(from_text(text.as_bytes()).unwrap_err().to_string(), message, "{text}");
    }
}

#[test]
fn text_without_settings_is_rejected() {
    for (text, message) in [("[", "not JSON"), ("[]", "not a JSON object"), ("{}", "request_classes")] {
        let error = from_text(text.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(message), "{text}: {error}");
    }
}

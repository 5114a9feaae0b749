//! Settings as they come, and the facts that the decisions know.

use tindoor::host::{Fact, Facts};
use tindoor_settings::from_text;

const SETTINGS: &str = r#"{"zone": 1, "balancers": 3, "family": "edge", "weights": "off", "registry_mode": "pushed",
    "rules": {"drain_grace": 500000}, "unknown": {"a": [1]},
    "request_classes": [{"deadline": 5000000, "objective": 400000, "effect": "idempotency_key", "group": "zone"},
                        {"deadline": 2500000, "objective": 300000, "effect": "read_like"}],
    "family_info": {"class_fresh": [0, 8000000], "goes_through": [true, false], "instances_by_zone": [1, 2]}}"#;

fn number(facts: &Facts, name: &str) -> Option<f64> {
    facts.get(name).and_then(Fact::number)
}

#[test]
fn settings_come_out_under_our_names() {
    let facts = from_text(SETTINGS.as_bytes()).unwrap();
    let expected = [
        ("location", 1.0),
        ("routers", 3.0),
        ("routers_here", 2.0),
        ("drain_grace", 500_000.0),
        ("offerings", 2.0),
        ("offering.0.cut_off", 5_000_000.0),
        ("offering.0.runs_at_origin", 1.0),
        ("offering.1.latency_goal", 300_000.0),
        ("offering.1.fresh", 8_000_000.0),
        ("list_on_request", 0.0),
        ("fills", 1.0),
    ];
    for (name, value) in expected {
        assert_eq!(number(&facts, name), Some(value), "{name}");
    }
    assert_eq!(facts["offering.0.effect"].word(), "tagged");
    assert_eq!(facts["offering.0.group"].word(), "location");
    assert_eq!(facts["offering.1.effect"].word(), "repeatable");
    assert!(!facts.contains_key("purge_grace"), "what is not set is left to the module's defaults");
}

#[test]
fn what_is_no_settings_is_said_so() {
    for (text, said) in [("[", "not JSON"), ("[]", "not a JSON object"), ("{}", "request_classes")] {
        let error = format!("{:#}", from_text(text.as_bytes()).unwrap_err());
        assert!(error.contains(said), "{text}: {error}");
    }
}

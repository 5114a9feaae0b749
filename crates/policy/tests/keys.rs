//! Tests of the keys of a policy and of its hash.

use std::collections::BTreeMap;

use tindoor::settings::{AttemptSettings, ClassSettings, PurgeSettings, RejectionSettings, Settings};
use tindoor::time::Span;
use tindoor_policy::{Policy, keys};

fn deployment() -> (Settings, Vec<String>) {
    let settings = Settings {
        attempts: AttemptSettings { drain_grace: Span::millis(500), ..AttemptSettings::default() },
        rejection: RejectionSettings {
            max_retry_after: Some(Span::millis(500)),
            ..RejectionSettings::default()
        },
        purges: PurgeSettings { copies_gone_after: Some(Span::secs(60.0)), ..PurgeSettings::default() },
        classes: vec![ClassSettings {
            deadline: Span::millis(3000),
            latency_objective: Span::millis(300),
            max_age: Some(Span::secs(8.0)),
            ..ClassSettings::default()
        }],
        ..Settings::default()
    };
    (settings, vec!["pages".to_string()])
}

#[test]
fn a_policy_reproduces_its_settings_and_only_valid_changes_are_accepted() {
    let (settings, classes) = deployment();
    let current = keys::from_settings(&settings, &classes);
    assert_eq!(current.0["offering.pages.latency_goal_ms"], 300.0);
    assert_eq!(
        keys::apply_to_settings(&current, &settings, &classes).unwrap(),
        settings,
        "applying a policy restores the settings that it was derived from"
    );
    let change = |name: &str, number: f64| current.with([(name.to_string(), number)]);
    let check = |new: &Policy| keys::check_change(&current, new, &classes);
    assert_eq!(check(&change("offering.pages.latency_goal_ms", 250.0)), Ok(()));
    let rejection = |name: &str, number: f64| check(&change(name, number)).unwrap_err().to_string();
    assert!(rejection("offering.pages.cut_off_ms", 2000.0).contains("only at a restart"));
    assert!(rejection("offering.videos.fresh_ms", 1.0).contains("no request class named \"videos\""));
    assert!(rejection("fresh", 1.0).contains("unknown key"));
    assert!(rejection("most_dispatches", 2.5).contains("a whole number, found 2.5"));
    assert!(rejection("longest_come_back_ms", f64::NAN).contains("expected 0 to 3600000, found NaN"));
    assert!(
        rejection("offering.pages.latency_goal_ms", 4000.0)
            .contains("at most 3000 (offering.pages.cut_off_ms)")
    );
    let long_served = rejection("offering.pages.fresh_ms", 70_000.0);
    assert!(long_served.contains("found 70000; a copy could be served after its purge is forgotten"));
}

fn policy(number: f64) -> Policy {
    Policy(BTreeMap::from([("longest_come_back_ms".to_string(), number)]))
}

#[test]
fn equal_policies_have_equal_hashes_and_others_do_not() {
    assert_eq!(policy(0.0).hash(), policy(-0.0).hash());
    assert_ne!(policy(1.0).hash(), policy(2.0).hash());
}

//! Simulates days of a fleet in virtual time and checks consensus, membership and quotas under all faults.

use tindoor_testbed::figures::Figures;
use tindoor_testbed::simulation::baselines::Baseline;
use tindoor_testbed::simulation::many_days::{Plan, run, run_baseline};

/// A plan of days of 25 s without a fill budget.
fn plan(seed: u64, days: u64, routers: usize, faults: &str, disabled_check: Option<&str>) -> Plan {
    let (faults, disabled_check) = (faults.to_string(), disabled_check.map(str::to_string));
    Plan { seed, seconds: 25, days, routers, faults, disabled_check, fills_per_second: None, trace: false }
}

/// Runs days without a fill budget.
fn days(seed: u64, days: u64, routers: usize, faults: &str, disabled_check: Option<&str>) -> Figures {
    run(&plan(seed, days, routers, faults, disabled_check)).expect("the plan has valid settings")
}

/// Runs days of 20 s on which the routers share a budget of 100 fills per second.
fn days_with_budget(
    seed: u64,
    days: u64,
    routers: usize,
    faults: &str,
    disabled_check: Option<&str>,
) -> Figures {
    let plan = Plan {
        seconds: 20,
        fills_per_second: Some(100.0),
        ..plan(seed, days, routers, faults, disabled_check)
    };
    run(&plan).expect("the plan has valid settings")
}

#[test]
fn without_faults_every_proposal_is_activated_or_rejected_and_all_routers_stay_active() {
    let figures = days(1, 12, 7, "", None);
    let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(count("took_hold") > 80 && count("took_hold") + count("refused") == count("changes"));
    assert_eq!(count("out_at_end"), 0);
}

#[test]
fn under_all_faults_no_policies_mix_and_pending_proposals_are_decided() {
    let figures = days(1, 60, 7, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
    assert!(
        count("took_hold") > 40 && count("refused") > 40 && count("called_off") > 10,
        "{}",
        figures.table()
    );
}

/// A member that was absent for long enough to be removed from the member list must rejoin at once, and no
/// activation may wait for an absent member. The bound on removals detects a leader that measures the silence
/// of a returning member from the leader's own election on, and therefore removes the member again.
#[test]
fn a_router_that_was_away_rejoins_and_delays_no_activation() {
    for routers in [3, 5] {
        let figures = run(&Plan { seconds: 40, ..plan(1, 20, routers, "away", None) })
            .expect("the plan has valid settings");
        let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(count("unlisted") <= 6 * 20, "{}", figures.table());
        assert!(count("took_hold") > 100 && count("hold_ms_p50") < 3000, "{}", figures.table());
        assert!(routers == 3 || count("hold_ms_p99") < 4500, "{}", figures.table());
    }
}

/// All clocks jump together, as on one suspended host. Afterwards, no clock is within its error bound.
#[test]
fn a_fleet_continues_after_all_clocks_jump() {
    for routers in [1, 2, 5] {
        let figures = days(1, 20, routers, "sleep", None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    }
}

#[test]
fn the_same_seed_reproduces_the_same_days() {
    let [one, two] = [1, 1].map(|seed| {
        let mut figures = days(seed, 3, 5, "all", None);
        figures.more.remove("seconds");
        figures.table()
    });
    assert_eq!(one, two);
}

#[test]
fn violations_with_a_consensus_check_disabled_are_detected() {
    for check in ["lease", "staged", "compare"] {
        let figures = days(1, 40, 7, "all", Some(check));
        assert!(
            figures.rules_broken > 0,
            "no violation was detected with the check `{check}` disabled:\n{}",
            figures.table()
        );
    }
}

#[test]
fn without_disturbance_the_budget_is_used_and_no_router_starves() {
    for faults in ["", "shift"] {
        let figures = days_with_budget(1, 8, 7, faults, None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(figures.more["used_of_whole"].as_f64() > Some(0.9), "{}", figures.table());
        assert_eq!(figures.more["starved"], 0, "{}", figures.table());
    }
}

#[test]
fn under_all_faults_the_budget_is_neither_exceeded_nor_overcommitted() {
    let figures = days_with_budget(1, 40, 7, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // In a large fleet, one router of each location grants quotas on to the other routers of the location.
    let figures = days_with_budget(1, 2, 80, "shift,drop,killmost,pause", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

#[test]
fn violations_with_a_quota_check_disabled_are_detected() {
    for check in ["lapse", "epoch", "returned", "burst", "wakes", "floor"] {
        let detected =
            (0..8).any(|index| days_with_budget(1 + 10 * index, 10, 7, "all", Some(check)).rules_broken > 0);
        assert!(detected, "no violation was detected in 80 days with the check `{check}` disabled");
    }
}

#[test]
fn baselines_mix_policies_under_the_same_faults() {
    let plan = plan(1, 10, 7, "drop,delay,oneway,split,kill,pause", None);
    let mixed = |baseline| {
        run_baseline(&plan, baseline).expect("the plan has valid settings").more["mixed_views"].as_u64()
    };
    let [file_reload, two_phase] = [Baseline::FileReload, Baseline::TwoPhaseCommit].map(mixed);
    assert!(file_reload > two_phase && two_phase > Some(0), "{file_reload:?} {two_phase:?}");
    assert_eq!(run(&plan).expect("the plan has valid settings").rules_broken, 0);
}

//! Simulated days of a fleet: consensus, membership and quotas under all faults, in virtual time.

use tindoor_testbed::figures::Figures;
use tindoor_testbed::simulation::baselines::Baseline;
use tindoor_testbed::simulation::many_days::{Plan, run, run_baseline};

fn plan(seed: u64, days: u64, routers: usize, faults: &str, disabled_check: Option<&str>) -> Plan {
    let (faults, disabled_check) = (faults.to_string(), disabled_check.map(str::to_string));
    Plan { seed, seconds: 25, days, routers, faults, disabled_check, fills_per_second: None, trace: false }
}

fn days(seed: u64, days: u64, routers: usize, faults: &str, disabled_check: Option<&str>) -> Figures {
    run(&plan(seed, days, routers, faults, disabled_check)).expect("a plan that can be run")
}

/// Days on which the routers divide a hundred fills per second among themselves.
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
    run(&plan).expect("a plan that can be run")
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

/// A member that was away for longer than it stays listed rejoins at once, and no activation waits for an
/// absent one. The bound on removals detects a leader that counts the silence of a returning member from its
/// own election on.
#[test]
fn a_router_that_was_away_rejoins_and_delays_no_activation() {
    for routers in [3, 5] {
        let figures = run(&Plan { seconds: 40, ..plan(1, 20, routers, "away", None) }).expect("a plan");
        let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(count("unlisted") <= 6 * 20, "{}", figures.table());
        assert!(count("took_hold") > 100 && count("hold_ms_p50") < 3000, "{}", figures.table());
        assert!(routers == 3 || count("hold_ms_p99") < 4500, "{}", figures.table());
    }
}

/// As on one host that was suspended: no clock is within its bound any more.
#[test]
fn a_fleet_continues_after_all_clocks_jump() {
    for routers in [1, 2, 5] {
        let figures = days(1, 20, routers, "sleep", None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    }
}

#[test]
fn a_seed_replays_exactly() {
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
        assert!(figures.rules_broken > 0, "without {check} nothing was detected:\n{}", figures.table());
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
    // In a large fleet one router of a location grants quotas on to the others.
    let figures = days_with_budget(1, 2, 80, "shift,drop,killmost,pause", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

#[test]
fn violations_with_a_quota_check_disabled_are_detected() {
    for check in ["lapse", "epoch", "returned", "burst", "wakes", "floor"] {
        let detected =
            (0..8).any(|index| days_with_budget(1 + 10 * index, 10, 7, "all", Some(check)).rules_broken > 0);
        assert!(detected, "without {check} nothing was detected in 80 days");
    }
}

#[test]
fn baselines_mix_policies_under_the_same_faults() {
    let plan = plan(1, 10, 7, "drop,delay,oneway,split,kill,pause", None);
    let mixed = |baseline| {
        run_baseline(&plan, baseline).expect("a plan that can be run").more["mixed_views"].as_u64()
    };
    let [file_reload, two_phase] = [Baseline::FileReload, Baseline::TwoPhaseCommit].map(mixed);
    assert!(file_reload > two_phase && two_phase > Some(0), "{file_reload:?} {two_phase:?}");
    assert_eq!(run(&plan).expect("a plan that can be run").rules_broken, 0);
}

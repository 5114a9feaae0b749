//! Simulated days of a fleet: the parts that agree and take leases, under every fault, in virtual time.

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

/// Days on which a hundred fills a second by the origin are divided.
fn divided(seed: u64, days: u64, routers: usize, faults: &str, disabled_check: Option<&str>) -> Figures {
    let plan = Plan {
        seconds: 20,
        fills_per_second: Some(100.0),
        ..plan(seed, days, routers, faults, disabled_check)
    };
    run(&plan).expect("a plan that can be run")
}

#[test]
fn without_faults_every_change_takes_hold_or_is_refused_and_no_request_is_turned_back_for_it() {
    let figures = days(1, 12, 7, "", None);
    let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(count("took_hold") > 80 && count("took_hold") + count("refused") == count("changes"));
    assert_eq!(count("out_at_end"), 0);
}

#[test]
fn under_every_fault_no_request_is_decided_by_two_policies_and_what_waits_ends() {
    let figures = days(1, 60, 7, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
    assert!(
        count("took_hold") > 40 && count("refused") > 40 && count("called_off") > 10,
        "{}",
        figures.table()
    );
}

/// One that was away for longer than it is remembered is one of them again at once, and nothing waits for one that is
/// away: a leader that reckoned its silence from when it began to lead took it off the list 1,300 times in 30 such days.
#[test]
fn one_that_was_away_for_long_is_listed_once_and_holds_up_no_change() {
    for routers in [3, 5] {
        let figures = run(&Plan { seconds: 40, ..plan(1, 20, routers, "away", None) }).expect("a plan");
        let count = |name: &str| figures.more[name].as_u64().unwrap_or_default();
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(count("unlisted") <= 6 * 20, "{}", figures.table());
        assert!(count("took_hold") > 100 && count("hold_ms_p50") < 3000, "{}", figures.table());
        assert!(routers == 3 || count("hold_ms_p99") < 4500, "{}", figures.table());
    }
}

/// Machines that are one machine, or were moved together: nobody's clock is known to anybody any more.
#[test]
fn a_fleet_whose_clocks_all_jump_goes_on() {
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
fn each_guard_is_needed() {
    for guard in ["lease", "staged", "compare"] {
        let figures = days(1, 40, 7, "all", Some(guard));
        assert!(figures.rules_broken > 0, "without {guard} nothing was broken:\n{}", figures.table());
    }
}

#[test]
fn in_calm_what_there_is_of_a_budget_is_used_and_nobody_starves() {
    for faults in ["", "shift"] {
        let figures = divided(1, 8, 7, faults, None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(figures.more["used_of_whole"].as_f64() > Some(0.9), "{}", figures.table());
        assert_eq!(figures.more["starved"], 0, "{}", figures.table());
    }
}

#[test]
fn under_every_fault_no_more_is_spent_than_the_whole_and_no_more_could_be() {
    let figures = divided(1, 40, 7, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // One of a location lends on to the others where there are many.
    let figures = divided(1, 2, 80, "shift,drop,killmost,pause", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

#[test]
fn each_guard_of_budgets_is_needed() {
    for guard in ["lapse", "epoch", "returned", "burst", "wakes", "floor"] {
        let broken = (0..8).any(|nth| divided(1 + 10 * nth, 10, 7, "all", Some(guard)).rules_broken > 0);
        assert!(broken, "without {guard} nothing was broken in 80 days");
    }
}

#[test]
fn the_simple_ways_have_requests_by_two_policies_under_the_same_faults() {
    let plan = plan(1, 10, 7, "drop,delay,oneway,split,kill,pause", None);
    let mixed = |baseline| {
        run_baseline(&plan, baseline).expect("a plan that can be run").more["mixed_views"].as_u64()
    };
    let [file_reload, two_phase] = [Baseline::FileReload, Baseline::TwoPhaseCommit].map(mixed);
    assert!(file_reload > two_phase && two_phase > Some(0), "{file_reload:?} {two_phase:?}");
    assert_eq!(run(&plan).expect("a plan that can be run").rules_broken, 0);
}

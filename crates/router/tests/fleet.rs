//! Tests of fleets of several router processes with injected faults.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use tindoor_testbed::budgets;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::policy::{Plan, run};

/// Two experiments run at once: each has several processes, and a machine may have few cores.
static SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT_SLOT: AtomicUsize = AtomicUsize::new(0);

fn plan(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Plan {
    let (faults, without) = (faults.to_string(), without.map(str::to_string));
    Plan { seed, routers, seconds, faults, without, ..Plan::default() }
}

fn run_in_slot(experiment: impl FnOnce() -> Figures) -> Figures {
    let slot = &SLOTS[NEXT_SLOT.fetch_add(1, Ordering::Relaxed) % SLOTS.len()];
    let _slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
    experiment()
}

fn experiment(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Figures {
    let plan = plan(seed, routers, seconds, faults, without);
    run_in_slot(|| run(&plan).expect("the experiment can be run"))
}

fn count(figures: &Figures, name: &str) -> u64 {
    figures.more[name].as_u64().unwrap_or_default()
}

#[test]
fn a_change_is_activated_everywhere_at_the_same_time() {
    let figures = experiment(1, 5, 10, "", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(count(&figures, "took_hold") >= 1, "{}", figures.table());
}

#[test]
fn under_all_faults_a_change_is_activated_everywhere_or_nowhere() {
    let figures = experiment(2, 5, 15, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// Without a safety check a fault must be detected, at the latest with the last of a few seeds. The faults
/// are those that the check is for.
fn fault_is_detected_without(check: &str, faults: &str) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = experiment(seed, 3, 10, faults, Some(check));
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("without {check} no fault was detected:\n{last}");
}

#[test]
fn the_check_of_the_lease_is_necessary() {
    fault_is_detected_without("lease", "strand");
}

#[test]
fn staged_activation_is_necessary() {
    fault_is_detected_without("staged", "strand");
}

#[test]
fn the_comparison_of_generations_is_necessary() {
    fault_is_detected_without("compare", "proposers");
}

#[test]
fn unique_incarnations_are_necessary() {
    fault_is_detected_without("incarnation", "torn");
}

#[test]
fn pinned_settings_are_necessary() {
    fault_is_detected_without("pinned", "");
}

#[test]
fn synced_writes_are_necessary() {
    fault_is_detected_without("synced", "kill,killmost");
}

fn budget_experiment(plan: Plan) -> Figures {
    run_in_slot(|| budgets::run(&Plan { few_voters: true, ..plan }).expect("the experiment can be run"))
}

#[test]
fn routers_divide_a_budget_and_use_most_of_it() {
    let figures = budget_experiment(plan(1, 5, 4, "shift", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // A slow machine does not demand the whole budget.
    assert!(figures.more["used_of_whole"].as_f64() > Some(0.5), "{}", figures.table());
}

#[test]
fn under_all_faults_no_window_exceeds_the_budget() {
    let figures = budget_experiment(plan(2, 5, 12, "all", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// The same for the checks of budgets.
fn budget_fault_is_detected_without(check: &str, plan: impl Fn(u64) -> Plan) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = budget_experiment(Plan { without: Some(check.into()), ..plan(seed) });
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("without {check} no fault was detected:\n{last}");
}

#[test]
fn grants_count_until_they_expire() {
    budget_fault_is_detected_without("lapse", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,deaf", None)
    });
}

#[test]
fn a_new_leader_waits_for_the_grants_of_its_predecessor() {
    budget_fault_is_detected_without("epoch", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,heir", None)
    });
}

#[test]
fn grants_count_until_their_holder_returns_them() {
    budget_fault_is_detected_without("returned", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,deaf", None)
    });
}

#[test]
fn a_router_that_wakes_spends_nothing_before_a_new_grant() {
    budget_fault_is_detected_without("wakes", |seed| Plan {
        fills: [5000.0, 1000.0, 10.0],
        ..plan(seed, 5, 16, "doze", None)
    });
}

#[test]
fn a_burst_is_granted_empty() {
    budget_fault_is_detected_without("burst", |seed| Plan {
        fills: [6.0, 60.0, 40.0],
        ..plan(seed, 5, 10, "shift", None)
    });
}

#[test]
fn the_guaranteed_minimums_of_possible_members_are_reserved() {
    budget_fault_is_detected_without("floor", |seed| plan(seed, 5, 6, "shift", None));
}

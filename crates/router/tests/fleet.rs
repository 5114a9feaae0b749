//! Tests fleets of several router processes under injected faults, and shows that each safety check is
//! necessary: with the check disabled, the experiment must detect the fault that the check prevents.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use tindoor_testbed::budgets;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::policy::{Plan, run};

/// Limits the experiments that run at the same time to two: each starts several processes, and the machine
/// may have few cores.
static EXPERIMENT_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT_SLOT: AtomicUsize = AtomicUsize::new(0);

fn plan(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Plan {
    let (faults, without) = (faults.to_string(), without.map(str::to_string));
    Plan { seed, routers, seconds, faults, without, ..Plan::default() }
}

fn run_in_slot(experiment: impl FnOnce() -> Figures) -> Figures {
    let slot = &EXPERIMENT_SLOTS[NEXT_SLOT.fetch_add(1, Ordering::Relaxed) % EXPERIMENT_SLOTS.len()];
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
fn without_faults_a_policy_change_is_activated_by_all_routers_at_the_same_time() {
    let figures = experiment(1, 5, 10, "", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(count(&figures, "took_hold") >= 1, "{}", figures.table());
}

#[test]
fn under_all_faults_a_policy_change_is_activated_by_all_routers_or_by_none() {
    let figures = experiment(2, 5, 15, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// Asserts that with `check` disabled, the experiment detects a violation for at least one of five seeds.
/// `faults` are the faults against which the check protects.
fn assert_fault_detected_without(check: &str, faults: &str) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = experiment(seed, 3, 10, faults, Some(check));
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("no violation was detected with the check {check} disabled; the last experiment:\n{last}");
}

#[test]
fn the_lease_check_is_necessary() {
    assert_fault_detected_without("lease", "strand");
}

#[test]
fn staged_activation_is_necessary() {
    assert_fault_detected_without("staged", "strand");
}

#[test]
fn comparing_generations_is_necessary() {
    assert_fault_detected_without("compare", "proposers");
}

#[test]
fn unique_incarnations_are_necessary() {
    assert_fault_detected_without("incarnation", "torn");
}

#[test]
fn pinned_settings_are_necessary() {
    assert_fault_detected_without("pinned", "");
}

#[test]
fn synced_writes_are_necessary() {
    assert_fault_detected_without("synced", "kill,killmost");
}

fn budget_experiment(plan: Plan) -> Figures {
    run_in_slot(|| budgets::run(&Plan { few_voters: true, ..plan }).expect("the experiment can be run"))
}

#[test]
fn routers_divide_a_budget_and_use_more_than_half_of_it() {
    let figures = budget_experiment(plan(1, 5, 4, "shift", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // Not the whole budget: on a slow machine, the routers do not demand all of it.
    assert!(figures.more["used_of_whole"].as_f64() > Some(0.5), "{}", figures.table());
}

#[test]
fn under_all_faults_the_budget_is_not_exceeded_in_any_window() {
    let figures = budget_experiment(plan(2, 5, 12, "all", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// Like [`assert_fault_detected_without`], for the safety checks of budgets.
fn assert_budget_fault_detected_without(check: &str, plan: impl Fn(u64) -> Plan) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = budget_experiment(Plan { without: Some(check.into()), ..plan(seed) });
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("no violation was detected with the check {check} disabled; the last experiment:\n{last}");
}

#[test]
fn counting_grants_until_they_expire_is_necessary() {
    assert_budget_fault_detected_without("lapse", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,deaf", None)
    });
}

#[test]
fn a_new_leader_waiting_for_its_predecessors_grants_is_necessary() {
    assert_budget_fault_detected_without("epoch", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,heir", None)
    });
}

#[test]
fn counting_grants_until_their_holder_returns_them_is_necessary() {
    assert_budget_fault_detected_without("returned", |seed| Plan {
        lease: 3000,
        ..plan(seed, 5, 12, "shift,deaf", None)
    });
}

#[test]
fn stopping_to_spend_at_lease_expiry_is_necessary_when_a_router_wakes_up() {
    assert_budget_fault_detected_without("wakes", |seed| Plan {
        fills: [5000.0, 1000.0, 10.0],
        ..plan(seed, 5, 16, "doze", None)
    });
}

#[test]
fn granting_burst_without_tokens_is_necessary() {
    assert_budget_fault_detected_without("burst", |seed| Plan {
        fills: [6.0, 60.0, 40.0],
        ..plan(seed, 5, 10, "shift", None)
    });
}

#[test]
fn reserving_the_guaranteed_minimums_of_possible_members_is_necessary() {
    assert_budget_fault_detected_without("floor", |seed| plan(seed, 5, 6, "shift", None));
}

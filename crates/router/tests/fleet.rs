//! Stories of several routers of one fleet, as processes with faults between them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use tindoor_testbed::budgets;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::policy::{Plan, run};

/// Two at a time: each is several processes, and a machine may have few cores.
static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

fn plan(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Plan {
    let (faults, without) = (faults.to_string(), without.map(str::to_string));
    Plan { seed, routers, seconds, faults, without, ..Plan::default() }
}

fn in_turn(what: impl FnOnce() -> Figures) -> Figures {
    let turn = &TURNS[NEXT.fetch_add(1, Ordering::Relaxed) % TURNS.len()];
    let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
    what()
}

fn experiment(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Figures {
    let plan = plan(seed, routers, seconds, faults, without);
    in_turn(|| run(&plan).expect("the experiment can be run"))
}

fn count(figures: &Figures, name: &str) -> u64 {
    figures.more[name].as_u64().unwrap_or_default()
}

#[test]
fn a_change_takes_hold_everywhere_at_one_moment() {
    let figures = experiment(1, 5, 10, "", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(count(&figures, "took_hold") >= 1, "{}", figures.table());
}

#[test]
fn with_routers_killed_paused_cut_off_and_forgetful_it_holds_everywhere_or_nowhere() {
    let figures = experiment(2, 5, 15, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// Each guard taken out must be noticed, at the latest on the last of a few seeds: the faults are such that a change
/// meets them.
fn is_needed(guard: &str, faults: &str) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = experiment(seed, 3, 10, faults, Some(guard));
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("without {guard} nothing was broken:\n{last}");
}

#[test]
fn a_router_without_a_lease_goes_on_by_the_old_policy() {
    is_needed("lease", "strand");
}

#[test]
fn a_change_decided_at_once_is_late_for_some() {
    is_needed("staged", "strand");
}

#[test]
fn a_change_made_from_what_is_gone_overwrites() {
    is_needed("compare", "proposers");
}

#[test]
fn a_voter_that_forgot_must_not_vote_as_the_one_it_was() {
    is_needed("incarnation", "torn");
}

#[test]
fn a_request_is_decided_to_its_end_by_one_policy() {
    is_needed("pinned", "");
}

#[test]
fn what_was_agreed_must_last_over_a_kill() {
    is_needed("synced", "kill,killmost");
}

fn divided(plan: Plan) -> Figures {
    in_turn(|| budgets::run(&Plan { few_voters: true, ..plan }).expect("the experiment can be run"))
}

#[test]
fn routers_share_out_a_budget_and_use_most_of_it() {
    let figures = divided(plan(1, 5, 4, "shift", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // A slow machine does not ask for all that there is.
    assert!(figures.more["used_of_whole"].as_f64() > Some(0.5), "{}", figures.table());
}

#[test]
fn with_routers_killed_paused_and_cut_off_no_window_is_over_the_whole() {
    let figures = divided(plan(2, 5, 12, "all", None));
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// The same of budgets: each with the faults that it is there for.
fn is_needed_to_divide(guard: &str, plan: impl Fn(u64) -> Plan) {
    let mut last = String::new();
    for seed in 1..=5 {
        let figures = divided(Plan { without: Some(guard.into()), ..plan(seed) });
        if figures.rules_broken > 0 {
            return;
        }
        last = figures.table();
    }
    panic!("without {guard} nothing was broken:\n{last}");
}

#[test]
fn what_was_lent_counts_until_it_has_lapsed() {
    is_needed_to_divide("lapse", |seed| Plan { lease: 3000, ..plan(seed, 5, 12, "shift,deaf", None) });
}

#[test]
fn a_new_leader_waits_for_what_the_one_before_it_lent() {
    is_needed_to_divide("epoch", |seed| Plan { lease: 3000, ..plan(seed, 5, 12, "shift,heir", None) });
}

#[test]
fn what_was_lent_counts_until_its_holder_says_that_it_holds_less() {
    is_needed_to_divide("returned", |seed| Plan { lease: 3000, ..plan(seed, 5, 12, "shift,deaf", None) });
}

#[test]
fn one_that_wakes_spends_nothing_before_it_has_asked() {
    is_needed_to_divide("wakes", |seed| Plan {
        fills: [5000.0, 1000.0, 10.0],
        ..plan(seed, 5, 16, "doze", None)
    });
}

#[test]
fn a_burst_that_moves_comes_empty() {
    is_needed_to_divide("burst", |seed| Plan {
        fills: [6.0, 60.0, 40.0],
        ..plan(seed, 5, 10, "shift", None)
    });
}

#[test]
fn the_floors_of_all_that_may_belong_are_kept_out_of_what_is_divided() {
    is_needed_to_divide("floor", |seed| plan(seed, 5, 6, "shift", None));
}

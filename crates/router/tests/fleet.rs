//! Stories of several routers of one fleet, as processes with faults between them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use tindoor_lab::budgets;
use tindoor_lab::figures::Figures;
use tindoor_lab::policy::{Plan, run};

/// Two at a time: each is several processes, and a machine may have few cores.
static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

fn experiment(seed: u64, routers: usize, seconds: u64, faults: &str, without: Option<&str>) -> Figures {
    let turn = &TURNS[NEXT.fetch_add(1, Ordering::Relaxed) % TURNS.len()];
    let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
    let without = without.map(str::to_string);
    let plan = Plan {
        seed,
        views: 1_000_000,
        seconds,
        routers,
        faults: faults.to_string(),
        without,
        few_voters: false,
    };
    run(&plan).expect("the experiment can be run")
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

/// Each guard taken out must be noticed, at the latest on the last of a few seeds: whether a fault meets a change is
/// left to chance.
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
    is_needed("lease", "island");
}

#[test]
fn a_change_decided_at_once_is_late_for_some() {
    is_needed("staged", "island");
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
fn a_view_is_decided_to_its_end_by_one_policy() {
    is_needed("pinned", "");
}

#[test]
fn what_was_agreed_must_last_over_a_kill() {
    is_needed("synced", "kill,killmost");
}

fn divided(seed: u64, seconds: u64, faults: &str, without: Option<&str>) -> Figures {
    let turn = &TURNS[NEXT.fetch_add(1, Ordering::Relaxed) % TURNS.len()];
    let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
    let (faults, without) = (faults.to_string(), without.map(str::to_string));
    let plan = Plan { seed, views: 1_000_000, seconds, routers: 5, faults, without, few_voters: true };
    budgets::run(&plan).expect("the experiment can be run")
}

#[test]
fn routers_share_out_a_budget_and_use_most_of_it() {
    let figures = divided(1, 4, "shift", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    // A slow machine does not ask for all that there is.
    assert!(figures.more["used_of_whole"].as_f64() > Some(0.5), "{}", figures.table());
}

#[test]
fn with_routers_killed_paused_and_cut_off_no_window_is_over_the_whole() {
    let figures = divided(2, 12, "all", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

/// Those whose lack shows in what passes between processes and at caches; all six are taken out in simulated days.
#[test]
fn the_guards_of_budgets_are_needed() {
    for (guard, faults) in [("floor", "shift"), ("epoch", "shift,leader"), ("lapse", "shift,drop")] {
        let broken = (1..=6).any(|seed| divided(seed, 10, faults, Some(guard)).rules_broken > 0);
        assert!(broken, "without {guard} nothing was broken");
    }
}

//! Stories of several routers of one fleet, as processes with faults between them.

use tindoor_lab::figures::Figures;
use tindoor_lab::policy::{Plan, run};

fn experiment(seed: u64, seconds: u64, faults: &str, without: Option<&str>) -> Figures {
    let without = without.map(str::to_string);
    let plan = Plan { seed, views: 1_000_000, seconds, routers: 5, faults: faults.to_string(), without };
    run(&plan).expect("the experiment can be run")
}

#[test]
fn a_change_takes_hold_everywhere_at_one_moment() {
    let figures = experiment(1, 10, "", None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
    assert!(figures.more["took_hold"].as_u64() >= Some(1), "{}", figures.table());
    assert_eq!(figures.more["turned_back_no_lease"], 0, "without a fault nobody is turned back for it");
}

#[test]
fn with_routers_killed_paused_and_cut_off_a_change_holds_everywhere_or_nowhere() {
    let faults = "drop,delay,reorder,duplicate,oneway,split,kill,pause,restart,torn,leader,proposers";
    let figures = experiment(2, 20, faults, None);
    assert_eq!(figures.rules_broken, 0, "{}", figures.table());
}

//! The figures of simulated days of a fleet, compared with the recorded file in `tests/golden/`. A seed replays
//! exactly, so every figure has to stay the same.
//!
//! To record the file anew: `cargo test -p tindoor-testbed --test golden -- --ignored record`

#[path = "support/golden.rs"]
mod golden;

use golden::Recording;
use tindoor::time::Span;
use tindoor_testbed::world::{Came, Day, FAULTS, play};

fn recordings() -> Vec<Recording> {
    vec![("simulated_days.txt", simulated_days())]
}

#[test]
fn simulated_days_are_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded file"]
fn record() {
    golden::record(&recordings());
}

/// The days that are recorded: router count, faults by name, and fills a second where they are budgeted.
const DAYS: &[(usize, &str, Option<f64>)] = &[
    (1, "", None),
    (3, "", None),
    (7, "", None),
    (7, "all", None),
    (5, "drop,delay,duplicate", None),
    (5, "oneway,split", None),
    (5, "kill,killmost,pause,restart,forget", None),
    (5, "leader,proposers,badchange", None),
    (5, "clock,sleep,lower", None),
    (3, "away,deaf", None),
    (7, "", Some(100.0)),
    (7, "shift", Some(100.0)),
    (7, "all", Some(100.0)),
    (20, "shift,drop,killmost,pause", Some(100.0)),
];

const SEEDS: [u64; 4] = [1, 2, 17, 1234];

fn day(seed: u64, (routers, faults, budget): (usize, &str, Option<f64>)) -> Day {
    let mut day = Day::new(seed, routers);
    day.faults = match faults {
        "all" => FAULTS.iter().map(ToString::to_string).collect(),
        some => some.split(',').filter(|name| !name.is_empty()).map(str::to_string).collect(),
    };
    day.lasts = Span::secs(if budget.is_some() { 15.0 } else { 20.0 });
    day.budget = budget;
    day
}

/// Every figure of a day, by a name that stays.
fn figures(came: &Came) -> String {
    let Came {
        requests,
        rejected,
        changes,
        took_hold,
        refused,
        cancelled,
        mixed,
        nowhere,
        overwritten,
        stuck,
        messages,
        bytes,
        held_after,
        unfit_at_end,
        out_at_end,
        unlisted,
        windows_over,
        in_hand_over,
        granted_over,
        most_granted,
        filled,
        allowed,
        starved,
    } = came;
    let held_after: Vec<String> = held_after.iter().map(|span| span.as_micros().to_string()).collect();
    let figures = [
        ("requests", requests.to_string()),
        ("requests rejected", rejected.to_string()),
        ("changes", changes.to_string()),
        ("changes in force", took_hold.to_string()),
        ("changes refused", refused.to_string()),
        ("changes cancelled", cancelled.to_string()),
        ("requests by two policies", mixed.to_string()),
        ("requests by a policy never in force", nowhere.to_string()),
        ("changes overwritten", overwritten.to_string()),
        ("changes stuck", stuck.to_string()),
        ("messages", messages.to_string()),
        ("bytes", bytes.to_string()),
        ("in force after (us)", held_after.join(" ")),
        ("unfit at the end", unfit_at_end.to_string()),
        ("out at the end", out_at_end.to_string()),
        ("taken off the list", unlisted.to_string()),
        ("windows over the budget", windows_over.to_string()),
        ("in hand over the budget", in_hand_over.to_string()),
        ("granted over the budget", granted_over.to_string()),
        ("most granted (thousandths)", most_granted.to_string()),
        ("fills", filled.to_string()),
        ("fills allowed", allowed.to_string()),
        ("routers without fills", starved.to_string()),
    ];
    figures.map(|(name, figure)| format!("    {name}: {figure}\n")).concat()
}

/// What came of one day, under its seed and row.
fn section(seed: u64, row: (usize, &str, Option<f64>)) -> String {
    let (routers, faults, budget) = row;
    let budget = budget.map_or(String::new(), |budget| format!(", {budget} fills a second"));
    let figures = figures(&play(&day(seed, row)));
    format!("seed {seed}, {routers} routers, faults [{faults}]{budget}\n{figures}")
}

fn simulated_days() -> String {
    let days = DAYS.iter().flat_map(|row| SEEDS.map(|seed| (seed, *row)));
    std::thread::scope(|scope| {
        let running: Vec<_> = days.map(|(seed, row)| scope.spawn(move || section(seed, row))).collect();
        running.into_iter().map(|day| day.join().expect("a simulated day")).collect()
    })
}

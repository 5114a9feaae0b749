//! Compares the figures of simulated days of a fleet with the recorded file in `tests/golden/`. A seed always
//! produces the same day, so every figure must stay the same.
//!
//! To record the file again: `cargo test -p tindoor-testbed --test golden -- --ignored record`

#[path = "support/golden.rs"]
mod golden;

use golden::Recording;
use tindoor::time::Span;
use tindoor_testbed::simulation::{DayOutcome, DaySettings, FAULTS, simulate_day};

/// Simulates the recorded days and returns the files to compare.
fn recordings() -> Vec<Recording> {
    vec![("simulated_days.txt", simulated_days())]
}

#[test]
fn simulated_days_match_the_recorded_file() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded file"]
fn record() {
    golden::record(&recordings());
}

/// The recorded days: the number of routers, the names of the faults, and the fill budget in fills per
/// second. `None` if the day has no fill budget.
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

/// Returns the settings of one recorded day.
fn day(seed: u64, (routers, faults, budget): (usize, &str, Option<f64>)) -> DaySettings {
    let mut day = DaySettings::new(seed, routers);
    day.faults = match faults {
        "all" => FAULTS.iter().map(ToString::to_string).collect(),
        list => list.split(',').filter(|name| !name.is_empty()).map(str::to_string).collect(),
    };
    day.fault_duration = Span::secs(if budget.is_some() { 15.0 } else { 20.0 });
    day.fills_per_second = budget;
    day
}

/// Returns every figure of a day with its name in the recorded file. The names must not change.
fn figures(outcome: &DayOutcome) -> [(&'static str, String); 23] {
    let DayOutcome {
        requests,
        rejected,
        proposals,
        activated,
        proposals_rejected,
        proposals_cancelled,
        mixed_policy_requests,
        unknown_policy_requests,
        lost_updates,
        stuck_changes,
        messages,
        bytes,
        activation_delays,
        not_applicable_at_end,
        inactive_at_end,
        members_removed,
        rate_violations,
        concurrency_violations,
        overcommitted_samples,
        peak_commitment_permille,
        fills_admitted,
        fills_allowed,
        starved_routers,
    } = outcome;
    [
        ("requests", requests.to_string()),
        ("requests rejected", rejected.to_string()),
        ("changes", proposals.to_string()),
        ("changes in force", activated.to_string()),
        ("changes refused", proposals_rejected.to_string()),
        ("changes cancelled", proposals_cancelled.to_string()),
        ("requests by two policies", mixed_policy_requests.to_string()),
        ("requests by a policy never in force", unknown_policy_requests.to_string()),
        ("changes overwritten", lost_updates.to_string()),
        ("changes stuck", stuck_changes.to_string()),
        ("messages", messages.to_string()),
        ("bytes", bytes.to_string()),
        ("in force after (us)", microseconds(activation_delays)),
        ("unfit at the end", not_applicable_at_end.to_string()),
        ("out at the end", inactive_at_end.to_string()),
        ("taken off the list", members_removed.to_string()),
        ("windows over the budget", rate_violations.to_string()),
        ("in hand over the budget", concurrency_violations.to_string()),
        ("granted over the budget", overcommitted_samples.to_string()),
        ("most granted (thousandths)", peak_commitment_permille.to_string()),
        ("fills", fills_admitted.to_string()),
        ("fills allowed", fills_allowed.to_string()),
        ("routers without fills", starved_routers.to_string()),
    ]
}

/// Formats durations in microseconds, separated by spaces.
fn microseconds(spans: &[Span]) -> String {
    let spans: Vec<String> = spans.iter().map(|span| span.as_micros().to_string()).collect();
    spans.join(" ")
}

/// Simulates one day and formats its figures under a line with its seed and settings.
fn section(seed: u64, row: (usize, &str, Option<f64>)) -> String {
    let (routers, faults, budget) = row;
    let budget = budget.map_or(String::new(), |budget| format!(", {budget} fills a second"));
    let figures = figures(&simulate_day(&day(seed, row)));
    let figures = figures.map(|(name, figure)| format!("    {name}: {figure}\n")).concat();
    format!("seed {seed}, {routers} routers, faults [{faults}]{budget}\n{figures}")
}

/// Simulates all recorded days in parallel and returns the text of the recorded file.
fn simulated_days() -> String {
    let days = DAYS.iter().flat_map(|row| SEEDS.map(|seed| (seed, *row)));
    std::thread::scope(|scope| {
        let running: Vec<_> = days.map(|(seed, row)| scope.spawn(move || section(seed, row))).collect();
        running.into_iter().map(|day| day.join().expect("the simulation of a day does not panic")).collect()
    })
}

//! Many simulated days, one for each seed, on as many threads as there are cores.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::{Result, bail, ensure};
use serde_json::{Value, json};
use tindoor::time::Span;
use tindoor_consensus::SafetyChecks;

use crate::figures::Figures;
use crate::ways::{self, Way};
use crate::world::{Came, Day, FAULTS, play};

pub struct Plan {
    pub seed: u64,
    /// How long the faults of a day go on, in its own time.
    pub seconds: u64,
    pub days: u64,
    pub routers: usize,
    pub faults: String,
    pub without: Option<String>,
    /// Fills by the origin each second, where they are divided.
    pub budget: Option<f64>,
    /// Shows steps and faults as they come: of use for one day.
    pub shown: bool,
}

/// The faults named, each of which there is.
pub fn named(faults: &str, all: &[&str]) -> Result<Vec<String>> {
    let named: Vec<String> = match faults {
        "all" => all.iter().map(ToString::to_string).collect(),
        some => some.split(',').filter(|name| !name.is_empty()).map(str::to_string).collect(),
    };
    for name in &named {
        ensure!(all.contains(&name.as_str()), "no such fault: {name}; there are {}", all.join(", "));
    }
    Ok(named)
}

pub fn run(plan: &Plan) -> Result<Figures> {
    let mut first = Day::new(plan.seed, plan.routers);
    first.faults = named(&plan.faults, FAULTS)?;
    first.lasts = Span::secs(plan.seconds as f64);
    (first.budget, first.shown) = (plan.budget, plan.shown);
    first.guards = match plan.without.as_deref() {
        None => SafetyChecks::default(),
        Some("lease") => SafetyChecks { lease: false, ..SafetyChecks::default() },
        Some("staged") => SafetyChecks { staged_activation: false, ..SafetyChecks::default() },
        Some("compare") => SafetyChecks { compare_generation: false, ..SafetyChecks::default() },
        Some(guard) if plan.budget.is_some() => {
            SafetyChecks { quota: guard_of_shares(guard)?, ..SafetyChecks::default() }
        }
        Some(other) => bail!("no such guard: {other}"),
    };
    let begun = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let came = Arc::new(Mutex::new(Vec::<(u64, Came)>::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let nth = next.fetch_add(1, Ordering::Relaxed);
                    if nth >= plan.days {
                        return;
                    }
                    let day = Day { seed: plan.seed + nth, ..first.clone() };
                    let came_of = play(&day);
                    came.lock().unwrap().push((day.seed, came_of));
                }
            });
        }
    });
    let mut came = std::mem::take(&mut *came.lock().unwrap());
    came.sort_by_key(|(seed, _)| *seed);
    let mut figures = Figures::default();
    let sum = |what: fn(&Came) -> u64| came.iter().map(|(_, came)| what(came)).sum::<u64>();
    figures.requests = sum(|came| came.requests);
    figures.rejected = sum(|came| came.rejected);
    figures.done = figures.requests - figures.rejected;
    figures.rules_broken = sum(Came::broken);
    let failing: Vec<u64> =
        came.iter().filter(|(_, came)| came.broken() > 0).map(|(seed, _)| *seed).collect();
    let mut held: Vec<u64> =
        came.iter().flat_map(|(_, c)| &c.held_after).map(|s| s.as_micros() / 1000).collect();
    held.sort_unstable();
    let at = |part: f64| held.get((part * held.len() as f64) as usize).copied();
    let more: Vec<(&str, Value)> = vec![
        ("days", json!(came.len())),
        ("routers", json!(plan.routers)),
        ("changes", json!(sum(|came| came.changes))),
        ("took_hold", json!(sum(|came| came.took_hold))),
        ("refused", json!(sum(|came| came.refused))),
        ("called_off", json!(sum(|came| came.cancelled))),
        ("mixed_views", json!(sum(|came| came.mixed))),
        ("nowhere_views", json!(sum(|came| came.nowhere))),
        ("overwritten", json!(sum(|came| came.overwritten))),
        ("stuck", json!(sum(|came| came.stuck))),
        ("unfit_at_end", json!(sum(|came| came.unfit_at_end))),
        ("out_at_end", json!(sum(|came| came.out_at_end))),
        ("unlisted", json!(sum(|came| came.unlisted))),
        ("hold_ms_p50", json!(at(0.5))),
        ("hold_ms_p99", json!(at(0.99))),
        ("hold_ms_max", json!(held.last())),
        ("windows_over", json!(sum(|came| came.windows_over))),
        ("in_hand_over", json!(sum(|came| came.in_hand_over))),
        ("granted_over", json!(sum(|came| came.granted_over))),
        ("most_granted", json!(came.iter().map(|(_, c)| c.most_granted).max())),
        ("starved", json!(sum(|came| came.starved))),
        ("used_of_whole", json!(used(&came))),
        ("messages_each_second", json!(rate(&came, plan, |came| came.messages))),
        ("bytes_each_second", json!(rate(&came, plan, |came| came.bytes))),
        ("failing_seeds", json!(failing.iter().take(20).collect::<Vec<_>>())),
        ("seconds", json!(begun.elapsed().as_secs_f64())),
    ];
    figures.more.extend(more.into_iter().map(|(name, value)| (name.to_string(), value)));
    Ok(figures)
}

/// The same days by a simple way.
pub fn simple(plan: &Plan, way: Way) -> Result<Figures> {
    let mut first = Day::new(plan.seed, plan.routers);
    first.faults = named(&plan.faults, FAULTS)?;
    first.lasts = Span::secs(plan.seconds as f64);
    let came: Vec<ways::Came> =
        (0..plan.days).map(|nth| ways::play(&Day { seed: plan.seed + nth, ..first.clone() }, way)).collect();
    let sum = |what: fn(&ways::Came) -> u64| came.iter().map(what).sum::<u64>();
    let mut figures = Figures { requests: sum(|came| came.requests), ..Figures::default() };
    figures.rules_broken = sum(|came| came.mixed);
    let more: Vec<(&str, Value)> = vec![
        ("days", json!(plan.days)),
        ("changes", json!(sum(|came| came.changes))),
        ("took_hold", json!(sum(|came| came.took_hold))),
        ("mixed_views", json!(sum(|came| came.mixed))),
        ("apart_at_end", json!(sum(|came| came.apart_at_end))),
    ];
    figures.more.extend(more.into_iter().map(|(name, value)| (name.to_string(), value)));
    Ok(figures)
}

/// How much of what there was in calm times was used.
fn used(came: &[(u64, Came)]) -> f64 {
    let [filled, allowed] = [|came: &Came| came.filled, |came: &Came| came.allowed]
        .map(|of| came.iter().map(|(_, c)| of(c)).sum());
    filled / f64::max(allowed, 1.0)
}

/// All guards of budgets but the one named.
pub fn guard_of_shares(name: &str) -> Result<tindoor_quota::SafetyChecks> {
    let mut guards = tindoor_quota::SafetyChecks::default();
    match name {
        "lapse" => guards.count_until_expired = false,
        "epoch" => guards.wait_for_predecessor = false,
        "returned" => guards.count_until_returned = false,
        "burst" => guards.empty_bursts = false,
        "wakes" => guards.stop_at_expiry = false,
        "floor" => guards.reserve_guaranteed = false,
        other => bail!("no such guard: {other}"),
    }
    Ok(guards)
}

/// Of one router, in its own time.
fn rate(came: &[(u64, Came)], plan: &Plan, what: fn(&Came) -> u64) -> f64 {
    let sum: u64 = came.iter().map(|(_, came)| what(came)).sum();
    let terms = Day::new(0, plan.routers).terms;
    let calm = (terms.lease + terms.quorum_loss_grace) * 2.0 + terms.lease * 6.0;
    let seconds = plan.seconds as f64 + 2.0 + calm.as_secs();
    sum as f64 / (came.len().max(1) as f64 * plan.routers as f64 * seconds)
}

//! Detection of changes that cause failures. For each location and request class, a sequential probability
//! ratio test with stated error rates compares the fraction of requests served in time (the "fraction in
//! time") after the change with that before it.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::{OutcomeCount, OutcomeWindow, TrafficCell};

/// The bounds to which the test limits fractions in time, so that their logarithms are finite.
const FRACTION_BOUNDS: [f64; 2] = [0.001, 0.999];

/// The error rates and the sensitivity of the test.
#[derive(Clone, Copy, Debug)]
pub struct ProbationLimits {
    /// The probability that a harmless change is reverted, over all cells together.
    pub false_alarm_rate: f64,
    /// The probability that a harmful change is found harmless, in each cell.
    pub miss_rate: f64,
    /// The absolute decrease of the fraction in time that makes a change harmful. For example, 0.25 is a
    /// decrease from 0.9 to 0.65.
    pub harmful_loss: f64,
    /// The minimum number of requests in the baseline window for a cell to be tested.
    pub min_requests: u64,
    /// The maximum time that a change is on probation.
    pub max_duration: Span,
    /// How far before the change the baseline window begins.
    pub baseline_window: Span,
    /// How far before the change the recent window begins. This window shows faults that began just before
    /// the change.
    pub recent_window: Span,
}

impl Default for ProbationLimits {
    fn default() -> Self {
        Self {
            false_alarm_rate: 1e-4,
            miss_rate: 1e-2,
            harmful_loss: 0.25,
            min_requests: 30,
            max_duration: Span::secs(30.0),
            baseline_window: Span::secs(30.0),
            recent_window: Span::secs(3.0),
        }
    }
}

/// The generations before and after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationChange {
    /// The generation before the change.
    pub from: u64,
    /// The generation after the change.
    pub to: u64,
}

/// The result of a probation so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// There is no certain result yet.
    Undecided,
    /// The fraction in time decreased in a cell more than at the other locations, so that the change must be
    /// reverted.
    Harm {
        /// The location of the cell.
        location: u16,
        /// The request class of the cell.
        class: u16,
        /// The fraction in time before the change.
        before: f64,
        /// The fraction in time after the change.
        after: f64,
    },
    /// Requests fail, but at all locations alike or since before the change, so that the change is not known
    /// to be the cause.
    UnrelatedFault {
        /// Whether the fault began before the change.
        began_before: bool,
    },
    /// The change did no harm.
    NoHarm,
    /// There was too little traffic for a result.
    TooLittleTraffic,
}

/// The counts of a cell before a change.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// The counts of the baseline window.
    full: OutcomeCount,
    /// The counts of the recent window, just before the change.
    recent: OutcomeCount,
}

/// The counts of a cell before and after a change.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    cell: TrafficCell,
    baseline: Baseline,
    after: OutcomeCount,
}

/// The result of the test for one cell.
#[derive(Clone, Copy, Debug)]
enum CellFinding {
    Undecided,
    Harm(CellLoss),
    /// The cell fails, but so do the other locations.
    FaultElsewhereAsWell,
    /// The cell fails, but it began to fail before the change.
    FaultBegunBefore,
    NoHarm,
}

/// The fractions in time of a harmed cell.
#[derive(Clone, Copy, Debug)]
struct CellLoss {
    cell: TrafficCell,
    before: f64,
    after: f64,
}

impl CellLoss {
    fn amount(&self) -> f64 {
        self.before - self.after
    }
}

/// The combined findings of all cells with traffic after the change.
#[derive(Debug, Default)]
struct Findings {
    tested: usize,
    /// The harmed cell with the largest loss.
    worst: Option<CellLoss>,
    fault_elsewhere: bool,
    fault_began_before: bool,
    /// The number of cells without harm.
    unharmed: usize,
}

/// The log-likelihood ratios at which the test of a cell ends.
#[derive(Clone, Copy, Debug)]
struct Thresholds {
    harm: f64,
    no_harm: f64,
}

/// A change on probation.
#[derive(Debug)]
pub struct Probation {
    limits: ProbationLimits,
    change: GenerationChange,
    began: Moment,
    baselines: BTreeMap<TrafficCell, Baseline>,
}

impl Probation {
    /// Begins the probation of a change that took effect at `began`; `outcomes` has the counts before it.
    pub fn begin(
        limits: ProbationLimits,
        outcomes: &OutcomeWindow,
        change: GenerationChange,
        began: Moment,
    ) -> Self {
        let full = outcomes.totals(change.from, began - limits.baseline_window);
        let recent = outcomes.totals(change.from, began - limits.recent_window);
        let baseline = |(cell, full): (TrafficCell, OutcomeCount)| {
            (cell, Baseline { full, recent: recent.get(&cell).copied().unwrap_or_default() })
        };
        Self { limits, change, began, baselines: full.into_iter().map(baseline).collect() }
    }

    /// Returns the generations that are compared.
    pub fn change(&self) -> GenerationChange {
        self.change
    }

    /// Returns the result of the probation at `now`.
    pub fn assess(&self, outcomes: &OutcomeWindow, now: Moment) -> Assessment {
        let comparisons = self.comparisons(outcomes);
        let thresholds = self.thresholds(comparisons.len());
        let mut findings = Findings::default();
        for comparison in comparisons.iter().filter(|comparison| comparison.after.requests > 0) {
            findings.add(self.test_cell(comparison, &comparisons, thresholds));
        }
        if let Some(CellLoss { cell, before, after }) = findings.worst {
            return Assessment::Harm { location: cell.location, class: cell.class, before, after };
        }
        if now.since(self.began) < self.limits.max_duration {
            return Assessment::Undecided;
        }
        findings.conclusion()
    }

    /// Returns the counts of all cells that had enough requests before the change.
    fn comparisons(&self, outcomes: &OutcomeWindow) -> Vec<Comparison> {
        let after = outcomes.totals(self.change.to, self.began);
        let testable =
            self.baselines.iter().filter(|(_, baseline)| baseline.full.requests >= self.limits.min_requests);
        testable
            .map(|(cell, baseline)| Comparison {
                cell: *cell,
                baseline: *baseline,
                after: after.get(cell).copied().unwrap_or_default(),
            })
            .collect()
    }

    /// Returns Wald's thresholds, with the false alarm rate divided by the number of cells (Bonferroni
    /// correction).
    fn thresholds(&self, cells: usize) -> Thresholds {
        let ProbationLimits { false_alarm_rate, miss_rate, .. } = self.limits;
        Thresholds {
            harm: ((1.0 - miss_rate) / (false_alarm_rate / cells.max(1) as f64)).ln(),
            no_harm: (miss_rate / (1.0 - false_alarm_rate)).ln(),
        }
    }

    fn test_cell(&self, comparison: &Comparison, all: &[Comparison], thresholds: Thresholds) -> CellFinding {
        let Comparison { cell, baseline, after } = *comparison;
        // If a cell began to fail before the change, the test expects the fraction of the recent window.
        let full = baseline.full.fraction_in_time();
        let has_recent = baseline.recent.requests >= self.limits.min_requests / 3;
        let recent = if has_recent { baseline.recent.fraction_in_time().min(full) } else { full };
        let retained = retained_elsewhere(all, cell);
        let ratio = |expected: f64| self.log_likelihood_ratio(after, expected);
        let [ratio_to_recent, ratio_to_others] = [recent, recent * retained].map(ratio);
        if recent <= self.limits.harmful_loss {
            // The fraction was too low before the change for the change to cause a harmful loss.
            CellFinding::FaultBegunBefore
        } else if ratio_to_others >= thresholds.harm {
            CellFinding::Harm(CellLoss { cell, before: recent, after: after.fraction_in_time() })
        } else if ratio_to_recent >= thresholds.harm {
            CellFinding::FaultElsewhereAsWell
        } else if ratio(full) >= thresholds.harm {
            CellFinding::FaultBegunBefore
        } else if ratio_to_recent <= thresholds.no_harm {
            CellFinding::NoHarm
        } else {
            CellFinding::Undecided
        }
    }

    /// Returns the log-likelihood ratio of a count: how much more likely it is after a harmful loss than with
    /// the expected fraction in time.
    fn log_likelihood_ratio(&self, count: OutcomeCount, expected: f64) -> f64 {
        let [min, max] = FRACTION_BOUNDS;
        let [high, low] =
            [expected, expected - self.limits.harmful_loss].map(|fraction| fraction.clamp(min, max));
        let late = count.requests - count.in_time;
        count.in_time as f64 * (low / high).ln() + late as f64 * ((1.0 - low) / (1.0 - high)).ln()
    }
}

impl Findings {
    fn add(&mut self, finding: CellFinding) {
        self.tested += 1;
        match finding {
            CellFinding::Undecided => {}
            CellFinding::Harm(loss) => {
                if self.worst.is_none_or(|worst| loss.amount() > worst.amount()) {
                    self.worst = Some(loss);
                }
            }
            CellFinding::FaultElsewhereAsWell => self.fault_elsewhere = true,
            CellFinding::FaultBegunBefore => self.fault_began_before = true,
            CellFinding::NoHarm => self.unharmed += 1,
        }
    }

    /// Returns the result at the end of a probation in which no harmed cell was found.
    fn conclusion(&self) -> Assessment {
        if self.tested == 0 {
            Assessment::TooLittleTraffic
        } else if self.fault_elsewhere || self.fault_began_before {
            Assessment::UnrelatedFault { began_before: self.fault_began_before && !self.fault_elsewhere }
        } else if 2 * self.unharmed >= self.tested {
            Assessment::NoHarm
        } else {
            Assessment::TooLittleTraffic
        }
    }
}

/// Returns the fraction in time of the other locations after the change, relative to that before it and at
/// most 1. This is the median of the locations, all with the same weight, so that one other failing location
/// does not hide the loss of this one. Returns 1 if no other location has traffic.
fn retained_elsewhere(comparisons: &[Comparison], cell: TrafficCell) -> f64 {
    let others =
        comparisons.iter().filter(|other| other.cell.location != cell.location && other.after.requests > 0);
    let mut by_location = BTreeMap::<u16, (OutcomeCount, OutcomeCount)>::new();
    for other in others {
        let (before, after) = by_location.entry(other.cell.location).or_default();
        before.add(other.baseline.full);
        after.add(other.after);
    }
    let mut retained: Vec<f64> = by_location
        .values()
        .map(|(before, after)| (after.fraction_in_time() / before.fraction_in_time()).min(1.0))
        .collect();
    retained.sort_by(f64::total_cmp);
    retained.get(retained.len() / 2).copied().unwrap_or(1.0)
}

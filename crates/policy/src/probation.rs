//! Whether a change caused failures: the fraction of requests served in time after it compared with before
//! it, by location and request class, by a sequential probability ratio test with stated error rates.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::{OutcomeCount, OutcomeWindow, TrafficCell};

/// The fractions in time that the test compares are kept within these bounds, so that their logarithms are
/// finite.
const FRACTION_BOUNDS: [f64; 2] = [0.001, 0.999];

/// Error rates and sensitivity of the test.
#[derive(Clone, Copy, Debug)]
pub struct ProbationLimits {
    /// The probability that a harmless change is reverted, over all cells together.
    pub false_alarm_rate: f64,
    /// The probability that a harmful change is found harmless, in each cell.
    pub miss_rate: f64,
    /// The loss of the fraction in time that counts as harm.
    pub harmful_loss: f64,
    /// The requests that a cell needs before the change to be compared.
    pub min_requests: u64,
    /// The longest that a change is on probation.
    pub max_duration: Span,
    /// How far before the change the comparison reaches.
    pub baseline_window: Span,
    /// How far before the change a fault counts as just begun.
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

/// The generation before a change and the one after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationChange {
    /// The generation before.
    pub from: u64,
    /// The generation after.
    pub to: u64,
}

/// What is known of a change so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// Nothing is certain yet.
    Undecided,
    /// A cell lost what the others kept: the change has to be reverted.
    Harm {
        /// The location of the cell.
        location: u16,
        /// The request class of the cell.
        class: u16,
        /// The fraction in time before the change.
        before: f64,
        /// The fraction in time after it.
        after: f64,
    },
    /// Requests fail, but at all locations alike or since before the change: it is not known to be the cause.
    UnrelatedFault {
        /// Whether the fault began before the change.
        began_before: bool,
    },
    /// The change did no harm.
    NoHarm,
    /// There was too little traffic to tell.
    TooLittleTraffic,
}

/// The counts of a cell before a change.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Over the full window.
    full: OutcomeCount,
    /// Just before the change.
    recent: OutcomeCount,
}

/// The counts of a cell before and after a change.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    cell: TrafficCell,
    baseline: Baseline,
    after: OutcomeCount,
}

/// What the test says of a cell.
#[derive(Clone, Copy, Debug)]
enum CellFinding {
    Undecided,
    Harm(CellLoss),
    FaultElsewhereAsWell,
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
    fn lost(&self) -> f64 {
        self.before - self.after
    }
}

/// The findings of all cells with traffic.
#[derive(Debug, Default)]
struct Findings {
    tested: usize,
    worst: Option<CellLoss>,
    elsewhere_as_well: bool,
    begun_before: bool,
    cleared: usize,
}

/// The logarithms of the likelihood ratio at which the test decides.
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
    /// Begins to observe a change that took effect at `began`, with what was counted before.
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

    /// The generations that are compared.
    pub fn change(&self) -> GenerationChange {
        self.change
    }

    /// What is known at `now`.
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

    /// The cells with enough requests before the change.
    fn comparisons(&self, outcomes: &OutcomeWindow) -> Vec<Comparison> {
        let after = outcomes.totals(self.change.to, self.began);
        let known =
            self.baselines.iter().filter(|(_, baseline)| baseline.full.requests >= self.limits.min_requests);
        known
            .map(|(cell, baseline)| Comparison {
                cell: *cell,
                baseline: *baseline,
                after: after.get(cell).copied().unwrap_or_default(),
            })
            .collect()
    }

    /// Wald's thresholds. The rate of false alarms is divided among all cells (Bonferroni).
    fn thresholds(&self, cells: usize) -> Thresholds {
        let ProbationLimits { false_alarm_rate, miss_rate, .. } = self.limits;
        Thresholds {
            harm: ((1.0 - miss_rate) / (false_alarm_rate / cells.max(1) as f64)).ln(),
            no_harm: (miss_rate / (1.0 - false_alarm_rate)).ln(),
        }
    }

    fn test_cell(&self, comparison: &Comparison, all: &[Comparison], thresholds: Thresholds) -> CellFinding {
        let Comparison { cell, baseline, after } = *comparison;
        // A cell that began to fail before the change is compared with what was left of it then.
        let full = baseline.full.fraction_in_time();
        let has_recent = baseline.recent.requests >= self.limits.min_requests / 3;
        let recent = if has_recent { baseline.recent.fraction_in_time().min(full) } else { full };
        let retained = retained_elsewhere(all, cell);
        let test = |expected: f64| self.log_likelihood_ratio(after, expected);
        let [alone, with_others] = [recent, recent * retained].map(test);
        if recent <= self.limits.harmful_loss {
            // So little was in time before the change that it can't have caused a harmful loss.
            CellFinding::FaultBegunBefore
        } else if with_others >= thresholds.harm {
            CellFinding::Harm(CellLoss { cell, before: recent, after: after.fraction_in_time() })
        } else if alone >= thresholds.harm {
            CellFinding::FaultElsewhereAsWell
        } else if test(full) >= thresholds.harm {
            CellFinding::FaultBegunBefore
        } else if alone <= thresholds.no_harm {
            CellFinding::NoHarm
        } else {
            CellFinding::Undecided
        }
    }

    /// The logarithm of how much more likely a count is after a harmful loss than with the expected fraction
    /// in time.
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
                if self.worst.is_none_or(|worst| loss.lost() > worst.lost()) {
                    self.worst = Some(loss);
                }
            }
            CellFinding::FaultElsewhereAsWell => self.elsewhere_as_well = true,
            CellFinding::FaultBegunBefore => self.begun_before = true,
            CellFinding::NoHarm => self.cleared += 1,
        }
    }

    /// The conclusion at the end of a probation in which no cell was found harmed.
    fn conclusion(&self) -> Assessment {
        if self.tested == 0 {
            Assessment::TooLittleTraffic
        } else if self.elsewhere_as_well || self.begun_before {
            Assessment::UnrelatedFault { began_before: self.begun_before && !self.elsewhere_as_well }
        } else if 2 * self.cleared >= self.tested {
            Assessment::NoHarm
        } else {
            Assessment::TooLittleTraffic
        }
    }
}

/// The part of their fraction in time that the other locations retained, at most one: the median of the
/// locations, each counted alike, so that a single one that fails as well does not excuse the next.
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

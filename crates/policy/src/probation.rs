//! Whether a change did harm: requests done in time after it against before it, by location and request class, with a
//! sequential test of stated error rates.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};

/// Requests that ended, and those of them that were done in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    pub requests: u64,
    pub good: u64,
}

impl Count {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.good += other.good;
    }

    /// The share in time; a little below all, and above none, where there are few.
    fn quota(self) -> f64 {
        (self.good as f64 + 0.5) / (self.requests as f64 + 1.0)
    }
}

/// By location and request class.
pub type Cell = (u16, u16);

/// What may be said wrongly, and what counts as harm.
#[derive(Clone, Copy, Debug)]
pub struct ProbationLimits {
    /// How often a change that did no harm may be found harmful, over all cells together.
    pub false_alarm: f64,
    /// How often one that did harm may be found to have done none, in each cell.
    pub missed: f64,
    /// What counts as harm: so much of the share that was in time is lost.
    pub harm: f64,
    /// Requests of a cell before the change, below which nothing is known of it.
    pub least: u64,
    /// How long a change is on probation at most.
    pub lasts: Span,
    /// How far back "before" goes, and how far "just before".
    pub before: Span,
    pub just_before: Span,
}

impl Default for ProbationLimits {
    fn default() -> Self {
        Self {
            false_alarm: 1e-4,
            missed: 1e-2,
            harm: 0.25,
            least: 30,
            lasts: Span::secs(30.0),
            before: Span::secs(30.0),
            just_before: Span::secs(3.0),
        }
    }
}

/// By generation and cell.
type Slice = BTreeMap<(u64, Cell), Count>;

/// Counts of the last while, in slices of a second, each for the generation by which its requests were decided.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    slices: VecDeque<(Moment, Slice)>,
}

const SLICE: Span = Span::millis(1000);

impl OutcomeWindow {
    /// Takes in counts that a router told just now; forgets what is older than `kept`.
    pub fn add(&mut self, now: Moment, kept: Span, generation: u64, cell: Cell, count: Count) {
        if self.slices.back().is_none_or(|(at, _)| now.since(*at) >= SLICE) {
            self.slices.push_back((now, BTreeMap::new()));
        }
        while self.slices.front().is_some_and(|(at, _)| now.since(*at) > kept) {
            self.slices.pop_front();
        }
        if let Some((_, slice)) = self.slices.back_mut() {
            slice.entry((generation, cell)).or_default().add(count);
        }
    }

    /// The sum by cell of what one generation decided, told from `since` on.
    pub fn of(&self, generation: u64, since: Moment) -> BTreeMap<Cell, Count> {
        let mut sums = BTreeMap::<Cell, Count>::new();
        let slices = self.slices.iter().filter(|(at, _)| *at >= since);
        for ((of, cell), count) in slices.flat_map(|(_, slice)| slice) {
            if *of == generation {
                sums.entry(*cell).or_default().add(*count);
            }
        }
        sums
    }
}

/// What came of a probation.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// Nothing is sure yet.
    Open,
    /// A cell lost what others kept: the change is to be undone.
    Harm {
        location: u16,
        class: u16,
        before: f64,
        after: f64,
    },
    /// Lost as well, but everywhere alike, or it had begun before: not by the change, as far as can be told.
    Trouble {
        began_before: bool,
    },
    NoHarm,
    TooLittle,
}

/// One change on probation.
#[derive(Debug)]
pub struct Probation {
    bounds: ProbationLimits,
    old: u64,
    new: u64,
    began: Moment,
    /// What was in time before, by cell: over the longer while, and just before.
    before: BTreeMap<Cell, (Count, Count)>,
}

impl Probation {
    /// Begins at `began`, with what is known from before.
    pub fn begin(
        bounds: ProbationLimits,
        tally: &OutcomeWindow,
        [old, new]: [u64; 2],
        began: Moment,
    ) -> Self {
        let long = tally.of(old, began - bounds.before);
        let short = tally.of(old, began - bounds.just_before);
        let before = long
            .into_iter()
            .map(|(cell, count)| (cell, (count, short.get(&cell).copied().unwrap_or_default())));
        Self { bounds, old, new, began, before: before.collect() }
    }

    pub fn generation(&self) -> u64 {
        self.new
    }

    pub fn old(&self) -> u64 {
        self.old
    }

    /// What can be said now.
    pub fn judge(&self, tally: &OutcomeWindow, now: Moment) -> Assessment {
        let ProbationLimits { false_alarm, missed, harm, least, lasts, .. } = self.bounds;
        let after = tally.of(self.new, self.began);
        let over = now.since(self.began) >= lasts;
        let known: Vec<(Cell, Count, Count, Count)> = self
            .before
            .iter()
            .filter(|(_, (long, _))| long.requests >= least)
            .map(|(cell, (long, short))| (*cell, *long, *short, after.get(cell).copied().unwrap_or_default()))
            .collect();
        let mut tried = 0;
        let (mut worst, mut elsewhere, mut earlier, mut cleared) = (None, false, false, 0);
        // The rate of false alarms is for all cells together (Bonferroni).
        let upper = ((1.0 - missed) / (false_alarm / known.len().max(1) as f64)).ln();
        let lower = (missed / (1.0 - false_alarm)).ln();
        for (cell, long, short, count) in &known {
            if count.requests == 0 {
                continue;
            }
            tried += 1;
            // Where it had begun to fail before the change, that is what it is compared with.
            let was = long.quota();
            let just = if short.requests >= least / 3 { short.quota().min(was) } else { was };
            let test = |expected: f64| {
                let [high, low] = [expected, expected - harm].map(|quota| quota.clamp(0.001, 0.999));
                let bad = count.requests - count.good;
                count.good as f64 * (low / high).ln() + bad as f64 * ((1.0 - low) / (1.0 - high)).ln()
            };
            let others: Vec<_> =
                known.iter().filter(|other| other.0.0 != cell.0 && other.3.requests > 0).collect();
            let kept = kept_by(&others);
            let [alone, with_others] = [just, just * kept].map(test);
            if just <= harm {
                // There was nothing left to lose.
                earlier = true;
            } else if with_others >= upper {
                let lost = just - count.quota();
                if worst.is_none_or(|(most, _)| lost > most) {
                    worst = Some((lost, (*cell, just, count.quota())));
                }
            } else if alone >= upper {
                elsewhere = true;
            } else if test(was) >= upper {
                earlier = true;
            } else if alone <= lower {
                cleared += 1;
            }
        }
        if let Some((_, ((location, class), before, after))) = worst {
            return Assessment::Harm { location, class, before, after };
        }
        match () {
            () if !over => Assessment::Open,
            () if tried == 0 => Assessment::TooLittle,
            () if elsewhere || earlier => Assessment::Trouble { began_before: earlier && !elsewhere },
            () if 2 * cleared >= tried => Assessment::NoHarm,
            () => Assessment::TooLittle,
        }
    }
}

/// What the other locations kept of their share, at most all of it: each counts alike, and the middle one
/// decides, so that one that fails as well does not excuse the next.
fn kept_by(others: &[&(Cell, Count, Count, Count)]) -> f64 {
    let mut by_location = BTreeMap::<u16, (Count, Count)>::new();
    for ((location, _), long, _, after) in others {
        let sums = by_location.entry(*location).or_default();
        sums.0.add(*long);
        sums.1.add(*after);
    }
    let mut kept: Vec<f64> =
        by_location.values().map(|(before, after)| (after.quota() / before.quota()).min(1.0)).collect();
    kept.sort_by(f64::total_cmp);
    kept.get(kept.len() / 2).copied().unwrap_or(1.0)
}

//! Counts of ended requests, and of requests served in time, over a recent window.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};

/// The duration of one slice of the window.
const SLICE_LENGTH: Span = Span::millis(1000);

/// The number of requests that ended, and how many of them were served in time. Sent in postcard encoding, so
/// the order of fields must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// The number of requests that ended.
    pub requests: u64,
    /// The number of these requests that were served within their latency objective.
    pub in_time: u64,
}

impl OutcomeCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
    }

    /// Returns an estimate of the fraction of requests that were served in time. The estimate is never zero
    /// or one, however few requests there are.
    pub(crate) fn fraction_in_time(self) -> f64 {
        (self.in_time as f64 + 0.5) / (self.requests as f64 + 1.0)
    }
}

/// The requests of one class at one location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficCell {
    /// The location.
    pub location: u16,
    /// The request class.
    pub class: u16,
}

/// The counts of one slice by generation and cell.
type Slice = BTreeMap<(u64, TrafficCell), OutcomeCount>;

/// The counts of a recent window, in slices of one second. Each request is counted under the generation of
/// the policy that decided it.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    slices: VecDeque<(Moment, Slice)>,
}

impl OutcomeWindow {
    /// Adds a count that was reported at `now`, and drops slices that began more than `retention` ago.
    pub fn add(
        &mut self,
        now: Moment,
        retention: Span,
        generation: u64,
        cell: TrafficCell,
        count: OutcomeCount,
    ) {
        if self.slices.back().is_none_or(|(began, _)| now.since(*began) >= SLICE_LENGTH) {
            self.slices.push_back((now, BTreeMap::new()));
        }
        while self.slices.front().is_some_and(|(began, _)| now.since(*began) > retention) {
            self.slices.pop_front();
        }
        if let Some((_, slice)) = self.slices.back_mut() {
            slice.entry((generation, cell)).or_default().add(count);
        }
    }

    /// Returns the totals of one generation by cell, over the slices that began at `since` or later.
    pub fn totals(&self, generation: u64, since: Moment) -> BTreeMap<TrafficCell, OutcomeCount> {
        let mut totals = BTreeMap::<TrafficCell, OutcomeCount>::new();
        let slices = self.slices.iter().filter(|(began, _)| *began >= since);
        for ((slice_generation, cell), count) in slices.flat_map(|(_, slice)| slice) {
            if *slice_generation == generation {
                totals.entry(*cell).or_default().add(*count);
            }
        }
        totals
    }
}

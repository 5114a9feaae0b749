//! Recent demand for one key, including demand that was refused.

use std::collections::VecDeque;

use tindoor::time::{Moment, Span};

/// The number of slices of demand that are kept.
const SLICE_COUNT: usize = 8;

/// The length of a slice.
const SLICE_LENGTH: Span = Span::millis(250);

/// Demand within one slice.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    units: f64,
    peak_in_flight: u64,
}

/// The demand of the last two seconds, in slices of [`SLICE_LENGTH`].
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandWindow {
    slices: VecDeque<Slice>,
    newest_started_at: Moment,
}

impl DemandWindow {
    /// Whether no demand was ever recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Starts the slices that have become due by `now`, and drops the oldest ones.
    pub(crate) fn advance(&mut self, now: Moment) {
        if self.slices.is_empty()
            || now.since(self.newest_started_at) >= SLICE_LENGTH * (2 * SLICE_COUNT) as f64
        {
            self.slices.clear();
            self.slices.push_back(Slice::default());
            self.newest_started_at = now;
        }
        while now.since(self.newest_started_at) >= SLICE_LENGTH {
            self.newest_started_at = self.newest_started_at + SLICE_LENGTH;
            if self.slices.len() == SLICE_COUNT {
                self.slices.pop_front();
            }
            self.slices.push_back(Slice::default());
        }
    }

    /// Records demand for one unit. `in_flight` is the number of units that are in flight with it, or would
    /// be if it had not been refused.
    pub(crate) fn record(&mut self, now: Moment, in_flight: u64) {
        self.advance(now);
        let newest = self.slices.back_mut().expect("advance() starts a slice");
        newest.units += 1.0;
        newest.peak_in_flight = newest.peak_in_flight.max(in_flight);
    }

    /// The demand in units per second, over the complete slices. Returns the larger of the means of the newer
    /// and the older half, so that the rate rises fast and falls slowly.
    pub(crate) fn rate(&self) -> f64 {
        let complete = self.slices.len().saturating_sub(1);
        if complete == 0 {
            return self.slices.front().map_or(0.0, |slice| slice.units / SLICE_LENGTH.as_secs());
        }
        let half = (complete / 2).max(1);
        self.mean_rate(complete - half, complete).max(self.mean_rate(0, complete - half))
    }

    /// The mean demand of the slices `from..to`, in units per second.
    fn mean_rate(&self, from: usize, to: usize) -> f64 {
        let sum: f64 = self.slices.iter().take(to).skip(from).map(|slice| slice.units).sum();
        sum / (SLICE_LENGTH.as_secs() * (to - from).max(1) as f64)
    }

    /// The largest number of units in flight at once.
    pub(crate) fn peak_in_flight(&self) -> u64 {
        self.slices.iter().map(|slice| slice.peak_in_flight).max().unwrap_or_default()
    }
}

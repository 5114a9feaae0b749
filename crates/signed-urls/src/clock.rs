//! Estimates the offset of the router's clock from the times that independent sources report: the `Date`
//! headers of responses, and events of the change stream. The clock itself is never adjusted.

use std::collections::BTreeMap;

/// The number of samples kept for each source.
const SAMPLES_PER_SOURCE: usize = 16;
/// The maximum number of sources. Further sources are ignored.
const MAX_SOURCES: usize = 64;
/// The minimum number of sources for an estimate. Fewer sources can't outvote a wrong one.
const MIN_SOURCES: usize = 3;

/// The samples of one source. A sample is the reported time minus the local time of arrival, in milliseconds,
/// and is therefore too low by the transit delay.
#[derive(Default)]
struct TimeSource {
    offsets: Vec<i64>,
    /// The index of the sample to replace next.
    next: usize,
}

impl TimeSource {
    fn add(&mut self, offset: i64) {
        match self.offsets.get_mut(self.next) {
            Some(old) => *old = offset,
            None => self.offsets.push(offset),
        }
        self.next = (self.next + 1) % SAMPLES_PER_SOURCE;
    }

    /// Returns the highest offset: the sample with the shortest transit delay.
    fn least_delayed(&self) -> Option<i64> {
        self.offsets.iter().copied().max()
    }
}

/// The estimated offset of the router's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The offset to add to the local clock, in milliseconds.
    pub offset_ms: i64,
    /// The difference between the highest and the lowest offset in the middle half of the sources, in
    /// milliseconds.
    pub spread_ms: u64,
    /// The number of sources that the estimate is based on.
    pub sources: usize,
}

/// Estimates the offset of the local clock from the samples of several sources.
pub struct ClockEstimator {
    sources: BTreeMap<u64, TimeSource>,
    /// The largest plausible offset, in milliseconds. A larger estimate is discarded.
    max_offset_ms: u64,
}

impl ClockEstimator {
    /// Creates an estimator that discards offsets above `max_offset_ms`, in milliseconds.
    pub fn new(max_offset_ms: u64) -> Self {
        Self { sources: BTreeMap::new(), max_offset_ms }
    }

    /// Records the time that a source reported and the local time of its arrival, both in Unix milliseconds.
    pub fn record(&mut self, source: u64, reported_unix_ms: u64, local_unix_ms: u64) {
        if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(&source) {
            return;
        }
        let offset = i64::try_from(i128::from(reported_unix_ms) - i128::from(local_unix_ms)).unwrap_or(0);
        self.sources.entry(source).or_default().add(offset);
    }

    /// Returns the median offset of all sources. `None` if there are too few sources, or if the median
    /// exceeds the largest plausible offset. With three sources, a single wrong one can move the median only
    /// within the range of the two others.
    pub fn estimate(&self) -> Option<Estimate> {
        let mut offsets: Vec<i64> = self.sources.values().filter_map(TimeSource::least_delayed).collect();
        offsets.sort_unstable();
        if offsets.len() < MIN_SOURCES {
            return None;
        }
        let middle = offsets.len() / 2;
        let offset_ms = match offsets.len() % 2 {
            1 => offsets[middle],
            _ => offsets[middle - 1].midpoint(offsets[middle]),
        };
        let middle_half = &offsets[offsets.len() / 4..=(3 * offsets.len() / 4).min(offsets.len() - 1)];
        let spread_ms = middle_half.last()?.abs_diff(*middle_half.first()?);
        let sources = offsets.len();
        (offset_ms.unsigned_abs() <= self.max_offset_ms).then_some(Estimate { offset_ms, spread_ms, sources })
    }

    /// Returns the time at which to verify tokens: the local time corrected by the estimate, if there is one.
    /// The tolerated skew (in milliseconds) stays as configured.
    pub fn now(&self, local_unix_ms: u64, skew_ms: u64) -> crate::claims::VerificationTime {
        let offset = self.estimate().map_or(0, |estimate| estimate.offset_ms);
        crate::claims::VerificationTime { unix_ms: local_unix_ms.saturating_add_signed(offset), skew_ms }
    }
}

//! Estimates the offset of the router's clock from times that independent sources state: `Date` headers of
//! responses, and events of the change stream. It sets no clock.

use std::collections::BTreeMap;

/// Samples kept of one source.
const SAMPLES_PER_SOURCE: usize = 16;
/// Sources, at most; further ones are ignored.
const MAX_SOURCES: usize = 64;
/// Sources needed for an estimate: fewer can't outvote a wrong one.
const MIN_SOURCES: usize = 3;

/// Samples of one source: its time less ours on arrival, in milliseconds. Each is low by the time it took to
/// arrive.
#[derive(Default)]
struct TimeSource {
    offsets: Vec<i64>,
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

    /// The sample that took the shortest time to arrive.
    fn best(&self) -> Option<i64> {
        self.offsets.iter().copied().max()
    }
}

/// The estimated offset of the router's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// To be added to our clock, in milliseconds.
    pub offset_ms: i64,
    /// The spread of the middle half of the sources, in milliseconds.
    pub spread_ms: u64,
    /// How many sources it is taken from.
    pub sources: usize,
}

/// Estimates the clock's offset from samples by source.
pub struct ClockEstimator {
    sources: BTreeMap<u64, TimeSource>,
    /// A larger offset is not believed, in milliseconds.
    max_offset_ms: u64,
}

impl ClockEstimator {
    /// An estimator that believes offsets up to `max_offset_ms`.
    pub fn new(max_offset_ms: u64) -> Self {
        Self { sources: BTreeMap::new(), max_offset_ms }
    }

    /// Records the time that a source stated, and ours on arrival; both in Unix milliseconds.
    pub fn record(&mut self, source: u64, theirs: u64, ours: u64) {
        if self.sources.len() >= MAX_SOURCES && !self.sources.contains_key(&source) {
            return;
        }
        let offset = i64::try_from(i128::from(theirs) - i128::from(ours)).unwrap_or(0);
        self.sources.entry(source).or_default().add(offset);
    }

    /// The median of all sources; none while there are too few, or where it is too large. One wrong source
    /// among three can move it only between the two others.
    pub fn estimate(&self) -> Option<Estimate> {
        let mut offsets: Vec<i64> = self.sources.values().filter_map(TimeSource::best).collect();
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

    /// The time to verify tokens at: the estimate corrects it and never widens the configured skew.
    pub fn now(&self, ours_unix_ms: u64, skew_ms: u64) -> crate::claims::VerificationTime {
        let offset = self.estimate().map_or(0, |estimate| estimate.offset_ms);
        crate::claims::VerificationTime { unix_ms: ours_unix_ms.saturating_add_signed(offset), skew_ms }
    }
}

//! Points in the fleet's time, intervals that contain a clock reading, and the overlap of several intervals.

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

/// A point in the fleet's time, in microseconds; it may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FleetTime(pub i64);

impl FleetTime {
    /// The point in time that is `span` later.
    pub fn plus(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros() as i64))
    }
}

/// An interval that is certain to contain the true value of a clock reading, in microseconds. Both ends are
/// included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The smallest possible value, in microseconds.
    pub low: i64,
    /// The largest possible value, in microseconds.
    pub high: i64,
}

impl Interval {
    /// The middle of the interval, in microseconds.
    pub fn midpoint(self) -> i64 {
        self.low + (self.high - self.low) / 2
    }

    /// Half of the width, rounded up: the largest error of the midpoint.
    pub fn error_bound(self) -> Span {
        Span::micros(((self.high - self.low).max(0) as u64).div_ceil(2))
    }

    pub(crate) fn shifted(self, by: i64) -> Self {
        Self { low: self.low.saturating_add(by), high: self.high.saturating_add(by) }
    }

    pub(crate) fn widened(self, by: Span) -> Self {
        let by = by.as_micros() as i64;
        Self { low: self.low.saturating_sub(by), high: self.high.saturating_add(by) }
    }

    pub(crate) fn overlaps(self, other: Self) -> bool {
        self.low <= other.high && other.low <= self.high
    }
}

/// One end of an interval. If one interval begins where another ends, the begin sorts first, because both
/// intervals contain this point.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Edge {
    at: i64,
    kind: EdgeKind,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EdgeKind {
    Begin,
    End,
}

fn sorted_edges(intervals: &[Interval]) -> Vec<Edge> {
    let edges_of = |interval: &Interval| {
        [Edge { at: interval.low, kind: EdgeKind::Begin }, Edge { at: interval.high, kind: EdgeKind::End }]
    };
    let mut edges: Vec<Edge> = intervals.iter().flat_map(edges_of).collect();
    edges.sort_unstable();
    edges
}

/// Returns the part that the largest number of intervals have in common (Marzullo's algorithm). If there are
/// several such parts, returns the narrowest. `None` if there are no intervals.
pub(crate) fn narrowest_overlap(intervals: &[Interval]) -> Option<Interval> {
    let edges = sorted_edges(intervals);
    let (mut open_count, mut max_open) = (0usize, 0usize);
    let mut best: Option<Interval> = None;
    for (index, edge) in edges.iter().enumerate() {
        if edge.kind == EdgeKind::End {
            open_count -= 1;
            continue;
        }
        open_count += 1;
        let overlap = Interval { low: edge.at, high: edges[index + 1].at };
        let is_narrower = |known: Interval| overlap.high - overlap.low < known.high - known.low;
        if best.is_none_or(|known| open_count > max_open || open_count == max_open && is_narrower(known)) {
            (best, max_open) = (Some(overlap), open_count);
        }
    }
    best
}

/// Returns an interval that is certain to contain the true value if at most `faulty` of the intervals are
/// wrong. It spans all points that lie in at least `intervals.len() - faulty` intervals. `None` if there is
/// no such point, or if all intervals may be wrong.
///
/// The narrowest overlap would not be certain: an interval that is wrong by less than the width of the others
/// still overlaps them, and the true value lies outside of that overlap.
pub(crate) fn certain_overlap(intervals: &[Interval], faulty: usize) -> Option<Interval> {
    let required_count = intervals.len().checked_sub(faulty).filter(|required_count| *required_count > 0)?;
    let (mut open_count, mut low, mut high) = (0, None, None);
    for Edge { at, kind } in sorted_edges(intervals) {
        match kind {
            EdgeKind::Begin => {
                open_count += 1;
                low = low.or(Some(at).filter(|_| open_count >= required_count));
            }
            EdgeKind::End => {
                high = if open_count >= required_count { Some(at) } else { high };
                open_count -= 1;
            }
        }
    }
    Some(Interval { low: low?, high: high? })
}

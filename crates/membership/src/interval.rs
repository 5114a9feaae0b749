//! Points in the fleet's time, intervals that contain a clock reading, and what several intervals have in
//! common.

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

/// A point in the fleet's time, in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FleetTime(pub i64);

impl FleetTime {
    /// That much later.
    pub fn plus(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros() as i64))
    }
}

/// An interval that certainly contains a reading, both ends included; in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The earliest that the reading may be.
    pub low: i64,
    /// The latest that the reading may be.
    pub high: i64,
}

impl Interval {
    /// The middle of the interval.
    pub fn midpoint(self) -> i64 {
        self.low + (self.high - self.low) / 2
    }

    /// Half of the width: how far the midpoint may be off.
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

/// One end of an interval. At the same point begins sort before ends, as both intervals contain it.
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
    let ends = |interval: &Interval| {
        [Edge { at: interval.low, kind: EdgeKind::Begin }, Edge { at: interval.high, kind: EdgeKind::End }]
    };
    let mut edges: Vec<Edge> = intervals.iter().flat_map(ends).collect();
    edges.sort_unstable();
    edges
}

/// Where most of the intervals overlap (Marzullo): of several such parts the narrowest.
pub(crate) fn narrowest_overlap(intervals: &[Interval]) -> Option<Interval> {
    let edges = sorted_edges(intervals);
    let (mut open, mut most) = (0usize, 0usize);
    let mut best: Option<Interval> = None;
    for (index, edge) in edges.iter().enumerate() {
        if edge.kind == EdgeKind::End {
            open -= 1;
            continue;
        }
        open += 1;
        let part = Interval { low: edge.at, high: edges[index + 1].at };
        let is_narrower = |known: Interval| part.high - part.low < known.high - known.low;
        if best.is_none_or(|known| open > most || open == most && is_narrower(known)) {
            (best, most) = (Some(part), open);
        }
    }
    best
}

/// What certainly contains the true value though as many intervals as `faulty` may be wrong: everything that
/// at least all others have in common. The narrowest common part is not certain: an interval that is wrong by
/// less than the others are wide overlaps them, and where it does is where it is wrong.
pub(crate) fn certain_overlap(intervals: &[Interval], faulty: usize) -> Option<Interval> {
    let needed = intervals.len().checked_sub(faulty).filter(|needed| *needed > 0)?;
    let (mut open, mut low, mut high) = (0, None, None);
    for Edge { at, kind } in sorted_edges(intervals) {
        match kind {
            EdgeKind::Begin => {
                open += 1;
                low = low.or(Some(at).filter(|_| open >= needed));
            }
            EdgeKind::End => {
                high = if open >= needed { Some(at) } else { high };
                open -= 1;
            }
        }
    }
    Some(Interval { low: low?, high: high? })
}

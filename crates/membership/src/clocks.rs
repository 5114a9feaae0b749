//! The fleet's time, from the clocks of several processes: by round trips, with a bound that is sure as long as
//! no clock is off its rate by more than is stated, and robust against one that is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};

use crate::{Incarnation, Timings};

/// A point in the fleet's time, in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FleetTime(pub i64);

impl FleetTime {
    pub fn plus(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros() as i64))
    }
}

/// Something is surely within, both ends counted; in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    pub low: i64,
    pub high: i64,
}

impl Interval {
    pub fn midpoint(self) -> i64 {
        self.low + (self.high - self.low) / 2
    }

    /// Half of its width.
    pub fn error_bound(self) -> Span {
        Span::micros(((self.high - self.low).max(0) as u64).div_ceil(2))
    }

    fn moved(self, by: i64) -> Self {
        Self { low: self.low.saturating_add(by), high: self.high.saturating_add(by) }
    }

    fn widened(self, by: Span) -> Self {
        let by = by.as_micros() as i64;
        Self { low: self.low.saturating_sub(by), high: self.high.saturating_add(by) }
    }

    fn meets(self, other: Self) -> bool {
        self.low <= other.high && other.low <= self.high
    }
}

/// What one source last said of a clock: that clock less ours, when it was heard.
#[derive(Clone, Copy, Debug)]
struct Reading {
    by: Incarnation,
    off: Interval,
    at: Moment,
}

/// One process's clock, as several sources tell of it.
#[derive(Debug, Default)]
struct Readings {
    last: Vec<Reading>,
    /// How many answers in a row agreed since two did not.
    agreed: u32,
}

/// Sources that are kept for one clock, answers that must agree after two did not, and answers of one giver of
/// which nothing agrees until the own clock is blamed.
const SOURCES: usize = 5;
const SETTLED: u32 = 2;
const DOUBTS: usize = 4;

impl Readings {
    /// Where most of what was said meets, widened by what clocks may have drifted since.
    fn best(&self, terms: &Timings, now: Moment) -> Option<Interval> {
        if self.agreed < SETTLED {
            return None;
        }
        let aged = |r: &Reading| r.off.widened(terms.drift(now.since(r.at)));
        meeting(&self.last.iter().map(aged).collect::<Vec<_>>()).map(|(interval, _)| interval)
    }

    /// Whether a reading agrees with what was known; nothing was, if none.
    fn agrees(&self, terms: &Timings, reading: &Reading) -> Option<bool> {
        let aged = |r: &Reading| r.off.widened(terms.drift(reading.at.since(r.at)));
        let known = meeting(&self.last.iter().map(aged).collect::<Vec<_>>());
        known.map(|(known, _)| known.meets(reading.off))
    }

    fn add(&mut self, terms: &Timings, reading: Reading) {
        if self.agrees(terms, &reading).unwrap_or(true) {
            self.agreed += 1;
        } else {
            // That clock has jumped, or who told of it: nothing older is of use any more.
            self.last.clear();
            self.agreed = 1;
        }
        self.last.retain(|known| known.by != reading.by);
        if self.last.len() == SOURCES {
            let oldest = (0..SOURCES).min_by_key(|at| self.last[*at].at).expect("there are some");
            self.last.remove(oldest);
        }
        self.last.push(reading);
    }
}

/// Where the most of the intervals meet, and how many do (Marzullo): the narrowest such part.
fn meeting(intervals: &[Interval]) -> Option<(Interval, usize)> {
    let mut edges: Vec<(i64, i32)> =
        intervals.iter().flat_map(|interval| [(interval.low, -1), (interval.high, 1)]).collect();
    // At one point an interval begins before another ends: both hold it.
    edges.sort_unstable();
    let (mut open, mut best): (usize, Option<(Interval, usize)>) = (0, None);
    for (at, edge) in edges.iter().enumerate() {
        if edge.1 > 0 {
            open -= 1;
            continue;
        }
        open += 1;
        let part = Interval { low: edge.0, high: edges[at + 1].0 };
        if best.is_none_or(|(known, most)| {
            open > most || open == most && part.high - part.low < known.high - known.low
        }) {
            best = Some((part, open));
        }
    }
    best
}

/// Where something surely is of which these are told, though as many of them as may be are wrong: all of what at least
/// the others hold in common, not the narrowest part of it. One that is wrong by less than the others are wide meets
/// them, and what it meets is where it is wrong.
fn surely(intervals: &[Interval], wrong: usize) -> Option<Interval> {
    let need = intervals.len().checked_sub(wrong).filter(|need| *need > 0)?;
    // Whoever ends last but so many holds the end in common with all before it; and so at the other end.
    let mut edges: Vec<(i64, i32)> =
        intervals.iter().flat_map(|interval| [(interval.low, -1), (interval.high, 1)]).collect();
    edges.sort_unstable();
    let (mut open, mut low, mut high) = (0, None, None);
    for (at, edge) in edges {
        if edge < 0 {
            open += 1;
            low = low.or(Some(at).filter(|_| open >= need));
        } else {
            high = if open >= need { Some(at) } else { high };
            open -= 1;
        }
    }
    Some(Interval { low: low?, high: high? })
}

/// The clocks of other processes, as read from here.
#[derive(Debug, Default)]
pub struct ClockSync {
    own: Incarnation,
    known: BTreeMap<Incarnation, Readings>,
    /// Who gave the last answers of which nothing agreed with what was known.
    doubts: Vec<Incarnation>,
    /// When the own clock has jumped, and nothing has agreed since.
    upset: Option<Moment>,
}

impl ClockSync {
    pub fn new(own: Incarnation) -> Self {
        Self { own, ..Self::default() }
    }

    /// What an answer tells: its giver's clock at the answer, and other clocks less the giver's. `asked` and
    /// `answered` are ours. The giver's own is told as 0 to 0.
    pub fn record_exchange(
        &mut self,
        terms: &Timings,
        by: Incarnation,
        [asked, answered]: [Moment; 2],
        theirs: i64,
        offsets: &[(Incarnation, Interval)],
    ) {
        let own = self.own;
        let seen = |(clock, less_giver): &(Incarnation, Interval)| {
            let off = Interval {
                low: less_giver.low.saturating_add(theirs).saturating_sub(micros(answered)),
                high: less_giver.high.saturating_add(theirs).saturating_sub(micros(asked)),
            };
            (*clock != own && off.low <= off.high).then_some((*clock, Reading { by, off, at: answered }))
        };
        let read: Vec<(Incarnation, Reading)> = offsets.iter().filter_map(seen).collect();
        let known = read.iter().filter_map(|(clock, reading)| self.known.get(clock)?.agrees(terms, reading));
        let (agreed, not) =
            known.fold((0, 0), |(a, n), agrees| (a + u32::from(agrees), n + u32::from(!agrees)));
        if not > 0 && agreed == 0 {
            // Nothing of it agrees: its giver's clock has jumped, or ours. A second giver, or the same one for
            // long, tells which: one liar must not put all others out.
            self.doubts.push(by);
            if self.doubts.len() < DOUBTS && self.doubts.iter().all(|giver| *giver == by) {
                return;
            }
            self.reset_after_jump(answered);
        } else if agreed > 0 {
            self.doubts.clear();
            self.upset = None;
        }
        for (clock, reading) in read {
            self.known.entry(clock).or_default().add(terms, reading);
        }
    }

    /// Forgets all readings: the own clock is known to have jumped.
    pub fn reset_after_jump(&mut self, now: Moment) {
        self.known.clear();
        self.doubts.clear();
        self.upset = Some(now);
    }

    /// Keeps only these: memory stays bounded.
    pub fn retain(&mut self, which: impl Fn(Incarnation) -> bool) {
        self.known.retain(|clock, _| which(*clock));
    }

    /// What to tell others: that clock less ours, now.
    pub fn offset_of(&self, terms: &Timings, clock: Incarnation, now: Moment) -> Option<Interval> {
        if clock == self.own {
            return Some(Interval { low: 0, high: 0 });
        }
        self.known.get(&clock)?.best(terms, now)
    }

    /// The fleet's time now, from the agreed clocks: `agreed` says of each how far it is ahead of the fleet's
    /// time. It is surely within as long as no more than one of them is wrong, or of five no more than two; a lone clock
    /// is believed. None unless more than half of them can be read and all but as many meet.
    pub fn fleet_time(
        &self,
        terms: &Timings,
        agreed: &BTreeMap<Incarnation, i64>,
        now: Moment,
    ) -> Option<Interval> {
        let ahead =
            |(clock, ahead): (&Incarnation, &i64)| Some(self.offset_of(terms, *clock, now)?.moved(-ahead));
        let offsets: Vec<Interval> = agreed.iter().filter_map(ahead).collect();
        if 2 * offsets.len() <= agreed.len() {
            return None;
        }
        let wrong = if agreed.len() == 1 { 0 } else { (offsets.len().saturating_sub(1) / 2).max(1) };
        surely(&offsets, wrong).map(|off| off.moved(micros(now)))
    }

    /// How far that clock is off what is agreed of it, where that is surely more than the bound.
    pub fn deviation_of(
        &self,
        terms: &Timings,
        agreed: &BTreeMap<Incarnation, i64>,
        clock: Incarnation,
        now: Moment,
    ) -> Option<i64> {
        let time = self.fleet_time(terms, agreed, now)?;
        let reads = self.offset_of(terms, clock, now)?.moved(micros(now));
        let off = reads.midpoint() - time.midpoint() - agreed.get(&clock)?;
        let sure = time.error_bound() + reads.error_bound();
        (off.unsigned_abs() > sure.as_micros().max(terms.clock_bound.as_micros() / 8)).then_some(off)
    }

    /// Since when the own clock is not to be trusted, by that clock; none where it is.
    pub fn untrusted_since(&self) -> Option<Moment> {
        self.upset
    }
}

fn micros(moment: Moment) -> i64 {
    moment.since(Moment::default()).as_micros() as i64
}

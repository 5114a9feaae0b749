//! The fleet's time, from the clocks of several processes. Clocks are read by round trips, with an error
//! bound that is certain as long as no clock is off its rate by more than is stated, and that is robust
//! against one that is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};

use crate::interval::{certain_overlap, narrowest_overlap};
use crate::{Incarnation, Interval, Timings};

/// Sources that are kept for one clock.
const MAX_SOURCES: usize = 5;

/// Readings in a row that must agree after two did not.
const READINGS_TO_SETTLE: u32 = 2;

/// Contradicting exchanges with one peer after which the local clock is distrusted.
const CONTRADICTIONS_OF_ONE_PEER: usize = 4;

/// The part of the clock bound that a clock may deviate from what is agreed of it.
const MAX_DEVIATION_BOUND_DIVISOR: u64 = 8;

/// How far one clock is ahead of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockOffset {
    /// Whose clock.
    pub clock: Incarnation,
    /// How far it is ahead.
    pub offset: Interval,
}

/// What a peer reported of clocks in one round trip.
#[derive(Clone, Copy, Debug)]
pub struct ClockExchange<'a> {
    /// The peer.
    pub peer: Incarnation,
    /// When the request was sent, by the local clock.
    pub requested_at: Moment,
    /// When the response arrived, by the local clock.
    pub answered_at: Moment,
    /// The peer's clock at the response, in microseconds.
    pub peer_clock_micros: i64,
    /// Clocks that the peer can read, relative to its own; its own as 0 to 0.
    pub offsets: &'a [ClockOffset],
}

/// What one source last reported of a clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    source: Incarnation,
    /// How far the clock was ahead of the local one.
    offset: Interval,
    at: Moment,
}

impl Reading {
    /// The offset, widened by what clocks may have drifted since.
    fn at(&self, timings: &Timings, now: Moment) -> Interval {
        self.offset.widened(timings.drift(now.since(self.at)))
    }
}

/// One process's clock, as several sources report it.
#[derive(Debug, Default)]
struct ClockReadings {
    latest: Vec<Reading>,
    /// How many readings in a row agreed since two did not.
    agreeing: u32,
}

impl ClockReadings {
    /// How far the clock is ahead of the local one, once its readings have settled.
    fn offset(&self, timings: &Timings, now: Moment) -> Option<Interval> {
        self.unsettled_offset(timings, now).filter(|_| self.agreeing >= READINGS_TO_SETTLE)
    }

    fn unsettled_offset(&self, timings: &Timings, now: Moment) -> Option<Interval> {
        let current: Vec<Interval> = self.latest.iter().map(|reading| reading.at(timings, now)).collect();
        narrowest_overlap(&current)
    }

    /// Whether a reading agrees with what was known; none where nothing was known.
    fn agrees(&self, timings: &Timings, reading: &Reading) -> Option<bool> {
        let known = self.unsettled_offset(timings, reading.at)?;
        Some(known.overlaps(reading.offset))
    }

    fn add(&mut self, timings: &Timings, reading: Reading) {
        if self.agrees(timings, &reading).unwrap_or(true) {
            self.agreeing += 1;
        } else {
            // That clock has jumped, or the source's: no older reading is of use any more.
            self.latest.clear();
            self.agreeing = 1;
        }
        self.latest.retain(|known| known.source != reading.source);
        if self.latest.len() == MAX_SOURCES {
            let oldest = (0..MAX_SOURCES).min_by_key(|index| self.latest[*index].at);
            self.latest.remove(oldest.expect("the list is full"));
        }
        self.latest.push(reading);
    }
}

/// The clocks of other processes, as read from here.
#[derive(Debug, Default)]
pub struct ClockSync {
    own: Incarnation,
    readings: BTreeMap<Incarnation, ClockReadings>,
    /// The peers of the last exchanges that contradicted all that was known.
    contradicting: Vec<Incarnation>,
    /// When the local clock has jumped; none once an exchange agreed since.
    untrusted_since: Option<Moment>,
}

impl ClockSync {
    /// The clocks as read by that process.
    pub fn new(own: Incarnation) -> Self {
        Self { own, ..Self::default() }
    }

    /// Records what a peer reported of clocks.
    pub fn record_exchange(&mut self, timings: &Timings, exchange: &ClockExchange<'_>) {
        let readings = self.readings_of(exchange);
        let known =
            |(clock, reading): &(Incarnation, Reading)| self.readings.get(clock)?.agrees(timings, reading);
        let agreeing: Vec<bool> = readings.iter().filter_map(known).collect();
        if agreeing.contains(&true) {
            self.contradicting.clear();
            self.untrusted_since = None;
        } else if !agreeing.is_empty() && !self.handle_contradiction(exchange) {
            return;
        }
        for (clock, reading) in readings {
            self.readings.entry(clock).or_default().add(timings, reading);
        }
    }

    fn readings_of(&self, exchange: &ClockExchange<'_>) -> Vec<(Incarnation, Reading)> {
        let ClockExchange { peer, requested_at, answered_at, peer_clock_micros, offsets } = *exchange;
        let reading = |relative: &ClockOffset| {
            let peer_ahead = relative.offset.shifted(peer_clock_micros);
            let offset = Interval {
                low: peer_ahead.low.saturating_sub(micros(answered_at)),
                high: peer_ahead.high.saturating_sub(micros(requested_at)),
            };
            let is_usable = relative.clock != self.own && offset.low <= offset.high;
            is_usable.then_some((relative.clock, Reading { source: peer, offset, at: answered_at }))
        };
        offsets.iter().filter_map(reading).collect()
    }

    /// Nothing of an exchange agrees with what was known: the peer's clock has jumped, or the local one. A
    /// second peer, or the same one repeatedly, tells which: one faulty peer must not make all others
    /// distrusted. Returns whether the local clock is to blame.
    fn handle_contradiction(&mut self, exchange: &ClockExchange<'_>) -> bool {
        self.contradicting.push(exchange.peer);
        let is_one_peer = self.contradicting.iter().all(|peer| *peer == exchange.peer);
        if is_one_peer && self.contradicting.len() < CONTRADICTIONS_OF_ONE_PEER {
            return false;
        }
        self.reset_after_jump(exchange.answered_at);
        true
    }

    /// Discards all readings: the local clock has jumped.
    pub fn reset_after_jump(&mut self, now: Moment) {
        self.readings.clear();
        self.contradicting.clear();
        self.untrusted_since = Some(now);
    }

    /// Keeps only the readings of these clocks, to bound the memory.
    pub fn retain(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.readings.retain(|clock, _| is_needed(*clock));
    }

    /// How far that clock is ahead of the local one.
    pub fn offset_of(&self, timings: &Timings, clock: Incarnation, now: Moment) -> Option<Interval> {
        if clock == self.own {
            return Some(Interval { low: 0, high: 0 });
        }
        self.readings.get(&clock)?.offset(timings, now)
    }

    /// The fleet's time now. `agreed` has the clocks that define it, and how far each is ahead of it. The
    /// interval is certain as long as no more than one of the clocks is wrong, or of five no more than two; a
    /// single clock is trusted. None unless more than half of the clocks can be read, and enough of them
    /// overlap.
    pub fn fleet_time(
        &self,
        timings: &Timings,
        agreed: &BTreeMap<Incarnation, i64>,
        now: Moment,
    ) -> Option<Interval> {
        let offset = |(clock, ahead): (&Incarnation, &i64)| {
            Some(self.offset_of(timings, *clock, now)?.shifted(-ahead))
        };
        let offsets: Vec<Interval> = agreed.iter().filter_map(offset).collect();
        if 2 * offsets.len() <= agreed.len() {
            return None;
        }
        let faulty = if agreed.len() == 1 { 0 } else { (offsets.len().saturating_sub(1) / 2).max(1) };
        certain_overlap(&offsets, faulty).map(|offset| offset.shifted(micros(now)))
    }

    /// How far that clock deviates from what is agreed of it, where that is certainly more than is tolerated.
    pub fn deviation_of(
        &self,
        timings: &Timings,
        agreed: &BTreeMap<Incarnation, i64>,
        clock: Incarnation,
        now: Moment,
    ) -> Option<i64> {
        let time = self.fleet_time(timings, agreed, now)?;
        let reading = self.offset_of(timings, clock, now)?.shifted(micros(now));
        let deviation = reading.midpoint() - time.midpoint() - agreed.get(&clock)?;
        let uncertainty: Span = time.error_bound() + reading.error_bound();
        let tolerated = timings.clock_bound.as_micros() / MAX_DEVIATION_BOUND_DIVISOR;
        (deviation.unsigned_abs() > uncertainty.as_micros().max(tolerated)).then_some(deviation)
    }

    /// Since when the local clock is not to be trusted, by that clock; none where it is trusted.
    pub fn untrusted_since(&self) -> Option<Moment> {
        self.untrusted_since
    }
}

fn micros(moment: Moment) -> i64 {
    moment.as_micros() as i64
}

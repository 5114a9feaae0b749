//! The fleet's time, computed from the clocks of several processes.
//!
//! A router reads the clocks of other processes by round trips. The error bound of a reading is certain as
//! long as no clock's rate deviates by more than the configured drift, and the fleet's time is correct even
//! if one clock deviates more.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};

use crate::interval::{certain_overlap, narrowest_overlap};
use crate::{Incarnation, Interval, Timings};

/// The largest number of sources from which readings of one clock are kept.
const MAX_SOURCES: usize = 5;

/// The number of consecutive readings that must agree before a clock is used, at first and after a
/// contradiction.
const READINGS_TO_SETTLE: u32 = 2;

/// The number of consecutive contradicting exchanges with a single peer after which the local clock is
/// distrusted.
const CONTRADICTIONS_OF_ONE_PEER: usize = 4;

/// The tolerated deviation of a clock from its agreed offset is the clock bound divided by this number.
const DEVIATION_TOLERANCE_DIVISOR: u64 = 8;

/// How far one clock is ahead of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockOffset {
    /// The process whose clock this is.
    pub clock: Incarnation,
    /// How far this clock is ahead of the other, in microseconds.
    pub offset: Interval,
}

/// The clock readings that a peer reported in one round trip.
#[derive(Clone, Copy, Debug)]
pub struct ClockExchange<'a> {
    /// The peer that answered.
    pub peer: Incarnation,
    /// When the request was sent, by the local clock.
    pub requested_at: Moment,
    /// When the response arrived, by the local clock.
    pub answered_at: Moment,
    /// The peer's clock when it sent the response, in microseconds.
    pub peer_clock_micros: i64,
    /// The clocks that the peer can read, relative to its own clock. Its own clock is included, with an
    /// offset from 0 to 0.
    pub offsets: &'a [ClockOffset],
}

/// The last reading of a clock that one source reported.
#[derive(Clone, Copy, Debug)]
struct Reading {
    source: Incarnation,
    /// How far the clock was ahead of the local clock, in microseconds.
    offset: Interval,
    at: Moment,
}

impl Reading {
    /// The offset at `now`: the offset of the reading, widened by the possible clock drift since then.
    fn offset_at(&self, timings: &Timings, now: Moment) -> Interval {
        self.offset.widened(timings.drift(now.since(self.at)))
    }
}

/// The readings of one process's clock, from several sources.
#[derive(Debug, Default)]
struct ClockReadings {
    /// The latest reading of each source.
    latest: Vec<Reading>,
    /// The number of consecutive readings that agree, since the last contradiction.
    agreeing: u32,
}

impl ClockReadings {
    /// Returns how far the clock is ahead of the local clock. `None` until enough consecutive readings agree.
    fn offset(&self, timings: &Timings, now: Moment) -> Option<Interval> {
        self.unsettled_offset(timings, now).filter(|_| self.agreeing >= READINGS_TO_SETTLE)
    }

    fn unsettled_offset(&self, timings: &Timings, now: Moment) -> Option<Interval> {
        let current: Vec<Interval> =
            self.latest.iter().map(|reading| reading.offset_at(timings, now)).collect();
        narrowest_overlap(&current)
    }

    /// Whether a reading agrees with the earlier readings. `None` if there are no earlier readings.
    fn agrees(&self, timings: &Timings, reading: &Reading) -> Option<bool> {
        let known = self.unsettled_offset(timings, reading.at)?;
        Some(known.overlaps(reading.offset))
    }

    /// Adds a reading. If it contradicts the earlier readings, discards those.
    fn add(&mut self, timings: &Timings, reading: Reading) {
        if self.agrees(timings, &reading).unwrap_or(true) {
            self.agreeing += 1;
        } else {
            // Either this clock or the source's clock has jumped, so the older readings are no longer usable.
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

/// The clocks of other processes, as read by this process.
#[derive(Debug, Default)]
pub struct ClockSync {
    own: Incarnation,
    readings: BTreeMap<Incarnation, ClockReadings>,
    /// The peers of the latest consecutive exchanges in which no reading agreed with the earlier ones.
    contradicting_peers: Vec<Incarnation>,
    /// When a jump of the local clock was detected. `None` if no jump was detected, or once an exchange has
    /// agreed with the readings since then.
    untrusted_since: Option<Moment>,
}

impl ClockSync {
    /// Creates the state of the process `own`, without any readings.
    pub fn new(own: Incarnation) -> Self {
        Self { own, ..Self::default() }
    }

    /// Records the readings that a peer reported. Discards them if none of them agrees with the earlier
    /// readings, unless the local clock is considered to have jumped.
    pub fn record_exchange(&mut self, timings: &Timings, exchange: &ClockExchange<'_>) {
        let readings = self.readings_of(exchange);
        let agrees =
            |(clock, reading): &(Incarnation, Reading)| self.readings.get(clock)?.agrees(timings, reading);
        let agreements: Vec<bool> = readings.iter().filter_map(agrees).collect();
        if agreements.contains(&true) {
            self.contradicting_peers.clear();
            self.untrusted_since = None;
        } else if !agreements.is_empty() && !self.handle_contradiction(exchange) {
            return;
        }
        for (clock, reading) in readings {
            self.readings.entry(clock).or_default().add(timings, reading);
        }
    }

    /// Converts the offsets of an exchange, which are relative to the peer's clock, to offsets from the local
    /// clock.
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

    /// Handles an exchange in which no reading agrees with the earlier readings: either the peer's clock or
    /// the local clock has jumped. Returns whether the local clock is considered to have jumped.
    ///
    /// The local clock is considered to have jumped once a second peer contradicts as well, or after
    /// [`CONTRADICTIONS_OF_ONE_PEER`] contradictions of the same peer. A single faulty peer must not make the
    /// readings of all others distrusted.
    fn handle_contradiction(&mut self, exchange: &ClockExchange<'_>) -> bool {
        self.contradicting_peers.push(exchange.peer);
        let is_one_peer = self.contradicting_peers.iter().all(|peer| *peer == exchange.peer);
        if is_one_peer && self.contradicting_peers.len() < CONTRADICTIONS_OF_ONE_PEER {
            return false;
        }
        self.reset_after_jump(exchange.answered_at);
        true
    }

    /// Discards all readings after a jump of the local clock.
    pub fn reset_after_jump(&mut self, now: Moment) {
        self.readings.clear();
        self.contradicting_peers.clear();
        self.untrusted_since = Some(now);
    }

    /// Keeps only the readings of clocks for which `is_needed` returns true, to bound memory use.
    pub fn retain(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.readings.retain(|clock, _| is_needed(*clock));
    }

    /// Returns how far `clock` is ahead of the local clock, in microseconds. `None` if there are no settled
    /// readings of it.
    pub fn offset_of(&self, timings: &Timings, clock: Incarnation, now: Moment) -> Option<Interval> {
        if clock == self.own {
            return Some(Interval { low: 0, high: 0 });
        }
        self.readings.get(&clock)?.offset(timings, now)
    }

    /// Returns the fleet's time now, in microseconds. `agreed` holds the clocks that define the fleet's time,
    /// and how many microseconds each of them is ahead of it.
    ///
    /// The interval is certain if at most one of the clocks is wrong, or at most two of five; a single clock
    /// is trusted. `None` unless more than half of the clocks can be read and enough of their readings
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

    /// Returns how far `clock` deviates from its agreed offset, in microseconds. `None` if the deviation is
    /// not certain to be more than is tolerated, or can't be computed.
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
        let tolerated = timings.clock_bound.as_micros() / DEVIATION_TOLERANCE_DIVISOR;
        (deviation.unsigned_abs() > uncertainty.as_micros().max(tolerated)).then_some(deviation)
    }

    /// Returns since when the local clock is not trusted, measured by the local clock. `None` if it is
    /// trusted.
    pub fn untrusted_since(&self) -> Option<Moment> {
        self.untrusted_since
    }
}

fn micros(moment: Moment) -> i64 {
    moment.as_micros() as i64
}

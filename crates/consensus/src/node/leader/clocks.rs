//! The leader's maintenance of the fleet's time: chooses the clocks that define it and proposes their
//! offsets.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Interval};
use tindoor_policy::LogEntry;

use super::super::Node;

/// The maximum error bound of a reading from which a clock's offset is agreed, as a fraction of the clock
/// bound.
const PRECISION_BOUND_PART: f64 = 0.25;

/// How long the fleet's time must be uncertain before it is redefined, in leases.
const RESET_LEASES: f64 = 2.0;

impl Node {
    /// Maintains the offsets of clocks from the fleet's time. If there are none yet, the leader's clock
    /// defines the fleet's time. Changes at most one clock at a time, and none while a decided change is not
    /// yet activated, because its activation time is given in the fleet's time.
    pub(super) fn reconcile_clocks(&mut self, now: Moment) {
        if self.agreed.has_decided_change() || self.is_decision_uncommitted() || !self.is_member() {
            return;
        }
        let own = self.identity.incarnation;
        if self.agreed.clocks.is_empty() {
            return self.propose_clock(now, own, Some(0));
        }
        let precision = self.timings.clock_bound * PRECISION_BOUND_PART;
        let Some(time) = self.fleet_time(now).filter(|time| time.error_bound() <= precision) else {
            return self.handle_uncertain_time(now);
        };
        if let Some(leadership) = &mut self.leadership {
            leadership.time_uncertain_since = None;
        }
        let lease = self.timings.lease;
        let chosen = self.clock_members(|member| member == own || self.silence(member, now) < lease);
        let changed = chosen.iter().find_map(|clock| Some((*clock, self.clock_update(*clock, time, now)?)));
        if let Some((clock, offset_micros)) = changed {
            return self.propose_clock(now, clock, Some(offset_micros));
        }
        self.remove_unneeded_clock(now, &chosen);
    }

    /// Proposes the offset of a clock, in microseconds, or its removal if `None`.
    fn propose_clock(&mut self, now: Moment, clock: Incarnation, offset_micros: Option<i64>) {
        self.propose(now, LogEntry::Clock { incarnation: clock, offset_us: offset_micros });
    }

    /// Redefines the fleet's time by the leader's clock once it has been uncertain for `RESET_LEASES`,
    /// because most of its clocks are gone or two of them contradict each other. This is safe because it is
    /// only called while no decided change depends on the fleet's time.
    fn handle_uncertain_time(&mut self, now: Moment) {
        let uncertain_since = self.leadership.as_ref().and_then(|leadership| leadership.time_uncertain_since);
        if uncertain_since.is_some_and(|since| now.since(since) > self.timings.lease * RESET_LEASES) {
            let own = self.identity.incarnation;
            let others: Vec<Incarnation> =
                self.agreed.clocks.keys().copied().filter(|clock| *clock != own).collect();
            for clock in others {
                self.propose_clock(now, clock, None);
            }
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.time_uncertain_since.get_or_insert(now);
        }
    }

    /// Returns the new offset of a clock from the fleet's time, in microseconds. `None` if the agreed offset
    /// need not change or the clock can't be read precisely enough.
    fn clock_update(&self, clock: Incarnation, time: Interval, now: Moment) -> Option<i64> {
        let precision = self.timings.clock_bound * PRECISION_BOUND_PART;
        let offset = self.clocks.offset_of(&self.timings, clock, now)?;
        if offset.error_bound() > precision {
            return None;
        }
        match self.agreed.clocks.get(&clock) {
            None => {
                let local = now.as_micros() as i64;
                Some(offset.midpoint() + local - time.midpoint())
            }
            Some(agreed) => {
                let deviation = self.clocks.deviation_of(&self.timings, &self.agreed.clocks, clock, now)?;
                Some(agreed + deviation)
            }
        }
    }

    /// Proposes to remove one clock that is not chosen, once all chosen clocks define the fleet's time.
    fn remove_unneeded_clock(&mut self, now: Moment, chosen: &[Incarnation]) {
        let clocks = &self.agreed.clocks;
        if !chosen.iter().all(|clock| clocks.contains_key(clock)) {
            return;
        }
        if let Some(clock) = clocks.keys().copied().find(|clock| !chosen.contains(clock)) {
            self.propose_clock(now, clock, None);
        }
    }
}

//! The leader's part in the fleet's time: which clocks define it, and how far each is ahead of it.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Interval};
use tindoor_policy::LogEntry;

use super::super::Node;

/// The part of the clock bound within which a clock must be read to be set against the fleet's time.
const PRECISION_BOUND_PART: f64 = 0.25;

/// Leases for which the fleet's time must be uncertain until it is defined anew.
const RESET_LEASES: f64 = 2.0;

impl Node {
    /// Sets the clocks against the fleet's time. The leader's clock, as the first, defines it. At most one
    /// clock is changed at once, and none while a change is decided: its activation time is given in the
    /// fleet's time.
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
        if let Some((clock, ahead)) = changed {
            return self.propose_clock(now, clock, Some(ahead));
        }
        self.remove_unneeded_clock(now, &chosen);
    }

    fn propose_clock(&mut self, now: Moment, clock: Incarnation, ahead: Option<i64>) {
        self.propose(now, LogEntry::Clock { incarnation: clock, offset_us: ahead });
    }

    /// Defines the fleet's time anew by the leader's clock, once it was uncertain for long: most of its
    /// clocks are gone, or two contradict each other. No change is decided now that depends on it.
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

    /// How far that clock is ahead of the fleet's time, if that is to be agreed anew.
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

    /// Removes one clock that is not chosen, once all that are chosen define the fleet's time.
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

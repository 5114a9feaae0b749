//! The fleet's time and the choice of the clocks that define it.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Interval};

use super::Node;

/// The minimum number of clocks that define the fleet's time, if the fleet has enough members. With three
/// clocks, a wrong clock is outvoted by the other two.
const FLEET_CLOCKS: usize = 3;

impl Node {
    /// Returns the fleet's time now. `None` if it is not known.
    pub fn fleet_time(&self, now: Moment) -> Option<Interval> {
        self.clocks.fleet_time(&self.timings, &self.agreed.clocks, now)
    }

    /// Handles a jump of the local clock by discarding everything that was derived from it.
    pub fn clock_jumped(&mut self, now: Moment) {
        self.clocks.reset_after_jump(now);
        self.lease.expire();
        self.quota.clock_jumped(now);
        self.leadership_confirmed = None;
        self.status_requests.clear();
        self.read_requests.clear();
        // Restarts the waiting periods that are measured by the local clock.
        for at in self.first_observed.values_mut() {
            *at = now;
        }
        if let Some(decision) = &mut self.observed_decision {
            decision.at = now;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.clock_jumped(now);
        }
    }

    /// Returns whether the local clock is not trusted. After a jump, it is trusted again once other clocks
    /// agree with what was read since the jump. If no other clock defines the fleet's time, it is trusted
    /// again after one lease, when every lease from before the jump has expired.
    pub(super) fn is_clock_untrusted(&self, now: Moment) -> bool {
        let has_others = || self.agreed.clocks.keys().any(|clock| *clock != self.identity.incarnation);
        let is_recent = |since| now.since(since) < self.timings.lease;
        self.clocks.untrusted_since().is_some_and(|since| is_recent(since) || has_others())
    }

    /// Returns the members whose clocks may be chosen to define the fleet's time: the voters and, if there
    /// are too few voters, also the first members.
    pub(super) fn clock_candidates(&self) -> impl Iterator<Item = Incarnation> {
        let too_few = self.agreed.voters.len() < FLEET_CLOCKS;
        let count = if too_few { 2 * FLEET_CLOCKS } else { 0 };
        self.voters().chain(self.agreed.members.members().keys().copied().take(count))
    }

    /// Returns whether a member's clock defines the fleet's time or may be chosen to define it.
    pub(super) fn is_clock_candidate(&self, member: Incarnation) -> bool {
        self.agreed.clocks.contains_key(&member)
            || self.clock_candidates().any(|candidate| candidate == member)
    }

    /// Returns the members whose clocks should define the fleet's time: all voters that are members, and
    /// other reachable candidates up to a total of `FLEET_CLOCKS`.
    pub(super) fn clock_members(&self, is_reachable: impl Fn(Incarnation) -> bool) -> Vec<Incarnation> {
        let mut chosen: Vec<Incarnation> =
            self.voters().filter(|voter| self.agreed.members.contains(*voter)).collect();
        let missing = FLEET_CLOCKS.saturating_sub(chosen.len());
        let others: Vec<Incarnation> =
            self.clock_candidates().filter(|candidate| !chosen.contains(candidate)).collect();
        chosen.extend(others.into_iter().filter(|other| is_reachable(*other)).take(missing));
        chosen
    }
}

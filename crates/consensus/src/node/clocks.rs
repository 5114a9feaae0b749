//! The fleet's time, and which clocks define it.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Interval};

use super::Node;

/// Clocks that define the fleet's time, as far as there are members to have them: of three, one that is wrong
/// is outvoted.
const FLEET_CLOCKS: usize = 3;

impl Node {
    /// The fleet's time now.
    pub fn fleet_time(&self, now: Moment) -> Option<Interval> {
        self.clocks.fleet_time(&self.timings, &self.agreed.clocks, now)
    }

    /// The local clock has jumped: nothing that was derived from it is valid any more.
    pub fn clock_jumped(&mut self, now: Moment) {
        self.clocks.reset_after_jump(now);
        self.lease.expire();
        self.quota.clock_jumped(now);
        self.leadership_confirmed = None;
        self.status_requests.clear();
        self.read_requests.clear();
        // Waits by this clock begin anew.
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

    /// Whether the local clock is not to be trusted: until other clocks agree with what was read since it
    /// jumped, or, where no other clock defines the fleet's time, until every lease from before that has
    /// expired.
    pub(super) fn is_clock_untrusted(&self, now: Moment) -> bool {
        let has_others = || self.agreed.clocks.keys().any(|clock| *clock != self.identity.incarnation);
        let is_recent = |since| now.since(since) < self.timings.lease;
        self.clocks.untrusted_since().is_some_and(|since| is_recent(since) || has_others())
    }

    /// Members whose clocks may come to define the fleet's time: the voters, and where those are too few also
    /// the first members.
    pub(super) fn clock_candidates(&self) -> impl Iterator<Item = Incarnation> {
        let too_few = self.agreed.voters.len() < FLEET_CLOCKS;
        let count = if too_few { 2 * FLEET_CLOCKS } else { 0 };
        self.voters().chain(self.agreed.members.members().keys().copied().take(count))
    }

    pub(super) fn is_clock_candidate(&self, member: Incarnation) -> bool {
        self.agreed.clocks.contains_key(&member)
            || self.clock_candidates().any(|candidate| candidate == member)
    }

    /// Members whose clocks are to define the fleet's time: all voters, and reachable others up to so many.
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

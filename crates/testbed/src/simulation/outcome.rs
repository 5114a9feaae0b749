//! The result of a simulated day.

use tindoor::time::Span;

/// The counts and violations of a simulated day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DayOutcome {
    /// Requests that reached a running process.
    pub requests: u64,
    /// Requests rejected because the router had no active policy.
    pub rejected: u64,
    /// Policy changes that were proposed.
    pub proposals: u64,
    /// Proposals that were activated.
    pub activated: u64,
    /// Proposals that were rejected.
    pub proposals_rejected: u64,
    /// Proposals that were accepted and then cancelled.
    pub proposals_cancelled: u64,
    /// Violations: requests that an old policy decided after the first request decided by a newer policy.
    /// Time differences up to the largest allowed difference between two clocks are not counted.
    pub mixed_policy_requests: u64,
    /// Violations: requests decided by a policy that was never activated.
    pub unknown_policy_requests: u64,
    /// Violations: proposals activated though their base generation was no longer in force.
    pub lost_updates: u64,
    /// Violations: changes that were still undecided at the end, long after the last fault.
    pub stuck_changes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Bytes of the messages sent; extrapolated from a sample in large fleets.
    pub bytes: u64,
    /// The times from each activated proposal to the first request decided by its policy.
    pub activation_delays: Vec<Span>,
    /// Routers that rejected requests at the end because they could not apply the policy in force.
    pub not_applicable_at_end: u64,
    /// Violations: routers that rejected requests at the end for any other reason.
    pub inactive_at_end: u64,
    /// Members removed from the member list, as counted by the router that saw the most removals.
    pub members_removed: u64,
    /// Violations: fills that exceeded the rate and burst of the budget.
    pub rate_violations: u64,
    /// Violations: fills that exceeded the limit of concurrent fills when they started.
    pub concurrency_violations: u64,
    /// Violations: samples in which all running routers together could have exceeded the budget.
    pub overcommitted_samples: u64,
    /// The largest fraction of the budget that all running routers together could have spent, in thousandths.
    pub peak_commitment_permille: u64,
    /// Fills admitted in periods without disturbance.
    pub fills_admitted: f64,
    /// Fills that the budget allowed in periods without disturbance.
    pub fills_allowed: f64,
    /// Routers that had demand but were not admitted a single fill in a period without disturbance, summed
    /// over these periods.
    pub starved_routers: u64,
}

impl DayOutcome {
    /// The number of violations; 0 on a correct day.
    pub fn violations(&self) -> u64 {
        let quota = self.rate_violations + self.concurrency_violations + self.overcommitted_samples;
        self.mixed_policy_requests
            + self.unknown_policy_requests
            + self.lost_updates
            + self.stuck_changes
            + self.inactive_at_end
            + quota
    }
}

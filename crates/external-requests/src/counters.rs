//! What happened so far, for the log at the end and for tests.

/// Events since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Calls.
    pub calls: u64,
    /// Decisions issued.
    pub decisions: u64,
    /// Reports that belonged to a decision in flight.
    pub reports: u64,
    /// Calls ended by the proxy before their decision.
    pub abandoned_before_decision: u64,
    /// Calls ended by the proxy after their decision.
    pub abandoned_after_decision: u64,
    /// Decisions that expired without a report.
    pub unreported: u64,
    /// Reports of no decision in flight: late, duplicate, or for another request.
    pub unmatched_reports: u64,
    /// Calls superseded by a later attempt of their request.
    pub superseded: u64,
    /// Decisions that the proxy says it used too late.
    pub used_late: u64,
    /// Decisions withdrawn before they were sent.
    pub withdrawn: u64,
    /// Decisions that had been sent when a change made them stale.
    pub stale: u64,
    /// Calls that waited for another request with their idempotency key.
    pub waited_for_key: u64,
    /// Calls answered from a stored result.
    pub replayed: u64,
    /// Calls rejected for lack of capacity, or for a correlation id in use or finished.
    pub rejected: u64,
}

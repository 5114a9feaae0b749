//! Event counters, for the log line at shutdown and for tests.

/// The number of events of each kind since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Calls received.
    pub calls: u64,
    /// Decisions issued.
    pub decisions: u64,
    /// Reports that matched a decision in flight.
    pub reports: u64,
    /// Calls that ended before they got a decision.
    pub abandoned_before_decision: u64,
    /// Calls that ended after they got a decision, without a report.
    pub abandoned_after_decision: u64,
    /// Decisions that expired without a report.
    pub unreported: u64,
    /// Reports that matched no decision in flight: late, duplicate, or for another request.
    pub unmatched_reports: u64,
    /// Calls superseded by a call for a later attempt of the same request.
    pub superseded: u64,
    /// Decisions that the proxy used too late, according to its report.
    pub used_late: u64,
    /// Decisions withdrawn before they were sent to the proxy.
    pub withdrawn: u64,
    /// Decisions withdrawn because their attempt could no longer begin in time.
    pub lapsed: u64,
    /// Decisions that became stale after they had been sent, so that they could not be withdrawn.
    pub stale: u64,
    /// Calls that waited for another request with the same idempotency key.
    pub waited_for_key: u64,
    /// Calls answered with the stored result of a write that was already served.
    pub replayed: u64,
    /// Calls rejected because the table had no capacity, or because the correlation id belonged to a request
    /// in flight or finished recently.
    pub rejected: u64,
}

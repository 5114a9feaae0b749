//! The capacity and time limits of the table, and the checks that a test may disable.

use tindoor::time::Span;

/// The capacity and time limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The maximum number of requests in flight.
    pub max_requests: usize,
    /// The maximum number of stored idempotency keys together with the stored ids of non-idempotent requests that
    /// may have run. No further request that needs one starts while that many are stored.
    pub max_idempotency_keys: usize,
    /// The maximum number of other finished requests whose replies are stored. The one that expires first is dropped
    /// for a further one.
    pub max_finished: usize,
    /// The maximum number of calls that wait for the end of one request with the same idempotency key.
    pub max_waiters: usize,
    /// How long a proxy may hold a decision before it uses it. At most half of the drain grace or the purge
    /// grace, whichever is shorter: if a drain or a purge starts right after the decision, the decision is
    /// still used within the grace.
    pub use_within: Span,
    /// How long after the timeout of an attempt its report is still accepted.
    pub report_grace: Span,
    /// How long a request is kept for its next call after an attempt or a call of it has ended.
    pub retry_window: Span,
    /// How long after its first possible run a write may run again under the same idempotency key.
    pub idempotency_window: Span,
    /// The longest time that a client may wait for one request, including the client's own retries.
    pub max_request_time: Span,
}

/// Checks that a test may disable, to show that it detects the faults that the checks prevent. All checks are
/// enabled in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EnabledChecks {
    /// Only one request at a time runs for each idempotency key.
    pub idempotency_keys: bool,
    /// Calls with the same correlation id belong to the same request.
    pub correlation_ids: bool,
    /// Decisions that become stale before they are sent are withdrawn.
    pub withdrawal: bool,
    /// Decisions expire if the proxy does not report on them in time.
    pub leases: bool,
}

impl Default for EnabledChecks {
    fn default() -> Self {
        Self { idempotency_keys: true, correlation_ids: true, withdrawal: true, leases: true }
    }
}

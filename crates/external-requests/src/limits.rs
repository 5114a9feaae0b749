//! The sizes and times that the table keeps to, and the checks that a test may disable.

use tindoor::time::Span;

/// Every size and time that the table keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Requests in flight at once.
    pub max_requests: usize,
    /// Idempotency keys stored at once.
    pub max_idempotency_keys: usize,
    /// Correlation ids of finished requests, stored at once.
    pub max_finished: usize,
    /// Calls that wait for the end of one request with their idempotency key.
    pub max_waiters: usize,
    /// How long a proxy may hold a decision before it uses it: at most half the shorter of the drain grace
    /// and the purge grace, so that a change that comes right after the decision still finds its use within
    /// the grace.
    pub use_within: Span,
    /// How long after its timeout an attempt may still be reported.
    pub report_grace: Span,
    /// How long a request is kept for its next call once an attempt of it has ended.
    pub retry_window: Span,
    /// How long a write that may have run may run again, by its idempotency key.
    pub idempotency_window: Span,
    /// The longest that a client may wait for one request, its own retries counted.
    pub max_request_time: Span,
}

/// Checks that a test may disable, to see that the fault they prevent is detected without them. All are
/// enabled in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EnabledChecks {
    /// One request at a time for each idempotency key.
    pub idempotency_keys: bool,
    /// Calls with one correlation id are one request.
    pub correlation_ids: bool,
    /// Decisions that became stale before they were sent are withdrawn.
    pub withdrawal: bool,
    /// Decisions expire if they are not reported.
    pub leases: bool,
}

impl Default for EnabledChecks {
    fn default() -> Self {
        Self { idempotency_keys: true, correlation_ids: true, withdrawal: true, leases: true }
    }
}

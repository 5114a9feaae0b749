//! A local retry budget, which successful requests replenish.

/// The largest credit, in retries. A new budget starts with this credit.
const MAX_CREDIT: f64 = 10.0;

/// A retry budget that one router's own successes replenish: each success adds credit, and each retry costs
/// one. If nothing succeeds during a fault, retries therefore stop and add no load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Credit that each success adds, in retries.
    per_success: f64,
    /// Retries that are allowed now; may be fractional.
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget, to which each success adds `per_success` retries.
    pub fn new(per_success: f64) -> Self {
        Self { per_success, credit: MAX_CREDIT }
    }

    /// Returns a budget with the same credit, to which each success adds `per_success` retries.
    pub fn with_per_success(self, per_success: f64) -> Self {
        Self { per_success, ..self }
    }

    /// Whether one more retry is allowed.
    pub fn can_afford(&self) -> bool {
        self.credit >= 1.0
    }

    /// Returns the budget after a retry.
    pub fn after_retry(self) -> Self {
        Self { credit: (self.credit - 1.0).max(0.0), ..self }
    }

    /// Returns the budget after a success.
    pub fn after_success(self) -> Self {
        Self { credit: (self.credit + self.per_success).min(MAX_CREDIT), ..self }
    }
}

//! A local budget for retries that successes refill.

/// The most credit that is kept, in retries; a new budget starts with it.
const MAX_CREDIT: f64 = 10.0;

/// How many retries one router's own successes allow: each success adds credit, each retry takes one. During
/// a fault in which nothing succeeds, retries therefore stop and don't add load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    per_success: f64,
    credit: f64,
}

impl RetryBudget {
    /// A full budget to which each success adds `per_success` retries.
    pub fn new(per_success: f64) -> Self {
        Self { per_success, credit: MAX_CREDIT }
    }

    /// The same credit with another number of retries for each success.
    pub fn with_per_success(self, per_success: f64) -> Self {
        Self { per_success, ..self }
    }

    /// Whether one more retry is allowed.
    pub fn can_afford(&self) -> bool {
        self.credit >= 1.0
    }

    /// The budget after a retry.
    pub fn after_retry(self) -> Self {
        Self { credit: (self.credit - 1.0).max(0.0), ..self }
    }

    /// The budget after a success.
    pub fn after_success(self) -> Self {
        Self { credit: (self.credit + self.per_success).min(MAX_CREDIT), ..self }
    }
}

//! The report of an experiment, with the keys that all experiments share.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// The report of an experiment. The fields are its keys.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub done: u64,
    /// Requests that were rejected before they ran, so that they are safe to retry.
    pub rejected: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests without a final answer.
    pub answered_none: u64,
    /// Answers in excess of one per request.
    pub answered_twice: u64,
    /// Repeated runs of requests with the same idempotency key.
    pub saves_repeated: u64,
    /// The largest number of attempts of a single request.
    pub most_attempts: u64,
    /// Attempts that reached an endpoint, or named it as their source, after its drain took effect.
    pub sent_after_drain: u64,
    /// Responses served from a copy after its purge took effect.
    pub served_after_purge: u64,
    /// Number of violations; 0 if the experiment passed.
    pub rules_broken: u64,
    /// Further values of this experiment, by their keys in the report.
    #[serde(flatten)]
    pub more: BTreeMap<String, Value>,
}

impl Figures {
    /// Sets `rules_broken` to the sum of all violations: the common counts that must be 0, one if a request
    /// had more than `attempt_limit` attempts, and the experiment's own violations.
    pub fn judge(&mut self, attempt_limit: u64, other_violations: u64) {
        self.rules_broken = self.answered_none
            + self.answered_twice
            + self.saves_repeated
            + self.sent_after_drain
            + self.served_after_purge
            + u64::from(self.most_attempts > attempt_limit)
            + other_violations;
    }

    /// Formats the report as text, with one line for each key.
    pub fn table(&self) -> String {
        let value = serde_json::to_value(self).expect("figures serialize to JSON");
        let rows = value.as_object().into_iter().flatten();
        rows.map(|(name, value)| format!("{name:>24}  {value}\n")).collect()
    }
}

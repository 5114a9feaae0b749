//! The report of an experiment, under the keys that all experiments share.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// What an experiment counted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub done: u64,
    /// Requests that were rejected: harmless to retry.
    pub rejected: u64,
    /// Requests that failed: they may have run.
    pub failed: u64,
    /// Requests without a final answer.
    pub answered_none: u64,
    /// Answers beyond the one that each request gets.
    pub answered_twice: u64,
    /// Idempotency keys whose request ran more than once.
    pub saves_repeated: u64,
    /// The most attempts of one request.
    pub most_attempts: u64,
    /// Attempts sent to an endpoint after its drain took effect.
    pub sent_after_drain: u64,
    /// Responses from a copy after its purge took effect.
    pub served_after_purge: u64,
    /// The sum of what must be 0.
    pub rules_broken: u64,
    /// What only this experiment counts, by its key in the report.
    #[serde(flatten)]
    pub more: BTreeMap<String, Value>,
}

impl Figures {
    /// Sums what must be 0: the common counts, attempts beyond `attempt_limit`, and the experiment's own
    /// violations.
    pub fn judge(&mut self, attempt_limit: u64, other_violations: u64) {
        self.rules_broken = self.answered_none
            + self.answered_twice
            + self.saves_repeated
            + self.sent_after_drain
            + self.served_after_purge
            + u64::from(self.most_attempts > attempt_limit)
            + other_violations;
    }

    /// The report as text, one line for each key.
    pub fn table(&self) -> String {
        let value = serde_json::to_value(self).expect("plain figures");
        let rows = value.as_object().into_iter().flatten();
        rows.map(|(name, value)| format!("{name:>24}  {value}\n")).collect()
    }
}

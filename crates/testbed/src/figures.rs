//! What an experiment counted, under the keys that all experiments share.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub requests: u64,
    pub done: u64,
    pub rejected: u64,
    pub failed: u64,
    pub answered_none: u64,
    pub answered_twice: u64,
    pub saves_repeated: u64,
    pub most_attempts: u64,
    pub sent_after_drain: u64,
    pub served_after_purge: u64,
    /// The sum of what must be 0.
    pub rules_broken: u64,
    #[serde(flatten)]
    pub more: BTreeMap<String, Value>,
}

impl Figures {
    /// Sums what must be 0, with what else an experiment says must be.
    pub fn judge(&mut self, most_allowed: u64, others: u64) {
        self.rules_broken = self.answered_none
            + self.answered_twice
            + self.saves_repeated
            + self.sent_after_drain
            + self.served_after_purge
            + u64::from(self.most_attempts > most_allowed)
            + others;
    }

    pub fn table(&self) -> String {
        let value = serde_json::to_value(self).expect("plain figures");
        let rows = value.as_object().into_iter().flatten();
        rows.map(|(name, value)| format!("{name:>24}  {value}\n")).collect()
    }
}

//! One policy: names to numbers, with a hash of its content.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Names as [`crate::keys`] declares them, to numbers in the units that it says. Flags are 0 or 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy(pub BTreeMap<String, f64>);

impl Policy {
    /// The first 16 hex digits of SHA-256 over names and numbers in their order.
    pub fn hash(&self) -> String {
        let mut hasher = Sha256::new();
        for (name, number) in &self.0 {
            hasher.update((name.len() as u64).to_be_bytes());
            hasher.update(name.as_bytes());
            // Both zeros are one number.
            hasher.update((number + 0.0).to_bits().to_be_bytes());
        }
        hasher.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect()
    }

    /// This one with those names set anew.
    pub fn with(&self, changes: impl IntoIterator<Item = (String, f64)>) -> Self {
        let mut new = self.clone();
        new.0.extend(changes);
        new
    }

    /// This one with those names set anew, or gone where there is no number.
    pub fn changed(&self, changes: impl IntoIterator<Item = (String, Option<f64>)>) -> Self {
        let mut new = self.clone();
        for (name, number) in changes {
            match number {
                Some(number) => drop(new.0.insert(name, number)),
                None => drop(new.0.remove(&name)),
            }
        }
        new
    }

    /// Names of which the two do not say the same, with both numbers.
    pub fn differ<'a>(&'a self, other: &'a Self) -> Vec<(&'a str, Option<f64>, Option<f64>)> {
        let mut names: Vec<&str> = self.0.keys().chain(other.0.keys()).map(String::as_str).collect();
        names.sort_unstable();
        names.dedup();
        let pair = |name: &'a str| (name, self.0.get(name).copied(), other.0.get(name).copied());
        names.into_iter().map(pair).filter(|(_, a, b)| a != b).collect()
    }
}

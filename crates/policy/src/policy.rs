//! One policy: numbers by key, with a hash of its content.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many bytes of the SHA-256 digest identify a policy.
const HASH_BYTES: usize = 8;

/// Numbers by the keys that [`crate::keys`] declares, in the units declared there. Flags are 0 or 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy(pub BTreeMap<String, f64>);

/// A key by which two policies differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference<'a> {
    /// The key.
    pub key: &'a str,
    /// The number of the one policy, if it sets the key.
    pub old: Option<f64>,
    /// The number of the other policy, if it sets the key.
    pub new: Option<f64>,
}

impl Policy {
    /// The number of a key, if the policy sets it.
    pub fn get(&self, key: &str) -> Option<f64> {
        self.0.get(key).copied()
    }

    /// The first 16 hex digits of the SHA-256 of all keys and numbers, in the order of keys.
    pub fn hash(&self) -> String {
        let mut hasher = Sha256::new();
        for (key, number) in &self.0 {
            hasher.update((key.len() as u64).to_be_bytes());
            hasher.update(key.as_bytes());
            // The sum turns negative zero into zero: both are the same number.
            hasher.update((number + 0.0).to_bits().to_be_bytes());
        }
        hasher.finalize().iter().take(HASH_BYTES).map(|byte| format!("{byte:02x}")).collect()
    }

    /// This policy with other numbers for some keys.
    pub fn with(&self, changes: impl IntoIterator<Item = (String, f64)>) -> Self {
        let mut changed = self.clone();
        changed.0.extend(changes);
        changed
    }

    /// This policy with other numbers for some keys, and without the keys that have no number.
    pub fn changed(&self, changes: impl IntoIterator<Item = (String, Option<f64>)>) -> Self {
        let mut changed = self.clone();
        for (key, number) in changes {
            match number {
                Some(number) => drop(changed.0.insert(key, number)),
                None => drop(changed.0.remove(&key)),
            }
        }
        changed
    }

    /// The keys by which `other` differs from this policy, in their order.
    pub fn differences<'a>(&'a self, other: &'a Self) -> Vec<Difference<'a>> {
        let mut keys: Vec<&str> = self.0.keys().chain(other.0.keys()).map(String::as_str).collect();
        keys.sort_unstable();
        keys.dedup();
        let compare = |key: &'a str| Difference { key, old: self.get(key), new: other.get(key) };
        keys.into_iter().map(compare).filter(|difference| difference.old != difference.new).collect()
    }
}

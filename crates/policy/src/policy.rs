//! A policy: a number for each key that is set, and a hash of its content.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of bytes of the SHA-256 digest that identify a policy.
const HASH_BYTES: usize = 8;

/// The numbers of a policy by key. [`crate::keys`] declares the keys and their units; flags are 0 or 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy(pub BTreeMap<String, f64>);

/// A key whose number differs between two policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference<'a> {
    /// The key.
    pub key: &'a str,
    /// The number in the first policy; `None` if that policy does not set the key.
    pub old: Option<f64>,
    /// The number in the second policy; `None` if that policy does not set the key.
    pub new: Option<f64>,
}

impl Policy {
    /// Returns the number of a key; `None` if the policy does not set the key.
    pub fn get(&self, key: &str) -> Option<f64> {
        self.0.get(key).copied()
    }

    /// Returns the first 16 hex digits of the SHA-256 of all keys and numbers, in key order.
    pub fn hash(&self) -> String {
        let mut hasher = Sha256::new();
        for (key, number) in &self.0 {
            hasher.update((key.len() as u64).to_be_bytes());
            hasher.update(key.as_bytes());
            // Adding zero turns negative zero into zero, so that policies that compare equal hash alike.
            hasher.update((number + 0.0).to_bits().to_be_bytes());
        }
        hasher.finalize().iter().take(HASH_BYTES).map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns a copy of this policy in which the given keys have the given numbers.
    pub fn with(&self, changes: impl IntoIterator<Item = (String, f64)>) -> Self {
        let mut changed = self.clone();
        changed.0.extend(changes);
        changed
    }

    /// Returns a copy of this policy in which each given key has the given number, or is removed for `None`.
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

    /// Returns the keys whose numbers differ between this policy and `other`, in key order.
    pub fn differences<'a>(&'a self, other: &'a Self) -> Vec<Difference<'a>> {
        let mut keys: Vec<&str> = self.0.keys().chain(other.0.keys()).map(String::as_str).collect();
        keys.sort_unstable();
        keys.dedup();
        let compare = |key: &'a str| Difference { key, old: self.get(key), new: other.get(key) };
        keys.into_iter().map(compare).filter(|difference| difference.old != difference.new).collect()
    }
}

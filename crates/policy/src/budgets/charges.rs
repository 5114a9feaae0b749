//! The budget keys that an attempt is charged to.

use std::ops::Deref;

use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, QuotaCharge};
use tindoor_quota::BudgetKey;

use super::{Budget, FLEET_SCOPE, scope_of_name};

/// The most keys that one attempt is charged to.
const MAX_CHARGED_KEYS: usize = 6;

/// The scopes that one router's attempts belong to.
#[derive(Clone, Debug)]
pub struct BudgetScope {
    location: u64,
    class_scopes: Vec<u64>,
    /// Whether caches report if a fill came from the origin.
    origin_fills_reported: bool,
}

/// The keys that an attempt is charged to, stored inline as they are needed on the path of each request.
#[derive(Clone, Copy, Debug)]
pub struct ChargedKeys {
    keys: [BudgetKey; MAX_CHARGED_KEYS],
    count: usize,
}

impl Deref for ChargedKeys {
    type Target = [BudgetKey];

    fn deref(&self) -> &[BudgetKey] {
        &self.keys[..self.count]
    }
}

impl BudgetScope {
    /// The scopes of a router in a location, with the names of its request classes.
    pub fn new(location: u64, classes: &[String], origin_fills_reported: bool) -> Self {
        let class_scopes = classes.iter().map(|name| scope_of_name(name)).collect();
        Self { location, class_scopes, origin_fills_reported }
    }

    /// The keys that a fill from the origin is charged to; the last one limits concurrency, the others are
    /// rates.
    pub fn fill_keys(&self, class: u16) -> [BudgetKey; 4] {
        let class_scope = self.class_scopes.get(usize::from(class)).copied().unwrap_or_default();
        [
            Budget::OriginFills.key(FLEET_SCOPE),
            Budget::LocationFills.key(self.location),
            Budget::ClassFills.key(class_scope),
            Budget::ConcurrentOriginFills.key(FLEET_SCOPE),
        ]
    }

    /// The keys that an attempt is charged to.
    pub fn charged_keys(&self, charge: &QuotaCharge) -> ChargedKeys {
        let fills = self.fill_keys(charge.class).map(|key| charge.may_fill_from_origin.then_some(key));
        let cache_only_read = charge.cache_only.then(|| Budget::CacheOnlyReads.key(charge.endpoint));
        let retry = charge.is_retry.then(|| Budget::Retries.key(FLEET_SCOPE));
        let (mut keys, mut count) = ([BudgetKey::default(); MAX_CHARGED_KEYS], 0);
        for key in fills.into_iter().chain([cache_only_read, retry]).flatten() {
            keys[count] = key;
            count += 1;
        }
        ChargedKeys { keys, count }
    }

    /// Whether the origin may have been asked for a fill by an attempt with this outcome. What is unknown
    /// counts.
    pub fn may_have_filled(&self, outcome: Outcome) -> bool {
        use AttemptStatus::{Miss, Overloaded, Served, Superseded, Unreachable};
        use OutcomeDetail::{FilledFromSource, Hit, JoinedFill, OriginFailed, StaleHit};
        match (outcome.status, outcome.detail) {
            (_, OriginFailed) => true,
            (Overloaded | Unreachable | Superseded | Miss, _) | (Served, Hit | StaleHit | JoinedFill) => {
                false
            }
            (Served, FilledFromSource) => !self.origin_fills_reported,
            _ => true,
        }
    }
}

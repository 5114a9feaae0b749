//! The budget keys that an attempt is charged to.

use std::ops::Deref;

use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, QuotaCharge};
use tindoor_quota::BudgetKey;

use super::{Budget, FLEET_SCOPE, scope_of_name};

/// The maximum number of keys that one attempt is charged to.
const MAX_CHARGED_KEYS: usize = 6;

/// The scopes that the attempts of one router are charged to: its location and its request classes.
#[derive(Clone, Debug)]
pub struct BudgetScope {
    location: u64,
    class_scopes: Vec<u64>,
    /// Whether caches report if a fill came from the origin or from another source.
    origin_fills_reported: bool,
}

/// The keys that an attempt is charged to. Stored inline to avoid an allocation on the path of each request.
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
    /// Creates the scopes of a router in a location, with the names of its request classes.
    pub fn new(location: u64, classes: &[String], origin_fills_reported: bool) -> Self {
        let class_scopes = classes.iter().map(|name| scope_of_name(name)).collect();
        Self { location, class_scopes, origin_fills_reported }
    }

    /// Returns the keys that a fill from the origin is charged to: three keys of rates, then the key of the
    /// concurrency limit.
    pub fn fill_keys(&self, class: u16) -> [BudgetKey; 4] {
        let class_scope = self.class_scopes.get(usize::from(class)).copied().unwrap_or_default();
        [
            Budget::OriginFills.key(FLEET_SCOPE),
            Budget::LocationFills.key(self.location),
            Budget::ClassFills.key(class_scope),
            Budget::ConcurrentOriginFills.key(FLEET_SCOPE),
        ]
    }

    /// Returns the keys that an attempt is charged to.
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

    /// Returns whether an attempt with this outcome may have caused a fill from the origin: true unless the
    /// outcome rules such a fill out.
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

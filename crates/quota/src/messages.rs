//! Messages between a router and its lender. They cross the wire in postcard's form: the order of fields is
//! fixed.

use serde::{Deserialize, Serialize};

use crate::{BudgetKey, Quota};

/// A router's request for quota. It names every key of which the router might still spend something; a key
/// that it does not name it does not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Increases with each request of one incarnation; a new request voids the answers to all earlier ones.
    pub nonce: u64,
    /// Demand and holdings by key.
    pub demands: Vec<KeyDemand>,
}

/// What a router wants and holds of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyDemand {
    /// The key.
    pub key: BudgetKey,
    /// What the router wants beyond its guaranteed minimum.
    pub demand: Quota,
    /// Its weight in the division.
    pub weight: u64,
    /// All that it might still spend beyond its guaranteed minimum.
    pub holdings: Quota,
    /// The term of the leader that granted the holdings itself; 0 where another router granted them.
    pub lender_term: u64,
}

/// The answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// That of the request.
    pub nonce: u64,
    /// The lender's term where it is the leader; 0 where it passes on part of its own grant.
    pub lender_term: u64,
    /// What is granted, by key.
    pub grants: Vec<Granted>,
}

/// What is granted of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The key.
    pub key: BudgetKey,
    /// What may be spent beyond the guaranteed minimum.
    pub quota: Quota,
    /// How long it may be spent, in microseconds from the request on.
    pub duration_us: u64,
}

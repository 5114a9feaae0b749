//! Messages between a router and its lender. They are encoded with postcard, so the order of their fields
//! must not change.

use serde::{Deserialize, Serialize};
use tindoor_membership::bounded_vec;

use crate::{BudgetKey, Quota};

/// A router's request for quota. The request lists every key of which the router might still spend granted
/// quota; the router holds nothing of a key that is not listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Increases with each request of one incarnation. The answers to earlier requests become void with a new
    /// request.
    pub nonce: u64,
    /// Demand and holdings by key.
    #[serde(deserialize_with = "bounded_vec")]
    pub demands: Vec<KeyDemand>,
}

/// A router's demand and holdings of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyDemand {
    /// The key.
    pub key: BudgetKey,
    /// The quota that the router requests beyond its guaranteed minimum.
    pub demand: Quota,
    /// The router's weight in the division.
    pub weight: u64,
    /// All quota that the router might still spend beyond its guaranteed minimum.
    pub holdings: Quota,
    /// The term of the leader that granted the holdings; 0 if a router other than the leader granted them.
    pub lender_term: u64,
}

/// The answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The nonce of the request.
    pub nonce: u64,
    /// The lender's term if the lender is the leader; 0 if the lender passes on a part of its own grant.
    pub lender_term: u64,
    /// The granted quota, by key.
    #[serde(deserialize_with = "bounded_vec")]
    pub grants: Vec<Granted>,
}

/// The granted quota of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The key.
    pub key: BudgetKey,
    /// The quota that the borrower may spend beyond its guaranteed minimum.
    pub quota: Quota,
    /// How long the borrower may spend the quota, in microseconds from the time it sent the request.
    pub duration_us: u64,
}

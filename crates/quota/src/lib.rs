//! Division of a fleet's budgets among its routers, so that the fleet never spends more than the total.
//!
//! This crate implements the part of a single router: what the router may spend ([`TokenBucket`]), what it
//! has granted to others ([`LeaseLedger`]), and the requests and grants that it exchanges with other routers
//! ([`Participant`]). The crate does no I/O, reads no clock and draws no random numbers.
//!
//! `docs/design/budgets.md` states the guarantees and explains why they hold.

mod budget;
mod demand_window;
mod fair_shares;
mod lease_ledger;
mod messages;
mod participant;
mod quota;
mod retry_budget;
mod token_bucket;

pub use budget::{BudgetKey, BudgetKind, BudgetLimit, BudgetPlan};
pub use fair_shares::{WeightedDemand, max_min_fair_shares};
pub use lease_ledger::{Claim, Grant, LeaseLedger, LedgerChecks, LendingTerms, LoanRequest};
pub use messages::{Granted, KeyDemand, QuotaGrant, QuotaRequest};
pub use participant::{Participant, QuotaStatus, SafetyChecks};
pub use quota::{Quota, UNIT};
pub use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;

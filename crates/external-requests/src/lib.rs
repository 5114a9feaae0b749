//! Requests that are processed externally: proxies carry the bytes, and ask here for each request where to
//! send it. Tracks which request a call belongs to, which routing decision a proxy holds and until when, how
//! attempts ended, and which idempotency keys were seen. Nothing here does I/O or reads a clock.
//!
//! A front builds one [`ExternalRequestTable`] and calls the method of each event, with the time and its
//! [`TableHost`]. The routing engine, reached through the host, chooses endpoints and decides on retries and
//! rejections.

mod call;
mod counters;
mod host;
mod idempotency_keys;
mod limits;
mod table;
mod timers;

pub use call::{
    CallId, CallReply, ExternalRequest, RefusalReason, Report, RequestNumber, RoutingDecision, StoredResult,
};
pub use counters::Counters;
pub use host::TableHost;
pub use idempotency_keys::IdempotencyKeys;
pub use limits::{EnabledChecks, Limits};
pub use table::ExternalRequestTable;

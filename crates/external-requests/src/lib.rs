//! State of externally processed requests: proxies transfer the data, and ask the router for each request
//! where to send it.
//!
//! This crate tracks which request a call belongs to, which routing decision a proxy holds and until when,
//! how attempts ended, and which idempotency keys were seen. It does no I/O and reads no clock.
//!
//! A front creates one [`ExternalRequestTable`] and calls the method for each event, passing the current time
//! and its [`TableHost`]. The table reaches the routing engine through the host; the routing engine chooses
//! endpoints and decides on retries and rejections.

mod call;
mod counters;
mod finished_requests;
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
pub use table::{ExternalRequestTable, FINISHED_REQUEST_BYTES, IDEMPOTENCY_KEY_BYTES};

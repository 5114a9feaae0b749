//! The protocol-independent request runtime that all fronts share: the requests in flight with their slots
//! and correlation ids, the routing engine with its clock and its actions, and the lifecycle of one request.

mod admission;
mod attempt;
mod clock;
mod engine_handle;
mod engine_host;
mod in_flight_ids;
mod lifecycle;
mod mailbox;
mod recent_ids;
mod timer;

pub use admission::{AdmissionGate, AdmittedRequest, AttemptCharge};
pub use attempt::{Action, Attempt};
pub use clock::Clock;
pub use engine_handle::EngineHandle;
pub use engine_host::EngineHost;
pub use in_flight_ids::{InFlightId, InFlightIds};
pub use lifecycle::{AttemptEnd, FinalAnswer, IncomingRequest, RequestTransport, run_request};
pub use mailbox::Mailbox;
pub use recent_ids::RecentIds;
pub use timer::WakeTimer;

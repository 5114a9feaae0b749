//! What every front shares and what knows no protocol: the requests in hand with their numbers and ids, the
//! decision module with its clock and its orders, and the life of one request.

mod desk;
mod life;

pub use desk::{
    Action, AdmissionGate, AdmittedRequest, Attempt, Clock, EngineHandle, EngineHost, FillCharge, InFlightId,
    InFlightIds, Mailbox, WakeTimer,
};
pub use life::{AttemptEnd, FinalAnswer, IncomingRequest, RequestTransport, run_request};

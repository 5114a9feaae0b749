//! The interface through which the table acts on the front and the routing engine.

use tindoor::host::{EndpointId, Outcome};
use tindoor::time::{Moment, Span};

use crate::{CallId, CallReply, ExternalRequest, RequestNumber};

/// The front and the routing engine, as used by the table.
///
/// Every method takes effect immediately, and none may call back into the table.
pub trait TableHost {
    /// Passes a new request to the routing engine.
    ///
    /// `first_ran` holds when and where an earlier request with the same idempotency key may first have run.
    /// If the request may have run but nothing is known about it, the time is [`Moment::default()`], long
    /// ago.
    fn request_started(
        &mut self,
        number: RequestNumber,
        request: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    );

    /// Reports the end of an attempt; `last` says whether the request has its final answer.
    fn attempt_ended(&mut self, number: RequestNumber, attempt_index: u16, outcome: Outcome, last: bool);

    /// Tells the routing engine that no client waits for the request any longer.
    fn request_abandoned(&mut self, number: RequestNumber);

    /// Ends a request that has its final answer. Every attempt known to the table has been reported.
    fn request_finished(&mut self, number: RequestNumber);

    /// Replies to a call. Replaces an earlier reply to the same call that has not been sent yet.
    fn reply(&mut self, call: CallId, reply: CallReply);

    /// Returns the delay after which a call that found no capacity may be retried. `None` if it is not known.
    fn retry_after(&mut self) -> Option<Span>;
}

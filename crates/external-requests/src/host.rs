//! What the table acts through.

use tindoor::host::{EndpointId, Outcome};
use tindoor::time::{Moment, Span};

use crate::{CallId, CallReply, ExternalRequest, RequestNumber};

/// The front and the routing engine, as the table sees them. Every call takes effect at once, and none calls
/// back into the table.
pub trait TableHost {
    /// A request is handed to the routing engine. `first_ran` says when and where an earlier request with its
    /// idempotency key first may have run; a moment long ago where nobody knows.
    fn request_started(
        &mut self,
        number: RequestNumber,
        request: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    );

    /// An attempt of the request ended; `last` says that the request has its final answer.
    fn attempt_ended(&mut self, number: RequestNumber, attempt_index: u16, outcome: Outcome, last: bool);

    /// Nobody waits for the request any more.
    fn request_abandoned(&mut self, number: RequestNumber);

    /// The request has its final answer, and every attempt that the table knows of was reported.
    fn request_finished(&mut self, number: RequestNumber);

    /// Replies to a call. A reply that was not yet sent is replaced by the next.
    fn reply(&mut self, call: CallId, reply: CallReply);

    /// When a call that finds no capacity may be retried.
    fn retry_after(&mut self) -> Option<Span>;
}

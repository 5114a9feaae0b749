//! A proxy's call, as a front holds it while it serves the call.

use std::rc::Rc;

use tindoor_external_requests::{CallId, CallReply};
use tindoor_request_runtime::Mailbox;

use super::ExternalProcessing;
use super::request_counter::RequestCounter;

/// A proxy's call. Dropping it ends the call, unless `outlives_connection` is set.
pub struct Call {
    pub external: Rc<ExternalProcessing>,
    pub id: CallId,
    /// Receives the replies to the call.
    pub replies: Rc<Mailbox<CallReply>>,
    /// Whether the call continues after this value is dropped, because its report arrives as a separate
    /// request.
    pub outlives_connection: bool,
    /// The requests in flight that began on the call's connection.
    pub connection_requests: RequestCounter,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.outlives_connection {
            self.external.apply(|table, now, _| table.call_ended(now, self.id));
        }
        self.external.detach(self.id);
    }
}

//! A call of a proxy, as its front holds it.

use std::rc::Rc;

use tindoor_external_requests::{CallId, CallReply};
use tindoor_request_runtime::Mailbox;

use super::ExternalProcessing;

/// A call; it ends when it is dropped.
pub struct Call {
    pub external: Rc<ExternalProcessing>,
    pub id: CallId,
    /// Where the replies to it arrive.
    pub replies: Rc<Mailbox<CallReply>>,
    /// Whether it continues when its connection ends: its report comes on another.
    pub outlives_connection: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.outlives_connection {
            self.external.apply(|table, now, _| table.call_ended(now, self.id));
        }
        self.external.detach(self.id);
    }
}

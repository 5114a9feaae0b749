//! Completion of requests: final replies, and what is stored for later calls.

use tindoor::time::Moment;

use super::ExternalRequestTable;
use super::request::{Request, Timer};
use crate::finished_requests::FinalReply;
use crate::idempotency_keys::KeyState;
use crate::{CallId, CallReply, RefusalReason, RequestNumber, StoredResult, TableHost};

/// How a request is completed.
#[derive(Clone, Copy)]
pub struct Completion {
    /// The call that gets the reply. `None` if no call waits for it.
    pub call: Option<CallId>,
    pub reply: CallReply,
    /// The result to store and replay. `None` if the request was not served.
    pub result: Option<StoredResult>,
}

impl ExternalRequestTable {
    /// Completes a request: replies to its call and to the calls that wait for its idempotency key, and
    /// stores the reply and the state of the key for later calls.
    pub(super) fn finish(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        completion: Completion,
    ) {
        let Some(request) = self.requests.remove(&number) else { return };
        if let Some(at) = request.timer {
            self.timers.cancel(at, Timer::Request(number));
        }
        if self.correlation_ids.get(&request.call.correlation_id) == Some(&number) {
            self.correlation_ids.remove(&request.call.correlation_id);
        }
        if let Some(call) = completion.call {
            self.calls.remove(&call);
            host.reply(call, completion.reply);
        }
        self.store_finished(now, &request, &completion);
        self.store_or_release_key(now, &request, completion.result);
        self.reply_to_waiters(host, request.waiters, &completion);
        host.request_finished(number);
    }

    /// Stores the reply to later calls with the same correlation id.
    ///
    /// A non-idempotent request that may have run is stored for as long as a client may wait with all its retries,
    /// as it must not run again. Any other is stored until its deadline, and only while there is room.
    fn store_finished(&mut self, now: Moment, request: &Request, completion: &Completion) {
        let reply = stored_reply(request, completion);
        let correlation_id = request.call.correlation_id;
        if request.call.is_non_idempotent && request.first_ran.is_some() {
            let expires_at = now + self.limits.max_request_time + self.limits.retry_window;
            return self.runs.store(correlation_id, reply, expires_at);
        }
        if self.finished.len() >= self.limits.max_finished {
            self.finished.drop_first();
        }
        let expires_at = request.deadline.max(now) + self.limits.retry_window;
        self.finished.store(correlation_id, reply, expires_at);
    }

    fn store_or_release_key(&mut self, now: Moment, request: &Request, result: Option<StoredResult>) {
        let Some(key) = self.reserved_key(&request.call) else { return };
        let state = match (result, request.first_ran) {
            (Some(result), _) => KeyState::Done(result),
            (None, Some((at, endpoint))) => KeyState::MayHaveRun(at, endpoint),
            (None, None) => return self.idempotency_keys.release(key),
        };
        // The client may retry even after the idempotency window, and the write must not run again then. Its
        // key is therefore stored for as long as the client may retry.
        let expires_at = now + self.limits.idempotency_window + self.limits.max_request_time;
        self.idempotency_keys.store(key, state, expires_at);
    }

    fn reply_to_waiters(&mut self, host: &mut impl TableHost, waiters: Vec<CallId>, completion: &Completion) {
        let reply = match (completion.result, completion.reply) {
            (Some(result), _) => CallReply::Replayed(result),
            (None, CallReply::Rejected(..) | CallReply::Failed(RefusalReason::GaveUp)) => completion.reply,
            (None, _) => CallReply::Failed(RefusalReason::IdempotencyKeyInUse),
        };
        for call in waiters {
            let Some(waiter) = self.waiters.remove(&call) else { continue };
            self.timers.cancel(waiter.until, Timer::Waiter(call));
            host.reply(call, reply);
        }
    }
}

/// Returns the reply that later calls with the correlation id of a request get.
fn stored_reply(request: &Request, completion: &Completion) -> FinalReply {
    match (completion.reply, completion.result) {
        (CallReply::Replayed(result), _) => FinalReply::Replayed(result),
        (CallReply::Rejected(retry_after, reason), _) => FinalReply::Rejected(retry_after, reason),
        (CallReply::Failed(reason), _) => FinalReply::Failed(reason),
        (_, Some(result)) if request.call.idempotency_key.is_some() => FinalReply::Replayed(result),
        _ => FinalReply::Failed(RefusalReason::CorrelationIdInUse),
    }
}

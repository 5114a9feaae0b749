//! The end of a request.

use tindoor::time::Moment;

use super::ExternalRequestTable;
use super::request::{FinishedRequest, Request, Timer};
use crate::idempotency_keys::KeyState;
use crate::{CallId, CallReply, RefusalReason, RequestNumber, StoredResult, TableHost};

/// How a request ends.
#[derive(Clone, Copy)]
pub struct Ending {
    /// The call that gets the reply, if one waits.
    pub call: Option<CallId>,
    pub reply: CallReply,
    /// Set where the request was served.
    pub result: Option<StoredResult>,
}

impl ExternalRequestTable {
    /// Ends a request: replies to its call and to those that wait for its idempotency key, and stores what
    /// later calls may ask for.
    pub(super) fn finish(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        ending: Ending,
    ) {
        let Some(request) = self.requests.remove(&number) else { return };
        if let Some(at) = request.timer {
            self.timers.cancel(at, Timer::Request(number));
        }
        if self.correlation_ids.get(&request.call.correlation_id) == Some(&number) {
            self.correlation_ids.remove(&request.call.correlation_id);
        }
        if let Some(call) = ending.call {
            self.calls.remove(&call);
            host.reply(call, ending.reply);
        }
        self.store_finished(now, &request, &ending);
        self.settle_key(now, &request, ending.result);
        self.reply_to_waiters(host, request.waiters, &ending);
        host.request_finished(number);
    }

    /// Stores the reply for later calls with the correlation id, for as long as the client would wait.
    fn store_finished(&mut self, now: Moment, request: &Request, ending: &Ending) {
        let until = request.deadline.max(now) + self.limits.retry_window;
        let reply = match (ending.reply, ending.result) {
            (CallReply::PassThrough, Some(result)) if request.call.idempotency_key.is_some() => {
                CallReply::Replayed(result)
            }
            (CallReply::PassThrough, _) => CallReply::Failed(RefusalReason::CorrelationIdInUse),
            (reply, _) => reply,
        };
        let correlation_id = request.call.correlation_id;
        self.finished.insert(correlation_id, FinishedRequest { reply, until });
        self.timers.schedule(until, Timer::FinishedRequest(correlation_id));
    }

    fn settle_key(&mut self, now: Moment, request: &Request, result: Option<StoredResult>) {
        let Some(key) = self.reserved_key(&request.call) else { return };
        let state = match (result, request.first_ran) {
            (Some(result), _) => KeyState::Done(result),
            (None, Some((at, endpoint))) => KeyState::MayHaveRun(at, endpoint),
            (None, None) => return self.idempotency_keys.release(key),
        };
        // A write must not run again after its window either: its key is stored for as long as a client may
        // retry.
        let expires_at = now + self.limits.idempotency_window + self.limits.max_request_time;
        self.idempotency_keys.store(key, state, expires_at);
    }

    fn reply_to_waiters(&mut self, host: &mut impl TableHost, waiters: Vec<CallId>, ending: &Ending) {
        let reply = match (ending.result, ending.reply) {
            (Some(result), _) => CallReply::Replayed(result),
            (None, CallReply::Rejected(..) | CallReply::Failed(RefusalReason::GaveUp)) => ending.reply,
            (None, _) => CallReply::Failed(RefusalReason::IdempotencyKeyInUse),
        };
        for call in waiters {
            let Some(waiter) = self.waiters.remove(&call) else { continue };
            self.timers.cancel(waiter.until, Timer::Waiter(call));
            host.reply(call, reply);
        }
    }
}

//! One connection of a client from its first byte to its close, and what each frame on it leads to.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::{StreamExt, future};
use tindoor_thrift::{Fault, Message, Objection, aborted, application_exception};

use crate::configuration::limits::{Limits, within};
use crate::downstream::connection::{Client, Phase, frames, unreadable, write};
use crate::downstream::request::{self, Call};
use crate::state::RouterState;
use tindoor_request_runtime::Action;

/// Which side of a connection ended first, and how.
enum Ended {
    Reading(io::Result<()>),
    Writing(io::Result<()>),
}

/// One connection until either side closes it; what is still open then has nobody waiting.
pub async fn converse(router: Rc<RouterState>, client: Rc<Client>) {
    // Lives on while the connection is closed: an answer that is written in part must be written whole, or what
    // follows it can't be read.
    let mut writing = pin!(write(&router.limits, &client));
    let reading = async { Ended::Reading(read(&router, &client).await) };
    let written = async { Ended::Writing(writing.as_mut().await) };
    let open = || client.open.borrow().len();
    match future::or(reading, written).await {
        Ended::Reading(Ok(())) if client.phase() == Phase::Open => {
            tracing::debug!(open = open(), "a client closed its connection");
        }
        Ended::Reading(Err(what)) if what.kind() == io::ErrorKind::InvalidData => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(%what, times, "a client's connection is closed: it can't be read");
            }
            close(&router.limits, &client, writing).await;
        }
        Ended::Reading(Ok(())) => close(&router.limits, &client, writing).await,
        Ended::Writing(Ok(())) => close(&router.limits, &client, future::ready(Ok(()))).await,
        Ended::Reading(Err(what)) | Ended::Writing(Err(what)) => {
            tracing::debug!(%what, open = open(), "a client's connection broke");
        }
    }
    client.end();
}

/// Has the last answers and the close reach a client that may still be sending: a close with bytes unread
/// resets the connection, which destroys what the client has not read. What comes meanwhile is read and
/// dropped, for a bounded time.
async fn close(limits: &Limits, client: &Client, writing: impl Future<Output = io::Result<()>>) {
    client.stop_taking();
    if within(limits.farewell, writing).await.is_err() {
        return;
    }
    client.half_close();
    tracing::debug!("a client's connection is closed");
    let _ = within(limits.linger, client.drop_rest(limits.read)).await;
}

async fn read(router: &Rc<RouterState>, client: &Rc<Client>) -> io::Result<()> {
    let mut frames = pin!(frames(client, router.limits));
    while let Some((frame, arrived)) = frames.try_next().await? {
        client.used.set(arrived);
        client.asked.set(true);
        take(router, client, frame, arrived)?;
        // Refusals and `health` stand for no memory in the budget: one that asks and never reads is not
        // heard.
        client.drained(router.limits.replies).await;
    }
    Ok(())
}

/// Takes one frame; an error closes the connection.
fn take(router: &Rc<RouterState>, client: &Rc<Client>, frame: Bytes, arrived: Instant) -> io::Result<()> {
    let size = frame.len();
    let frame = if size <= router.limits.small_frame { Bytes::copy_from_slice(&frame) } else { frame };
    match tindoor_thrift::parse(frame) {
        Ok(Message::Health { seq }) => {
            let good =
                router.stopping.get().is_none() && router.fleet.as_ref().is_none_or(|fleet| fleet.is_good());
            client.send(tindoor_thrift::answer("health", seq, Bytes::new(), &[], good), None);
        }
        Ok(Message::Cancel { seq }) => {
            if let Some(mailbox) = client.open.borrow_mut().remove(&seq) {
                mailbox.put(Action::Abandon);
            }
        }
        Ok(Message::Call { seq, fields, body }) => {
            if client.open.borrow().contains_key(&seq) {
                let text = "a call with this sequence number is open";
                client.send(application_exception(seq, Objection::BadSequence, text), None);
                return Ok(());
            }
            // What can't be taken at all never ran.
            let room = router.engine.has_capacity(router.limits.open_requests)
                && client.open.borrow().len() < router.limits.open_calls;
            let Some(held) = router.budget.take(size).filter(|_| room) else {
                if let Some(times) = router.no_room.told() {
                    let requests = router.engine.open_requests();
                    tracing::warn!(requests, times, "no room for a view");
                }
                let retry_after = router.engine.retry_after();
                client.send(request::rejected(seq, retry_after), None);
                return Ok(());
            };
            let (no, mailbox) = router.engine.open_request();
            client.open.borrow_mut().insert(seq, Rc::clone(&mailbox));
            let call = Call { seq, fields, body, arrived, _held: held };
            let task = request::serve(Rc::clone(router), Rc::clone(client), call, no, mailbox);
            router.executor.spawn(task).detach();
        }
        Err(Fault::UnknownMethod { seq }) => {
            client.send(application_exception(seq, Objection::UnknownMethod, "no such method"), None);
        }
        Err(Fault::BadArguments { seq, what }) => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(what, times, "a call whose arguments can't be read");
            }
            client.send(aborted(seq, &[("reason", what)]), None);
        }
        Err(fault) => return Err(unreadable(fault)),
    }
    Ok(())
}

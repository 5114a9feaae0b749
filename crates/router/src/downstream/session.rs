//! Serves one client connection from accept to close: reads its messages and dispatches them.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future;
use tindoor_thrift::{
    Answer, ApplicationExceptionKind, Fields, Message, ParseError, aborted, answer, application_exception,
};

use super::connection::Connection;
use super::frame_reader::{Frame, FrameError, FrameReader};
use super::request::{Call, OpenCall, rejected, serve_call};
use super::writer::write_replies;
use crate::configuration::limits::ClientLimits;
use crate::connections::{Phase, discard_until_closed, half_close};
use crate::state::RouterState;
use crate::timeout::with_timeout;

/// Which of a connection's two halves, reader or writer, ended first, and how.
enum SessionEnd {
    Reader(Result<(), FrameError>),
    Writer(io::Result<()>),
}

/// Serves one connection until the client or the router closes it, then abandons the calls still open.
pub async fn serve_connection(state: Rc<RouterState>, connection: Rc<Connection>) {
    let limits = &state.limits.client;
    // The writer continues while the connection is being closed, as a partly written reply must be completed.
    let mut writer = pin!(write_replies(limits, &connection));
    let reading = async { SessionEnd::Reader(read_calls(&state, &connection).await) };
    let writing = async { SessionEnd::Writer(writer.as_mut().await) };
    match future::or(reading, writing).await {
        SessionEnd::Reader(Ok(())) if connection.phase() == Phase::Open => {
            tracing::debug!(open = connection.open_call_count(), "client closed its connection");
        }
        SessionEnd::Reader(Ok(())) => close(limits, &connection, writer).await,
        SessionEnd::Reader(Err(FrameError::Io(error))) | SessionEnd::Writer(Err(error)) => {
            tracing::debug!(%error, open = connection.open_call_count(), "client connection failed");
        }
        SessionEnd::Reader(Err(error)) => {
            if let Some(times) = state.malformed_log.record() {
                tracing::warn!(%error, times, "client connection closed: malformed or incomplete frame");
            }
            close(limits, &connection, writer).await;
        }
        SessionEnd::Writer(Ok(())) => close(limits, &connection, future::ready(Ok(()))).await,
    }
    connection.end();
}

/// Writes the last replies, closes the router's side, and lingers: for a bounded time, reads and discards
/// what still arrives. Closing with unread bytes would reset the connection and destroy replies that the
/// client has not read.
async fn close(limits: &ClientLimits, connection: &Connection, writer: impl Future<Output = io::Result<()>>) {
    connection.stop_accepting_calls();
    if with_timeout(limits.final_write_timeout, writer).await.is_err() {
        return;
    }
    half_close(connection);
    tracing::debug!(open = connection.open_call_count(), "client connection closed");
    let discard = discard_until_closed(&connection.state, &connection.stream, limits.discard_chunk_bytes);
    let _ = with_timeout(limits.connections.linger_timeout, discard).await;
}

/// Reads and dispatches messages until the client or the router closes the connection.
async fn read_calls(state: &Rc<RouterState>, connection: &Rc<Connection>) -> Result<(), FrameError> {
    let limits = state.limits.client;
    let mut frames = FrameReader::new(connection, &state.memory, limits);
    while let Some(frame) = frames.next_frame().await? {
        connection.state.record_message(frame.arrived);
        dispatch(state, connection, frame)?;
        // Rejections and health replies reserve no memory, so backpressure here bounds their number.
        frames.wait_for_reply_capacity().await?;
    }
    Ok(())
}

/// Handles one message. An error closes the connection.
fn dispatch(state: &Rc<RouterState>, connection: &Rc<Connection>, frame: Frame) -> Result<(), FrameError> {
    let Frame { bytes, arrived } = frame;
    let frame_size = bytes.len();
    match tindoor_thrift::parse(bytes) {
        Ok(Message::Health { sequence_id }) => {
            let health = Answer { good: state.is_healthy(), ..Answer::default() };
            connection.send(answer("health", sequence_id, health), None);
        }
        Ok(Message::Cancel { sequence_id }) => connection.cancel_call(sequence_id),
        Ok(Message::Call { sequence_id, fields, body }) => {
            let call = ReceivedCall { sequence_id, fields, body, arrived, frame_size };
            open_call(state, connection, call);
        }
        Err(ParseError::UnknownMethod { sequence_id }) => {
            let kind = ApplicationExceptionKind::UnknownMethod;
            connection.send(application_exception(sequence_id, kind, "no such method"), None);
        }
        Err(ParseError::BadArguments { sequence_id, reason }) => {
            if let Some(times) = state.malformed_log.record() {
                tracing::warn!(reason, times, "call aborted: malformed arguments");
            }
            connection.send(aborted(sequence_id, &[("reason", reason)]), None);
        }
        Err(error @ ParseError::Unreadable(_)) => return Err(error.into()),
    }
    Ok(())
}

/// A call before it is admitted.
struct ReceivedCall {
    sequence_id: i32,
    fields: Fields,
    body: Bytes,
    arrived: Instant,
    frame_size: usize,
}

/// Opens a request for a call, or rejects the call if there is no capacity.
fn open_call(state: &Rc<RouterState>, connection: &Rc<Connection>, call: ReceivedCall) {
    let ReceivedCall { sequence_id, fields, body, arrived, frame_size } = call;
    if connection.is_open_call(sequence_id) {
        let message = "a call with this sequence number is open";
        let kind = ApplicationExceptionKind::BadSequenceId;
        return connection.send(application_exception(sequence_id, kind, message), None);
    }
    let has_capacity = state.engine.has_capacity(state.limits.max_open_requests)
        && connection.open_call_count() < state.limits.client.max_open_calls;
    let call_bytes = state.limits.memory.call_bytes + frame_size;
    let Some(memory) = state.memory.complete.reserve(call_bytes).filter(|_| has_capacity) else {
        if let Some(times) = state.overload_log.record() {
            let requests = state.engine.open_requests();
            tracing::warn!(requests, times, "call rejected: no capacity");
        }
        return connection.send(rejected(sequence_id, state.engine.retry_after()), None);
    };
    let (slot, mailbox) = state.engine.open_request();
    connection.add_call(sequence_id, &mailbox);
    let call = Call { sequence_id, fields, body, arrived, _memory: memory };
    let open_call = OpenCall { call, slot, mailbox };
    let task = serve_call(Rc::clone(state), Rc::clone(connection), open_call);
    state.executor.spawn(task).detach();
}

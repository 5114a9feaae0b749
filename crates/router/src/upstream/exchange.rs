//! Sends one request to an endpoint and reads its response.

use std::io;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use tindoor::host::{AttemptStatus, EndpointId, OutcomeDetail};
use tindoor_http::{ParseError, ResponseHead, parse_response_head};

use super::connection::EndpointConnection;
use super::pool::EndpointPool;
use crate::memory::{MemoryBudget, MemoryReservation};

/// A request whose head is encoded only once a connection is available.
pub trait PendingRequest {
    /// Encodes the request head; `None` if the request must no longer be sent.
    async fn encode_head(&self) -> Option<String>;

    /// Returns the body that follows the head.
    fn body(&self) -> &Bytes;

    /// Records that the request was written completely, so that the endpoint may execute it.
    fn mark_sent(&self);
}

/// The result of an attempt.
pub struct AttemptResult {
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// The detail that the endpoint reported in the response head.
    pub detail: OutcomeDetail,
    /// Whether the client's copy is current (status 304).
    pub not_modified: bool,
    /// The object; empty unless the response has status 200.
    pub body: Bytes,
    /// The reservation for the memory of the response.
    pub memory: Option<MemoryReservation>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a usable response.
    pub fn without_response(status: AttemptStatus) -> Self {
        Self { status, detail: OutcomeDetail::Unknown, not_modified: false, body: Bytes::new(), memory: None }
    }
}

/// Why a response can't be used.
#[derive(Debug, thiserror::Error)]
enum ResponseError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Parse(#[from] ParseError),
    #[error("the endpoint closed the connection after {0} bytes of an incomplete response head")]
    Closed(usize),
}

/// A complete response.
struct Response {
    result: AttemptResult,
    /// Whether the connection may be used for another request.
    is_reusable: bool,
}

/// A parsed response head and the bytes that were read with it.
struct ReadHead {
    head: ResponseHead,
    /// The read buffer, which starts with the head.
    buffer: BytesMut,
    /// The number of bytes in the buffer that were read from the connection.
    filled: usize,
}

impl EndpointPool {
    /// Sends one request to an endpoint and reads its response.
    pub async fn exchange(
        &self,
        endpoint: EndpointId,
        request: &impl PendingRequest,
        budget: &Rc<MemoryBudget>,
    ) -> AttemptResult {
        // A request is sent only while there is memory for the largest response. When memory runs out, the
        // router therefore stops sending before it has to abandon responses.
        if budget.free_bytes() < self.limits.max_body_bytes + self.limits.max_head_bytes {
            if let Some(times) = self.exhausted_log.record() {
                tracing::warn!(times, "no memory for a response; attempt not sent");
            }
            return AttemptResult::without_response(AttemptStatus::Superseded);
        }
        let mut connection = match self.send(endpoint, request).await {
            Ok(connection) => connection,
            Err(status) => return AttemptResult::without_response(status),
        };
        match self.read_response(&mut connection, budget).await {
            Ok(Response { result, is_reusable }) => {
                if is_reusable {
                    self.put_back(endpoint, connection);
                }
                result
            }
            Err(error) => {
                tracing::debug!(endpoint = endpoint.0, %error, "response can't be used");
                AttemptResult::without_response(AttemptStatus::Incomplete)
            }
        }
    }

    /// Writes the request to an idle or a new connection. The error is the status of the attempt.
    async fn send(
        &self,
        endpoint: EndpointId,
        request: &impl PendingRequest,
    ) -> Result<EndpointConnection, AttemptStatus> {
        loop {
            let (mut connection, is_reused) = match self.take_idle(endpoint) {
                Some(connection) => (connection, true),
                None => (self.connect(endpoint).await?, false),
            };
            // The decision may have become outdated while the connection was established.
            let head = request.encode_head().await.ok_or(AttemptStatus::Superseded)?;
            let written = match connection.stream.write(head.as_bytes()).await {
                // No byte was written: the endpoint closed the idle connection just before its reuse.
                Err(_) | Ok(0) if is_reused => continue,
                Err(_) | Ok(0) => return Err(AttemptStatus::Unreachable),
                Ok(written) => written,
            };
            let rest = async {
                connection.stream.write_all(&head.as_bytes()[written..]).await?;
                connection.stream.write_all(request.body()).await
            };
            // The endpoint can't have executed a request that was not written completely.
            rest.await.map_err(|_| AttemptStatus::Unreachable)?;
            request.mark_sent();
            return Ok(connection);
        }
    }

    /// Reads the response. If there is no memory for it, the attempt ends with status `Cancelled`.
    async fn read_response(
        &self,
        connection: &mut EndpointConnection,
        budget: &Rc<MemoryBudget>,
    ) -> Result<Response, ResponseError> {
        let ReadHead { head, mut buffer, filled } = self.read_head(connection).await?;
        let length = head.head_length + head.body_length;
        // Surplus bytes don't invalidate the response, but the connection can't be reused after them.
        let has_surplus = filled > length;
        let filled = filled.min(length);
        let Some(memory) = budget.reserve(length) else {
            // The router abandons the attempt for lack of memory; the endpoint is not at fault.
            let result = AttemptResult::without_response(AttemptStatus::Cancelled);
            return Ok(Response { result, is_reusable: false });
        };
        buffer.resize(length, 0);
        connection.stream.read_exact(&mut buffer[filled..]).await?;
        let _ = buffer.split_to(head.head_length);
        let result = AttemptResult {
            status: self.status_of(&head),
            detail: self.detail_of(&head),
            not_modified: head.status == 304,
            body: if head.status == 200 { buffer.freeze() } else { Bytes::new() },
            memory: Some(memory),
        };
        Ok(Response { result, is_reusable: !has_surplus && !head.closes_connection })
    }

    /// Reads the head of the final response and skips interim responses. All heads together must not exceed
    /// `max_head_bytes`.
    async fn read_head(&self, connection: &mut EndpointConnection) -> Result<ReadHead, ResponseError> {
        let initial_size = self.limits.initial_read_bytes;
        let mut buffer = BytesMut::zeroed(initial_size);
        let mut filled = 0;
        let mut max_head_bytes = self.limits.max_head_bytes;
        loop {
            match parse_response_head(&buffer[..filled], max_head_bytes, self.limits.max_body_bytes)? {
                Some(head) if head.is_interim() => {
                    buffer.advance(head.head_length);
                    filled -= head.head_length;
                    max_head_bytes -= head.head_length;
                    continue;
                }
                Some(head) => return Ok(ReadHead { head, buffer, filled }),
                None => {}
            }
            if filled == buffer.len() {
                buffer.resize((filled * 2).max(initial_size), 0);
            }
            let received = connection.stream.read(&mut buffer[filled..]).await?;
            if received == 0 {
                return Err(ResponseError::Closed(filled));
            }
            filled += received;
        }
    }

    fn status_of(&self, head: &ResponseHead) -> AttemptStatus {
        tindoor_http::attempt_status(head.status, head.rejected).unwrap_or_else(|| {
            if let Some(times) = self.unknown_response_log.record() {
                let (status, rejected) = (head.status, head.rejected);
                tracing::warn!(status, rejected, times, "unknown response status; treated as an error");
            }
            AttemptStatus::Error
        })
    }

    fn detail_of(&self, head: &ResponseHead) -> OutcomeDetail {
        let remark = head.remark.as_deref().unwrap_or_default();
        tindoor_http::outcome_detail(remark).unwrap_or_else(|| {
            if let Some(times) = self.unknown_response_log.record() {
                tracing::warn!(remark, times, "unknown remark in a response; remark ignored");
            }
            OutcomeDetail::Unknown
        })
    }
}

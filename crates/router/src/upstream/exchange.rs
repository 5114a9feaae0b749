//! One request to an endpoint and its response.

use std::io;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use tindoor::host::{AttemptStatus, EndpointId, OutcomeDetail};
use tindoor_http::{ParseError, ResponseHead, parse_response_head};

use super::connection::EndpointConnection;
use super::memory_budget::{MemoryBudget, MemoryReservation};
use super::pool::EndpointPool;

/// A request whose head is written at the moment in which it is sent.
pub trait PendingRequest {
    /// The head; `None` where the request must not be sent any more.
    async fn encode_head(&self) -> Option<String>;

    /// The body that follows the head.
    fn body(&self) -> &Bytes;

    /// The request has been written completely, and may run.
    fn mark_sent(&self);
}

/// How an attempt ended, with what it brought.
pub struct AttemptResult {
    /// The status.
    pub status: AttemptStatus,
    /// What the endpoint said about it.
    pub detail: OutcomeDetail,
    /// The client's copy is current.
    pub not_modified: bool,
    /// The object.
    pub body: Bytes,
    /// The memory that the body takes.
    pub memory: Option<MemoryReservation>,
}

impl AttemptResult {
    /// The result of an attempt without a response.
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
    #[error("closed after {0} bytes")]
    Closed(usize),
}

/// A response that was read, and whether its connection may be used again.
struct Response {
    result: AttemptResult,
    is_reusable: bool,
}

/// A parsed head and the bytes that came with it.
struct ReadHead {
    head: ResponseHead,
    /// Starts with the head.
    buffer: BytesMut,
    /// How many bytes of the buffer were read.
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
        // Sends stop before reads do, as each is made only while there is memory for the largest response.
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

    /// Writes the request on an idle or a new connection; the error is the status of the attempt.
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
            // A connect may have taken so long that the decision is out of date.
            let head = request.encode_head().await.ok_or(AttemptStatus::Superseded)?;
            let written = match connection.stream.write(head.as_bytes()).await {
                // Nothing was taken: the endpoint closed the idle connection as it was used.
                Err(_) | Ok(0) if is_reused => continue,
                Err(_) | Ok(0) => return Err(AttemptStatus::Unreachable),
                Ok(written) => written,
            };
            let rest = async {
                connection.stream.write_all(&head.as_bytes()[written..]).await?;
                connection.stream.write_all(request.body()).await
            };
            // A request that was not written completely can't have run.
            rest.await.map_err(|_| AttemptStatus::Unreachable)?;
            request.mark_sent();
            return Ok(connection);
        }
    }

    async fn read_response(
        &self,
        connection: &mut EndpointConnection,
        budget: &Rc<MemoryBudget>,
    ) -> Result<Response, ResponseError> {
        let ReadHead { head, mut buffer, filled } = self.read_head(connection).await?;
        let length = head.head_length + head.body_length;
        // Surplus bytes are no part of the response, but the connection can't be used again.
        let has_surplus = filled > length;
        let filled = filled.min(length);
        let Some(memory) = budget.reserve(length) else {
            // The router stops waiting, which says nothing about the endpoint.
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

    /// Reads up to the head of the final response. The interim ones before it share the limit of one head.
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
                tracing::warn!(status, rejected, times, "response with an unknown status");
            }
            AttemptStatus::Error
        })
    }

    fn detail_of(&self, head: &ResponseHead) -> OutcomeDetail {
        let remark = head.remark.as_deref().unwrap_or_default();
        tindoor_http::outcome_detail(remark).unwrap_or_else(|| {
            if let Some(times) = self.unknown_response_log.record() {
                tracing::warn!(remark, times, "response with an unknown remark");
            }
            OutcomeDetail::Unknown
        })
    }
}

//! Receives and sends the messages of one gRPC stream, and defines the ways in which a stream ends.

use std::future;
use std::io;

use bytes::Bytes;
use futures_lite::future::{or, yield_now};
use h2::{Reason, RecvStream, SendStream};
use http::HeaderMap;
use tindoor_extproc::frames::{self, FrameError};
use tindoor_extproc::messages::{Phase, ProcessingRequest, ProcessingResponse};

use crate::configuration::limits::{MemoryLimits, ProxyLimits};
use crate::connections::WorkTurn;
use crate::external::connection::ProxyConnection;
use crate::external::request_counter::CountedRequest;
use crate::memory::{Evicted, IncomingMessage, MemoryReservation, out_of_memory};
use crate::state::RouterState;
use crate::timeout::with_timeout;

/// How many messages of a stream are handled before other tasks run.
const MESSAGES_PER_TURN: u32 = 4;

/// The gRPC status of a call: a code and a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrpcStatus {
    pub code: u16,
    pub message: &'static str,
}

impl GrpcStatus {
    pub const OK: Self = Self { code: 0, message: "" };
    pub const UNIMPLEMENTED: u16 = 12;

    const INVALID_ARGUMENT: u16 = 3;
    const DEADLINE_EXCEEDED: u16 = 4;
    const RESOURCE_EXHAUSTED: u16 = 8;
    const ABORTED: u16 = 10;
    const UNAVAILABLE: u16 = 14;
}

/// Why a stream ends early.
#[derive(Clone, Copy, Debug)]
pub enum StreamEnd {
    /// The stream ends with this status in its trailers.
    Status(GrpcStatus),
    /// The stream was reset, or its connection was closed; no status can be sent.
    Gone,
}

impl StreamEnd {
    /// The proxy closed its side of the stream and does not wait for further replies.
    pub const CLOSED: Self = Self::Status(GrpcStatus::OK);

    pub fn invalid(message: &'static str) -> Self {
        Self::status(GrpcStatus::INVALID_ARGUMENT, message)
    }

    pub fn timed_out(message: &'static str) -> Self {
        Self::status(GrpcStatus::DEADLINE_EXCEEDED, message)
    }

    pub fn aborted(message: &'static str) -> Self {
        Self::status(GrpcStatus::ABORTED, message)
    }

    pub fn unavailable(message: &'static str) -> Self {
        Self::status(GrpcStatus::UNAVAILABLE, message)
    }

    fn status(code: u16, message: &'static str) -> Self {
        Self::Status(GrpcStatus { code, message })
    }
}

impl From<FrameError> for StreamEnd {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::TooLong => {
                Self::status(GrpcStatus::RESOURCE_EXHAUSTED, "a message is over the limit")
            }
            FrameError::Compressed => Self::status(GrpcStatus::UNIMPLEMENTED, "compressed"),
            FrameError::Unreadable => Self::invalid("a message can't be read"),
        }
    }
}

impl From<Evicted> for StreamEnd {
    fn from(_: Evicted) -> Self {
        Self::status(GrpcStatus::RESOURCE_EXHAUSTED, "no memory for an incomplete message")
    }
}

/// A call that has begun and has no final answer. Dropping it returns its memory.
pub struct CallUnderWay {
    _memory: MemoryReservation,
    _counted: CountedRequest,
}

/// The two directions of one stream.
pub struct MessageStream<'a> {
    limits: &'a ProxyLimits,
    memory_limits: &'a MemoryLimits,
    proxy: &'a ProxyConnection,
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    received: IncomingMessage,
    turn: WorkTurn,
}

impl<'a> MessageStream<'a> {
    /// Creates a stream; `received` is charged for a stream on which no message has arrived.
    pub fn new(
        router: &'a RouterState,
        proxy: &'a ProxyConnection,
        sender: SendStream<Bytes>,
        receiver: RecvStream,
        received: IncomingMessage,
    ) -> Self {
        Self {
            limits: &router.limits.proxy,
            memory_limits: &router.limits.memory,
            proxy,
            sender,
            receiver,
            received,
            turn: WorkTurn::new(MESSAGES_PER_TURN),
        }
    }

    /// Moves the charge of the stream to the budget of complete messages, as its call has begun. `None` if that
    /// budget is used up.
    pub fn begin_call(&mut self, router: &RouterState) -> Option<CallUnderWay> {
        let memory = router.memory.complete.reserve(self.memory_limits.stream_bytes)?;
        self.proxy.record_call();
        self.received.set_task_bytes(0);
        Some(CallUnderWay { _memory: memory, _counted: self.proxy.calls_under_way.count() })
    }

    /// Charges the stream as one on which nothing has to arrive any more: its call has its final answer, and it may
    /// be ended at any time.
    pub fn end_call(&mut self) {
        self.proxy.record_answer();
        self.received.complete();
        self.received.set_task_bytes(self.memory_limits.stream_bytes);
    }

    /// Returns the next phase, or `None` once the proxy has closed its side. Cancel safe: no data is lost if
    /// the future is dropped before it completes.
    pub async fn next(&mut self) -> Result<Option<Phase>, StreamEnd> {
        loop {
            if self.turn.ends_with_this_message() {
                yield_now().await;
            }
            let decoded = frames::decode(&mut self.received.buffer(), self.limits.max_message_bytes)?;
            if let Some(message) = decoded {
                self.received.complete();
                return phase_of(message).map(Some);
            }
            self.received.hold(self.proxy.standing())?;
            let (receiver, received) = (&mut self.receiver, &self.received);
            let data = async { Ok(receiver.data().await) };
            let evicted = async { Err(received.evicted().await) };
            match or(data, evicted).await? {
                Some(Ok(data)) => {
                    let _ = self.receiver.flow_control().release_capacity(data.len());
                    let message_bytes = frames::message_bytes(&self.received.buffer());
                    let is_valid = |bytes: &usize| *bytes <= self.limits.max_message_bytes;
                    self.received.append(&data, message_bytes.filter(is_valid));
                }
                Some(Err(_)) => return Err(StreamEnd::Gone),
                None if self.received.is_empty() => return Ok(None),
                None => return Err(StreamEnd::invalid("a message was cut off")),
            }
        }
    }

    /// Returns the connection of the stream.
    pub fn proxy(&self) -> &'a ProxyConnection {
        self.proxy
    }

    /// Returns whether the stream was ended to free memory.
    pub fn is_evicted(&self) -> bool {
        self.received.is_evicted()
    }

    /// Sends a message once the proxy's window has capacity for it.
    pub async fn send(&mut self, message: &ProcessingResponse) -> Result<(), StreamEnd> {
        let bytes = frames::encode(message);
        self.reserve(bytes.len()).await?;
        self.send_reserved(bytes)
    }

    /// Waits until the proxy's window has capacity for this many bytes. Resets the stream if that takes
    /// longer than the write timeout, or if the stream is ended to free memory.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), StreamEnd> {
        self.received.hold(self.proxy.standing())?;
        self.sender.reserve_capacity(bytes);
        let (sender, received) = (&mut self.sender, &self.received);
        let reserved = async {
            while sender.capacity() < bytes {
                match future::poll_fn(|context| sender.poll_capacity(context)).await {
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(io::Error::other(error)),
                    None => return Err(io::ErrorKind::BrokenPipe.into()),
                }
            }
            Ok(())
        };
        let evicted = async { Err(out_of_memory(received.evicted().await)) };
        match with_timeout(self.limits.write_timeout, or(reserved, evicted)).await {
            Ok(()) => Ok(()),
            Err(error) if matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::OutOfMemory) => {
                self.sender.send_reset(Reason::CANCEL);
                Err(StreamEnd::Gone)
            }
            Err(_) => Err(StreamEnd::Gone),
        }
    }

    /// Sends bytes for which [`reserve`](Self::reserve) has already reserved capacity.
    pub fn send_reserved(&mut self, bytes: Bytes) -> Result<(), StreamEnd> {
        self.sender.send_data(bytes, false).map_err(|_| StreamEnd::Gone)
    }

    pub fn send_trailers(&mut self, trailers: HeaderMap) {
        let _ = self.sender.send_trailers(trailers);
    }
}

fn phase_of(message: ProcessingRequest) -> Result<Phase, StreamEnd> {
    if message.observability_mode {
        let message = "observability mode takes no choice";
        return Err(StreamEnd::status(GrpcStatus::UNIMPLEMENTED, message));
    }
    message.phase.ok_or(StreamEnd::invalid("a message of no known kind"))
}

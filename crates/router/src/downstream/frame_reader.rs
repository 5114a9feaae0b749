//! Reads frames from a client's connection.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future;
use tindoor_thrift::ParseError;

use super::connection::Connection;
use crate::configuration::limits::ClientLimits;
use crate::connections::{Phase, WorkTurn, listener_names};
use crate::memory::{Evicted, IncomingMessage, MemoryAccount, Sender, Standing};
use crate::timeout::with_timeout;

/// How many frames are dispatched before other tasks run.
const FRAMES_PER_TURN: u32 = 16;

/// One frame from a client.
pub struct Frame {
    /// The frame, without its length prefix.
    pub bytes: Bytes,
    /// When its last byte was read.
    pub arrived: Instant,
}

/// Why no further frame can be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("{0}")]
    Malformed(#[from] ParseError),
    #[error("no complete frame arrived within the frame timeout")]
    Timeout,
    #[error("{0}")]
    Evicted(#[from] Evicted),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reads the frames of one connection.
pub struct FrameReader<'a> {
    connection: &'a Connection,
    memory: &'a MemoryAccount,
    limits: ClientLimits,
    message: IncomingMessage,
    turn: WorkTurn,
    /// When bytes were last read.
    arrived: Instant,
    /// When the first byte of an incomplete frame was read; initially, when the connection was accepted.
    /// `None` while the connection may stay idle without a timeout.
    incomplete_since: Option<Instant>,
}

/// The result of one read.
enum Received {
    Bytes,
    Nothing,
    /// The client has closed its side.
    Close,
}

impl<'a> FrameReader<'a> {
    /// Creates a reader for a connection that was just accepted.
    pub fn new(connection: &'a Connection, memory: &'a MemoryAccount, limits: ClientLimits) -> Self {
        let now = Instant::now();
        let address = connection.stream.get_ref().peer_addr().ok();
        let sender = Sender { listener: listener_names::CLIENTS, address };
        Self {
            connection,
            memory,
            limits,
            message: IncomingMessage::new(&memory.incoming, sender),
            turn: WorkTurn::new(FRAMES_PER_TURN),
            arrived: now,
            incomplete_since: Some(now),
        }
    }

    /// Returns the next frame; `None` once the client has closed its side or the router is closing the
    /// connection.
    pub async fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if !self.message.is_empty() && self.turn.ends_with_this_message() {
                self.hold()?;
                future::yield_now().await;
            }
            let bytes = self.take_frame()?;
            let is_drained = self.message.is_empty();
            self.connection.state.set_unparsed_bytes(!is_drained);
            if let Some(bytes) = bytes {
                self.message.complete();
                self.incomplete_since = Some(self.arrived).filter(|_| !is_drained);
                return Ok(Some(Frame { bytes, arrived: self.arrived }));
            }
            self.hold()?;
            // A client that sends continuously must not starve the others.
            future::yield_now().await;
            if self.connection.phase() != Phase::Open {
                return Ok(None);
            }
            match self.read_available()? {
                Received::Bytes => {}
                Received::Nothing => self.wait_readable().await?,
                Received::Close => return Ok(None),
            }
        }
    }

    /// Waits until the client has taken enough of its replies.
    pub async fn wait_for_reply_capacity(&self) -> Result<(), FrameError> {
        let max_unwritten = self.limits.max_unwritten_replies;
        if self.connection.has_reply_capacity(max_unwritten) {
            return Ok(());
        }
        self.hold()?;
        let has_capacity = async {
            self.connection.wait_for_reply_capacity(max_unwritten).await;
            Ok(())
        };
        let evicted = async { Err(self.message.evicted().await.into()) };
        future::or(has_capacity, evicted).await
    }

    /// Takes a complete frame from the buffer. A small one is copied, so that it does not keep the rest of the
    /// buffer in memory.
    fn take_frame(&self) -> Result<Option<Bytes>, ParseError> {
        let frame = tindoor_thrift::take_frame(&mut self.message.buffer(), self.limits.max_frame_bytes)?;
        let is_copied = |frame: &Bytes| frame.len() <= self.limits.max_copied_frame_bytes;
        Ok(frame.map(|frame| if is_copied(&frame) { Bytes::copy_from_slice(&frame) } else { frame }))
    }

    /// Charges the account of incomplete messages before the task waits.
    fn hold(&self) -> Result<(), Evicted> {
        self.message.hold(Standing::of(self.connection.state.has_sent_message()))
    }

    /// Reads once without waiting.
    fn read_available(&mut self) -> io::Result<Received> {
        self.connection.state.set_unread_bytes(false);
        let message = &self.message;
        let append = |bytes: &[u8]| {
            let frame_bytes = tindoor_thrift::frame_bytes(&message.buffer());
            let frame_bytes =
                frame_bytes.filter(|size| *size <= self.limits.max_frame_bytes + size_of::<u32>());
            message.append(bytes, frame_bytes);
            bytes.len()
        };
        match self.memory.read_buffer.read(self.connection.stream.get_ref(), append) {
            Ok(0) => Ok(Received::Close),
            Ok(_) => {
                self.arrived = Instant::now();
                self.connection.record_backlog(self.arrived);
                self.connection.state.set_unparsed_bytes(true);
                self.incomplete_since = self.incomplete_since.or(Some(self.arrived));
                Ok(Received::Bytes)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.connection.clear_backlog();
                Ok(Received::Nothing)
            }
            Err(error) => Err(error),
        }
    }

    /// Waits until there are bytes to read, for an incomplete frame at most until its timeout or its eviction.
    async fn wait_readable(&self) -> Result<(), FrameError> {
        let Some(since) = self.incomplete_since else {
            return Ok(self.connection.stream.readable().await?);
        };
        let time_remaining = self.limits.frame_timeout.saturating_sub(since.elapsed());
        let readable = async { with_timeout(time_remaining, self.connection.stream.readable()).await };
        let readable = async { readable.await.map_err(|_| FrameError::Timeout) };
        let evicted = async { Err(self.message.evicted().await.into()) };
        future::or(readable, evicted).await
    }
}

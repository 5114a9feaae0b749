//! Reads frames from a client's connection.

use std::io::{self, Read};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use tindoor_thrift::ParseError;

use super::connection::Connection;
use crate::configuration::limits::ClientLimits;
use crate::connections::Phase;
use crate::timeout::with_timeout;

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
    Io(#[from] io::Error),
}

/// Reads the frames of one connection.
pub struct FrameReader<'a> {
    connection: &'a Connection,
    limits: ClientLimits,
    buffer: BytesMut,
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
    pub fn new(connection: &'a Connection, limits: ClientLimits) -> Self {
        let now = Instant::now();
        Self { connection, limits, buffer: BytesMut::new(), arrived: now, incomplete_since: Some(now) }
    }

    /// Returns the next frame; `None` once the client has closed its side or the router is closing the
    /// connection.
    pub async fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            let bytes = tindoor_thrift::take_frame(&mut self.buffer, self.limits.max_frame_bytes)?;
            self.connection.state.set_unparsed_bytes(!self.buffer.is_empty());
            if let Some(bytes) = bytes {
                self.incomplete_since = Some(self.arrived).filter(|_| !self.buffer.is_empty());
                return Ok(Some(Frame { bytes, arrived: self.arrived }));
            }
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

    /// Reads once without waiting.
    fn read_available(&mut self) -> io::Result<Received> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + self.limits.read_chunk_bytes, 0);
        self.connection.state.set_unread_bytes(false);
        let result = self.connection.stream.get_ref().read(&mut self.buffer[filled..]);
        self.buffer.truncate(filled + result.as_ref().map_or(0, |size| *size));
        match result {
            Ok(0) => Ok(Received::Close),
            Ok(_) => {
                self.arrived = Instant::now();
                self.connection.record_backlog(self.arrived);
                self.incomplete_since = self.incomplete_since.or(Some(self.arrived));
                Ok(Received::Bytes)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.connection.clear_backlog();
                if self.buffer.is_empty() {
                    // Frees the buffer of an idle connection.
                    self.buffer = BytesMut::new();
                }
                Ok(Received::Nothing)
            }
            Err(error) => Err(error),
        }
    }

    /// Waits until there are bytes to read, for an incomplete frame at most until its timeout.
    async fn wait_readable(&self) -> Result<(), FrameError> {
        let Some(since) = self.incomplete_since else {
            return Ok(self.connection.stream.readable().await?);
        };
        let time_remaining = self.limits.frame_timeout.saturating_sub(since.elapsed());
        let readable = with_timeout(time_remaining, self.connection.stream.readable()).await;
        readable.map_err(|_| FrameError::Timeout)
    }
}

//! Tracks how far the change stream has been applied, and when a part of it must be requested again.

use crate::events::WatchEvent;
use crate::lines::{WatchMessage, parse_line};

/// The position in the change stream.
///
/// If an event is missing or a line can't be parsed, the stream is requested again once, on a new connection.
/// If the same fault occurs on the second connection, the stream itself is faulty, and the watch continues
/// after the fault.
#[derive(Debug, Default)]
pub struct WatchPosition {
    /// The sequence number of the last applied event.
    pub sequence: u64,
    /// The number of lines since then that could not be parsed. Each may have been an event, so this many
    /// sequence numbers may be missing.
    unparsed_lines: u64,
    /// The last applied event before a line that could not be parsed. The stream was requested again from
    /// there.
    retried_unparsed: Option<u64>,
    /// The sequence number before which events were missing. The stream was requested again for them.
    retried_gap: Option<u64>,
}

/// The result of accepting a line.
#[derive(Debug)]
pub enum Progress {
    /// There is nothing to do: the line is a heartbeat, or an event that was already applied.
    UpToDate,
    /// The caller must apply the event.
    Event(WatchEvent),
    /// The line could not be parsed a second time and is skipped.
    Skipped(serde_json::Error),
}

/// The reason why the watch must reconnect.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// A heartbeat names a later event than the last received one. Carries the number in the heartbeat.
    #[error("heartbeat names event {0}, which was not received")]
    MissingEvents(u64),
    /// The events directly before this one were not received.
    #[error("event {0} received, but the events before it are missing")]
    Gap(u64),
    /// A line can't be parsed. It may have been corrupted in transit.
    #[error("line can't be parsed: {0}")]
    UnparsedLine(#[source] serde_json::Error),
}

impl WatchPosition {
    /// Returns the position after this event.
    pub fn after(sequence: u64) -> Self {
        Self { sequence, ..Self::default() }
    }

    /// Must be called when a new connection has requested all events after [`sequence`](Self::sequence).
    pub fn reconnected(&mut self) {
        self.unparsed_lines = 0;
    }

    /// Accepts one line, without its line feed.
    ///
    /// # Errors
    ///
    /// An event is missing or the line can't be parsed, and the stream must be requested again.
    pub fn accept_line(&mut self, line: &[u8]) -> Result<Progress, WatchError> {
        match parse_line(line) {
            Ok(WatchMessage::Heartbeat(sequence)) => self.accept_heartbeat(sequence),
            Ok(WatchMessage::Event(event)) => self.accept_event(event),
            Err(error) => self.accept_unparsed(error),
        }
    }

    fn accept_heartbeat(&mut self, sequence: u64) -> Result<Progress, WatchError> {
        if sequence > self.sequence + self.unparsed_lines && self.retried_gap != Some(sequence) {
            self.retried_gap = Some(sequence);
            return Err(WatchError::MissingEvents(sequence));
        }
        Ok(Progress::UpToDate)
    }

    fn accept_event(&mut self, event: WatchEvent) -> Result<Progress, WatchError> {
        if event.sequence <= self.sequence {
            return Ok(Progress::UpToDate);
        }
        let is_next = event.sequence <= self.sequence + 1 + self.unparsed_lines;
        if !is_next && self.retried_gap != Some(event.sequence) {
            self.retried_gap = Some(event.sequence);
            return Err(WatchError::Gap(event.sequence));
        }
        self.sequence = event.sequence;
        self.unparsed_lines = 0;
        Ok(Progress::Event(event))
    }

    fn accept_unparsed(&mut self, error: serde_json::Error) -> Result<Progress, WatchError> {
        if self.retried_unparsed != Some(self.sequence) {
            self.retried_unparsed = Some(self.sequence);
            return Err(WatchError::UnparsedLine(error));
        }
        self.unparsed_lines += 1;
        Ok(Progress::Skipped(error))
    }
}

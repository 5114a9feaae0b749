//! How far the change stream has been applied, and when it has to be asked for again.

use crate::events::WatchEvent;
use crate::lines::{WatchMessage, parse_line};

/// The position in the change stream.
///
/// A missing event or a line that can't be parsed is asked for again once, on a new connection. Where it is
/// the same on the second connection, the stream itself has the fault, and the watch goes on behind it.
#[derive(Debug, Default)]
pub struct WatchPosition {
    /// The number of the last applied event.
    pub sequence: u64,
    /// Lines since then that could not be parsed: as many event numbers may be missing.
    unparsed_lines: u64,
    /// The last applied event before the line that could not be parsed and was asked for again.
    retried_after: Option<u64>,
    /// The event number before which a gap was found and asked for again.
    retried_gap: Option<u64>,
}

/// What a line leads to.
#[derive(Debug)]
pub enum Progress {
    /// Nothing: a heartbeat, or an event that was applied before.
    UpToDate,
    /// The event is to be applied.
    Event(WatchEvent),
    /// The line could not be parsed twice and is left out.
    Skipped(serde_json::Error),
}

/// Why the connection has to be made anew.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// A heartbeat names a later event than the last one that came.
    #[error("the stream is at event {0}, which did not come")]
    MissingEvents(u64),
    /// Events before this one did not come.
    #[error("a gap before event {0}")]
    Gap(u64),
    /// A line can't be parsed; it may have been damaged on its way.
    #[error("a line can't be parsed: {0}")]
    UnparsedLine(#[source] serde_json::Error),
}

impl WatchPosition {
    /// The position behind this event.
    pub fn after(sequence: u64) -> Self {
        Self { sequence, ..Self::default() }
    }

    /// A new connection asks for everything after [`sequence`](Self::sequence).
    pub fn reconnected(&mut self) {
        self.unparsed_lines = 0;
    }

    /// Takes one line, without its line feed.
    ///
    /// # Errors
    ///
    /// Something is missing and is to be asked for again.
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
        if self.retried_after != Some(self.sequence) {
            self.retried_after = Some(self.sequence);
            return Err(WatchError::UnparsedLine(error));
        }
        self.unparsed_lines += 1;
        Ok(Progress::Skipped(error))
    }
}

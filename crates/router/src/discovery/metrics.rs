//! What becomes of the connections to the change stream, for the log: when they begin, how long their first line
//! takes, why they end, and how old the router's knowledge is.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use super::connection::ConnectionEnd;

/// How far a connection to the change stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// The connection is being established.
    Connecting,
    /// The subscription was sent, and no complete line has been received.
    AwaitingFirstLine,
    /// At least one complete line has been received.
    Following,
}

impl fmt::Display for ConnectionStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connecting => "connecting",
            Self::AwaitingFirstLine => "awaiting the first line",
            Self::Following => "following",
        })
    }
}

/// The course of one connection to the change stream.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRecord {
    /// The number of the connection, counted from the start of the process.
    pub number: u64,
    /// When the connect began.
    pub begun: Instant,
    /// The time from `begun` until the subscription was sent.
    pub subscribed_after: Option<Duration>,
    /// The time from `begun` until the first complete line.
    pub first_line_after: Option<Duration>,
    /// The number of complete lines.
    pub lines: u64,
}

impl ConnectionRecord {
    /// Returns how far the connection has come.
    pub fn stage(&self) -> ConnectionStage {
        match (self.subscribed_after, self.first_line_after) {
            (_, Some(_)) => ConnectionStage::Following,
            (Some(_), None) => ConnectionStage::AwaitingFirstLine,
            (None, None) => ConnectionStage::Connecting,
        }
    }

    /// Returns the time since the connect began, in milliseconds.
    pub fn open_ms(&self) -> u64 {
        millis(self.begun.elapsed())
    }

    /// Returns the time from the begin of the connect to the first line, in milliseconds; `None` before it.
    pub fn first_line_ms(&self) -> Option<u64> {
        self.first_line_after.map(millis)
    }

    /// Records that the subscription was sent.
    pub fn record_subscribed(&mut self) {
        let elapsed = self.begun.elapsed();
        self.subscribed_after = Some(elapsed);
        tracing::debug!(connection = self.number, after_ms = millis(elapsed), "discovery watch subscribed");
    }
}

/// Counts and times of the connections to the change stream since the start of the process.
#[derive(Default)]
pub struct WatchMetrics {
    begun: Cell<u64>,
    /// The number of connections on which at least one line was received.
    answered: Cell<u64>,
    /// The number of connections that failed or were closed by the server before a line.
    failed: Cell<u64>,
    /// The number of connections that the router closed before a line.
    given_up: Cell<u64>,
    /// The number of connections that are being established or open.
    open: Cell<u64>,
    longest_first_line: Cell<Duration>,
    last_line: Cell<Option<Instant>>,
    /// The value of `begun` at the last report.
    reported: Cell<u64>,
}

impl WatchMetrics {
    /// Records that a connect begins, and returns the record of the connection.
    pub fn record_begun(&self) -> ConnectionRecord {
        let number = self.begun.get() + 1;
        self.begun.set(number);
        self.open.set(self.open.get() + 1);
        tracing::debug!(connection = number, "discovery watch connects");
        ConnectionRecord {
            number,
            begun: Instant::now(),
            subscribed_after: None,
            first_line_after: None,
            lines: 0,
        }
    }

    /// Records a complete line.
    pub fn record_line(&self, connection: &mut ConnectionRecord) {
        self.last_line.set(Some(Instant::now()));
        connection.lines += 1;
        if connection.first_line_after.is_some() {
            return;
        }
        let elapsed = connection.begun.elapsed();
        connection.first_line_after = Some(elapsed);
        self.answered.set(self.answered.get() + 1);
        self.longest_first_line.set(self.longest_first_line.get().max(elapsed));
        tracing::debug!(
            connection = connection.number,
            first_line_ms = millis(elapsed),
            "discovery watch is answered"
        );
    }

    /// Records the end of a connection, whichever side ended it, and why.
    pub fn record_ended(&self, connection: &ConnectionRecord, reason: &ConnectionEnd) {
        self.open.set(self.open.get() - 1);
        if connection.first_line_after.is_none() {
            let count = if reason.is_by_router() { &self.given_up } else { &self.failed };
            count.set(count.get() + 1);
        }
        tracing::debug!(
            connection = connection.number,
            stage = %connection.stage(),
            open_ms = connection.open_ms(),
            first_line_ms = connection.first_line_ms(),
            lines = connection.lines,
            %reason,
            "discovery watch connection ended"
        );
    }

    /// Returns the time since the last line of the change stream, in milliseconds; `None` before the first.
    pub fn known_age_ms(&self) -> Option<u64> {
        self.last_line.get().map(|last_line| millis(last_line.elapsed()))
    }

    /// Logs the figures if a connection began since the last report, beyond the first of the process.
    pub fn report(&self) {
        let begun = self.begun.get();
        if self.reported.replace(begun) == begun || begun <= 1 {
            return;
        }
        tracing::info!(
            begun,
            answered = self.answered.get(),
            failed = self.failed.get(),
            given_up = self.given_up.get(),
            longest_first_line_ms = millis(self.longest_first_line.get()),
            open = self.open.get(),
            known_age_ms = self.known_age_ms(),
            "discovery watch has reconnected"
        );
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

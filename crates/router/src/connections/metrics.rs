//! What happens at each listener, for the log: how many connections there are, and what became of those that
//! found the listener full.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::table::ConnectionTable;

/// The number of connections of a listener, by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that accept calls.
    pub open: usize,
    /// Open connections that may be closed to make room: no call is open, and nothing has arrived.
    pub idle: usize,
    /// Connections that are being closed and still hold a descriptor.
    pub closing: usize,
}

/// The events at a listener since the start.
#[derive(Default)]
pub struct ListenerMetrics {
    closed_to_make_room: Cell<u64>,
    refused: Cell<u64>,
    /// The number of times that a connection had to wait to be accepted, as no room could be made.
    waits: Cell<u64>,
    longest_wait: Cell<Duration>,
    /// Since when connections have been waiting in the system's accept queue; `None` if the queue was last
    /// seen empty.
    waiting_since: Cell<Option<Instant>>,
    /// Since when connections have been waiting while all others are in use.
    blocked_since: Cell<Option<Instant>>,
    /// The number of events at the last report.
    reported_events: Cell<u64>,
}

impl ListenerMetrics {
    /// Records that a connection was closed to make room for others.
    pub fn record_closed_to_make_room(&self) {
        self.closed_to_make_room.set(self.closed_to_make_room.get() + 1);
    }

    /// Records that a connection was refused.
    pub fn record_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Returns how long connections have been waiting to be accepted; `None` if none is known to wait.
    pub fn waiting_time(&self) -> Option<Duration> {
        self.waiting_since.get().map(|since| since.elapsed())
    }

    /// Records that a connection waits to be accepted, and returns how long connections have been waiting.
    pub fn record_waiting(&self) -> Duration {
        if self.waiting_since.get().is_none() {
            self.waits.set(self.waits.get() + 1);
        }
        let waiting_time = time_since(&self.waiting_since);
        self.longest_wait.set(self.longest_wait.get().max(waiting_time));
        waiting_time
    }

    /// Records that all connections are in use, and returns for how long they have been.
    pub fn record_blocked(&self) -> Duration {
        time_since(&self.blocked_since)
    }

    /// Records that a connection was closed or is being closed, so that there will be room.
    pub fn record_unblocked(&self) {
        self.blocked_since.set(None);
    }

    /// Records that no connection waits to be accepted.
    pub fn record_queue_empty(&self) {
        self.waiting_since.set(None);
        self.blocked_since.set(None);
    }

    /// Returns whether the listener was full since the last call.
    fn take_unreported(&self) -> bool {
        let events = self.closed_to_make_room.get() + self.refused.get() + self.waits.get();
        self.reported_events.replace(events) != events || self.waiting_since.get().is_some()
    }
}

/// Returns the time since a condition began, which is now if it has not been recorded before.
fn time_since(begin: &Cell<Option<Instant>>) -> Duration {
    let since = begin.get().unwrap_or_else(Instant::now);
    begin.set(Some(since));
    since.elapsed()
}

/// Logs the figures of a listener that was full since its last report.
pub fn report_if_full(table: &ConnectionTable) {
    let metrics = &table.metrics;
    if !metrics.take_unreported() {
        return;
    }
    let ConnectionCounts { open, idle, closing } = table.counts();
    let waiting_ms = metrics.waiting_time().unwrap_or_default().as_millis() as u64;
    let longest_wait_ms = metrics.longest_wait.get().as_millis() as u64;
    tracing::info!(
        listener = table.listener,
        max = table.limits.max_connections,
        open,
        idle,
        closing,
        closed_to_make_room = metrics.closed_to_make_room.get(),
        refused = metrics.refused.get(),
        waits = metrics.waits.get(),
        waiting_ms,
        longest_wait_ms,
        "listener was full"
    );
}

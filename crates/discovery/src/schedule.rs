//! Decides when the watch begins a connection to the change stream, and which of its connections it gives up.
//!
//! A server may be slow to answer, or may never answer on a connection because it is stuck, has vanished or was
//! replaced. A router can't tell these cases apart. Giving up a slow connection loses its place in the server's
//! queue and adds another subscription to it, so the watch keeps waiting on the connections it has and begins
//! another one beside them:
//!
//! - A further connection begins once the newest one has been silent for its patience, or has ended. While no
//!   line comes, the patience and the pause before the next connection grow, up to their maxima.
//! - The first complete line on any connection ends all others.
//! - At the maximum number of connections, the oldest keeps its place however long it takes. The newest one gives
//!   way to the next, except that the second oldest does so once it has waited for longer than the time by which
//!   it began after the oldest. The second oldest is thereby kept for about twice as long each time, so that a
//!   slow server is heard even if the oldest connection leads nowhere.

use std::time::{Duration, Instant};

/// The number of connections in a row, begun while others wait, for which the patience does not grow yet.
const CONSTANT_PATIENCE_ATTEMPTS: u32 = 2;
/// The factor by which the patience grows with each further connection.
const PATIENCE_GROWTH: f64 = 1.4;
/// The number of connections in a row without an answer before the pause between them grows.
const CONSTANT_PAUSE_ATTEMPTS: u32 = 2;
/// The factor by which the pause grows with each further connection.
const PAUSE_GROWTH: f64 = 2.0;

/// Limits of the connections of one watch.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleLimits {
    /// The maximum number of connections at a time; at least 1.
    pub max_connections: usize,
    /// How long a connect may take before another connection begins.
    pub connect_patience: Duration,
    /// How long a connection may be silent before another one begins. The stream sends a heartbeat every second.
    pub silence_patience: Duration,
    /// How long a line may take to arrive in pieces before another connection begins, and the maximum of
    /// `silence_patience` on a connection that has been answered.
    pub line_patience: Duration,
    /// The maximum patience with a connect, and with a connection that has not been answered.
    pub max_patience: Duration,
    /// The pause before the next connection. Jitter adds up to the same time again.
    pub pause: Duration,
    /// The maximum of `pause`, to which jitter adds up to the same time again.
    pub max_pause: Duration,
    /// How long a connection must deliver lines before earlier failures are forgotten.
    pub stable_after: Duration,
}

/// Identifies a connection of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// A connection that is to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The id of the new connection.
    pub id: ConnectionId,
    /// The connection that must be closed for it, if the maximum number is reached.
    pub gives_way: Option<ConnectionId>,
}

/// A connection that is being established or open.
#[derive(Clone, Copy, Debug)]
struct Connection {
    id: ConnectionId,
    /// When it began, or when its last line was received.
    waiting_since: Instant,
    /// When it began, when the subscription was sent, or when its last line was received.
    line_begun: Instant,
    first_line_at: Option<Instant>,
}

/// The connections of one watch, and when the next one begins.
#[derive(Debug)]
pub struct ConnectionSchedule {
    limits: ScheduleLimits,
    /// In the order in which they began.
    connections: Vec<Connection>,
    begun: u64,
    /// The number of connections begun since lines last arrived regularly.
    attempts: u32,
    /// The number of these that began while another connection waited.
    parallel_attempts: u32,
    /// The jitter of the pause, from 0 to 1, as a share of the pause.
    jitter: f64,
    next_attempt: Instant,
}

impl ConnectionSchedule {
    /// Creates the schedule of a watch whose first connection is to begin now.
    pub fn new(limits: ScheduleLimits, now: Instant) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            begun: 0,
            attempts: 0,
            parallel_attempts: 0,
            jitter: 0.0,
            next_attempt: now,
        }
    }

    /// Returns when [`begin`](Self::begin) must be called next. Each event may change this time.
    pub fn next_attempt(&self) -> Instant {
        self.next_attempt
    }

    /// Returns the number of connections begun since lines last arrived regularly.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Begins a connection. `jitter` is a random number from 0 to 1.
    pub fn begin(&mut self, now: Instant, jitter: f64) -> Attempt {
        if !self.connections.is_empty() {
            self.parallel_attempts = self.parallel_attempts.saturating_add(1);
        }
        self.attempts = self.attempts.saturating_add(1);
        self.jitter = jitter;
        let gives_way = self.remove_for_next(now);
        self.begun += 1;
        let id = ConnectionId(self.begun);
        self.connections.push(Connection { id, waiting_since: now, line_begun: now, first_line_at: None });
        self.next_attempt = now + self.connect_patience() + self.pause();
        Attempt { id, gives_way }
    }

    /// Records that the connect has succeeded and the subscription was sent.
    pub fn subscribed(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.iter_mut().find(|connection| connection.id == id) else {
            return;
        };
        connection.line_begun = now;
        self.postpone(id, now);
    }

    /// Records that a part of a line was received.
    pub fn received_part(&mut self, id: ConnectionId, now: Instant) {
        self.postpone(id, now);
    }

    /// Records a complete line, and returns the other connections, which must be closed.
    pub fn received_line(&mut self, id: ConnectionId, now: Instant) -> Vec<ConnectionId> {
        let Some(index) = self.connections.iter().position(|connection| connection.id == id) else {
            return Vec::new();
        };
        let mut connection = self.connections.remove(index);
        let superseded = self.connections.drain(..).map(|other| other.id).collect();
        let first_line_at = *connection.first_line_at.get_or_insert(now);
        let is_regular = now.duration_since(connection.waiting_since) <= self.limits.silence_patience;
        if is_regular && now.duration_since(first_line_at) >= self.limits.stable_after {
            self.attempts = 0;
            self.parallel_attempts = 0;
        }
        connection.waiting_since = now;
        connection.line_begun = now;
        self.connections.push(connection);
        self.postpone(id, now);
        superseded
    }

    /// Records that a connection has ended or could not be established. The next one begins after a pause, unless
    /// a newer connection is still open.
    pub fn ended(&mut self, id: ConnectionId, now: Instant) {
        let was_newest = self.connections.last().is_some_and(|newest| newest.id == id);
        self.connections.retain(|connection| connection.id != id);
        if was_newest {
            self.next_attempt = now + self.pause();
        }
    }

    /// Returns whether the connection is neither closed nor superseded.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.iter().any(|connection| connection.id == id)
    }

    /// Removes the connection that must give way to the next one, if the maximum number is reached.
    fn remove_for_next(&mut self, now: Instant) -> Option<ConnectionId> {
        if self.connections.len() < self.limits.max_connections {
            return None;
        }
        let newest = self.connections.len() - 1;
        let index = if self.second_oldest_gives_way(now) { 1 } else { newest };
        Some(self.connections.remove(index).id)
    }

    fn second_oldest_gives_way(&self, now: Instant) -> bool {
        let [oldest, second, _, ..] = self.connections[..] else { return false };
        let waited = now.duration_since(second.waiting_since);
        waited > second.waiting_since.duration_since(oldest.waiting_since)
    }

    /// Lets the newest connection have its full patience from now on. An older one has no influence on when the
    /// next connection begins.
    fn postpone(&mut self, id: ConnectionId, now: Instant) {
        let Some(newest) = self.connections.last().filter(|newest| newest.id == id) else { return };
        let patience = match newest.first_line_at {
            Some(_) => self.grown_patience(self.limits.silence_patience, self.limits.line_patience),
            None => self.grown_patience(self.limits.silence_patience, self.limits.max_patience),
        };
        let line_deadline = newest.line_begun + patience.max(self.limits.line_patience);
        self.next_attempt = (now + patience).min(line_deadline) + self.pause();
    }

    fn connect_patience(&self) -> Duration {
        self.grown_patience(self.limits.connect_patience, self.limits.max_patience)
    }

    fn grown_patience(&self, patience: Duration, max_patience: Duration) -> Duration {
        let steps = self.parallel_attempts.saturating_sub(CONSTANT_PATIENCE_ATTEMPTS);
        grow(patience, PATIENCE_GROWTH, steps, max_patience)
    }

    fn pause(&self) -> Duration {
        let steps = self.attempts.saturating_sub(CONSTANT_PAUSE_ATTEMPTS);
        let pause = grow(self.limits.pause, PAUSE_GROWTH, steps, self.limits.max_pause);
        pause.mul_f64(1.0 + self.jitter)
    }
}

/// Multiplies a time by `factor` for each step, up to a maximum.
fn grow(time: Duration, factor: f64, steps: u32, max: Duration) -> Duration {
    let grown = time.as_secs_f64() * factor.powi(steps.min(i32::MAX as u32) as i32);
    Duration::from_secs_f64(grown.min(max.as_secs_f64()))
}

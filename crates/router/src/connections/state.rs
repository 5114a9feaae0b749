//! The state of one accepted connection that decides whether it may be closed to make room for others.

use std::cell::Cell;
use std::future;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// The phase of a connection; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Calls are accepted and answered.
    Open,
    /// The router is about to close the connection; outstanding replies are still written.
    Closing,
    /// The router has closed its side. Bytes that still arrive are read and discarded.
    HalfClosed,
    /// The connection has ended.
    Ended,
}

/// What the router knows of an accepted connection, whatever its protocol.
pub struct ConnectionState {
    phase: Cell<Phase>,
    /// Whether the system's receive buffer is known to hold unread bytes.
    has_unread_bytes: Cell<bool>,
    /// Whether bytes were read that are not dispatched yet: an incomplete message, or further messages.
    has_unparsed_bytes: Cell<bool>,
    /// Whether a complete message has ever arrived.
    has_sent_message: Cell<bool>,
    /// When a message was last read, a reply last written, or the phase last changed; initially, when the
    /// connection was accepted.
    last_activity: Cell<Instant>,
    /// The waker of the task that waits for replies to write or for the next phase.
    waker: Cell<Option<Waker>>,
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self {
            phase: Cell::new(Phase::Open),
            has_unread_bytes: Cell::new(false),
            has_unparsed_bytes: Cell::new(false),
            has_sent_message: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            waker: Cell::default(),
        }
    }
}

impl ConnectionState {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Advances to a phase and wakes the waiting task; does nothing if the phase has been reached.
    pub fn advance(&self, phase: Phase) {
        if self.phase.get() < phase {
            self.phase.set(phase);
            self.last_activity.set(Instant::now());
            self.wake();
        }
    }

    /// Returns whether a complete message has ever arrived.
    pub fn has_sent_message(&self) -> bool {
        self.has_sent_message.get()
    }

    /// Records that a complete message has arrived.
    pub fn record_message(&self, arrived: Instant) {
        self.last_activity.set(arrived);
        self.has_sent_message.set(true);
    }

    /// Returns when a message was last read, a reply last written, or the phase last changed.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Records that a reply has been written or a call has ended.
    pub fn record_activity(&self) {
        self.last_activity.set(Instant::now());
    }

    /// Returns the time since the last activity.
    pub fn idle_time(&self) -> Duration {
        self.last_activity.get().elapsed()
    }

    /// Records whether the system's receive buffer holds unread bytes.
    pub fn set_unread_bytes(&self, has_unread_bytes: bool) {
        self.has_unread_bytes.set(has_unread_bytes);
    }

    /// Returns whether the system's receive buffer is known to hold unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        self.has_unread_bytes.get()
    }

    /// Records whether bytes have been read that are not dispatched yet.
    pub fn set_unparsed_bytes(&self, has_unparsed_bytes: bool) {
        self.has_unparsed_bytes.set(has_unparsed_bytes);
    }

    /// Returns whether bytes have been read that are not dispatched yet.
    pub fn has_unparsed_bytes(&self) -> bool {
        self.has_unparsed_bytes.get()
    }

    /// Registers the task to wake when the phase changes or [`wake`](Self::wake) is called. Replaces the one
    /// registered before.
    pub fn register(&self, context: &Context<'_>) {
        self.waker.set(Some(context.waker().clone()));
    }

    /// Wakes the registered task.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the connection has reached a phase.
    pub async fn wait_for(&self, phase: Phase) {
        future::poll_fn(|context| {
            if self.phase.get() >= phase {
                return Poll::Ready(());
            }
            self.register(context);
            Poll::Pending
        })
        .await;
    }
}

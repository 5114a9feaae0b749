//! The connections of one listener, and which of them are closed to make room for new ones.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use super::managed::ManagedConnection;
use super::metrics::{ConnectionCounts, ListenerMetrics};
use super::state::Phase;
use crate::configuration::limits::ConnectionLimits;

/// All connections of one listener whose descriptor is open, including those that are being closed.
pub struct ConnectionTable {
    /// The name of the listener in the log.
    pub listener: &'static str,
    /// The limits of the listener.
    pub limits: ConnectionLimits,
    /// What has happened at the listener.
    pub metrics: ListenerMetrics,
    connections: RefCell<Vec<Weak<dyn ManagedConnection>>>,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(listener: &'static str, limits: ConnectionLimits) -> Self {
        Self { listener, limits, metrics: ListenerMetrics::default(), connections: RefCell::default() }
    }

    /// Registers an accepted connection.
    pub fn add(&self, connection: &Rc<dyn ManagedConnection>) {
        self.connections.borrow_mut().push(Rc::downgrade(connection));
    }

    fn all(&self) -> Vec<Rc<dyn ManagedConnection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    fn closed_at_shutdown(&self) -> Vec<Rc<dyn ManagedConnection>> {
        let mut connections = self.all();
        connections.retain(|connection| connection.closes_at_shutdown());
        connections
    }

    /// Returns whether there is no connection that a shutdown closes.
    pub fn is_empty(&self) -> bool {
        self.closed_at_shutdown().is_empty()
    }

    /// Returns how many connections there are, by state.
    pub fn counts(&self) -> ConnectionCounts {
        let all = self.all();
        let open = all.iter().filter(|connection| connection.state().phase() == Phase::Open).count();
        let idle = all.iter().filter(|connection| is_evictable(connection, &self.limits)).count();
        ConnectionCounts { open, idle, closing: all.len() - open }
    }

    /// Makes room for a connection that is waiting. While none is free, closes an evictable connection with each
    /// call, until half of the connections are being closed.
    pub fn make_room(&self) -> Room {
        self.make_room_up_to(EvictionClass::New, self.limits.max_connections / 2)
    }

    /// Makes room for connections that may arrive. Does not close connections that were just accepted.
    pub fn keep_room(&self) -> Room {
        self.make_room_up_to(EvictionClass::Idle, 0)
    }

    /// Closes an evictable connection if at most `reserved_connections` are free or being closed or, if none is
    /// free, if fewer than `max_closing` are being closed; `last` is the last class that is closed if none is
    /// free. Then also ends the connection that has been lingering for longest, provided that it has lingered for
    /// `min_linger`.
    fn make_room_up_to(&self, last: EvictionClass, max_closing: usize) -> Room {
        let all = self.all();
        let open = all.iter().filter(|connection| connection.state().phase() == Phase::Open).count();
        let is_full = all.len() >= self.limits.max_connections;
        let is_reserve_in_use = open + self.limits.reserved_connections >= self.limits.max_connections;
        if is_reserve_in_use || is_full && all.len() - open < max_closing {
            self.close_first(&all, if is_full { last } else { EvictionClass::Idle });
        }
        if !is_full {
            return Room::Available;
        }
        let lingering = all.iter().filter(|connection| connection.is_lingering());
        let Some(oldest) = lingering.min_by_key(|connection| connection.state().last_activity()) else {
            return Room::Unavailable;
        };
        oldest.end_if_lingered(self.limits.min_linger);
        Room::BeingMade
    }

    /// Closes one evictable connection; returns false if there is none.
    pub fn close_one(&self) -> bool {
        self.close_first(&self.all(), EvictionClass::New)
    }

    /// Closes the first connection in eviction order, up to the class `last`; returns false if none can be
    /// closed.
    fn close_first(&self, connections: &[Rc<dyn ManagedConnection>], last: EvictionClass) -> bool {
        let is_closed = close_idle_connection(connections, &self.limits, last);
        if is_closed {
            self.metrics.record_closed_to_make_room();
        }
        is_closed
    }

    /// Begins to close each idle connection, and completes closes that have been announced; returns true once
    /// no connection accepts calls any more.
    pub fn close_idle(&self) -> bool {
        let mut all_closed = true;
        for connection in self.closed_at_shutdown() {
            connection.finish_close(self.limits.min_linger);
            if connection.is_idle() {
                connection.begin_close();
            }
            all_closed &= !connection.accepts_calls();
        }
        all_closed
    }

    /// Stops every connection: abandons its calls, and closes it once its replies are written.
    pub fn stop_all(&self) {
        self.closed_at_shutdown().iter().for_each(|connection| connection.stop());
    }
}

/// Whether there is room for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// One more connection may be accepted.
    Available,
    /// Connections are being closed, so that there will be room.
    BeingMade,
    /// All connections are in use.
    Unavailable,
}

/// The order in which connections are closed to make room: the lowest class first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// No complete message arrived in time. Closed first, so that silent peers don't displace active ones.
    Stalled,
    /// The peer has sent messages. The connection that has been idle for longest is closed first.
    Idle,
    /// The connection was just accepted, and its first call may be on its way.
    New,
}

fn eviction_class(connection: &Rc<dyn ManagedConnection>, limits: &ConnectionLimits) -> EvictionClass {
    if connection.state().has_sent_message() {
        EvictionClass::Idle
    } else if connection.is_stalled(limits.first_message_timeout) {
        EvictionClass::Stalled
    } else {
        EvictionClass::New
    }
}

fn is_evictable(connection: &Rc<dyn ManagedConnection>, limits: &ConnectionLimits) -> bool {
    connection.is_idle() || connection.is_stalled(limits.first_message_timeout)
}

/// Closes the first connection in eviction order, up to the class `last`; returns false if none can be closed.
fn close_idle_connection(
    connections: &[Rc<dyn ManagedConnection>],
    limits: &ConnectionLimits,
    last: EvictionClass,
) -> bool {
    let class = |connection: &Rc<dyn ManagedConnection>| eviction_class(connection, limits);
    loop {
        let evictable = connections
            .iter()
            .filter(|connection| is_evictable(connection, limits) && class(connection) <= last);
        let first =
            evictable.min_by_key(|connection| (class(connection), connection.state().last_activity()));
        let Some(first) = first else { return false };
        if first.begin_close() {
            return true;
        }
        // Bytes have arrived on the connection, so it is no longer evictable.
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_table.rs"]
mod tests;

//! Tracks all client connections, selects which of them are closed to make room for new ones, and closes them
//! at shutdown.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::{Rc, Weak};

use async_io::Async;

use super::connection::{Connection, Phase};
use crate::configuration::limits::ClientLimits;

/// All client connections whose descriptor is open, including those that are being closed.
#[derive(Default)]
pub struct Connections {
    all: RefCell<Vec<Weak<Connection>>>,
    unwritten_replies: Rc<Cell<usize>>,
}

impl Connections {
    /// Registers an accepted connection.
    pub(super) fn add(&self, stream: Async<TcpStream>) -> Rc<Connection> {
        let connection = Rc::new(Connection::new(stream, Rc::clone(&self.unwritten_replies)));
        self.all.borrow_mut().push(Rc::downgrade(&connection));
        connection
    }

    fn all(&self) -> Vec<Rc<Connection>> {
        let mut all = self.all.borrow_mut();
        all.retain(|connection| connection.strong_count() > 0);
        all.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.all().is_empty()
    }

    /// Returns the number of unwritten replies on all connections.
    pub fn unwritten_replies(&self) -> usize {
        self.unwritten_replies.get()
    }

    /// Returns whether one more connection may be accepted. Closes an evictable connection if at most
    /// `reserved_connections` are free or being closed. If none is free, ends the connection that was
    /// half-closed first, provided that it has lingered for `min_linger`.
    pub(super) fn make_room(&self, limits: &ClientLimits) -> bool {
        let all = self.all();
        let open = all.iter().filter(|connection| connection.phase() == Phase::Open).count();
        if open + limits.reserved_connections >= limits.max_connections {
            close_idle_connection(&all, limits);
        }
        if all.len() < limits.max_connections {
            return true;
        }
        let half_closed = all.iter().filter(|connection| connection.phase() == Phase::HalfClosed);
        if let Some(oldest) = half_closed.min_by_key(|connection| connection.last_activity()) {
            oldest.end_if_lingered(limits.min_linger);
        }
        false
    }

    /// Closes one evictable connection, if there is any.
    pub(super) fn close_one(&self, limits: &ClientLimits) {
        close_idle_connection(&self.all(), limits);
    }

    /// Closes the router's side of each idle connection; returns true if no connection is open any more.
    pub fn close_idle(&self) -> bool {
        let mut all_closed = true;
        for connection in self.all() {
            if connection.phase() == Phase::Open {
                all_closed &= connection.is_idle() && connection.close_unless_unread();
            }
        }
        all_closed
    }

    /// Starts closing every connection: abandons its calls, and closes it once its replies are written.
    pub fn close_all(&self) {
        self.all().iter().for_each(|connection| connection.stop_accepting_calls());
    }
}

/// The order in which connections are closed to make room: the lowest class first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// No complete frame arrived in time. Closed first, so that silent clients don't displace active ones.
    Stalled,
    /// The client has sent calls. The connection that has been idle for longest is closed first.
    Idle,
    /// The connection was just accepted, and its first call may be on its way.
    New,
}

fn eviction_class(connection: &Connection, limits: &ClientLimits) -> EvictionClass {
    if connection.has_sent_frame() {
        EvictionClass::Idle
    } else if connection.is_stalled(limits.first_call_timeout) {
        EvictionClass::Stalled
    } else {
        EvictionClass::New
    }
}

/// Closes the first connection in eviction order; returns false if none can be closed.
fn close_idle_connection(connections: &[Rc<Connection>], limits: &ClientLimits) -> bool {
    let is_evictable = |connection: &&Rc<Connection>| {
        connection.is_idle() || connection.is_stalled(limits.first_call_timeout)
    };
    let rank =
        |connection: &&Rc<Connection>| (eviction_class(connection, limits), connection.last_activity());
    loop {
        let Some(first) = connections.iter().filter(is_evictable).min_by_key(rank) else { return false };
        if first.close_unless_unread() {
            return true;
        }
        // Bytes have arrived on the connection, so it is no longer evictable.
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream_connections.rs"]
mod tests;

//! The account of clients' connections: which are open, which make room for others, and how they end at a
//! shutdown.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::{Rc, Weak};

use async_io::Async;

use super::connection::{Connection, Phase};
use crate::configuration::limits::ClientLimits;

/// Every connection whose descriptor is open, those that the router is closing included.
#[derive(Default)]
pub struct Connections {
    all: RefCell<Vec<Weak<Connection>>>,
    unwritten_replies: Rc<Cell<usize>>,
}

impl Connections {
    /// Adds an accepted connection.
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

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.all().is_empty()
    }

    /// Replies on all connections that are not yet written.
    pub fn unwritten_replies(&self) -> usize {
        self.unwritten_replies.get()
    }

    /// Whether one more may be accepted. Closes a connection where too few are free or being closed, and cuts
    /// one whose client does not close its side where none is left.
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
            oldest.cut(limits.min_linger);
        }
        false
    }

    /// Closes an idle connection, if there is one.
    pub(super) fn close_one(&self, limits: &ClientLimits) {
        close_idle_connection(&self.all(), limits);
    }

    /// Closes the router's side of each idle connection; true once none is open.
    pub fn close_idle(&self) -> bool {
        let mut all_closed = true;
        for connection in self.all() {
            if connection.phase() == Phase::Open {
                all_closed &= connection.is_idle() && connection.close_unless_unread();
            }
        }
        all_closed
    }

    /// Has every connection close once the replies that it owes are written.
    pub fn close_all(&self) {
        self.all().iter().for_each(|connection| connection.stop_accepting_calls());
    }
}

/// The order in which idle connections make room: the lowest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// No complete frame came in time, so silent clients take no place from others.
    Stalled,
    /// It has sent calls; the one idle for longest goes first.
    Idle,
    /// It was accepted just now, and its first call may be on its way.
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

/// Closes the connection that makes room first; false where none is idle.
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
        // A call has arrived on it, so it is not evictable any more.
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream_connections.rs"]
mod tests;

//! Making room for new connections, with connections that have no protocol.

use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::*;
use crate::connections::ConnectionState;

/// A connection whose peer never does anything.
struct SilentConnection {
    state: ConnectionState,
    socket: TcpStream,
    is_busy: Cell<bool>,
    _peer: TcpStream,
}

impl ManagedConnection for SilentConnection {
    fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.socket)
    }

    fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    fn stop(&self) {
        self.state.advance(Phase::Closing);
    }
}

fn limits(max_connections: usize, reserved_connections: usize) -> ConnectionLimits {
    ConnectionLimits {
        max_connections,
        reserved_connections,
        first_message_timeout: Duration::ZERO,
        linger_timeout: Duration::from_secs(3600),
        min_linger: Duration::ZERO,
        max_blocked_time: Duration::from_secs(3600),
        max_queue_time: Duration::from_secs(3600),
        room_check_interval: Duration::from_secs(3600),
    }
}

/// Returns a table and the connections that were added to it, in the order of their last message.
fn table(limits: ConnectionLimits, connections: usize) -> (ConnectionTable, Vec<Rc<SilentConnection>>) {
    let table = ConnectionTable::new("test", limits);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let added = (0..connections).map(|_| {
        let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let socket = listener.accept().unwrap().0;
        socket.set_nonblocking(true).unwrap();
        let state = ConnectionState::default();
        state.record_message(Instant::now());
        let connection = Rc::new(SilentConnection { state, socket, is_busy: Cell::new(false), _peer: peer });
        table.add(&(Rc::clone(&connection) as Rc<dyn ManagedConnection>));
        connection
    });
    let added = added.collect();
    (table, added)
}

fn phases(connections: &[Rc<SilentConnection>]) -> Vec<Phase> {
    connections.iter().map(|connection| connection.state.phase()).collect()
}

#[test]
fn the_connection_that_was_idle_for_longest_is_closed_before_the_limit_is_reached() {
    let (table, connections) = table(limits(4, 2), 2);
    assert_eq!(table.make_room(), Room::Available);
    assert_eq!(phases(&connections), [Phase::HalfClosed, Phase::Open]);
    let counts = table.counts();
    assert_eq!((counts.open, counts.idle, counts.closing), (1, 1, 1));
}

#[test]
fn a_busy_connection_is_never_closed_to_make_room() {
    let (table, connections) = table(limits(2, 0), 2);
    connections.iter().for_each(|connection| connection.is_busy.set(true));
    assert_eq!(table.make_room(), Room::Unavailable);
    assert_eq!(phases(&connections), [Phase::Open, Phase::Open]);
    connections[1].is_busy.set(false);
    assert_eq!(table.make_room(), Room::BeingMade, "the connection lingers");
    assert_eq!(phases(&connections), [Phase::Open, Phase::Ended]);
}

#[test]
fn a_connection_without_a_message_is_closed_before_one_that_has_been_idle_for_longer() {
    let (table, mut connections) = table(limits(3, 0), 2);
    let silent = Rc::new(SilentConnection {
        state: ConnectionState::default(),
        socket: connections[0].socket.try_clone().unwrap(),
        is_busy: Cell::new(false),
        _peer: connections[0]._peer.try_clone().unwrap(),
    });
    table.add(&(Rc::clone(&silent) as Rc<dyn ManagedConnection>));
    connections.push(silent);
    assert!(table.close_one());
    assert_eq!(phases(&connections), [Phase::Open, Phase::Open, Phase::HalfClosed]);
}

#[test]
fn a_connection_that_was_just_accepted_is_not_closed_to_keep_others_free() {
    let (table, connections) = table(limits(2, 1), 1);
    connections[0].is_busy.set(true);
    let new_limits = ConnectionLimits { first_message_timeout: Duration::from_secs(3600), ..limits(2, 1) };
    let table = ConnectionTable { limits: new_limits, ..table };
    let new = Rc::new(SilentConnection {
        state: ConnectionState::default(),
        socket: connections[0].socket.try_clone().unwrap(),
        is_busy: Cell::new(false),
        _peer: connections[0]._peer.try_clone().unwrap(),
    });
    assert_eq!(table.keep_room(), Room::Available);
    table.add(&(Rc::clone(&new) as Rc<dyn ManagedConnection>));
    assert_eq!(table.keep_room(), Room::Unavailable);
    assert_eq!(new.state.phase(), Phase::Open);
    assert_eq!(table.make_room(), Room::BeingMade);
    assert_eq!(new.state.phase(), Phase::Ended, "the new one is closed for one that waits");
}

#[test]
fn a_connection_that_has_ended_leaves_the_table() {
    let (table, mut connections) = table(limits(1, 0), 1);
    assert!(!table.is_empty());
    connections.clear();
    assert!(table.is_empty() && table.make_room() == Room::Available);
}

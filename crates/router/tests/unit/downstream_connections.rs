//! Selecting clients' connections to close, and closing them.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_lite::future;
use tindoor_thrift::aborted;

use super::*;
use crate::configuration::limits::{ClientLimits, ConnectionLimits, LimitInputs, Limits};
use crate::connections::{ListenerRegistry, discard_until_closed, half_close};
use crate::downstream::frame_reader::FrameReader;
use crate::memory::MemoryAccount;

/// A frame of one byte.
const FRAME: [u8; 5] = [0, 0, 0, 1, 7];

/// Returns both ends of a new connection.
fn connect() -> (Rc<Connection>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    (Rc::new(Connection::new(stream, Rc::default())), client)
}

fn limits() -> ClientLimits {
    Limits::new(LimitInputs::default()).client
}

fn memory() -> Rc<MemoryAccount> {
    let limits = Limits::new(LimitInputs { memory_mb: 32, ..LimitInputs::default() });
    MemoryAccount::new(&limits.memory)
}

/// Closes one of these connections to make room; returns false if none can be closed.
fn close_one(connections: &[&Rc<Connection>], limits: ConnectionLimits) -> bool {
    let table = ListenerRegistry::default().add("clients", limits);
    for connection in connections {
        let connection: Rc<dyn ManagedConnection> = Rc::<Connection>::clone(connection);
        table.add(&connection);
    }
    table.close_one()
}

#[test]
fn a_connection_is_not_idle_while_its_reply_is_written() {
    let (connection, _client) = connect();
    connection.send(aborted(1, &[]), None);
    assert!(async_io::block_on(connection.next_reply()).is_some());
    assert!(!connection.is_idle(), "a call that arrives now would be lost by a close");
    assert!(async_io::block_on(future::poll_once(connection.next_reply())).is_none());
    assert!(connection.is_idle());
}

#[test]
fn a_connection_with_an_unread_call_is_not_closed() {
    let (memory, (connection, mut client)) = (memory(), connect());
    client.write_all(&FRAME).unwrap();
    async_io::block_on(connection.stream.readable()).unwrap();
    assert!(!close_one(&[&connection], limits().connections));
    assert_eq!(connection.phase(), Phase::Open);
    let mut frames = FrameReader::new(&connection, &memory, limits());
    assert!(async_io::block_on(frames.next_frame()).unwrap().is_some(), "the call is still read");
}

#[test]
fn bytes_that_arrive_after_the_close_are_dropped_without_a_reset() {
    let (memory, (connection, mut client)) = (memory(), connect());
    assert!(close_one(&[&connection], limits().connections));
    client.write_all(&FRAME).unwrap();
    async_io::block_on(connection.stream.readable()).unwrap();
    let mut frames = FrameReader::new(&connection, &memory, limits());
    assert!(async_io::block_on(frames.next_frame()).unwrap().is_none(), "frames are no longer read");
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "the connection ends without a reset");
    client.shutdown(std::net::Shutdown::Write).unwrap();
    async_io::block_on(discard_until_closed(&connection.state, &connection.stream, 64)).unwrap();
}

#[test]
fn an_incomplete_first_frame_prevents_eviction_only_until_the_first_message_timeout() {
    let memory = memory();
    let (active, mut active_client) = connect();
    let (fresh, mut fresh_client) = connect();
    active.state.record_message(Instant::now());
    for client in [&mut active_client, &mut fresh_client] {
        client.write_all(&[0, 0, 0, 9, 7]).unwrap();
    }
    for connection in [&active, &fresh] {
        async_io::block_on(connection.stream.readable()).unwrap();
        let mut frames = FrameReader::new(connection, &memory, limits());
        let mut next = pin!(frames.next_frame());
        // Polls several times, so that the reader reads what has arrived and waits for the rest.
        (0..4).for_each(|_| assert!(async_io::block_on(future::poll_once(next.as_mut())).is_none()));
    }
    let connections = [&active, &fresh];
    let with_timeout =
        |first_message_timeout| ConnectionLimits { first_message_timeout, ..limits().connections };
    let long_timeout = with_timeout(Duration::from_secs(3600));
    assert!(!close_one(&connections, long_timeout), "both may be sending a call");
    assert!(close_one(&connections, with_timeout(Duration::ZERO)));
    assert_eq!([active.phase(), fresh.phase()], [Phase::Open, Phase::HalfClosed]);
}

#[test]
fn a_half_closed_connection_is_ended_only_after_the_minimum_linger_time() {
    let (connection, _client) = connect();
    connection.end_if_lingered(Duration::ZERO);
    assert_eq!(connection.phase(), Phase::Open);
    half_close(&*connection);
    connection.end_if_lingered(Duration::from_secs(3600));
    assert_eq!(connection.phase(), Phase::HalfClosed);
    connection.end_if_lingered(Duration::ZERO);
    assert_eq!(connection.phase(), Phase::Ended);
    async_io::block_on(discard_until_closed(&connection.state, &connection.stream, 64)).unwrap();
}

#[test]
fn a_client_that_closed_no_longer_waits_even_before_its_close_is_read() {
    let (connection, client) = connect();
    let max_read_backlog = Duration::from_secs(3600);
    assert!(connection.is_client_waiting(max_read_backlog));
    drop(client);
    async_io::block_on(connection.stream.readable()).unwrap();
    assert!(!connection.is_client_waiting(max_read_backlog));
}

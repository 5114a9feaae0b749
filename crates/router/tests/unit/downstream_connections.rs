//! When a connection makes room, and how it is closed.

use std::io::{Read, Write};
use std::pin::pin;
use std::time::Duration;

use futures_lite::StreamExt;
use tindoor_thrift::aborted;

use super::*;
use crate::configuration::limits::Machine;
use crate::downstream::connection::frames;

/// Both ends of a connection.
fn connection() -> (Rc<Client>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    (Rc::new(Client::new(stream, Rc::default())), other)
}

fn limits() -> Limits {
    Limits::of(Machine::default())
}

#[test]
fn a_connection_is_not_idle_while_its_answer_is_written() {
    let (client, _other) = connection();
    client.send(aborted(1, &[]), None);
    assert!(async_io::block_on(client.next_reply()).is_some());
    assert!(!client.is_idle(), "a call that comes now would be lost by a close");
    assert!(async_io::block_on(future::poll_once(client.next_reply())).is_none());
    assert!(client.is_idle());
}

#[test]
fn a_connection_on_which_a_call_lies_unread_is_not_closed() {
    let (client, mut other) = connection();
    other.write_all(&[0, 0, 0, 1, 7]).unwrap();
    async_io::block_on(client.stream.readable()).unwrap();
    assert!(!close_one(&[Rc::clone(&client)], &limits()));
    assert_eq!(client.phase(), Phase::Open);
    let mut frames = pin!(frames(&client, limits()));
    assert!(async_io::block_on(frames.try_next()).unwrap().is_some(), "it is taken as ever");
}

#[test]
fn what_comes_after_the_close_is_dropped_and_the_close_is_no_reset() {
    let (client, mut other) = connection();
    assert!(close_one(&[Rc::clone(&client)], &limits()));
    other.write_all(&[0, 0, 0, 1, 7]).unwrap();
    async_io::block_on(client.stream.readable()).unwrap();
    let mut frames = pin!(frames(&client, limits()));
    assert!(async_io::block_on(frames.try_next()).unwrap().is_none(), "nothing is taken any more");
    assert_eq!(other.read(&mut [0]).unwrap(), 0, "an orderly end");
    other.shutdown(std::net::Shutdown::Write).unwrap();
    async_io::block_on(client.drop_rest(64)).unwrap();
}

#[test]
fn half_a_frame_keeps_the_place_of_one_that_asked_and_of_no_other_for_long() {
    let (asked, mut busy) = connection();
    let (fresh, mut slow) = connection();
    asked.asked.set(true);
    for other in [&mut busy, &mut slow] {
        other.write_all(&[0, 0, 0, 9, 7]).unwrap();
    }
    for client in [&asked, &fresh] {
        async_io::block_on(client.stream.readable()).unwrap();
        let mut frames = pin!(frames(client, limits()));
        // Some turns: it reads what is there, and waits for the rest.
        (0..4).for_each(|_| assert!(async_io::block_on(future::poll_once(frames.try_next())).is_none()));
    }
    let patient = Limits { first_call: Duration::from_secs(3600), ..limits() };
    assert!(!close_one(&[Rc::clone(&asked), Rc::clone(&fresh)], &patient), "both may be asking");
    let late = Limits { first_call: Duration::ZERO, ..limits() };
    assert!(close_one(&[Rc::clone(&asked), Rc::clone(&fresh)], &late));
    assert_eq!([asked.phase(), fresh.phase()], [Phase::Open, Phase::HalfClosed]);
}

#[test]
fn one_that_does_not_close_its_side_is_cut_where_places_run_out_and_no_sooner() {
    let (client, _other) = connection();
    assert!(!client.cut(Duration::ZERO), "it is open");
    client.half_close();
    assert!(!client.cut(Duration::from_secs(3600)));
    assert!(client.cut(Duration::ZERO));
    async_io::block_on(client.drop_rest(64)).unwrap();
}

#[test]
fn a_client_that_closed_is_known_to_have_left_before_its_close_is_read() {
    let (client, other) = connection();
    let longest = Duration::from_secs(3600);
    assert!(client.still_waits(longest));
    drop(other);
    async_io::block_on(client.stream.readable()).unwrap();
    assert!(!client.still_waits(longest));
}

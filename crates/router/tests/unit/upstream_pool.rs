//! When a connection to a cache is used again.

use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use super::*;
use crate::configuration::limits::Machine;

const LONG: Duration = Duration::from_secs(3600);

/// One cache with a connection that was just put back, and the cache's end of it.
fn with_idle(settle: Duration) -> (Caches, EndpointId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let limits = Limits { settle, cache_idle: LONG, connect: LONG, ..Limits::of(Machine::default()) };
    let caches = Caches::new(limits);
    let no = caches.listed("c-1", Some(address), EndpointState::Ready, |_| false).unwrap();
    let link = async_io::block_on(caches.connect(no)).ok().unwrap();
    let cache = listener.accept().unwrap().0;
    caches.put_back(no, link);
    (caches, no, cache)
}

#[test]
fn a_connection_that_has_not_settled_is_not_used_and_not_given_up() {
    let (caches, no, _cache) = with_idle(LONG);
    assert!(caches.take_idle(no).is_none());
    assert_eq!(caches.open.get(), 1);
}

#[test]
fn a_second_answer_that_comes_late_ends_the_use_of_its_connection() {
    let (caches, no, mut cache) = with_idle(Duration::ZERO);
    cache.write_all(b"HTTP/1.1 200 X\r\n").unwrap();
    {
        let known = caches.known.borrow();
        async_io::block_on(known.caches[0].idle[0].0.stream.readable()).unwrap();
    }
    assert!(caches.take_idle(no).is_none());
    assert_eq!(caches.open.get(), 0);
}

#[test]
fn a_quiet_connection_that_has_settled_is_used_again() {
    let (caches, no, _cache) = with_idle(Duration::ZERO);
    assert!(caches.take_idle(no).is_some());
}

//! Tests the stand-in cache with a full backlog.

use socket2::{Domain, Socket, Type};
use tindoor_testbed::stand_in::FullBacklogCache;

// Guards against a pending connect that the system takes for established and the cache never accepts.
#[test]
fn connects_that_the_system_retries_at_the_same_time_are_all_accepted() {
    const CONNECTS: usize = 64;
    let cache = FullBacklogCache::start();
    let address = cache.address.into();
    let pending: Vec<_> = (0..CONNECTS)
        .map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address);
            socket
        })
        .collect();
    let _requests = cache.open();
    cache.accepted.wait("all connects to be accepted", |count| (*count >= pending.len()).then_some(()));
}

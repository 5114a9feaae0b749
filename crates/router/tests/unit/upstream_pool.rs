//! Reuse of idle connections to an endpoint.

use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use super::*;
use crate::configuration::limits::{LimitInputs, Limits};

const LONG: Duration = Duration::from_secs(3600);

/// A pool with one idle connection.
struct Fixture {
    pool: EndpointPool,
    endpoint: EndpointId,
    /// The endpoint's end of the connection.
    peer: TcpStream,
}

fn pool_with_idle_connection(reuse_delay: Duration) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let defaults = Limits::new(LimitInputs::default()).upstream;
    let limits = UpstreamLimits { reuse_delay, idle_timeout: LONG, connect_timeout: LONG, ..defaults };
    let pool = EndpointPool::new(limits);
    let listed = ListedEndpoint { address: Some(address), started_unix_ms: 1, state: EndpointState::Ready };
    let endpoint = pool.apply_update("c-1", listed, |_| false).unwrap();
    let connection = async_io::block_on(pool.connect(endpoint)).ok().unwrap();
    let peer = listener.accept().unwrap().0;
    pool.put_back(endpoint, connection);
    Fixture { pool, endpoint, peer }
}

#[test]
fn a_connection_is_not_reused_before_the_reuse_delay_and_stays_open() {
    let Fixture { pool, endpoint, peer: _peer } = pool_with_idle_connection(LONG);
    assert!(pool.take_idle(endpoint).is_none());
    assert_eq!(pool.open_connections.get(), 1);
}

#[test]
fn surplus_bytes_close_an_idle_connection() {
    let Fixture { pool, endpoint, mut peer } = pool_with_idle_connection(Duration::ZERO);
    peer.write_all(b"HTTP/1.1 200 X\r\n").unwrap();
    {
        let table = pool.table.borrow();
        async_io::block_on(table.endpoints[0].idle[0].connection.stream.readable()).unwrap();
    }
    assert!(pool.take_idle(endpoint).is_none());
    assert_eq!(pool.open_connections.get(), 0);
}

#[test]
fn a_quiet_connection_is_reused_after_the_reuse_delay() {
    let Fixture { pool, endpoint, peer: _peer } = pool_with_idle_connection(Duration::ZERO);
    assert!(pool.take_idle(endpoint).is_some());
}

// Guards against work that goes to the wrong place: a restarted cache that is taken for the process before it.
#[test]
fn a_restarted_endpoint_is_another_process_at_the_same_address() {
    let Fixture { pool, endpoint, peer } = pool_with_idle_connection(Duration::ZERO);
    let before = pool.snapshot(endpoint, None);
    let listed = ListedEndpoint {
        address: Some(peer.local_addr().unwrap()),
        started_unix_ms: 1,
        state: EndpointState::Ready,
    };
    assert_eq!(pool.apply_update("c-1", listed, |_| false), Some(endpoint));
    assert!(pool.snapshot(endpoint, None) == before && pool.take_changed().is_empty());
    let restarted = ListedEndpoint { started_unix_ms: 2, ..listed };
    assert_eq!(pool.apply_update("c-1", restarted, |_| false), Some(endpoint));
    assert!(pool.snapshot(endpoint, None) != before, "decisions made before are outdated");
    assert!(pool.take_idle(endpoint).is_none(), "connections to the process before are closed");
    assert_eq!(pool.take_changed(), [endpoint]);
}

//! The endpoints and the pool of connections to them.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use tindoor::host::{AttemptStatus, EndpointId, EndpointState};

use super::connection::{ConnectionPermit, EndpointConnection, IdleConnection};
use super::endpoint_table::{EndpointTable, ListedEndpoint};
use crate::configuration::limits::UpstreamLimits;
use crate::log_throttle::LogThrottle;
use crate::timeout::with_timeout;

/// The endpoints and the pool of connections to them.
pub struct EndpointPool {
    pub(super) limits: UpstreamLimits,
    pub(super) table: RefCell<EndpointTable>,
    open_connections: Rc<Cell<usize>>,
    /// Throttles the log of attempts that were not sent for lack of connections or memory.
    pub(super) exhausted_log: LogThrottle,
    /// Throttles the log of responses with an unknown status or remark.
    pub(super) unknown_response_log: LogThrottle,
    /// The number of purges received.
    purges: Cell<u64>,
    connection_quota: RefCell<Option<ConnectionQuota>>,
}

/// Returns whether the quota admits one more connection to the endpoint with this name.
type ConnectionQuota = Box<dyn Fn(&str) -> bool>;

/// The state that a routing decision was based on. If it has changed, the request must no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingSnapshot {
    endpoint_generation: u64,
    source_generation: u64,
    purges: u64,
}

impl EndpointPool {
    /// Creates a pool without endpoints.
    pub fn new(limits: UpstreamLimits) -> Self {
        Self {
            limits,
            table: RefCell::default(),
            open_connections: Rc::default(),
            exhausted_log: LogThrottle::default(),
            unknown_response_log: LogThrottle::default(),
            purges: Cell::new(0),
            connection_quota: RefCell::default(),
        }
    }

    /// Sets the quota that must admit each new connection; `admits` gets the endpoint's name.
    pub fn set_connection_quota(&self, admits: impl Fn(&str) -> bool + 'static) {
        *self.connection_quota.borrow_mut() = Some(Box::new(admits));
    }

    /// Applies one entry of the endpoint list and returns the endpoint's id. The id stays the same until the
    /// endpoint is removed and its id is reused. `None` if the endpoint is unknown and the entry removes it.
    pub fn apply_update(
        &self,
        name: &str,
        listed: ListedEndpoint,
        is_referenced: impl Fn(EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let mut table = self.table.borrow_mut();
        let id = match table.id_of(name) {
            Some(id) => id,
            None if listed.state == EndpointState::Removed => return None,
            None => {
                let retention = self.limits.removed_endpoint_retention;
                let id = table.add(name, listed, retention, is_referenced);
                tracing::debug!(id = name, slot = id.0, "endpoint added");
                id
            }
        };
        table.update(id, listed);
        Some(id)
    }

    /// Applies a complete endpoint list: marks every endpoint as removed whose id is not in `listed`.
    pub fn retain_endpoints(&self, listed: &[EndpointId]) {
        self.table.borrow_mut().retain(listed);
    }

    /// Returns the endpoints whose state, address or process changed since the last call.
    pub fn take_changed(&self) -> Vec<EndpointId> {
        self.table.borrow_mut().take_changed()
    }

    /// Counts a purge. Decisions made before it are outdated, as they may accept a purged copy.
    pub fn record_purge(&self) {
        self.purges.set(self.purges.get() + 1);
    }

    /// Returns the endpoint's name.
    pub fn name(&self, id: EndpointId) -> String {
        self.table.borrow().get(id).name.clone()
    }

    /// Returns the endpoint's address; `None` if its list entry has no valid one.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.table.borrow().get(id).address
    }

    /// Returns whether the endpoint accepts new requests.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.table.borrow().get(id).state == EndpointState::Ready
    }

    /// Returns the state that a decision for this endpoint and fill source is based on.
    pub fn snapshot(&self, endpoint: EndpointId, source: Option<EndpointId>) -> RoutingSnapshot {
        let table = self.table.borrow();
        RoutingSnapshot {
            endpoint_generation: table.get(endpoint).generation,
            source_generation: source.map_or(0, |source| table.get(source).generation),
            purges: self.purges.get(),
        }
    }

    /// Closes idle connections that have reached the idle timeout, were closed by the endpoint, or have
    /// unexpected bytes to read.
    pub fn sweep_idle(&self) {
        for endpoint in &mut self.table.borrow_mut().endpoints {
            endpoint.idle.retain(|idle| self.is_usable(idle));
        }
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.limits.idle_timeout && idle.connection.is_quiet()
    }

    /// Takes the most recently used idle connection that may be reused. A connection with unread bytes is
    /// closed: surplus bytes after a response would be parsed as the response to the next request.
    pub(super) fn take_idle(&self, endpoint: EndpointId) -> Option<EndpointConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.get_mut(endpoint).idle;
        let is_past_reuse_delay = |idle: &IdleConnection| idle.since.elapsed() >= self.limits.reuse_delay;
        while let Some(index) = idle.iter().rposition(is_past_reuse_delay) {
            let candidate = idle.remove(index);
            if self.is_usable(&candidate) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if its endpoint has changed.
    pub(super) fn put_back(&self, endpoint: EndpointId, connection: EndpointConnection) {
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(endpoint);
        if connection.generation == endpoint.generation {
            endpoint.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Establishes a connection. The error is the status of the attempt.
    pub(super) async fn connect(&self, id: EndpointId) -> Result<EndpointConnection, AttemptStatus> {
        let (address, generation) = {
            let table = self.table.borrow();
            let endpoint = table.get(id);
            (endpoint.address, endpoint.generation)
        };
        let address = address.ok_or(AttemptStatus::Unreachable)?;
        let permit = self.admit_connection(id).ok_or(AttemptStatus::Superseded)?;
        match with_timeout(self.limits.connect_timeout, Async::<TcpStream>::connect(address)).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(EndpointConnection { stream, generation, _permit: permit })
            }
            Err(error) => {
                tracing::debug!(endpoint = %address, %error, "connect failed");
                Err(connect_error_status(&error))
            }
        }
    }

    /// Returns a permit for one more connection to this endpoint; `None` if the limit or the quota is
    /// reached. Taken before the connect, so that pending connects stay within the limit, too.
    fn admit_connection(&self, id: EndpointId) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.limits.max_connections && !self.close_oldest_idle() {
            if let Some(times) = self.exhausted_log.record() {
                tracing::warn!(times, "all connections to endpoints are in use; attempt not sent");
            }
            return None;
        }
        let is_refused = |admits: &ConnectionQuota| !admits(&self.table.borrow().get(id).name);
        if self.connection_quota.borrow().as_ref().is_some_and(is_refused) {
            return None;
        }
        Some(ConnectionPermit::acquire(&self.open_connections))
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut table = self.table.borrow_mut();
        let with_idle = table.endpoints.iter_mut().filter(|endpoint| !endpoint.idle.is_empty());
        let oldest = with_idle.min_by_key(|endpoint| endpoint.idle[0].since);
        oldest.map(|endpoint| endpoint.idle.remove(0)).is_some()
    }
}

fn connect_error_status(error: &io::Error) -> AttemptStatus {
    use io::ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    match error.kind() {
        ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut => AttemptStatus::Unreachable,
        // The router's machine lacks a resource; the endpoint is not at fault.
        _ => AttemptStatus::Superseded,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_pool.rs"]
mod tests;

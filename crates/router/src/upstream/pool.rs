//! The pool of connections to endpoints.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use tindoor::host::{AttemptStatus, EndpointId, EndpointState};

use super::connection::{ConnectionPermit, EndpointConnection, IdleConnection};
use super::endpoint_table::EndpointTable;
use crate::configuration::limits::UpstreamLimits;
use crate::log_throttle::LogThrottle;
use crate::timeout::with_timeout;

/// Endpoints and the connections to them.
pub struct EndpointPool {
    pub(super) limits: UpstreamLimits,
    pub(super) table: RefCell<EndpointTable>,
    open_connections: Rc<Cell<usize>>,
    /// Attempts for which connections or memory did not suffice.
    pub(super) exhausted_log: LogThrottle,
    /// Responses with a status or remark that is not known.
    pub(super) unknown_response_log: LogThrottle,
    purges: Cell<u64>,
    connection_quota: RefCell<Option<ConnectionQuota>>,
}

/// Whether one more connection may be made to the endpoint with this name.
type ConnectionQuota = Box<dyn Fn(&str) -> bool>;

/// What an attempt was decided by. Where it has changed, the request must not be sent any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingSnapshot {
    endpoint_generation: u64,
    source_generation: u64,
    purges: u64,
}

impl EndpointPool {
    /// A pool without endpoints.
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

    /// Has every new connection be admitted by a quota, which gets the endpoint's name.
    pub fn set_connection_quota(&self, admits: impl Fn(&str) -> bool + 'static) {
        *self.connection_quota.borrow_mut() = Some(Box::new(admits));
    }

    /// Applies one entry of the endpoint list. The id stays the same until the endpoint is removed and its id
    /// given to another; there is none for an endpoint that is not known and is already removed.
    pub fn apply_update(
        &self,
        name: &str,
        address: Option<SocketAddr>,
        state: EndpointState,
        is_referenced: impl Fn(EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let mut table = self.table.borrow_mut();
        let id = match table.id_of(name) {
            Some(id) => id,
            None if state == EndpointState::Removed => return None,
            None => {
                let retention = self.limits.removed_endpoint_retention;
                let id = table.add(name, address, state, retention, is_referenced);
                tracing::debug!(id = name, slot = id.0, "endpoint added");
                id
            }
        };
        table.update(id, address, state);
        Some(id)
    }

    /// A complete list has come: every endpoint that it does not name is removed.
    pub fn retain_endpoints(&self, listed: &[EndpointId]) {
        self.table.borrow_mut().retain(listed);
    }

    /// Counts a purge: what was decided before it may accept too old a copy.
    pub fn record_purge(&self) {
        self.purges.set(self.purges.get() + 1);
    }

    /// The endpoint's name.
    pub fn name(&self, id: EndpointId) -> String {
        self.table.borrow().get(id).name.clone()
    }

    /// Where the endpoint listens, where its list entry has an address.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.table.borrow().get(id).address
    }

    /// Whether the endpoint takes new requests.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.table.borrow().get(id).state == EndpointState::Ready
    }

    /// What an attempt at this endpoint, to be filled from this source, is decided by.
    pub fn snapshot(&self, endpoint: EndpointId, source: Option<EndpointId>) -> RoutingSnapshot {
        let table = self.table.borrow();
        RoutingSnapshot {
            endpoint_generation: table.get(endpoint).generation,
            source_generation: source.map_or(0, |source| table.get(source).generation),
            purges: self.purges.get(),
        }
    }

    /// Drops idle connections that are past their timeout or were closed by the endpoint.
    pub fn sweep_idle(&self) {
        for endpoint in &mut self.table.borrow_mut().endpoints {
            endpoint.idle.retain(|idle| self.is_usable(idle));
        }
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.since.elapsed() < self.limits.idle_timeout && idle.connection.is_quiet()
    }

    /// The latest idle connection that may be used again. One with anything to read is dropped: what surplus
    /// bytes an answer brought would be taken for the next one.
    pub(super) fn take_idle(&self, endpoint: EndpointId) -> Option<EndpointConnection> {
        let mut table = self.table.borrow_mut();
        let idle = &mut table.get_mut(endpoint).idle;
        let is_settled = |idle: &IdleConnection| idle.since.elapsed() >= self.limits.reuse_delay;
        while let Some(index) = idle.iter().rposition(is_settled) {
            let candidate = idle.remove(index);
            if self.is_usable(&candidate) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless its endpoint has changed.
    pub(super) fn put_back(&self, endpoint: EndpointId, connection: EndpointConnection) {
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(endpoint);
        if connection.generation == endpoint.generation {
            endpoint.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Makes a connection; the error is the status of the attempt.
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

    /// A permit for one more connection to this endpoint, counted before the connect so that those being
    /// established stay within the limit, too.
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
        // This machine lacks a resource, which says nothing about the endpoint.
        _ => AttemptStatus::Superseded,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_pool.rs"]
mod tests;

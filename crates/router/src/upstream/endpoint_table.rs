//! The table of listed and recently removed endpoints, indexed by the ids that the routing engine uses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tindoor::host::{EndpointId, EndpointState};

use super::connection::IdleConnection;

/// An endpoint with its idle connections.
pub struct Endpoint {
    /// Its id in the endpoint list.
    pub name: String,
    /// Where it listens; `None` if its list entry has no valid address.
    pub address: Option<SocketAddr>,
    /// When its process started, in Unix milliseconds; 0 if unknown. Another process at the same address, or under
    /// the same name, has another time.
    started_unix_ms: u64,
    /// Whether it is ready, draining or removed.
    pub state: EndpointState,
    /// When its state or address last changed.
    changed: Instant,
    /// The number of changes of state, address, process and name under this id. It continues when the id is reused for
    /// another endpoint.
    pub generation: u64,
    /// Its idle connections, the most recently used one last.
    pub idle: Vec<IdleConnection>,
}

impl Endpoint {
    fn change_state(&mut self, state: EndpointState) {
        self.state = state;
        self.generation += 1;
        self.changed = Instant::now();
        // Another endpoint may be listening at its address by now.
        self.idle = Vec::new();
    }
}

/// What the endpoint list says of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Where it listens; `None` if its entry has no valid address.
    pub address: Option<SocketAddr>,
    /// When its process started, in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Whether it is ready, draining or removed.
    pub state: EndpointState,
}

/// The endpoints, by id and by name.
#[derive(Default)]
pub struct EndpointTable {
    /// The endpoints; the index is the id.
    pub endpoints: Vec<Endpoint>,
    ids: HashMap<String, EndpointId>,
    /// The endpoints whose state, address or process changed since they were last taken.
    changed: Vec<EndpointId>,
}

impl EndpointTable {
    /// Returns the endpoint with this id.
    pub fn get(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.0 as usize]
    }

    /// Returns the endpoint with this id.
    pub fn get_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.0 as usize]
    }

    /// Returns the id of the endpoint with this name.
    pub fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Adds an endpoint and returns its id. Reuses the id of an endpoint that was removed at least
    /// `retention` ago and that no request refers to; if there is none, assigns a new id.
    pub fn add(
        &mut self,
        name: &str,
        listed: ListedEndpoint,
        retention: Duration,
        is_referenced: impl Fn(EndpointId) -> bool,
    ) -> EndpointId {
        let now = Instant::now();
        let is_reusable = |(index, endpoint): (usize, &Endpoint)| {
            let is_expired = endpoint.state == EndpointState::Removed && now - endpoint.changed >= retention;
            is_expired && !is_referenced(EndpointId(index as u32))
        };
        let index = self.endpoints.iter().enumerate().position(is_reusable).unwrap_or(self.endpoints.len());
        match self.endpoints.get_mut(index) {
            Some(endpoint) => {
                self.ids.remove(&endpoint.name);
                endpoint.name = name.to_string();
                endpoint.generation += 1;
            }
            None => self.endpoints.push(Endpoint {
                name: name.to_string(),
                address: listed.address,
                started_unix_ms: listed.started_unix_ms,
                state: listed.state,
                changed: now,
                generation: 0,
                idle: Vec::new(),
            }),
        }
        let id = EndpointId(index as u32);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Sets what the list says of an endpoint. A change closes its idle connections.
    pub fn update(&mut self, id: EndpointId, listed: ListedEndpoint) {
        let endpoint = self.get_mut(id);
        let ListedEndpoint { address, started_unix_ms, state } = listed;
        let known = ListedEndpoint {
            address: endpoint.address,
            started_unix_ms: endpoint.started_unix_ms,
            state: endpoint.state,
        };
        if known != listed {
            endpoint.change_state(state);
            endpoint.address = address;
            endpoint.started_unix_ms = started_unix_ms;
            self.changed.push(id);
        }
    }

    /// Returns the endpoints whose state, address or process changed since the last call.
    pub fn take_changed(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.changed)
    }

    /// Marks every endpoint as removed whose id is not in `listed`.
    pub fn retain(&mut self, listed: &[EndpointId]) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let id = EndpointId(index as u32);
            if !listed.contains(&id) && endpoint.state != EndpointState::Removed {
                endpoint.change_state(EndpointState::Removed);
                self.changed.push(id);
            }
        }
    }
}

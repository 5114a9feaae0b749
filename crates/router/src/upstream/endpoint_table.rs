//! The listed endpoints and those removed lately, by the ids that the routing engine knows them by.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tindoor::host::{EndpointId, EndpointState};

use super::connection::IdleConnection;

/// An endpoint with its idle connections.
pub struct Endpoint {
    /// Its id in the endpoint list.
    pub name: String,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When its state or address last changed.
    changed: Instant,
    /// Counts changes of its state and address, also across endpoints that had the same id.
    pub generation: u64,
    /// Its idle connections, the latest last.
    pub idle: Vec<IdleConnection>,
}

impl Endpoint {
    fn change_state(&mut self, state: EndpointState) {
        self.state = state;
        self.generation += 1;
        self.changed = Instant::now();
        // What answers at its address next may be another endpoint.
        self.idle = Vec::new();
    }
}

/// Endpoints by id and by name.
#[derive(Default)]
pub struct EndpointTable {
    /// The endpoints, by their ids.
    pub endpoints: Vec<Endpoint>,
    ids: HashMap<String, EndpointId>,
}

impl EndpointTable {
    /// The endpoint with this id.
    pub fn get(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.0 as usize]
    }

    /// The endpoint with this id.
    pub fn get_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.0 as usize]
    }

    /// The id of the endpoint with this name.
    pub fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Adds an endpoint under the id of one that was removed before the retention time and that no request
    /// refers to, or else under a new id.
    pub fn add(
        &mut self,
        name: &str,
        address: Option<SocketAddr>,
        state: EndpointState,
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
                address,
                state,
                changed: now,
                generation: 0,
                idle: Vec::new(),
            }),
        }
        let id = EndpointId(index as u32);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Applies the state and address of an update.
    pub fn update(&mut self, id: EndpointId, address: Option<SocketAddr>, state: EndpointState) {
        let endpoint = self.get_mut(id);
        if endpoint.state != state || endpoint.address != address {
            endpoint.change_state(state);
        }
        endpoint.address = address;
    }

    /// Marks every endpoint as removed that is not among these.
    pub fn retain(&mut self, listed: &[EndpointId]) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let is_listed = listed.contains(&EndpointId(index as u32));
            if !is_listed && endpoint.state != EndpointState::Removed {
                endpoint.change_state(EndpointState::Removed);
            }
        }
    }
}

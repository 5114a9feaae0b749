//! What the tasks of the router share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use tindoor_discovery::WatchPosition;
use tindoor_extproc::request::RequestClass;
use tindoor_request_runtime::{EngineHandle, InFlightIds};

use crate::configuration::limits::Limits;
use crate::external::ExternalProcessing;
use crate::fleet::Fleet;
use crate::log_throttle::LogThrottle;
use crate::signed_urls::SignedUrls;
use crate::upstream::{EndpointPool, MemoryBudget};

/// What the tasks of the router share. All of them run on one thread.
pub struct RouterState {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Sizes, counts and times.
    pub limits: Limits,
    /// Request classes, in the order of the engine's settings.
    pub classes: Vec<RequestClass>,
    /// The names of the locations, in the order of the engine's settings.
    pub locations: Vec<String>,
    /// The names of the kinds of endpoints, in the order of the engine's settings.
    pub endpoint_kinds: Vec<String>,
    /// The routing engine.
    pub engine: Rc<EngineHandle>,
    /// Requests that proxies carry out.
    pub external: Rc<ExternalProcessing>,
    /// The fleet that this router belongs to.
    pub fleet: Option<Rc<Fleet>>,
    /// Checks signed URLs, where they are configured.
    pub signed_urls: Option<SignedUrls>,
    /// The ids of requests in flight, of all listeners together.
    pub in_flight_ids: InFlightIds,
    /// Connections to endpoints.
    pub endpoints: EndpointPool,
    /// The memory for frames and bodies.
    pub memory: Rc<MemoryBudget>,
    /// Counts requests and connections that were rejected for want of capacity.
    pub overload_log: LogThrottle,
    /// Counts messages that could not be parsed.
    pub malformed_log: LogThrottle,
    /// How far the change stream has been applied.
    pub watch_position: RefCell<WatchPosition>,
    /// When all requests are to be answered, once a shutdown has begun.
    pub shutdown_deadline: Cell<Option<Instant>>,
}

impl RouterState {
    /// Whether this router is to get requests: it is not shutting down, and has a lease where it belongs to a
    /// fleet.
    pub fn is_healthy(&self) -> bool {
        self.shutdown_deadline.get().is_none() && self.fleet.as_ref().is_none_or(|fleet| fleet.is_available())
    }
}

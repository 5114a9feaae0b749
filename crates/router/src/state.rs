//! The state that the tasks of the router share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use tindoor_discovery::WatchPosition;
use tindoor_extproc::request::RequestClass;
use tindoor_request_runtime::{EngineHandle, InFlightIds};

use crate::configuration::limits::Limits;
use crate::connections::ListenerRegistry;
use crate::discovery::WatchMetrics;
use crate::downstream::RecentRuns;
use crate::external::ExternalProcessing;
use crate::fleet::Fleet;
use crate::log_throttle::LogThrottle;
use crate::memory::MemoryAccount;
use crate::signed_urls::SignedUrls;
use crate::upstream::EndpointPool;

/// The state that the tasks of the router share. All tasks run on one thread.
pub struct RouterState {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The limits of sizes, counts and times.
    pub limits: Limits,
    /// The request classes, in the order of the engine's settings.
    pub classes: Vec<RequestClass>,
    /// The names of the locations, in the order of the engine's settings.
    pub locations: Vec<String>,
    /// The names of the kinds of endpoints, in the order of the engine's settings.
    pub endpoint_kinds: Vec<String>,
    /// The routing engine.
    pub engine: Rc<EngineHandle>,
    /// The requests that external proxies execute.
    pub external: Rc<ExternalProcessing>,
    /// The fleet that this router belongs to, if any.
    pub fleet: Option<Rc<Fleet>>,
    /// Verifies signed URLs; `None` if they are not configured.
    pub signed_urls: Option<SignedUrls>,
    /// The ids of the requests in flight, across all listeners.
    pub in_flight_ids: InFlightIds,
    /// The ids of clients' non-idempotent requests that may have run.
    pub recent_runs: RecentRuns,
    /// The endpoints and the connections to them.
    pub endpoints: EndpointPool,
    /// The connections of all listeners.
    pub listeners: Rc<ListenerRegistry>,
    /// The number of unwritten replies on all client connections together.
    pub unwritten_replies: Rc<Cell<usize>>,
    /// The account of the memory that untrusted peers occupy.
    pub memory: Rc<MemoryAccount>,
    /// Throttles the log of requests rejected for lack of capacity.
    pub overload_log: LogThrottle,
    /// Throttles the log of messages that could not be parsed.
    pub malformed_log: LogThrottle,
    /// The position up to which the change stream has been applied.
    pub watch_position: RefCell<WatchPosition>,
    /// What became of the connections to the change stream.
    pub watch_metrics: WatchMetrics,
    /// The time by which all requests must be answered; `None` until a shutdown begins.
    pub shutdown_deadline: Cell<Option<Instant>>,
}

impl RouterState {
    /// Returns whether this router should receive requests: it is not shutting down and, in a fleet, has a
    /// lease.
    pub fn is_healthy(&self) -> bool {
        self.shutdown_deadline.get().is_none() && self.fleet.as_ref().is_none_or(|fleet| fleet.is_available())
    }
}

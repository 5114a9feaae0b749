//! What every task of the router shares.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use tindoor_discovery::Place;
use tindoor_extproc::ask::RequestClass as Asked;
use tindoor_request_runtime::{EngineHandle, InFlightIds};

use crate::configuration::file::RequestClass;
use crate::configuration::limits::{Limits, Seldom};
use crate::downstream::listener::Connections;
use crate::external::ExternalProcessing;
use crate::fleet::Fleet;
use crate::signed_urls::Links;
use crate::upstream::pool::{Budget, Caches};

/// What every task of the router shares.
pub struct RouterState {
    pub executor: Rc<LocalExecutor<'static>>,
    pub limits: Limits,
    pub classes: Vec<RequestClass>,
    /// The same as proxies' headers are read.
    pub asked: Vec<Asked>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub engine: Rc<EngineHandle>,
    pub external: Rc<ExternalProcessing>,
    /// None where it belongs to no fleet.
    pub fleet: Option<Rc<Fleet>>,
    /// None where no links are checked.
    pub links: Option<Links>,
    pub ids: InFlightIds,
    pub caches: Caches,
    pub budget: Rc<Budget>,
    /// The connections of clients.
    pub clients: Connections,
    /// Answers that wait to be written.
    pub unwritten: Rc<Cell<usize>>,
    /// Requests that could not be taken, and calls that could not be read.
    pub no_room: Seldom,
    pub unreadable: Seldom,
    /// How far the change stream is known.
    pub told: RefCell<Place>,
    /// By when all is to be answered, once SIGTERM came.
    pub stopping: Cell<Option<Instant>>,
}

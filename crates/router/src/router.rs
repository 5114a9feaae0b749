//! What every task of the router shares.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use tindoor_discovery::Place;
use tindoor_request_runtime::{Decisions, Ids};
use tindoor_extproc::ask::Offering as Asked;

use crate::accept::Connections;
use crate::caches::{Budget, Caches};
use crate::choices::Choices;
use crate::configuration::Offering;
use crate::fleet::Fleet;
use crate::limits::{Limits, Seldom};
use crate::links::Links;

/// What every task of the router shares.
pub struct Router {
    pub executor: Rc<LocalExecutor<'static>>,
    pub limits: Limits,
    pub offerings: Vec<Offering>,
    /// The same as proxies' headers are read.
    pub asked: Vec<Asked>,
    pub locations: Vec<String>,
    pub kinds: Vec<String>,
    pub decisions: Rc<Decisions>,
    pub choices: Rc<Choices>,
    /// None where it belongs to no fleet.
    pub fleet: Option<Rc<Fleet>>,
    /// None where no links are checked.
    pub links: Option<Links>,
    pub ids: Ids,
    pub caches: Caches,
    pub budget: Rc<Budget>,
    /// The connections of clients.
    pub clients: Connections,
    /// Answers that wait to be written.
    pub unwritten: Rc<Cell<usize>>,
    /// Views that could not be taken, and calls that could not be read.
    pub no_room: Seldom,
    pub unreadable: Seldom,
    /// How far the change log is known.
    pub told: RefCell<Place>,
    /// By when all is to be answered, once SIGTERM came.
    pub stopping: Cell<Option<Instant>>,
}

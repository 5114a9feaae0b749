//! All listeners of the router: what concerns the connections of all of them together.

use std::cell::RefCell;
use std::rc::Rc;

use super::metrics::report_if_full;
use super::table::ConnectionTable;
use crate::configuration::limits::ConnectionLimits;

/// The connections of all listeners.
#[derive(Default)]
pub struct ListenerRegistry {
    tables: RefCell<Vec<Rc<ConnectionTable>>>,
}

impl ListenerRegistry {
    /// Adds a listener, and returns the table for its connections.
    pub fn add(&self, listener: &'static str, limits: ConnectionLimits) -> Rc<ConnectionTable> {
        let table = Rc::new(ConnectionTable::new(listener, limits));
        self.tables.borrow_mut().push(Rc::clone(&table));
        table
    }

    fn tables(&self) -> Vec<Rc<ConnectionTable>> {
        self.tables.borrow().clone()
    }

    /// Returns whether no listener has a connection that a shutdown closes.
    pub fn is_empty(&self) -> bool {
        self.tables().iter().all(|table| table.is_empty())
    }

    /// Closes one idle connection of any listener, as the process has run out of descriptors.
    pub fn close_one(&self) {
        self.tables().iter().any(|table| table.close_one());
    }

    /// Begins to close each idle connection; returns true once no connection accepts calls any more.
    pub fn close_idle(&self) -> bool {
        let open = self.tables().iter().filter(|table| !table.close_idle()).count();
        open == 0
    }

    /// Stops every connection: abandons its calls, and closes it once its replies are written.
    pub fn stop_all(&self) {
        self.tables().iter().for_each(|table| table.stop_all());
    }

    /// Logs the figures of each listener that was full since its last report.
    pub fn report(&self) {
        self.tables().iter().for_each(|table| report_if_full(table));
    }
}

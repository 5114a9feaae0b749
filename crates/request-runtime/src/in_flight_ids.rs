//! The correlation ids of the requests in flight on all fronts.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of correlation ids of the requests in flight. Clones share the same set.
#[derive(Clone, Default)]
pub struct InFlightIds(Rc<RefCell<HashSet<u64>>>);

/// A reserved correlation id. Dropping it releases the id.
pub struct InFlightId {
    ids: InFlightIds,
    id: u64,
}

impl InFlightIds {
    /// Whether a request with this correlation id is in flight.
    pub fn contains(&self, id: u64) -> bool {
        self.0.borrow().contains(&id)
    }

    /// Reserves a correlation id. Returns `None` if a request with this id is already in flight.
    pub fn reserve(&self, id: u64) -> Option<InFlightId> {
        let is_new = self.0.borrow_mut().insert(id);
        is_new.then(|| InFlightId { ids: self.clone(), id })
    }
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

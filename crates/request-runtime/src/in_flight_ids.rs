//! The correlation ids of the requests in flight, of all fronts.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The correlation ids of the requests in flight; clones share one set.
#[derive(Clone, Default)]
pub struct InFlightIds(Rc<RefCell<HashSet<u64>>>);

/// A reserved correlation id, released on drop.
pub struct InFlightId {
    ids: InFlightIds,
    id: u64,
}

impl InFlightIds {
    /// Whether a request of that id is in flight.
    pub fn contains(&self, id: u64) -> bool {
        self.0.borrow().contains(&id)
    }

    /// Reserves the id; none where a request of that id is in flight.
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

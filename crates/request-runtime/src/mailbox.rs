//! A queue between whoever decides and the one task that acts.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::{Poll, Waker};

use futures_lite::future;

use crate::Action;

/// Messages that wait for one task: the actions of a request, by default.
pub struct Mailbox<T = Action> {
    queue: RefCell<VecDeque<T>>,
    reader: Cell<Option<Waker>>,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self { queue: RefCell::default(), reader: Cell::default() }
    }
}

impl<T> Mailbox<T> {
    /// Drops all that waits and adds `message` in its place.
    pub fn replace(&self, message: T) {
        self.queue.borrow_mut().clear();
        self.push(message);
    }

    /// Adds `message` at the end and wakes the reader.
    pub fn push(&self, message: T) {
        self.queue.borrow_mut().push_back(message);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Removes the first message, if there is one.
    pub fn try_next(&self) -> Option<T> {
        self.queue.borrow_mut().pop_front()
    }

    /// Waits for the first message and removes it. One task at a time may wait.
    pub async fn next(&self) -> T {
        future::poll_fn(|context| match self.try_next() {
            Some(message) => Poll::Ready(message),
            None => {
                self.reader.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

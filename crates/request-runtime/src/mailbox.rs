//! A single-consumer message queue that wakes the task that reads it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::{Poll, Waker};

use futures_lite::future;

use crate::Action;

/// A queue of messages for one task. By default the messages are the actions of a request.
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
    /// Discards all queued messages and adds `message`.
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

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Removes and returns the first message. `None` if the queue is empty.
    pub fn try_next(&self) -> Option<T> {
        self.queue.borrow_mut().pop_front()
    }

    /// Waits for a message, then removes and returns it. Only one task may wait at a time.
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

//! A timer that may be set earlier while a task waits for it.

use std::cell::Cell;
use std::task::{Poll, Waker};
use std::time::Instant;

use futures_lite::future;

/// The earliest time at which a task is to be woken.
#[derive(Default)]
pub struct WakeTimer {
    deadline: Cell<Option<Instant>>,
    was_moved: Cell<bool>,
    waiter: Cell<Option<Waker>>,
}

impl WakeTimer {
    /// Has the timer fire at that time, unless it is set to an earlier one.
    pub fn set(&self, deadline: Instant) {
        if self.deadline.get().is_none_or(|planned| deadline < planned) {
            self.deadline.set(Some(deadline));
            self.was_moved.set(true);
            if let Some(waiter) = self.waiter.take() {
                waiter.wake();
            }
        }
    }

    /// Waits until the timer fires, which clears it.
    pub async fn fired(&self) {
        loop {
            let Some(deadline) = self.deadline.get() else {
                self.moved().await;
                continue;
            };
            let fires = async {
                async_io::Timer::at(deadline).await;
                true
            };
            let moves = async {
                self.moved().await;
                false
            };
            if future::or(fires, moves).await {
                return self.deadline.set(None);
            }
        }
    }

    async fn moved(&self) {
        future::poll_fn(|context| {
            if self.was_moved.take() {
                return Poll::Ready(());
            }
            self.waiter.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

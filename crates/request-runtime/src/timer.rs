//! A timer that can be moved to an earlier time while a task waits for it.

use std::cell::Cell;
use std::task::{Poll, Waker};
use std::time::Instant;

use futures_lite::future;

/// A timer that wakes one task at the earliest of the times that were set since it last fired.
#[derive(Default)]
pub struct WakeTimer {
    deadline: Cell<Option<Instant>>,
    was_rescheduled: Cell<bool>,
    waiter: Cell<Option<Waker>>,
}

impl WakeTimer {
    /// Sets the timer to fire at `deadline`, unless it is already set to an earlier time.
    pub fn set(&self, deadline: Instant) {
        if self.deadline.get().is_none_or(|planned| deadline < planned) {
            self.deadline.set(Some(deadline));
            self.was_rescheduled.set(true);
            if let Some(waiter) = self.waiter.take() {
                waiter.wake();
            }
        }
    }

    /// Waits until the timer fires, and clears it. Only one task may wait at a time.
    pub async fn fired(&self) {
        loop {
            let Some(deadline) = self.deadline.get() else {
                self.rescheduled().await;
                continue;
            };
            let fired = async {
                async_io::Timer::at(deadline).await;
                true
            };
            let rescheduled = async {
                self.rescheduled().await;
                false
            };
            if future::or(fired, rescheduled).await {
                return self.deadline.set(None);
            }
        }
    }

    async fn rescheduled(&self) {
        future::poll_fn(|context| {
            if self.was_rescheduled.take() {
                return Poll::Ready(());
            }
            self.waiter.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

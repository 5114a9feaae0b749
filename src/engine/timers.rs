//! The timers of requests and of the endpoint list, multiplexed onto the single timer of the host.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::host::{Host, RequestSlot};
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::requests::{Request, RequestId};

/// What a timer is for. Timers due at the same moment fire in the order of this enum: the endpoint list
/// first, then requests from oldest to newest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerTarget {
    EndpointList,
    Request { id: RequestId, slot: RequestSlot },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Moment,
    target: TimerTarget,
}

/// Pending timers, and the moment for which the host's timer is set.
#[derive(Default)]
pub(super) struct Timers {
    pending: BinaryHeap<Reverse<Timer>>,
    host_timer: Option<Moment>,
}

impl Timers {
    fn pop_due(&mut self, now: Moment) -> Option<Timer> {
        let next = self.pending.peek().filter(|next| next.0.due <= now)?.0;
        self.pending.pop();
        Some(next)
    }

    /// Returns the moment for which the host's timer must now be set; `None` if it need not be changed.
    fn rearm(&mut self) -> Option<Moment> {
        let due = self.pending.peek()?.0.due;
        if self.host_timer.is_some_and(|set| due >= set) {
            return None;
        }
        self.host_timer = Some(due);
        Some(due)
    }
}

impl<H: Host> RoutingEngine<H> {
    /// Handles the expiry of the timer set by [`Host::set_timer`].
    pub fn timer_fired(&mut self) {
        self.timers.host_timer = None;
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer.target {
                TimerTarget::EndpointList => self.host.watch_endpoints(),
                TimerTarget::Request { id, slot } => {
                    let is_pending = |request: &Request| request.id == id && !request.finished;
                    if self.requests.get(slot).is_some_and(is_pending) {
                        self.with_settings_of(slot, |engine| engine.request_timer_due(slot));
                    }
                }
            }
        }
        self.set_host_timer();
    }

    /// Schedules another request for the endpoint list after a delay.
    pub(super) fn schedule_list_request(&mut self, delay: Span) {
        self.schedule(self.now + delay, TimerTarget::EndpointList);
    }

    /// Schedules [`request_timer_due`](Self::request_timer_due) for a request.
    pub(super) fn schedule_request(&mut self, due: Moment, slot: RequestSlot) {
        let Some(id) = self.requests.get(slot).map(|request| request.id) else { return };
        self.schedule(due, TimerTarget::Request { id, slot });
    }

    fn schedule(&mut self, due: Moment, target: TimerTarget) {
        self.timers.pending.push(Reverse(Timer { due, target }));
        self.set_host_timer();
    }

    fn set_host_timer(&mut self) {
        if let Some(due) = self.timers.rearm() {
            self.host.set_timer(due.since(self.now));
        }
    }
}

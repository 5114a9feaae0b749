//! Timers of requests, multiplexed onto the one timer of the host.

use super::*;

impl<H: Host> RoutingEngine<H> {
    /// The time asked for by `set_timer` has passed.
    pub fn timer_fired(&mut self) {
        self.next_wake = None;
        while let Some(&Reverse((_, serial, no))) = self.alarms.peek().filter(|next| next.0.0 <= self.now) {
            self.alarms.pop();
            match self.held(no).is_some_and(|held| held.serial == serial && !held.finished) {
                _ if serial == 0 => self.host.watch_endpoints(),
                true => self.as_taken(no, |control| control.due(no)),
                false => {}
            }
        }
        self.plan_wake();
    }

    pub(super) fn alarm(&mut self, at: Moment, no: RequestSlot) {
        let serial = self.held(no).map_or(0, |held| held.serial);
        self.alarms.push(Reverse((at, serial, no)));
        self.plan_wake();
    }

    pub(super) fn plan_wake(&mut self) {
        let Some(&Reverse((due, _, _))) = self.alarms.peek() else { return };
        if self.next_wake.is_none_or(|planned| due < planned) {
            self.next_wake = Some(due);
            self.host.set_timer(due.since(self.now));
        }
    }
}

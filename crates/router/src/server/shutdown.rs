//! Graceful shutdown: answers requests that still arrive, closes each connection without a reset, and
//! finishes before the process is killed.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;
use tindoor_consensus::Node;

use crate::downstream::{Connections, Listener};
use crate::state::RouterState;

/// A graceful shutdown.
pub struct Shutdown<'a> {
    /// The state that the tasks share.
    pub state: &'a RouterState,
    /// The clients' connections.
    pub connections: &'a Connections,
}

impl Shutdown<'_> {
    /// Runs the shutdown.
    pub async fn run(self, accepting: Task<Infallible>, listener: Rc<Listener>) {
        let begun = Instant::now();
        let deadline = begun + self.state.limits.shutdown.timeout;
        self.state.shutdown_deadline.set(Some(deadline));
        self.log_begin();
        self.serve_remaining(begun, deadline).await;
        accepting.cancel().await;
        self.close_idle_connections(&listener, deadline).await;
        drop(listener);
        self.abandon_requests().await;
        self.leave_fleet().await;
        tracing::info!(calls = ?self.state.external.counters(), "stopped");
    }

    fn log_begin(&self) {
        if let Some(fleet) = &self.state.fleet {
            tracing::info!(generation = fleet.status().node.generation, "leaving the fleet");
        }
        tracing::info!(requests = self.state.engine.open_requests(), "stopping");
    }

    async fn wait_poll_interval(&self) {
        Timer::after(self.state.limits.poll_interval).await;
    }

    /// Returns whether requests are in flight or replies are unwritten.
    fn is_busy(&self) -> bool {
        self.state.engine.open_requests() > 0 || self.connections.unwritten_replies() > 0
    }

    /// Continues serving for the minimum duration, and then until nothing is in flight or the deadline is
    /// reached.
    async fn serve_remaining(&self, begun: Instant, deadline: Instant) {
        let min_duration = self.state.limits.shutdown.min_duration;
        while begun.elapsed() < min_duration || self.is_busy() && Instant::now() < deadline {
            self.wait_poll_interval().await;
        }
    }

    /// Accepts pending connections and closes idle ones, until all are closed or the deadline is reached.
    async fn close_idle_connections(&self, listener: &Listener, deadline: Instant) {
        loop {
            let none_pending = listener.accept_pending();
            let all_closed = self.connections.close_idle();
            if none_pending && all_closed || Instant::now() >= deadline {
                return;
            }
            self.wait_poll_interval().await;
        }
    }

    /// Abandons the requests still in flight, which sends their replies, and waits until the last replies are
    /// written.
    async fn abandon_requests(&self) {
        self.state.engine.abandon_all();
        self.connections.close_all();
        let begun = Instant::now();
        let timeout = self.state.limits.shutdown.final_write_timeout;
        while (self.is_busy() || !self.connections.is_empty()) && begun.elapsed() < timeout {
            self.wait_poll_interval().await;
        }
    }

    /// Leaves the fleet. This is the last step, as it ends the router's lease.
    async fn leave_fleet(&self) {
        if let Some(fleet) = &self.state.fleet {
            fleet.with_node(Node::leave);
            self.wait_poll_interval().await;
        }
    }
}

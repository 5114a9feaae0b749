//! Graceful shutdown: answers requests that still arrive, closes each connection without a reset, and
//! finishes before the process is killed.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;
use tindoor_consensus::Node;

use crate::connections::PendingConnections;
use crate::state::RouterState;

/// A listener that accepts connections.
pub struct RunningListener {
    /// Accepts the connections.
    pub acceptor: Rc<dyn PendingConnections>,
    /// Runs the acceptor.
    pub task: Task<Infallible>,
}

/// Ends the tasks of the listeners, and returns the acceptors, whose sockets still listen.
async fn stop_accepting(listeners: Vec<RunningListener>) -> Vec<Rc<dyn PendingConnections>> {
    let mut acceptors = Vec::new();
    for RunningListener { acceptor, task } in listeners {
        task.cancel().await;
        acceptors.push(acceptor);
    }
    acceptors
}

/// A graceful shutdown.
pub struct Shutdown<'a> {
    /// The state that the tasks share.
    pub state: &'a RouterState,
}

impl Shutdown<'_> {
    /// Runs the shutdown.
    pub async fn run(self, listeners: Vec<RunningListener>) {
        let begun = Instant::now();
        let deadline = begun + self.state.limits.shutdown.timeout;
        self.state.shutdown_deadline.set(Some(deadline));
        self.log_begin();
        self.serve_remaining(begun, deadline).await;
        let acceptors = stop_accepting(listeners).await;
        self.close_idle_connections(&acceptors, deadline).await;
        drop(acceptors);
        self.abandon_requests().await;
        self.leave_fleet().await;
        self.state.listeners.report();
        self.state.memory.report();
        self.state.watch_metrics.report();
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
        self.state.engine.open_requests() > 0 || self.state.unwritten_replies.get() > 0
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
    async fn close_idle_connections(&self, acceptors: &[Rc<dyn PendingConnections>], deadline: Instant) {
        loop {
            let pending = acceptors.iter().filter(|acceptor| !acceptor.accept_pending()).count();
            let all_closed = self.state.listeners.close_idle();
            if pending == 0 && all_closed || Instant::now() >= deadline {
                return;
            }
            self.wait_poll_interval().await;
        }
    }

    /// Abandons the requests still in flight, which sends their replies, and waits until the last replies are
    /// written.
    async fn abandon_requests(&self) {
        self.state.engine.abandon_all();
        self.state.listeners.stop_all();
        let begun = Instant::now();
        let timeout = self.state.limits.shutdown.final_write_timeout;
        while (self.is_busy() || !self.state.listeners.is_empty()) && begun.elapsed() < timeout {
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

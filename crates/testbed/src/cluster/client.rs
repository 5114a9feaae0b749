//! A client's connection to one router of a cluster.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::Cluster;
use super::process::{connect, is_healthy};
use crate::stand_in::{Client, Reply, call};

/// A client's connection to one router. The client checks once for each connection whether the router is
/// healthy, as the platform's front does.
pub struct ClientConnection<'a> {
    cluster: &'a Cluster,
    /// The router's index.
    pub router: usize,
    /// The open connection, with the router's number of disruptions when the connection was opened. It is
    /// replaced when this number changes: a connection to a killed process may accept a call and return no
    /// answer.
    open: Option<(Client, u64)>,
    /// When the router last reported itself healthy in the check for a new connection.
    pub healthy_since: Option<Instant>,
    sequence_number: i32,
}

/// The result of a call.
pub enum CallResult {
    /// There was no answer, and the router was disrupted during the call or is not running.
    LostWithRouter,
    /// There was no answer, although the router was not disrupted.
    NoAnswer,
    /// An answer was received.
    Answered {
        /// When the call was sent.
        sent_at: Instant,
        /// Whether the answer has the sequence number of this call.
        is_own: bool,
        /// The answer.
        reply: Reply,
    },
}

impl<'a> ClientConnection<'a> {
    /// Returns a connection that is opened by the first call.
    pub fn new(cluster: &'a Cluster, router: usize) -> Self {
        Self { cluster, router, open: None, healthy_since: None, sequence_number: 0 }
    }

    /// Sends a call and waits for the answer. If no connection is open, tries to open one instead. `None` if
    /// no call was sent.
    pub fn call(&mut self, fields: &[(&str, &str)]) -> Option<CallResult> {
        let node = &self.cluster.nodes[self.router];
        let disruptions = node.disruptions.load(Ordering::SeqCst);
        let Some((client, _)) = self.open.as_mut().filter(|(_, opened)| *opened == disruptions) else {
            self.reconnect(disruptions);
            return None;
        };
        self.sequence_number += 1;
        let sent_at = Instant::now();
        if client.0.write_all(&call(self.sequence_number, fields, b"")).is_err() {
            self.open = None;
            return None;
        }
        let Some((number, reply)) = client.reply_or_end() else {
            self.open = None;
            let undisturbed = node.disruptions.load(Ordering::SeqCst) == disruptions
                && self.cluster.is_running(self.router);
            return Some(if undisturbed { CallResult::NoAnswer } else { CallResult::LostWithRouter });
        };
        Some(CallResult::Answered { sent_at, is_own: number == self.sequence_number, reply })
    }

    fn reconnect(&mut self, disruptions: u64) {
        let node = &self.cluster.nodes[self.router];
        self.open = None;
        if is_healthy(node) == Some(true) {
            self.healthy_since = Some(Instant::now());
            self.open = connect(node).map(|client| (client, disruptions));
            self.sequence_number = 0;
        } else {
            thread::sleep(Duration::from_millis(30));
        }
    }
}

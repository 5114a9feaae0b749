//! Use of what routers share: fills by the origin, retries, requests and connections.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt::Attempt;
use crate::stand_in::{Behavior, http_response};

/// A fill by the origin.
#[derive(Clone, Debug)]
pub struct Fill {
    /// When it began.
    pub began: Instant,
    /// When it ends.
    pub ended: Instant,
    /// Correlation id of the request that it was for.
    pub correlation_id: String,
}

/// What endpoints saw of the use of what routers share, by their own clock.
#[derive(Clone, Debug, Default)]
pub struct SharedUse {
    /// Fills by the origin.
    pub fills: Vec<Fill>,
    /// When requests were attempted that had failed before.
    pub retries: Vec<Instant>,
    /// When requests were attempted for the first time.
    pub requests: Vec<Instant>,
    /// When new connections were used for the first time, by the endpoint's index.
    pub connections: HashMap<usize, Vec<Instant>>,
    /// Correlation ids of requests that failed.
    failed: HashSet<String>,
    /// Correlation ids of requests that were attempted.
    attempted: HashSet<String>,
    /// Connections that were used, by the indexes of endpoint and connection.
    connected: HashSet<(usize, usize)>,
}

impl SharedUse {
    /// Records one attempt at the endpoint with this index. The behavior is one of its own for some objects:
    /// those of `ee` fail, those of `f1` and `f2` are filled by the origin.
    pub(super) fn record(&mut self, endpoint: usize, attempt: &Attempt) -> Option<Behavior> {
        self.count(endpoint, attempt);
        // No endpoint has these: the origin fills them, unless the attempt is cache-only.
        let is_filled = attempt.source.is_some() && !attempt.is_cache_only();
        match &attempt.object[..2] {
            "ee" => {
                self.failed.insert(attempt.correlation_id.clone());
                if is_filled {
                    self.add_fill(attempt, Duration::ZERO);
                }
                None
            }
            "f1" if is_filled => Some(self.fill(attempt, Duration::ZERO)),
            "f2" if is_filled => Some(self.fill(attempt, Duration::from_millis(200))),
            "f1" | "f2" => Some(Behavior::Respond(http_response(404, "", b""))),
            _ => None,
        }
    }

    fn count(&mut self, endpoint: usize, attempt: &Attempt) {
        if self.connected.insert((endpoint, attempt.connection)) {
            self.connections.entry(endpoint).or_default().push(attempt.at);
        }
        if self.attempted.insert(attempt.correlation_id.clone()) {
            self.requests.push(attempt.at);
        }
        if self.failed.contains(&attempt.correlation_id) {
            self.retries.push(attempt.at);
        }
    }

    fn fill(&mut self, attempt: &Attempt, longer: Duration) -> Behavior {
        let step = u64::from(attempt.object.as_bytes()[15] % 8);
        let duration = longer + Duration::from_millis(20 + step * 10);
        self.add_fill(attempt, duration);
        let headers = "X-Remark: deep_fill\r\nX-Version: 4be0c1927d55a6f3\r\n";
        Behavior::RespondAfter(duration, Arc::new(move |_| http_response(200, headers, b"filled")))
    }

    fn add_fill(&mut self, attempt: &Attempt, duration: Duration) {
        let correlation_id = attempt.correlation_id.clone();
        self.fills.push(Fill { began: attempt.at, ended: attempt.at + duration, correlation_id });
    }
}

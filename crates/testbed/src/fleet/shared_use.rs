//! Records the use of the limits that routers share: fills from the origin, retries, requests and
//! connections.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt::Attempt;
use crate::stand_in::{Behavior, http_response};

/// A fill from the origin.
#[derive(Clone, Debug)]
pub struct Fill {
    /// When the fill began.
    pub began: Instant,
    /// When the fill ends, which may be in the future when it is recorded.
    pub ended: Instant,
    /// Correlation id of the request that caused the fill.
    pub correlation_id: String,
}

/// The use of the limits that routers share, as observed by the endpoints with their own clock.
#[derive(Clone, Debug, Default)]
pub struct SharedUse {
    /// Fills from the origin.
    pub fills: Vec<Fill>,
    /// When requests that had already failed were attempted again.
    pub retries: Vec<Instant>,
    /// When requests were attempted for the first time.
    pub requests: Vec<Instant>,
    /// When connections were used for the first time, by the index of the endpoint.
    pub connections: HashMap<usize, Vec<Instant>>,
    /// Correlation ids of requests that failed.
    failed: HashSet<String>,
    /// Correlation ids of requests that were attempted.
    attempted: HashSet<String>,
    /// Connections that were used, each by the indexes of its endpoint and of the connection.
    connected: HashSet<(usize, usize)>,
}

impl SharedUse {
    /// Records one attempt at the endpoint with this index. Returns how to answer it if the object's id
    /// begins with `f1` or `f2`, because the origin fills these objects. `None` for all other objects; those
    /// whose id begins with `ee` are recorded as failed.
    pub(super) fn record(&mut self, endpoint: usize, attempt: &Attempt) -> Option<Behavior> {
        self.count(endpoint, attempt);
        // No endpoint has a copy of the objects matched below: the origin fills them, unless the attempt is
        // cache-only.
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

    /// Records whether the attempt uses a new connection, is the first of its request, and is a retry.
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

    /// Records a fill and returns a response at its end. The fill takes 20 to 90 ms, depending on the object,
    /// plus `extra_time`.
    fn fill(&mut self, attempt: &Attempt, extra_time: Duration) -> Behavior {
        let step = u64::from(attempt.object.as_bytes()[15] % 8);
        let duration = extra_time + Duration::from_millis(20 + step * 10);
        self.add_fill(attempt, duration);
        let headers = "X-Remark: deep_fill\r\nX-Version: 4be0c1927d55a6f3\r\n";
        Behavior::RespondAfter(duration, Arc::new(move |_| http_response(200, headers, b"filled")))
    }

    fn add_fill(&mut self, attempt: &Attempt, duration: Duration) {
        let correlation_id = attempt.correlation_id.clone();
        self.fills.push(Fill { began: attempt.at, ended: attempt.at + duration, correlation_id });
    }
}

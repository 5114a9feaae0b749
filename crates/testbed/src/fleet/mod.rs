//! A fleet of stand-in endpoints with copies, fills, drains and purges, and the record that the audit reads.
//! The record holds only what the endpoints observed. Grace periods begin when a change is published.

mod attempt;
mod endpoint;
mod record;
mod shared_use;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::figures::Figures;
use crate::stand_in::{Cache, ChangeStream, endpoint_entry};

use endpoint::EndpointScript;
use record::{FailingAttempts, Record};

pub use record::AcceptedAges;
pub use shared_use::{Fill, SharedUse};

/// How long ago a group of objects was purged when the recording of accepted ages starts, in milliseconds.
const GROUP_PURGE_AGE_MS: u64 = 600_000;

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A running stand-in endpoint.
struct Endpoint {
    id: String,
    cache: Cache,
    /// The endpoint's kind, as named on the wire.
    kind: &'static str,
}

impl Endpoint {
    /// Returns the endpoint's entry in the endpoint list.
    fn entry(&self, phase: &str) -> Value {
        endpoint_entry(&self.id, self.cache.address, self.kind, phase)
    }
}

/// Caches, parents and an origin, which routers discover through one change stream.
pub struct Fleet {
    /// The change stream that routers watch.
    pub change_stream: ChangeStream,
    record: Arc<Mutex<Record>>,
    endpoints: Vec<Endpoint>,
    /// Sequence number of the last event.
    sequence: u64,
    /// All events so far. The first is the complete endpoint list.
    events: Vec<Value>,
}

impl Fleet {
    /// Starts this many caches, two parents and an origin.
    pub fn start(caches: usize) -> Self {
        let mut fleet = Self {
            change_stream: ChangeStream::start(),
            record: Arc::default(),
            endpoints: Vec::new(),
            sequence: 1,
            events: Vec::new(),
        };
        for _ in 0..caches {
            fleet.add("cache");
        }
        for kind in ["parent", "parent", "origin"] {
            fleet.add(kind);
        }
        let complete = json!({"revision": 1, "complete": true, "members": fleet.endpoint_list()});
        fleet.events.push(json!({"seq": 1, "fleet": complete}));
        fleet
    }

    /// Starts an endpoint and returns its index.
    fn add(&mut self, kind: &'static str) -> usize {
        let index = self.endpoints.len();
        let id = format!("{}-{index}", &kind[..1]);
        let script = EndpointScript { index, id: id.clone(), kind, record: Arc::clone(&self.record) };
        let cache = Cache::start(move |request| script.behavior(request));
        self.endpoints.push(Endpoint { id, cache, kind });
        index
    }

    /// Returns the entries of all endpoints, each with the phase "active", for the list that a router starts
    /// with.
    pub fn endpoint_list(&self) -> Vec<Value> {
        self.endpoints.iter().map(|endpoint| endpoint.entry("active")).collect()
    }

    /// Returns all events so far, in the form that a starting router's configuration expects.
    pub fn known_events(&self) -> Value {
        json!({"seq": self.sequence, "results": self.events})
    }

    /// Publishes an event with the next sequence number.
    fn publish(&mut self, mut event: Value) {
        self.sequence += 1;
        event["seq"] = json!(self.sequence);
        self.change_stream.publish(self.sequence, format!("{event}\n"));
        self.change_stream.set_heartbeat(self.sequence);
        self.events.push(event);
    }

    /// Publishes an endpoint's phase. Unless the phase is "active", the endpoint is recorded as drained from
    /// now on.
    fn publish_phase(&mut self, index: usize, phase: &str) {
        let endpoint = &self.endpoints[index];
        let mut entry = endpoint.entry(phase);
        if phase == "active" {
            entry["up_since_ms"] = json!(unix_ms());
        } else {
            let mut record = self.record.lock().unwrap();
            record.drained.entry(endpoint.id.clone()).or_insert_with(Instant::now);
        }
        self.publish(json!({"fleet": {"revision": self.sequence, "complete": false, "members": [entry]}}));
    }

    /// Publishes that an endpoint is draining.
    pub fn drain(&mut self, index: usize) {
        self.publish_phase(index, "leaving");
    }

    /// Publishes that a drained cache has left, and starts an empty cache in its place. Returns the index of
    /// the new cache.
    pub fn replace(&mut self, index: usize) -> usize {
        self.publish_phase(index, "left");
        let new = self.add("cache");
        self.publish_phase(new, "active");
        new
    }

    /// Publishes and records the purge of an object.
    pub fn purge(&mut self, object: &str) {
        self.record.lock().unwrap().purges.insert(object.to_string(), Instant::now());
        self.publish(json!({"invalidate": {"object": object, "time": unix_ms()}}));
    }

    /// Sets whether an endpoint resets every connection on which it receives a request.
    pub fn set_dead(&self, index: usize, dead: bool) {
        let mut record = self.record.lock().unwrap();
        record.dead.retain(|known| *known != index);
        if dead {
            record.dead.push(index);
        }
    }

    /// Makes all endpoints report a time in their `Date` headers that is off by this many seconds, as if the
    /// router's own clock were off in the other direction.
    pub fn report_time(&self, offset: i64) {
        self.record.lock().unwrap().clock_offset = Some(offset);
    }

    /// Starts recording the ages that attempts accept. Also adds the purge of a group long ago to the known
    /// events, so that each attempt states an accepted age.
    pub fn record_accepted_ages(&mut self) {
        self.record.lock().unwrap().accepted_ages = Some(HashMap::new());
        self.sequence += 1;
        let time = unix_ms() - GROUP_PURGE_AGE_MS;
        let purge = json!({"seq": self.sequence, "invalidate": {"bucket": 17, "time": time}});
        self.change_stream.set_heartbeat(self.sequence);
        self.events.push(purge);
    }

    /// Returns the ages that the attempts of each request accepted, by correlation id, and stops recording.
    pub fn take_accepted_ages(&self) -> HashMap<String, AcceptedAges> {
        self.record.lock().unwrap().accepted_ages.take().unwrap_or_default()
    }

    /// Starts recording the use of the limits that routers share.
    pub fn record_shared_use(&mut self) {
        self.record.lock().unwrap().shared_use = Some(SharedUse::default());
    }

    /// Returns the recorded use of the limits that routers share.
    pub fn shared_use(&self) -> SharedUse {
        self.record.lock().unwrap().shared_use.clone().unwrap_or_default()
    }

    /// From now on, fails the attempts that accept this age, of requests whose correlation id begins with
    /// `id_prefix`.
    pub fn fail_attempts(&self, accepted_age_ms: u64, id_prefix: &str) {
        let failing = FailingAttempts { accepted_age_ms, id_prefix: id_prefix.to_string() };
        self.record.lock().unwrap().failing = Some(failing);
    }

    /// Returns the number of attempts of the request with this correlation id.
    pub fn attempts(&self, correlation_id: &str) -> u64 {
        self.record.lock().unwrap().attempts.get(correlation_id).copied().unwrap_or_default()
    }

    /// Adds what the endpoints observed to the report.
    pub fn audit(&self, figures: &mut Figures) {
        self.record.lock().unwrap().report(figures);
    }
}

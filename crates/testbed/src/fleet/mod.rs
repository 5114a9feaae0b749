//! A fleet of stand-in caches with copies, fills, drains and purges, and the record that the audit reads.
//! What is recorded is what the endpoints saw; grace periods begin when a change is published.

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

/// How long ago the group was purged whose requests state an accepted age, in milliseconds.
const GROUP_PURGE_AGE_MS: u64 = 600_000;

/// The time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A running endpoint.
struct Endpoint {
    id: String,
    cache: Cache,
    /// Its kind, as the wire names it.
    kind: &'static str,
}

impl Endpoint {
    fn entry(&self, phase: &str) -> Value {
        endpoint_entry(&self.id, self.cache.address, self.kind, phase)
    }
}

/// Caches, parents and an origin, which routers discover by one change stream.
pub struct Fleet {
    /// The change stream that routers watch.
    pub change_stream: ChangeStream,
    record: Arc<Mutex<Record>>,
    endpoints: Vec<Endpoint>,
    /// Sequence number of the last event.
    sequence: u64,
    /// All events, from the complete list of the start on.
    events: Vec<Value>,
}

impl Fleet {
    /// Starts so many caches, two parents and an origin.
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

    /// All endpoints, as the list has them at the start.
    pub fn endpoint_list(&self) -> Vec<Value> {
        self.endpoints.iter().map(|endpoint| endpoint.entry("active")).collect()
    }

    /// All events so far, as the configuration of a router has them that starts now.
    pub fn known_events(&self) -> Value {
        json!({"seq": self.sequence, "results": self.events})
    }

    fn publish(&mut self, mut event: Value) {
        self.sequence += 1;
        event["seq"] = json!(self.sequence);
        self.change_stream.publish(self.sequence, format!("{event}\n"));
        self.change_stream.set_heartbeat(self.sequence);
        self.events.push(event);
    }

    /// Publishes an endpoint's phase; one that drains or is gone is recorded as such from now on.
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

    /// Publishes that a drained cache is gone, and starts a new one with no copies; returns its index.
    pub fn replace(&mut self, index: usize) -> usize {
        self.publish_phase(index, "left");
        let new = self.add("cache");
        self.publish_phase(new, "active");
        new
    }

    /// Purges an object.
    pub fn purge(&mut self, object: &str) {
        self.record.lock().unwrap().purges.insert(object.to_string(), Instant::now());
        self.publish(json!({"invalidate": {"object": object, "time": unix_ms()}}));
    }

    /// Sets whether an endpoint resets every connection that it gets a request on.
    pub fn set_dead(&self, index: usize, dead: bool) {
        let mut record = self.record.lock().unwrap();
        record.dead.retain(|known| *known != index);
        if dead {
            record.dead.push(index);
        }
    }

    /// Has all endpoints tell a time that is off by so many seconds: as if the router's own were off the
    /// other way.
    pub fn tell_time(&self, offset: i64) {
        self.record.lock().unwrap().clock_offset = Some(offset);
    }

    /// Records from now on which ages attempts accept. A group was purged long ago, so that each states one.
    pub fn record_accepted_ages(&mut self) {
        self.record.lock().unwrap().accepted_ages = Some(HashMap::new());
        self.sequence += 1;
        let time = unix_ms() - GROUP_PURGE_AGE_MS;
        let purge = json!({"seq": self.sequence, "invalidate": {"bucket": 17, "time": time}});
        self.change_stream.set_heartbeat(self.sequence);
        self.events.push(purge);
    }

    /// The ages that the attempts of each request accepted, by correlation id; they are recorded no longer.
    pub fn take_accepted_ages(&self) -> HashMap<String, AcceptedAges> {
        self.record.lock().unwrap().accepted_ages.take().unwrap_or_default()
    }

    /// Records from now on the use of what routers share.
    pub fn record_shared_use(&mut self) {
        self.record.lock().unwrap().shared_use = Some(SharedUse::default());
    }

    /// The use of what routers share so far.
    pub fn shared_use(&self) -> SharedUse {
        self.record.lock().unwrap().shared_use.clone().unwrap_or_default()
    }

    /// Fails from now on the attempts that accept this age, of requests whose correlation id begins so.
    pub fn fail_attempts(&self, accepted_age_ms: u64, id_prefix: &str) {
        let failing = FailingAttempts { accepted_age_ms, id_prefix: id_prefix.to_string() };
        self.record.lock().unwrap().failing = Some(failing);
    }

    /// Number of attempts of the request with this correlation id.
    pub fn attempts(&self, correlation_id: &str) -> u64 {
        self.record.lock().unwrap().attempts.get(correlation_id).copied().unwrap_or_default()
    }

    /// Adds what the endpoints saw to the report.
    pub fn audit(&self, figures: &mut Figures) {
        self.record.lock().unwrap().report(figures);
    }
}

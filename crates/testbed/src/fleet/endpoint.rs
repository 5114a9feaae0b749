//! Determines how the endpoints of a fleet answer.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, UNIX_EPOCH};

use super::attempt::Attempt;
use super::record::{CachedCopy, Record};
use super::unix_ms;
use crate::stand_in::{Behavior, ReceivedRequest, http_response};

/// How long an idempotent write takes.
const WRITE_TIME: Duration = Duration::from_millis(15);

/// How long a request takes to fail for objects whose id begins with `dd`.
const SLOW_FAILURE_TIME: Duration = Duration::from_millis(250);

/// The behavior of one endpoint, with the record that it shares with the other endpoints.
pub(super) struct EndpointScript {
    pub(super) index: usize,
    pub(super) id: String,
    /// The endpoint's kind, as named on the wire.
    pub(super) kind: &'static str,
    pub(super) record: Arc<Mutex<Record>>,
}

impl EndpointScript {
    /// Records a request and returns how to answer it.
    pub(super) fn behavior(&self, request: &ReceivedRequest) -> Behavior {
        let attempt = Attempt::new(request);
        let mut record = self.record.lock().unwrap();
        record.count(&attempt);
        let shared_use = record.shared_use.as_mut();
        if let Some(behavior) = shared_use.and_then(|shared_use| shared_use.record(self.index, &attempt)) {
            return behavior;
        }
        record.audit_drain(&self.id, &attempt);
        if record.dead.contains(&self.index) {
            return Behavior::Reset;
        }
        // Objects whose id begins with `dd` or `ee` fail at every endpoint; those with `dd` fail slowly.
        if attempt.object.starts_with("dd") {
            let respond = Arc::new(|_: bool| http_response(500, "", b""));
            return Behavior::RespondAfter(SLOW_FAILURE_TIME, respond);
        }
        if record.fails(&attempt) || attempt.object.starts_with("ee") {
            return Behavior::Respond(http_response(500, "", b""));
        }
        match &attempt.idempotency_key {
            Some(key) if attempt.class == "saves" => self.write(&record, key, attempt.at),
            _ => self.read(&mut record, &attempt),
        }
    }

    /// Runs a write unless one with this idempotency key has already run. A write is recorded when it ends,
    /// so that two concurrent writes with the same key both run.
    fn write(&self, record: &Record, idempotency_key: &str, at: Instant) -> Behavior {
        if record.has_run(idempotency_key, at) {
            return Behavior::Respond(write_response());
        }
        let record = Arc::clone(&self.record);
        let key = idempotency_key.to_string();
        let complete = move |is_router_waiting: bool| {
            // A router that closes the connection cancels the write, which then has no effect.
            if is_router_waiting {
                record.lock().unwrap().add_run(&key);
            }
            write_response()
        };
        Behavior::RespondAfter(WRITE_TIME, Arc::new(complete))
    }

    /// Answers from a copy, and fetches one first if needed and possible.
    fn read(&self, record: &mut Record, attempt: &Attempt) -> Behavior {
        // Parents and the origin fetch missing objects themselves; a cache needs a source.
        let may_fetch = attempt.source.is_some() || self.kind != "cache";
        let Some(copy) = record.copy(self.index, attempt, may_fetch) else {
            return Behavior::Respond(http_response(404, "", b""));
        };
        record.audit_purge(copy, attempt);
        let headers = copy_headers(copy, attempt.at) + &date_header(record.clock_offset);
        Behavior::Respond(http_response(200, &headers, attempt.path.as_bytes()))
    }
}

fn write_response() -> Vec<u8> {
    http_response(200, "X-Remark: deep_fill\r\nX-Version: 4be0c1927d55a6f3\r\n", b"saved")
}

/// Returns the headers that describe a copy.
fn copy_headers(copy: CachedCopy, at: Instant) -> String {
    let remark = if copy.is_new { "fill" } else { "warm" };
    let date = unix_ms() - (at - copy.fetched).as_millis() as u64;
    format!("X-Remark: {remark}\r\nX-Version: 4be0c1927d55a6f3\r\nX-Origin-Date: {date}\r\n")
}

/// Returns the `Date` header; empty if endpoints do not report their time.
fn date_header(clock_offset: Option<i64>) -> String {
    let Some(offset) = clock_offset else { return String::new() };
    let seconds = (unix_ms() as i64 / 1000 + offset) as u64;
    format!("Date: {}\r\n", httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(seconds)))
}

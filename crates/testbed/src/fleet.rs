//! A fleet of stand-in caches with copies, fills, drains and purges, and the record that the audit reads.
//! What is recorded is what the caches saw; the rules' times are reckoned from when the change stream was
//! told.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::figures::Figures;
use crate::stand_in::{Behavior, Cache, ChangeStream, ReceivedRequest, endpoint_entry, http_response};

/// The graces of the configuration, and what is added on sockets.
const GRACE: Duration = Duration::from_millis(550);
const WINDOW: Duration = Duration::from_secs(3);

/// Longer than the longest age that a policy of the experiments accepts.
const SHOWS: Duration = Duration::from_secs(9);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[derive(Default)]
struct Record {
    attempts: HashMap<String, u64>,
    /// When each mark was run to its end.
    runs: HashMap<String, Vec<Instant>>,
    /// Copies that caches hold: when they were fetched.
    copies: HashMap<(usize, String), Instant>,
    purges: HashMap<String, Instant>,
    /// Caches by id, from when they were told to drain or be gone.
    drained: HashMap<String, Instant>,
    /// Attempts of each request with the age that they accept, where that is asked for.
    ages: Option<HashMap<String, Vec<(Instant, u64)>>>,
    /// Attempts that accept this age fail, of requests whose id begins so.
    fails: Option<(u64, String)>,
    dead: Vec<usize>,
    /// How far the caches' clocks are off, in seconds, where they tell the time.
    clock_off: Option<i64>,
    sent_after_drain: u64,
    served_after_purge: u64,
    repeated: u64,
    sends: u64,
    fills: u64,
    /// What is drawn on that routers share, where that is looked at.
    shared: Option<Shared>,
}

/// What caches and the origin were asked for of what routers share, by their own clock.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// Fills by the origin: when each began and ended, and for which request.
    pub fills: Vec<(Instant, Instant, String)>,
    /// Attempts of requests that had failed before.
    pub further: Vec<Instant>,
    /// First attempts of requests.
    pub requests: Vec<Instant>,
    /// New connections, by cache.
    pub connections: HashMap<usize, Vec<Instant>>,
    failed: HashSet<String>,
    begun: HashSet<String>,
    connected: HashSet<(usize, usize)>,
}

impl Shared {
    /// Takes in one attempt; what becomes of it, where that is special.
    fn asked(
        &mut self,
        now: Instant,
        no: usize,
        seen: &ReceivedRequest,
        ticket: &str,
        object: &str,
    ) -> Option<Behavior> {
        if self.connected.insert((no, seen.connection)) {
            self.connections.entry(no).or_default().push(now);
        }
        if self.begun.insert(ticket.to_string()) {
            self.requests.push(now);
        }
        if self.failed.contains(ticket) {
            self.further.push(now);
        }
        let mode = seen.headers.get("x-mode").map_or("", String::as_str);
        // Nobody holds these: the origin is asked, unless only what is held is wanted.
        let fills = seen.headers.contains_key("x-source") && !mode.split('+').any(|word| word == "h");
        match &object[..2] {
            "ee" => {
                self.failed.insert(ticket.to_string());
                if fills {
                    self.fills.push((now, now, ticket.to_string()));
                }
                None
            }
            kind @ ("f1" | "f2") if fills => {
                let takes = 20 + u64::from(object.as_bytes()[15] % 8) * 10;
                let takes = Duration::from_millis(if kind == "f2" { 200 + takes } else { takes });
                self.fills.push((now, now + takes, ticket.to_string()));
                let headers = "X-Remark: deep_fill\r\nX-Version: 4be0c1927d55a6f3\r\n";
                Some(Behavior::RespondAfter(takes, Arc::new(move |_| http_response(200, headers, b"filled"))))
            }
            "f1" | "f2" => Some(Behavior::Respond(http_response(404, "", b""))),
            _ => None,
        }
    }
}

/// Caches, parents and an origin, told to routers by one change stream.
pub struct Fleet {
    pub log: ChangeStream,
    record: Arc<Mutex<Record>>,
    caches: Vec<(String, Cache, &'static str)>,
    seq: u64,
    /// All that was told, from the whole list of the start on.
    events: Vec<Value>,
}

/// How a cache treats a request.
fn treat(record: &Arc<Mutex<Record>>, no: usize, id: &str, kind: &str, seen: &ReceivedRequest) -> Behavior {
    let now = Instant::now();
    let header = |name: &str| seen.headers.get(name).cloned();
    let path = seen.request_line.split(' ').nth(1).unwrap_or_default().to_string();
    let mut parts = path.trim_start_matches("/v1/store/").split('/');
    let (class, object) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    let mut locked = record.lock().unwrap();
    locked.sends += 1;
    *locked.attempts.entry(header("x-ticket").unwrap_or_default()).or_default() += 1;
    let accepts = header("x-accept-age").and_then(|age| age.parse::<u64>().ok()).unwrap_or_default();
    let ticket = header("x-ticket").unwrap_or_default();
    // The age since a purge may be any that a policy tells: of what was purged lately it shows nothing.
    let purged_lately = locked.purges.get(object).is_some_and(|purged| now - *purged < SHOWS);
    if let Some(ages) = locked.ages.as_mut().filter(|_| !purged_lately) {
        ages.entry(ticket.clone()).or_default().push((now, accepts));
    }
    let special = locked.shared.as_mut().and_then(|shared| shared.asked(now, no, seen, &ticket, object));
    if let Some(deed) = special {
        return deed;
    }
    let mut named = vec![id.to_string()];
    named.extend(header("x-source"));
    let late = |id: &String| locked.drained.get(id).is_some_and(|told| now > *told + GRACE);
    if named.iter().any(late) {
        locked.sent_after_drain += 1;
    }
    if locked.dead.contains(&no) {
        return Behavior::Reset;
    }
    let fails =
        locked.fails.as_ref().is_some_and(|(age, of)| *age == accepts && ticket.starts_with(of.as_str()));
    // Some take long to fail.
    if object.starts_with("dd") {
        return Behavior::RespondAfter(Duration::from_millis(250), Arc::new(|_| http_response(500, "", b"")));
    }
    // Some objects fail wherever they are asked for.
    if fails || object.starts_with("ee") {
        return Behavior::Respond(http_response(500, "", b""));
    }
    if let Some(mark) = header("x-nonce").filter(|_| class == "saves") {
        // The record of a write is made at its end: two that run at once both run.
        let known = locked.runs.get(&mark).and_then(|runs| runs.last()).is_some_and(|at| now - *at < WINDOW);
        if known {
            return Behavior::Respond(saved());
        }
        let record = Arc::clone(record);
        let run = move |waits: bool| {
            let mut locked = record.lock().unwrap();
            // Closing the connection gives the request up: it is undone.
            if waits {
                let now = Instant::now();
                let runs = locked.runs.entry(mark.clone()).or_default();
                let again = runs.last().is_some_and(|last| now - *last < WINDOW);
                runs.push(now);
                locked.repeated += u64::from(again);
            }
            saved()
        };
        return Behavior::RespondAfter(Duration::from_millis(15), Arc::new(run));
    }
    let fresh = Duration::from_secs(8);
    let most = header("x-accept-age").and_then(|age| age.parse().ok()).filter(|age| *age > 0);
    let most = most.map_or(fresh, Duration::from_millis).min(fresh);
    let key = (no, path.clone());
    let held = locked.copies.get(&key).copied().filter(|fetched| now - *fetched <= most);
    let (remark, fetched) = match held {
        Some(fetched) => ("warm", fetched),
        None if header("x-source").is_none() && kind == "cache" => {
            return Behavior::Respond(http_response(404, "", b""));
        }
        None => {
            locked.fills += 1;
            locked.copies.insert(key, now);
            ("fill", now)
        }
    };
    let purged = locked.purges.get(object).copied();
    if purged.is_some_and(|purged| fetched < purged && now > purged + GRACE) {
        locked.served_after_purge += 1;
    }
    let date = unix_ms() - (now - fetched).as_millis() as u64;
    let headers = format!("X-Remark: {remark}\r\nX-Version: 4be0c1927d55a6f3\r\nX-Origin-Date: {date}\r\n");
    let said = locked.clock_off.map(|off| {
        let unix = (unix_ms() as i64 / 1000 + off) as u64;
        format!("Date: {}\r\n", httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(unix)))
    });
    Behavior::Respond(http_response(200, &(headers + &said.unwrap_or_default()), path.as_bytes()))
}

fn saved() -> Vec<u8> {
    http_response(200, "X-Remark: deep_fill\r\nX-Version: 4be0c1927d55a6f3\r\n", b"saved")
}

impl Fleet {
    /// So many caches, two parents and an origin.
    pub fn start(caches: usize) -> Self {
        let log = ChangeStream::start();
        let mut fleet = Self { log, record: Arc::default(), caches: Vec::new(), seq: 1, events: Vec::new() };
        for _ in 0..caches {
            fleet.add("cache");
        }
        for kind in ["parent", "parent", "origin"] {
            fleet.add(kind);
        }
        let whole = json!({"revision": 1, "complete": true, "members": fleet.members()});
        fleet.events.push(json!({"seq": 1, "fleet": whole}));
        fleet
    }

    fn add(&mut self, kind: &'static str) -> usize {
        let (no, record) = (self.caches.len(), Arc::clone(&self.record));
        let id = format!("{}-{no}", &kind[..1]);
        let own = id.clone();
        let cache = Cache::start(move |seen| treat(&record, no, &own, kind, seen));
        self.caches.push((id, cache, kind));
        no
    }

    /// All members as the list has them at the start.
    pub fn members(&self) -> Vec<Value> {
        let member = |(id, cache, kind): &(String, Cache, &'static str)| {
            endpoint_entry(id, cache.address, kind, "active")
        };
        self.caches.iter().map(member).collect()
    }

    /// What a router that starts now is told in its configuration.
    pub fn known(&self) -> Value {
        json!({"seq": self.seq, "results": self.events})
    }

    fn tell(&mut self, mut event: Value) {
        self.seq += 1;
        event["seq"] = json!(self.seq);
        self.log.publish(self.seq, format!("{event}\n"));
        self.log.set_heartbeat(self.seq);
        self.events.push(event);
    }

    /// Tells of a member's phase; drained and gone ones are recorded from now on.
    fn phase(&mut self, no: usize, phase: &str) {
        let (id, cache, kind) = &self.caches[no];
        let mut line = endpoint_entry(id, cache.address, kind, phase);
        if phase == "active" {
            line["up_since_ms"] = json!(unix_ms());
        } else {
            self.record.lock().unwrap().drained.entry(id.clone()).or_insert_with(Instant::now);
        }
        self.tell(json!({"fleet": {"revision": self.seq, "complete": false, "members": [line]}}));
    }

    pub fn drain(&mut self, no: usize) {
        self.phase(no, "leaving");
    }

    /// The drained cache is gone, and a new one comes up cold.
    pub fn replace(&mut self, no: usize) -> usize {
        self.phase(no, "left");
        let new = self.add("cache");
        self.phase(new, "active");
        new
    }

    pub fn purge(&mut self, object: &str) {
        self.record.lock().unwrap().purges.insert(object.to_string(), Instant::now());
        self.tell(json!({"invalidate": {"object": object, "time": unix_ms()}}));
    }

    /// Resets whatever is asked of it, or no longer does.
    pub fn die(&self, no: usize, dead: bool) {
        let mut record = self.record.lock().unwrap();
        record.dead.retain(|known| *known != no);
        if dead {
            record.dead.push(no);
        }
    }

    /// Has all caches tell a time that is off by so many seconds: as if the router's own were off the other
    /// way.
    pub fn tell_time(&self, off: i64) {
        self.record.lock().unwrap().clock_off = Some(off);
    }

    /// Has the ages be kept that attempts accept. A group was purged long ago, so that each says one.
    pub fn keep_ages(&mut self) {
        self.record.lock().unwrap().ages = Some(HashMap::new());
        self.seq += 1;
        let purge = json!({"seq": self.seq, "invalidate": {"bucket": 17, "time": unix_ms() - 600_000}});
        self.log.set_heartbeat(self.seq);
        self.events.push(purge);
    }

    /// Has what routers share be looked at.
    pub fn keep_shared(&mut self) {
        self.record.lock().unwrap().shared = Some(Shared::default());
    }

    pub fn shared(&self) -> Shared {
        self.record.lock().unwrap().shared.clone().unwrap_or_default()
    }

    /// Attempts that accept this age fail from now on, of requests whose id begins so.
    pub fn fail(&self, age: u64, of: &str) {
        self.record.lock().unwrap().fails = Some((age, of.to_string()));
    }

    /// The ages that attempts of each request accepted, and when each came.
    pub fn take_ages(&self) -> HashMap<String, Vec<(Instant, u64)>> {
        self.record.lock().unwrap().ages.take().unwrap_or_default()
    }

    /// How often caches were asked for that request.
    pub fn attempts(&self, ticket: &str) -> u64 {
        self.record.lock().unwrap().attempts.get(ticket).copied().unwrap_or_default()
    }

    /// What the caches saw.
    pub fn audit(&self, figures: &mut Figures) {
        let record = self.record.lock().unwrap();
        figures.saves_repeated = record.repeated;
        figures.most_attempts = record.attempts.values().copied().max().unwrap_or_default();
        figures.sent_after_drain = record.sent_after_drain;
        figures.served_after_purge = record.served_after_purge;
        figures.more.insert("dispatches".into(), json!(record.sends));
        figures.more.insert("fills".into(), json!(record.fills));
    }
}

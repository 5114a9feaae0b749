//! Case 3: proxies keep their connections to the router's front and rest. Further proxies connect and call for
//! lesson-assets and progress-saves. Each call that was written whole to a connection that the machine accepted has
//! to get its one answer (a choice or a refusal), or its connection may be shut unread.

#[path = "../common/common.rs"]
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::*;

/// The descriptors that the router is given (`limits.sockets`: 256 to 1,024).
const SOCKETS: u64 = 256;
/// The proxies that rest, and the connections of each (a proxy has one for each of its threads). Together they are
/// far under the third of the descriptors (85) that clients may hold.
const RESTING_PROXIES: u64 = 6;
const CONNECTIONS: u64 = 4;
/// The calls of further proxies, each on a connection of its own, and the time between two.
const CALLS: u64 = 12;
const EVERY_MS: u64 = 150;
/// The clients' waits (`deadline_ms` of lesson-assets and of progress-save), and the time after it in which an
/// answer is late and not lost.
const ASSET_WAIT_MS: u64 = 2500;
const SAVE_WAIT_MS: u64 = 3000;
const LATE_MS: u64 = 500;

/// What became of a call.
#[derive(Clone, Copy, PartialEq, Debug)]
enum End {
    /// A choice that was used, and the report was answered.
    Served,
    /// The router's refusal or failure.
    Refused,
    /// The router shut the connection or ended the stream.
    Shut,
    /// Nothing, until the client's wait and half a second more were over; the connection is open.
    Nothing,
}

fn main() {
    limit_time(60);
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let code = run(&record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(record: &Arc<Record>) -> i32 {
    let folder = Folder::create("case3");
    let server = |name: &'static str| {
        let record = Arc::clone(record);
        serve_http(Arc::new(move |request: Message| {
            record.line(&format!("{} came to the {name}: {}", request.field("x-ticket"), request.first));
            sleep_ms(30);
            let date = unix_ms();
            let head = format!("X-Version: 0000000000000001\r\nX-Remark: warm\r\nX-Origin-Date: {date}");
            Some(format!("HTTP/1.1 200 X\r\n{head}\r\nContent-Length: 2\r\n\r\nok").into_bytes())
        }))
    };
    let (cache_address, vault_address) = (server("cache"), server("vault"));
    let change_log = serve_change_log(1);
    let (listen, front) = (format!("127.0.0.1:{}", free_port()), format!("127.0.0.1:{}", free_port()));
    let configuration = folder.file("config.json", &configuration(&listen, &change_log, &cache_address, &vault_address));
    let fronts = folder.file("fronts.json", &format!(r#"{{"external_processing": {{"listen": "{front}"}}}}"#));
    let router = Router::start("n1", &listen, &configuration, &fronts, &folder.0.join("router.log"));
    if !router.wait_ready() {
        return COULD_NOT_RUN;
    }
    record.line("the router is ready");

    // The resting proxies: each connection has a call first, and stays open.
    let mut resting = Vec::new();
    let mut first_ends = Vec::new();
    for proxy in 0..RESTING_PROXIES {
        let opened: Vec<_> = (0..CONNECTIONS)
            .map(|connection| {
                let (record, front) = (Arc::clone(record), front.clone());
                thread::spawn(move || call(&record, &front, &format!("proxy {proxy} connection {connection}"), false))
            })
            .collect();
        for thread in opened {
            let Ok((end, connection)) = thread.join() else { return COULD_NOT_RUN };
            first_ends.push(end);
            // Without the disruption a connection is closed after its call.
            resting.extend(connection.filter(|_| trouble()));
        }
        if first_ends.contains(&End::Nothing) {
            break;
        }
    }
    let answered = first_ends.iter().filter(|end| **end == End::Served).count();
    record.line(&format!("{} connections rest; {answered} calls on them were served", resting.len()));

    let callers: Vec<_> = (0..CALLS)
        .map(|number| {
            let (record, front) = (Arc::clone(record), front.clone());
            thread::spawn(move || {
                sleep_ms(200 + number * EVERY_MS);
                call(&record, &front, &format!("further proxy {number}"), number % 3 == 0).0
            })
        })
        .collect();
    let ends: Vec<End> = callers.into_iter().map(|caller| caller.join().unwrap_or(End::Shut)).collect();
    drop(resting);
    drop(router);
    let lost = first_ends.iter().chain(&ends).filter(|end| **end == End::Nothing).count();
    let served = ends.iter().filter(|end| **end == End::Served).count();
    record.line(&format!("of {CALLS} calls of further proxies {served} were served"));
    match (lost > 0, answered > 10) {
        (true, _) => {
            record.line(&format!("BROKEN: {lost} calls got no answer in their time, and their connections were not shut"));
            BROKEN
        }
        (false, true) => HELD,
        (false, false) => COULD_NOT_RUN,
    }
}

/// One call of a proxy on a connection of its own: asks for a choice, uses it, reports, and ends its stream. Returns
/// what became of it, and the connection.
fn call(record: &Record, front: &str, who: &str, is_save: bool) -> (End, Option<Processing>) {
    let (ticket, mark) = (format!("{:016x}", random()), format!("{:016x}{:016x}", random(), random()));
    let (offering, wait_ms) = if is_save { ("progress-save", SAVE_WAIT_MS) } else { ("lesson-assets", ASSET_WAIT_MS) };
    let path = format!("/v1/store/{offering}/{ticket}/0");
    let wait = wait_ms.to_string();
    let mut headers =
        vec![(":method", "GET"), (":path", &path), ("x-ticket", &ticket), ("x-max-ms", &wait), ("x-envoy-attempt-count", "1")];
    if is_save {
        headers.push(("x-nonce", &mark));
    }
    let begun = record.ms();
    let mut stream = match Processing::open(front, &pairs(&headers)) {
        Ok(stream) => stream,
        Err(error) => {
            record.line(&format!("{ticket} {who}: no connection: {error}"));
            return (End::Shut, None);
        }
    };
    record.line(&format!("{ticket} {who}: connected, call for {offering} written whole"));
    let limit = Duration::from_millis(wait_ms + LATE_MS);
    let choice = match stream.reply(limit) {
        Reply::Continue(choice) => choice,
        Reply::Immediate(status, headers) => {
            record.line(&format!("{ticket} {who}: refused: {status} {headers:?}"));
            return (End::Refused, Some(stream));
        }
        Reply::Ended if has_ended(&stream.stream) || record.ms() - begun < wait_ms + LATE_MS => {
            record.line(&format!("{ticket} {who}: shut"));
            return (End::Shut, None);
        }
        Reply::Ended => {
            record.line(&format!("{ticket} {who}: nothing came within {} ms, the connection is open", limit.as_millis()));
            return (End::Nothing, Some(stream));
        }
    };
    let word = |name: &str| choice.get(name).cloned().unwrap_or_default();
    record.line(&format!("{ticket} {who}: the router chose {}", word("x-tindoor-cache")));
    let status = send(&path, &ticket, is_save.then_some(mark.as_str()), &word("x-tindoor-address"), &word("x-max-ms"));
    let failed = [("x-tindoor-failed", "broken")];
    let more: &[(&str, &str)] = if status.is_some() { &[("x-remark", "warm")] } else { &failed };
    let status = status.unwrap_or("503".into());
    let report: Vec<(&str, &str)> = [(":status", status.as_str())].into_iter().chain(more.iter().copied()).collect();
    let _ = stream.report(&pairs(&report));
    let end = match stream.reply(Duration::from_millis(1000)) {
        Reply::Continue(_) => End::Served,
        Reply::Immediate(..) => End::Refused,
        Reply::Ended => End::Shut,
    };
    record.line(&format!("{ticket} {who}: the answer was {status}: {end:?}"));
    let _ = stream.finish();
    (end, Some(stream))
}

/// Sends the request to the cache or the vault; the status of its answer.
fn send(path: &str, ticket: &str, mark: Option<&str>, address: &str, max_ms: &str) -> Option<String> {
    let mut cache = TcpStream::connect(address).ok()?;
    let mark = mark.map_or(String::new(), |mark| format!("X-Nonce: {mark}\r\n"));
    let head = format!("GET {path} HTTP/1.1\r\nHost: cache\r\nX-Ticket: {ticket}\r\nX-Max-Ms: {max_ms}\r\n{mark}\r\n");
    cache.write_all(head.as_bytes()).ok()?;
    let _ = cache.set_read_timeout(Some(Duration::from_millis(1000)));
    let response = read_message(&mut cache, &mut Vec::new())?;
    response.first.split(' ').nth(1).map(str::to_string)
}

fn configuration(listen: &str, change_log: &str, cache: &str, vault: &str) -> String {
    let member = |id: &str, at: &str, kind: &str| {
        format!(
            r#"{{"id":"{id}","host_port":"{at}","locality":"central","flavor":"{kind}","cell":0,"phase":"active","size":4,"up_since_ms":0}}"#
        )
    };
    let members = [member("s-00000001", cache, "standard"), member("s-00000002", vault, "origin")].join(",");
    format!(
        r#"{{
  "name": "n1", "listen": "{listen}", "seed": "8c1f30d27a5be964", "changelog": "{change_log}",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": {SOCKETS}}},
  "known": {{"seq": 1, "results": [{{"seq": 1, "fleet": {{"revision": 1, "complete": true, "members": [{members}]}}}}]}},
  "settings": {{
    "family": "edge", "balancers": 1, "zones": ["central"], "zone": 0,
    "flavors": ["standard", "parent", "origin"], "weights": "off",
    "request_classes": [
      {{"name": "lesson-assets", "deadline": 2500000, "objective": 400000, "effect": "read_like", "group": "all", "late_value": 0.2, "points": 1.0}},
      {{"name": "progress-save", "deadline": 3000000, "objective": 800000, "effect": "idempotency_key", "group": "all", "window": 3000000, "late_value": 0.0, "points": 3.0}}
    ],
    "limits": {{"cancelling": true, "connect_timeout": 400000, "conn_idle": 30000000, "most_tries": 8, "second_copies": false,
               "retry_after": true, "max_retry_after": 1000000, "open_cap": 4096}},
    "rules": {{"answer_slack": 50000, "drain_grace": 2000000, "cold_share": 0.15, "warm_within": 17000000, "overload_factor": 2.5, "overload_for": 1500000}},
    "family_info": {{"root_kind": 2, "second_tier_kind": 1, "class_fresh": [0, 0], "older_by": [0, 0], "goes_through": [false, true],
                    "bypass_allowed": true, "collapses": true, "lateral": "any", "note_level": "all", "heed_within": 500000,
                    "gone_everywhere": 6000000, "parent_floor": 0.077, "parent_warms_in": 20000000, "parent_breaks_at": 2.0,
                    "instances_by_zone": [1], "attached_to": [0]}}
  }}
}}
"#
    )
}

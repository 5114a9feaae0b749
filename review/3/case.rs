//! Case 3: links to a video that lapse when the class ends. The video is in the caches since some seconds; they answer
//! from their copies, as HTTP caches do: with the `Date` of the copy and its `Age`. A link expires partway through the
//! video. Later than the stated skew after that no part may be let pass by it.

#[path = "../common/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

const VIDEOS: u64 = 4;
const PARTS: u64 = 16;
const CACHES: usize = 3;
/// `skew_ms` of the fronts file, and what the operators' page allows besides ("a date is cut to whole seconds, so up
/// to one second may be missing").
const SKEW_MS: u64 = 2000;
const CUT_MS: u64 = 1000;
/// A learner asks for the parts one after another (`gap_ms` 300 to 890).
const PART_EVERY_MS: u64 = 300;
/// When the other learners watch the video again, and when all end.
const WATCH_FROM_MS: u64 = 6000;
const END_MS: u64 = 19_000;
/// When the link expires, from its signing.
const LINK_SECONDS: u64 = 11;
const BASE: &str = "https://videos.example";

/// The copies of one cache: path to when the origin gave it out (Unix milliseconds).
type Copies = Mutex<BTreeMap<String, u64>>;

fn main() {
    limit_time(80);
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let code = run(&record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(record: &Arc<Record>) -> i32 {
    let folder = Folder::create("case3");
    let caches: Vec<String> = (0..CACHES).map(|_| serve_cache()).collect();
    let origin = serve_http(Arc::new(|_: Message| Some(response(unix_ms(), "deep_fill"))));
    let change_log = serve_change_log(1);
    let (listen, front) = (format!("127.0.0.1:{}", free_port()), format!("127.0.0.1:{}", free_port()));
    let configuration = folder.file("config.json", &configuration(&listen, &change_log, &caches, &origin));
    let keys = folder.0.join("keys.json");
    if tindoor(&["keys", "new", &keys.display().to_string(), "autumn"]).is_none() {
        return COULD_NOT_RUN;
    }
    let fronts = folder.file(
        "fronts.json",
        &format!(
            r#"{{"external_processing": {{"listen": "{front}"}},
  "links": {{"keys": "{}", "base": "{BASE}", "skew_ms": {SKEW_MS}, "request_classes": ["video-parts"],
            "forms": [{{"form": "hmac", "from": {{"query": "t"}}, "keys": ["autumn"]}}]}}}}"#,
            keys.display()
        ),
    );
    let router = Router::start("n1", &listen, &configuration, &fronts, &folder.0.join("router.log"));
    if !router.wait_ready() {
        return COULD_NOT_RUN;
    }
    record.line("the router is ready");
    let sign = |seconds: u64| {
        let url = format!("{BASE}/v1/store/video-parts/*");
        tindoor(&["signed-url", "sign", &keys.display().to_string(), &url, "--seconds", &seconds.to_string()])
    };
    let signed_at = unix_ms();
    let seconds = if trouble() { LINK_SECONDS } else { 3600 };
    let (Some(long), Some(short)) = (sign(3600), sign(seconds)) else { return COULD_NOT_RUN };
    // The signer cuts its time to whole seconds: the link expires then at the latest.
    let expires_at = signed_at + seconds * 1000 + 1000;
    record.line(&format!("the short link is {short} and expires after {seconds} s"));

    // The video is watched for the first time: every part comes into a cache.
    for number in 0..VIDEOS * PARTS {
        ask(record, &front, &path(number), &long, "first");
    }
    record.line("every part is in a cache");
    // Some learners watch it later, one by the link that expires.
    let others: Vec<_> = (0..VIDEOS)
        .map(|video| {
            let (record, front, link) = (Arc::clone(record), front.clone(), long.clone());
            thread::spawn(move || {
                sleep_ms(WATCH_FROM_MS.saturating_sub(record.ms()) + video * 40);
                let mut part = 0;
                while record.ms() < END_MS {
                    ask(&record, &front, &path(video * PARTS + part % PARTS), &link, "other");
                    part += 1;
                    sleep_ms(PART_EVERY_MS);
                }
            })
        })
        .collect();
    sleep_ms(WATCH_FROM_MS.saturating_sub(record.ms()) + 100);
    let (mut passed_late, mut refused_early, mut refused_late, mut passed, mut number) = (0, 0, 0, 0, 0);
    while record.ms() < END_MS {
        let asked_at = unix_ms();
        let status = ask(record, &front, &path(number % (VIDEOS * PARTS)), &short, "learner");
        number += 1;
        let is_late = asked_at > expires_at + SKEW_MS + CUT_MS;
        let is_early = unix_ms() + SKEW_MS + CUT_MS + 1000 < expires_at;
        match (status, is_late, is_early) {
            (200, true, _) => {
                passed_late += 1;
                let by = asked_at - expires_at;
                record.line(&format!("BROKEN: let pass {by} ms after the link had expired; the skew is {SKEW_MS} ms"));
            }
            (200, ..) => passed += 1,
            (_, true, _) => refused_late += 1,
            (_, _, true) => refused_early += 1,
            _ => {}
        }
        sleep_ms(PART_EVERY_MS);
    }
    others.into_iter().for_each(|other| drop(other.join()));
    let log = std::fs::read_to_string(folder.0.join("router.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(&format!("router: {line}")));
    drop(router);
    record.line(&format!(
        "by the short link: {passed} passed in time, {refused_early} refused in time, {passed_late} passed late, {refused_late} refused late"
    ));
    match (passed_late > 0 || refused_early > 0, passed > 3) {
        (true, _) => BROKEN,
        (false, true) => HELD,
        (false, false) => COULD_NOT_RUN,
    }
}

/// Runs a command of the router's program and returns what it printed.
fn tindoor(arguments: &[&str]) -> Option<String> {
    let output = Command::new(Path::new("target/release/tindoor")).args(arguments).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
}

fn path(number: u64) -> String {
    format!("/v1/store/video-parts/{:016x}/{}", 0x7f3a_9c21_e0b4_d600 + number / PARTS, number % PARTS)
}

/// A learner's request by way of the proxy. Returns the status that the learner gets.
fn ask(record: &Record, front: &str, path: &str, link: &str, who: &str) -> u64 {
    let ticket = format!("{:016x}", random());
    let headers = pairs(&[
        (":method", "GET"),
        (":path", &format!("{path}?t={link}")),
        ("x-ticket", &ticket),
        ("x-max-ms", "6000"),
        ("x-envoy-attempt-count", "1"),
        ("x-envoy-external-address", "127.0.0.3"),
    ]);
    let Ok(mut stream) = Processing::open(front, &headers) else { return 0 };
    let choice = match stream.reply(Duration::from_secs(6)) {
        Reply::Continue(choice) => choice,
        Reply::Immediate(status, headers) => {
            record.line(&format!("{who} {path}: refused, {status} {headers:?}"));
            return status;
        }
        Reply::Ended => return 0,
    };
    let word = |name: &str| choice.get(name).cloned().unwrap_or_default();
    let source = Some(word("x-source")).filter(|source| !source.is_empty());
    let source = source.map_or(String::new(), |source| format!("X-Source: {source}\r\n"));
    let Ok(mut cache) = TcpStream::connect(word("x-tindoor-address")) else { return 0 };
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: cache\r\nX-Ticket: {ticket}\r\nX-Max-Ms: {}\r\n{source}\r\n",
        word(":path"),
        word("x-max-ms")
    );
    let _ = cache.write_all(head.as_bytes());
    let Some(response) = read_message(&mut cache, &mut Vec::new()) else { return 0 };
    let status = response.first.split(' ').nth(1).unwrap_or("500").to_string();
    record.line(&format!(
        "{who} {path}: {status} from {}, date {}, age {}",
        word("x-tindoor-cache"),
        response.field("date"),
        response.field("age")
    ));
    let mut report = vec![(":status".to_string(), status.clone())];
    report.extend(response.fields.iter().map(|(name, value)| (name.clone(), value.clone())));
    let _ = stream.report(&report);
    let _ = stream.reply(Duration::from_secs(1));
    status.parse().unwrap_or(0)
}

/// A cache: a miss is filled from the origin, a copy is good until it is purged.
fn serve_cache() -> String {
    let copies = Copies::default();
    serve_http(Arc::new(move |request: Message| {
        let path = request.first.split(' ').nth(1).unwrap_or_default().to_string();
        let mut copies = copies.lock().unwrap();
        let (given_out, remark) = match copies.get(&path) {
            Some(given_out) => (*given_out, "warm"),
            None => (unix_ms(), "deep_fill"),
        };
        copies.insert(path, given_out);
        Some(response(given_out, remark))
    }))
}

/// A response with a copy that the origin gave out at that time: `Date` is when it was made (RFC 9110, 6.6.1), and a
/// cache tells its `Age` beside it (RFC 9111, 5.1).
fn response(given_out: u64, remark: &str) -> Vec<u8> {
    let age = (unix_ms() - given_out) / 1000;
    format!(
        "HTTP/1.1 200 X\r\nDate: {}\r\nAge: {age}\r\nX-Version: 4be0c1927d55a6f3\r\nX-Origin-Date: {given_out}\r\n\
         X-Remark: {remark}\r\nContent-Length: 4\r\n\r\npart",
        http_date(given_out / 1000)
    )
    .into_bytes()
}

/// A time in the form of RFC 9110, 5.6.7.
fn http_date(seconds: u64) -> String {
    let days = seconds / 86_400;
    let (mut year, mut day) = (1970, days);
    let is_leap = |year: u64| year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    while day >= 365 + u64::from(is_leap(year)) {
        day -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let lengths = [31, 28 + u64::from(is_leap(year)), 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while day >= lengths[month] {
        day -= lengths[month];
        month += 1;
    }
    let week = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"][(days % 7) as usize];
    let name = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"][month];
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{week}, {:02} {name} {year} {hour:02}:{minute:02}:{second:02} GMT", day + 1)
}

fn configuration(listen: &str, change_log: &str, caches: &[String], origin: &str) -> String {
    let member = |id: usize, at: &str, kind: &str| {
        format!(
            r#"{{"id":"s-{id:08x}","host_port":"{at}","locality":"central","flavor":"{kind}","cell":0,"phase":"active","size":4,"up_since_ms":0}}"#
        )
    };
    let mut members: Vec<String> =
        caches.iter().enumerate().map(|(index, at)| member(index + 1, at, "standard")).collect();
    members.push(member(100, origin, "origin"));
    format!(
        r#"{{
  "name": "n1", "listen": "{listen}", "seed": "8c1f30d27a5be964", "changelog": "{change_log}",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "known": {{"seq": 1, "results": [{{"seq": 1, "fleet": {{"revision": 1, "complete": true, "members": [{}]}}}}]}},
  "settings": {{
    "family": "edge", "balancers": 1, "zones": ["central"], "zone": 0,
    "flavors": ["standard", "parent", "origin"], "weights": "off",
    "request_classes": [
      {{"name": "video-parts", "deadline": 6000000, "objective": 400000, "aim_stretch": 1.6, "effect": "read_like", "group": "all", "late_value": 0.15, "points": 2.0}}
    ],
    "limits": {{"cancelling": true, "connect_timeout": 400000, "conn_idle": 30000000, "most_tries": 8, "second_copies": false,
               "retry_after": true, "max_retry_after": 1000000, "open_cap": 4096}},
    "rules": {{"answer_slack": 50000, "drain_grace": 2000000, "cold_share": 0.15, "warm_within": 17000000, "overload_factor": 2.5, "overload_for": 1500000}},
    "family_info": {{"root_kind": 2, "second_tier_kind": 1, "class_fresh": [0], "older_by": [0], "goes_through": [false],
                    "bypass_allowed": true, "collapses": true, "lateral": "any", "note_level": "all", "heed_within": 500000,
                    "gone_everywhere": 6000000, "parent_floor": 0.077, "parent_warms_in": 20000000, "parent_breaks_at": 2.0,
                    "instances_by_zone": [1], "attached_to": [0]}}
  }}
}}
"#,
        members.join(",")
    )
}

//! Case 3: a proxy calls the router for each progress-save (tagged: the vault drops a repeat for a window). A
//! connection is reset under a save that has begun, late in the window. The router says "again" and the proxy's
//! next try gets a choice after the window is over. No save may be sent again after the window.

#[path = "../common/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The window for repeats: `window` of the class in the settings. The days at close range have a shorter one than
/// the site's 3 s.
const WINDOW_MS: u64 = 1000;
/// The slack of each time limit on sockets.
const SLACK_MS: u64 = 50;
/// When the vault has saved, and when the connection is reset under the request (or the answer is there, without
/// the disruption).
const SAVED_MS: u64 = 20;
const RESET_MS: u64 = 900;
const ANSWER_MS: u64 = 60;
/// The client's wait (`deadline_ms` of progress-save).
const DEADLINE_MS: u64 = 3000;
/// The proxy's wait before the next try: under the 250 ms for which the router keeps its choice.
const AGAIN_MS: u64 = 200;
const SAVES: u64 = 6;
/// One save of so many loses its first answer ("some good answers").
const CUT_ONE_OF: usize = 3;

/// What came to the vault of one mark: when a request had come whole, and how often it was saved.
#[derive(Default)]
struct Mark {
    came: Vec<Instant>,
    saved: u32,
    saved_at: Option<Instant>,
}

type Vault = Mutex<BTreeMap<String, Mark>>;

fn main() {
    limit_time(60);
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".into()));
    let code = run(&record);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

fn run(record: &Arc<Record>) -> i32 {
    let folder = Folder::create("case3");
    let vault = Arc::new(Vault::default());
    let handler = {
        let (vault, record) = (Arc::clone(&vault), Arc::clone(record));
        move |request: Message| serve_vault(&vault, &record, &request)
    };
    let vault_address = serve_http(Arc::new(handler));
    let cache_address = serve_http(Arc::new(|_| Some(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".to_vec())));
    let change_log = serve_change_log(1);
    let (listen, front) = (format!("127.0.0.1:{}", free_port()), format!("127.0.0.1:{}", free_port()));
    let configuration = folder.file("config.json", &configuration(&listen, &change_log, &cache_address, &vault_address));
    let fronts = folder.file("fronts.json", &format!(r#"{{"external_processing": {{"listen": "{front}"}}}}"#));
    let router = Router::start("n1", &listen, &configuration, &fronts, &folder.0.join("router.log"));
    if !router.wait_ready() {
        return COULD_NOT_RUN;
    }
    record.line("the router is ready");
    let clients: Vec<_> = (0..SAVES)
        .map(|number| {
            let (record, front) = (Arc::clone(record), front.clone());
            thread::spawn(move || {
                sleep_ms(300 + number * 700);
                let (ticket, mark) = (format!("{:016x}", random()), format!("{:016x}{:016x}", random(), random()));
                let answer = proxy(&record, &front, &ticket, &mark);
                record.line(&format!("{ticket} the client got: {answer}"));
                answer
            })
        })
        .collect();
    let answers: Vec<String> = clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    drop(router);
    let vault = vault.lock().unwrap();
    let mut is_broken = false;
    for (mark, saves) in vault.iter() {
        let first = saves.came[0];
        let late: Vec<u128> = saves.came.iter().map(|at| (*at - first).as_millis()).collect();
        record.line(&format!("mark {mark}: came after {late:?} ms, saved {} times", saves.saved));
        let after_window = late.iter().any(|ms| *ms > u128::from(WINDOW_MS + SLACK_MS));
        if after_window || saves.saved > 1 {
            is_broken = true;
            record.line(&format!("BROKEN: mark {mark} was sent again after the window of {WINDOW_MS} ms"));
        }
    }
    match (is_broken, vault.len() as u64 == SAVES && answers.iter().all(|answer| !answer.is_empty())) {
        (true, _) => BROKEN,
        (false, true) => HELD,
        (false, false) => COULD_NOT_RUN,
    }
}

/// The vault: saves once for a mark and drops repeats of it for the window. With the disruption, the connection
/// of a first request ends late and without an answer, for one save of three; the save has been made.
fn serve_vault(vault: &Vault, record: &Record, request: &Message) -> Option<Vec<u8>> {
    let (ticket, mark) = (request.field("x-ticket").to_string(), request.field("x-nonce").to_string());
    let came = Instant::now();
    record.line(&format!("{ticket} came to the vault, mark {mark}"));
    sleep_ms(SAVED_MS);
    let is_cut = {
        let mut vault = vault.lock().unwrap();
        let is_new = !vault.contains_key(&mark);
        let is_one_of_three = vault.len() % CUT_ONE_OF == 0;
        let known = vault.entry(mark.clone()).or_default();
        known.came.push(came);
        let window = Duration::from_millis(WINDOW_MS + SLACK_MS);
        let is_repeat = known.saved_at.is_some_and(|at| at.elapsed() <= window);
        if is_repeat {
            record.line(&format!("{ticket} is a repeat and dropped"));
        } else {
            known.saved += 1;
            known.saved_at = Some(Instant::now());
            record.line(&format!("{ticket} saved, time {} of mark {mark}", known.saved));
        }
        is_new && is_one_of_three
    };
    if trouble() && is_cut {
        sleep_ms(RESET_MS - SAVED_MS);
        record.line(&format!("{ticket} its connection ends without an answer"));
        return None;
    }
    sleep_ms(ANSWER_MS - SAVED_MS);
    Some(
        format!("HTTP/1.1 200 X\r\nX-Version: 0000000000000001\r\nX-Origin-Date: {}\r\nContent-Length: 2\r\n\r\nok", unix_ms())
            .into_bytes(),
    )
}

/// The proxy: asks the router for each try, uses the choice at once, reports, and tries again only where the router
/// says so.
fn proxy(record: &Record, front: &str, ticket: &str, mark: &str) -> String {
    let begun = Instant::now();
    let mut attempt = 0;
    loop {
        attempt += 1;
        let left = DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
        if left == 0 {
            return "nothing in its time".into();
        }
        match one_try(record, front, ticket, mark, attempt, left) {
            Some(answer) => return answer,
            None => sleep_ms(AGAIN_MS),
        }
    }
}

/// One try. `None` if another one is to follow.
fn one_try(record: &Record, front: &str, ticket: &str, mark: &str, attempt: u32, left: u64) -> Option<String> {
    let path = format!("/v1/store/progress-save/{ticket}/0");
    let headers = pairs(&[
        (":method", "GET"),
        (":path", &path),
        ("x-ticket", ticket),
        ("x-nonce", mark),
        ("x-max-ms", &left.to_string()),
        ("x-envoy-attempt-count", &attempt.to_string()),
    ]);
    let Ok(mut stream) = Processing::open(front, &headers) else { return Some("no router".into()) };
    let choice = match stream.reply(Duration::from_millis(left)) {
        Reply::Continue(choice) => choice,
        Reply::Immediate(status, headers) => {
            record.line(&format!("{ticket} try {attempt}: the router refuses: {status} {headers:?}"));
            return Some(format!("{status} from the router"));
        }
        Reply::Ended => return Some("the stream ended".into()),
    };
    let word = |name: &str| choice.get(name).cloned().unwrap_or_default();
    let within = word("x-tindoor-use-within-ms");
    record.line(&format!("{ticket} try {attempt}: the router chose {}, to be used within {within} ms", word("x-tindoor-cache")));
    let Ok(mut cache) = TcpStream::connect(word("x-tindoor-address")) else {
        return report(record, &mut stream, ticket, attempt, "503", &[("x-tindoor-failed", "unreachable")]);
    };
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: cache\r\nX-Ticket: {ticket}\r\nX-Max-Ms: {}\r\nX-Nonce: {mark}\r\n\r\n",
        word("x-max-ms")
    );
    let _ = cache.write_all(head.as_bytes());
    let _ = cache.set_read_timeout(Some(Duration::from_millis(word("x-max-ms").parse().unwrap_or(1000))));
    match read_message(&mut cache, &mut Vec::new()) {
        Some(response) => {
            let status = response.first.split(' ').nth(1).unwrap_or("500").to_string();
            report(record, &mut stream, ticket, attempt, &status, &[("x-version", response.field("x-version"))])
        }
        None => report(record, &mut stream, ticket, attempt, "503", &[("x-tindoor-failed", "broken")]),
    }
}

/// Reports and reads what becomes of it: the answer for the client, or none if another try is to follow.
fn report(
    record: &Record,
    stream: &mut Processing,
    ticket: &str,
    attempt: u32,
    status: &str,
    more: &[(&str, &str)],
) -> Option<String> {
    let headers: Vec<(&str, &str)> = [(":status", status)].into_iter().chain(more.iter().copied()).collect();
    record.line(&format!("{ticket} try {attempt}: reported {headers:?}"));
    let _ = stream.report(&pairs(&headers));
    match stream.reply(Duration::from_millis(1000)) {
        Reply::Continue(headers) if headers.contains_key("x-tindoor-again") => {
            record.line(&format!("{ticket} try {attempt}: the router says again"));
            None
        }
        Reply::Immediate(status, _) => Some(format!("{status} from the router")),
        Reply::Continue(_) | Reply::Ended => Some(status.to_string()),
    }
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
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "known": {{"seq": 1, "results": [{{"seq": 1, "fleet": {{"revision": 1, "complete": true, "members": [{members}]}}}}]}},
  "settings": {{
    "family": "edge", "balancers": 1, "zones": ["central"], "zone": 0,
    "flavors": ["standard", "parent", "origin"], "weights": "off",
    "request_classes": [
      {{"name": "lesson-assets", "deadline": 2500000, "objective": 400000, "effect": "read_like", "group": "all", "late_value": 0.2, "points": 1.0}},
      {{"name": "progress-save", "deadline": 3000000, "objective": 800000, "effect": "idempotency_key", "group": "all", "window": {window_us}, "late_value": 0.0, "points": 3.0}}
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
"#,
        window_us = WINDOW_MS * 1000
    )
}

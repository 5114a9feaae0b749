//! Case: a proxy is told to send a keyed write again after its window.
//!
//! A front proxy calls the router for each save, over the plain call. The origin runs a save when it comes,
//! and drops a repeat for the window. With trouble the connection to the origin is reset long after the save
//! ran, near the end of the window. The proxy does what it is told.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WINDOW_MS: u64 = 1000;
/// The pages make each time limit 50 ms longer on sockets.
const SLACK_MS: f64 = 50.0;
/// When the connection is reset, after the save came.
const RESET_AFTER_MS: u64 = 900;
/// How long a proxy waits before it calls again. The router keeps the request for 250 ms.
const BACKOFF_MS: u64 = 210;
const PATIENCE_MS: u64 = 3000;
const SAVES: u64 = 6;

/// A save that came to the origin.
struct Came {
    nonce: String,
    at: Instant,
    ran: bool,
}

type Log = Arc<Mutex<Vec<Came>>>;

/// The origin: runs each save when it has come whole, unless its key ran within the window.
fn origin(record: Record, trouble: bool) -> (SocketAddr, Log) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(error));
    let address = listener.local_addr().unwrap();
    let log = Log::default();
    let shared = Arc::clone(&log);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, log) = (record.clone(), Arc::clone(&shared));
            thread::spawn(move || serve(&record, &log, stream, trouble));
        }
    });
    (address, log)
}

/// Waits for a whole request without a body, and returns it with its size; it stays unread.
fn peek_request(stream: &TcpStream) -> Option<(Message, usize)> {
    let mut buffer = [0; 4096];
    loop {
        let size = stream.peek(&mut buffer).ok().filter(|size| *size > 0)?;
        if let Some(end) = buffer[..size].windows(4).position(|part| part == b"\r\n\r\n") {
            return Some((read_message(&mut &buffer[..end + 4]).ok()??, end + 4));
        }
        sleep_ms(1);
    }
}

fn serve(record: &Record, log: &Log, mut stream: TcpStream, trouble: bool) {
    while let Some((request, size)) = peek_request(&stream) {
        let nonce = request.field("x-nonce").to_string();
        let is_first = {
            let mut log = log.lock().unwrap();
            let known = |came: &&Came| came.nonce == nonce && came.ran;
            let remembered = Duration::from_millis(WINDOW_MS) + Duration::from_secs_f64(SLACK_MS / 1e3);
            let is_repeat = log.iter().filter(known).any(|came| came.at.elapsed() <= remembered);
            let is_first = !log.iter().any(|came| came.nonce == nonce);
            record.line(format!(
                "origin: save {nonce} came, ticket {}: {}",
                request.field("x-ticket"),
                if is_repeat { "a repeat within the window, dropped" } else { "RUN" }
            ));
            log.push(Came { nonce: nonce.clone(), at: Instant::now(), ran: !is_repeat });
            is_first
        };
        if trouble && is_first {
            sleep_ms(RESET_AFTER_MS);
            record.line(format!("origin: connection of save {nonce} reset, its answer is lost"));
            // A close over unread bytes resets the connection.
            return;
        }
        let _ = stream.read_exact(&mut vec![0; size]);
        sleep_ms(40);
        let fields = "X-Version: 4be0c1927d55a6f3\r\nX-Remark: deep_fill\r\n";
        if stream.write_all(&response(200, fields, b"saved")).is_err() {
            return;
        }
    }
}

/// What a client gets for its save.
fn save(record: &Record, front: SocketAddr, number: u64) -> u16 {
    let (ticket, nonce) = (format!("{:016x}", 0x9b1f_0000 + number), format!("{:032x}", 0x5c0f_0000 + number));
    let begun = Instant::now();
    for attempt in 1.. {
        let left = PATIENCE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
        if left == 0 {
            return 504;
        }
        let call = format!(
            "GET /v1/store/progress-save/7f3a9c21e0b4d655/0 HTTP/1.1\r\nx-ticket: {ticket}\r\nx-nonce: {nonce}\r\n\
             x-max-ms: {left}\r\nx-group: 17\r\nx-envoy-attempt-count: {attempt}\r\n\r\n"
        );
        record.line(format!("proxy: calls for save {nonce}, attempt {attempt}, {left} ms left"));
        let choice = exchange(front, &call, Duration::from_millis(left)).unwrap_or_else(|error| cannot_run(error));
        let chosen_at = Instant::now();
        let use_within: u64 = choice.field("x-tindoor-use-within-ms").parse().unwrap_or(0);
        record.line(format!("proxy: router says {}, {:?}", choice.first, sorted(&choice.fields)));
        if choice.status() != 200 || choice.fields.contains_key("x-tindoor-known") {
            return choice.status();
        }
        let outcome = match chosen_at.elapsed() < Duration::from_millis(use_within) {
            true => forward(record, &choice, &nonce),
            false => Err("unused"),
        };
        let lease = choice.field("x-tindoor-lease");
        let end = match &outcome {
            Ok(answer) => format!("x-status: {}\r\nx-version: {}\r\n", answer.status(), answer.field("x-version")),
            Err(word) => format!("x-status: 503\r\nx-tindoor-failed: {word}\r\n"),
        };
        let report =
            format!("POST /report HTTP/1.1\r\nx-ticket: {ticket}\r\nx-tindoor-lease: {lease}\r\n{end}\r\n");
        let told = exchange(front, &report, Duration::from_secs(3)).unwrap_or_else(|error| cannot_run(error));
        record.line(format!("proxy: reports {outcome:?} for save {nonce}, router says {}", told.first, outcome = outcome.as_ref().map(Message::status)));
        match (told.status(), outcome) {
            (204, Ok(answer)) => return answer.status(),
            (200, _) if told.fields.contains_key("x-tindoor-again") => sleep_ms(BACKOFF_MS),
            (status, _) => return status,
        }
    }
    unreachable!()
}

/// Sends a save to the chosen address.
fn forward(record: &Record, choice: &Message, nonce: &str) -> Result<Message, &'static str> {
    let address: SocketAddr = choice.field("x-tindoor-address").parse().map_err(|_| "unused")?;
    let mut request = "GET /v1/store/progress-save/7f3a9c21e0b4d655/0 HTTP/1.1\r\nHost: cache\r\n".to_string();
    for name in ["x-ticket", "x-max-ms", "x-source", "x-tier", "x-mode", "x-accept-age"] {
        if let Some(value) = choice.fields.get(name) {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    request.push_str(&format!("x-nonce: {nonce}\r\n\r\n"));
    record.line(format!("proxy: sends save {nonce} to {}", choice.field("x-tindoor-cache")));
    let limit = choice.field("x-max-ms").parse().unwrap_or(1000);
    exchange(address, &request, Duration::from_millis(limit)).map_err(|error| match error.kind() {
        std::io::ErrorKind::ConnectionRefused => "unreachable",
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => "timed-out",
        _ => "broken",
    })
}

fn sorted(fields: &Fields) -> Vec<String> {
    let mut fields: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    fields.sort();
    fields
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = Case::start(&arguments[1], &arguments[2]);
    let stream = ChangeStream::start(2);
    let (address, log) = origin(case.record.clone(), case.trouble);
    let front = free_address();
    let configuration = case.temporary.join("config.json");
    let fronts = case.temporary.join("fronts.json");
    Deployment {
        name: "n1",
        listen: free_address(),
        change_stream: stream.address,
        members: vec![member("s-origin", address, "origin", "central")],
        classes: vec![Class {
            name: "progress-save",
            effect: "idempotency_key",
            deadline_ms: 3000,
            objective_ms: 800,
            window_ms: WINDOW_MS,
            goes_through: true,
        }],
        zones: vec!["central".into()],
        zone: 0,
        bypass: true,
        memory_mb: 192,
        drain_grace_ms: 2000,
        purge_grace_ms: 500,
    }
    .write(&configuration);
    std::fs::write(&fronts, format!("{{\"call\": {{\"listen\": \"{front}\"}}}}"))
        .unwrap_or_else(|error| cannot_run(error));
    let mut router = Router::start(&case, "n1", &configuration, Some(&fronts));
    let clients: Vec<_> = (0..SAVES)
        .map(|number| {
            let record = case.record.clone();
            thread::spawn(move || {
                sleep_ms(number * 150);
                let status = save(&record, front, number);
                record.line(format!("client: save {:032x} ends with {status}", 0x5c0f_0000 + number));
                status
            })
        })
        .collect();
    let ends: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap_or(0)).collect();
    if router.has_ended() {
        case.end(true, "the router ended");
    }
    let log = log.lock().unwrap();
    let mut twice = 0;
    for number in 0..SAVES {
        let nonce = format!("{:032x}", 0x5c0f_0000 + number);
        let runs: Vec<&Came> = log.iter().filter(|came| came.nonce == nonce && came.ran).collect();
        let Some(first) = runs.first() else { continue };
        for late in &runs[1..] {
            let after = late.at.duration_since(first.at).as_secs_f64() * 1e3;
            case.record.line(format!("save {nonce} ran a second time, {after:.0} ms after the first"));
            twice += u64::from(after > WINDOW_MS as f64 + SLACK_MS);
        }
    }
    if !case.trouble && ends.iter().any(|status| *status != 200) {
        case.end(true, &format!("without trouble the saves ended with {ends:?}"));
    }
    case.end(twice > 0, &format!("{twice} of {SAVES} saves ran twice; the clients were told {ends:?}"));
}

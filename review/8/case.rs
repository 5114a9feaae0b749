//! Case: calls that a proxy withdraws cost other calls their answer.
//!
//! A proxy with one gRPC connection to the router has some calls out at a cache. With trouble, 200 further clients
//! of it ask and leave at once, so the proxy begins 200 calls and resets them. Then the cache answers, and the
//! proxy reports each answer on its stream, as the page on the front for proxies says.

#[path = "../8/h2.rs"]
mod h2;
#[path = "../6/lib.rs"]
mod lib;

use h2::*;
use lib::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_CALLS: u32 = 8;
const WITHDRAWN: u32 = 200;
const PATIENCE_MS: u64 = 3000;
const SLACK_MS: u64 = 500;

fn server(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(error));
    let (address, record) = (listener.local_addr().unwrap(), record.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(request)) = read_message(&mut reader) {
                    record.line(format!("cache: ticket {} came", request.field("x-ticket")));
                    sleep_ms(600);
                    let fields = "X-Version: 4be0c1927d55a6f3\r\nX-Remark: warm\r\n";
                    if stream.write_all(&response(200, fields, b"object")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn call_headers(stream: u32) -> Vec<u8> {
    let fields = [
        (":path", format!("/v1/store/lesson-assets/{stream:016x}/0")),
        ("x-ticket", format!("{:016x}", 0x9b1f_0000 + stream)),
        ("x-max-ms", PATIENCE_MS.to_string()),
        ("x-group", "17".to_string()),
        ("x-envoy-attempt-count", "1".to_string()),
    ];
    frame(DATA, 0, stream, &message(2, &fields))
}

/// One usual call: asks, sends the request on, reports. Whether the report got its reply.
fn usual_call(record: &Record, connection: &Connection, stream: u32) -> bool {
    let until = Instant::now() + Duration::from_millis(PATIENCE_MS + SLACK_MS);
    connection.send(&[headers(stream), call_headers(stream)].concat());
    let Some(choice) = connection.wait(stream, 1, until) else {
        record.line(format!("proxy: call {stream} got nothing"));
        return false;
    };
    let Some(address) = header(&choice, "x-tindoor-address") else {
        cannot_run(format!("call {stream} got no choice"));
    };
    record.line(format!("proxy: call {stream} got its choice, {address}"));
    let request = format!(
        "GET /v1/store/lesson-assets/{stream:016x}/0 HTTP/1.1\r\nHost: cache\r\nx-ticket: {:016x}\r\nx-max-ms: 2900\r\n\r\n",
        0x9b1f_0000 + stream
    );
    let answer = exchange(address.parse().unwrap(), &request, Duration::from_millis(2900));
    let status = answer.as_ref().map_or(503, Message::status);
    let report = [(":status", status.to_string()), ("x-version", "4be0c1927d55a6f3".to_string())];
    connection.send(&frame(DATA, 0, stream, &message(3, &report)));
    let replied = connection.wait(stream, 2, until).is_some();
    record.line(format!("proxy: call {stream} reported {status}, reply {replied}"));
    connection.send(&frame(DATA, END_STREAM, stream, b""));
    replied
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = Case::start(&arguments[1], &arguments[2]);
    let stream = ChangeStream::start(2);
    let (front, configuration) = (free_address(), case.temporary.join("config.json"));
    let fronts = case.temporary.join("fronts.json");
    Deployment {
        name: "n1",
        listen: free_address(),
        change_stream: stream.address,
        zones: vec!["central".into()],
        zone: 0,
        bypass: true,
        members: vec![
            member("s-1", server(&case.record), "standard", "central"),
            member("s-2", server(&case.record), "standard", "central"),
            member("s-parent", server(&case.record), "parent", "central"),
            member("s-origin", server(&case.record), "origin", "central"),
        ],
        classes: vec![Class {
            name: "lesson-assets",
            effect: "read_like",
            deadline_ms: PATIENCE_MS,
            objective_ms: 400,
            window_ms: 0,
            goes_through: false,
        }],
        memory_mb: 192,
        drain_grace_ms: 2000,
        purge_grace_ms: 500,
    }
    .write(&configuration);
    std::fs::write(&fronts, format!("{{\"external_processing\": {{\"listen\": \"{front}\"}}}}"))
        .unwrap_or_else(|error| cannot_run(error));
    let mut router = Router::start(&case, "n1", &configuration, Some(&fronts));
    sleep_ms(300);
    let connection = Connection::open(&case.record, front);
    sleep_ms(100);
    let calls: Vec<_> = (0..USUAL_CALLS)
        .map(|number| {
            let (record, connection) = (case.record.clone(), connection.clone());
            sleep_ms(5);
            thread::spawn(move || usual_call(&record, &connection, 1 + 2 * number))
        })
        .collect();
    sleep_ms(300);
    if case.trouble {
        case.record.line(format!("{WITHDRAWN} clients of the proxy ask and leave; it begins their calls and resets them"));
        let first = 1 + 2 * USUAL_CALLS;
        let burst: Vec<u8> = (0..WITHDRAWN)
            .map(|number| first + 2 * number)
            .flat_map(|stream| [headers(stream), call_headers(stream), frame(RST_STREAM, 0, stream, &CANCEL)].concat())
            .collect();
        connection.send(&burst);
    }
    let replied = calls.into_iter().filter_map(|call| call.join().ok()).filter(|replied| *replied).count();
    if router.has_ended() {
        case.end(true, "the router ended");
    }
    let ended = connection.seen.lock().unwrap().ended.clone();
    case.end(
        replied < USUAL_CALLS as usize,
        &format!("{replied} of {USUAL_CALLS} calls got the reply to their report; connection: {ended:?}"),
    );
}

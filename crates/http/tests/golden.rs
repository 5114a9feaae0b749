//! Compares the heads of requests to caches, the parsed heads of responses, and the mapping of responses to
//! outcomes with the recorded files in `tests/golden/`.
//!
//! To record the files again: `cargo test -p tindoor-http --test golden -- --ignored record`

#[path = "../../testbed/tests/support/golden.rs"]
mod golden;

use golden::Recording;
use tindoor::host::{AttemptStatus, OutcomeDetail};
use tindoor_http::{
    EndpointRequest, ParseError, ResponseHead, attempt_status, outcome_detail, parse_response_head,
};

fn recordings() -> Vec<Recording> {
    vec![
        ("requests.txt", requests()),
        ("responses.txt", responses()),
        ("statuses.txt", statuses()),
        ("remarks.txt", remarks()),
    ]
}

#[test]
fn requests_and_responses_are_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded files"]
fn record() {
    golden::record(&recordings());
}

fn section(title: &str, text: &str) -> String {
    format!("{title}\n    {text}\n")
}

/// Returns a request with only the required fields.
fn read<'a>() -> EndpointRequest<'a> {
    EndpointRequest {
        class: "pages",
        object: "7f3a9c21e0b4d655",
        part: "3",
        correlation_id: "9b1f03aa5c7e2d41",
        timeout_ms: 1200,
        ..EndpointRequest::default()
    }
}

fn request(title: &str, request: EndpointRequest) -> String {
    section(title, &shown(request.encode_head().as_bytes()))
}

fn requests() -> String {
    let key = Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    let write = EndpointRequest { class: "saves", idempotency_key: key, body_length: 48_000, ..read() };
    let all_fields = EndpointRequest {
        fill_source: Some("p-1"),
        retention_rank: 2,
        max_age_ms: Some(8000),
        join_fill: true,
        only_if_cached: true,
        refresh: true,
        client_tag: Some("4be0c1927d55a6f3"),
        ..write
    };
    let mut out = [
        request("read", read()),
        request("read with a source", EndpointRequest { fill_source: Some("p-1"), ..read() }),
        request("read with a rank", EndpointRequest { retention_rank: 1, ..read() }),
        request("read with the highest rank", EndpointRequest { retention_rank: u8::MAX, ..read() }),
        request("read with an age", EndpointRequest { max_age_ms: Some(1), ..read() }),
        request("read with the age 0", EndpointRequest { max_age_ms: Some(0), ..read() }),
        request(
            "read with the client's version",
            EndpointRequest { client_tag: Some("4be0c1927d55a6f3"), ..read() },
        ),
        request("read without time left", EndpointRequest { timeout_ms: 0, ..read() }),
        request("read with the longest time left", EndpointRequest { timeout_ms: u64::MAX, ..read() }),
        request("write with idempotency key", write),
        request("write with idempotency key, without body", EndpointRequest { body_length: 0, ..write }),
        request(
            "write that is not idempotent",
            EndpointRequest { class: "orders", idempotency_key: None, ..write },
        ),
        request("with every field", all_fields),
    ]
    .concat();
    for bits in 0..8 {
        let [join, only_if_cached, refresh] = [1, 2, 4].map(|bit| bits & bit > 0);
        let title = format!("modes: join {join}, from cache only {only_if_cached}, renew {refresh}");
        out += &request(
            &title,
            EndpointRequest { join_fill: join, only_if_cached, refresh, fill_source: Some("p-1"), ..read() },
        );
    }
    out
}

fn head_text(head: &ResponseHead) -> String {
    let ResponseHead { head_length, status, body_length, rejected, remark, closes_connection } = head;
    format!(
        "status {status}, head of {head_length} bytes, body of {body_length} bytes, rejected {rejected}, remark {remark:?}, \
         closes {closes_connection}, interim {}",
        head.is_interim()
    )
}

/// The name of an error in the recorded files. The text of the error is only logged, and not compared.
fn error_name(error: ParseError) -> &'static str {
    match error {
        ParseError::HeadTooLong => "long head",
        ParseError::InvalidStatusLine => "status",
        ParseError::InvalidHeader => "header",
        ParseError::InvalidLength => "length",
        ParseError::BodyTooLong => "long body",
    }
}

/// Formats the result of parsing these bytes with a limit of 200 bytes for the head and 100 for the body.
fn response(bytes: &[u8]) -> String {
    let read = match parse_response_head(bytes, 200, 100) {
        Ok(Some(head)) => head_text(&head),
        Ok(None) => "not whole yet".to_string(),
        Err(error) => format!("fault: {}", error_name(error)),
    };
    let title = if bytes.len() > 200 { format!("({} bytes)", bytes.len()) } else { shown(bytes) };
    section(&title, &read)
}

fn shown(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn responses() -> String {
    let samples: &[&[u8]] = &[
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nX-Remark: warm\r\nX-Version: 4be0c1927d55a6f3\r\nContent-Length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\nx-remark:\t deep_fill \r\ncontent-length:4\r\nCONNECTION: Close\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Remark: warm\r\nX-Remark: fill\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Remark:\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200\r\nContent-Length: 100\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 04\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nX-Shed: 0\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nX-Shed: 1\r\nX-Shed: 0\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nConnection: close\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 304 X\r\n\r\n",
        b"HTTP/1.1 304 X\r\nContent-Length: 400\r\n\r\n",
        b"HTTP/1.1 204 X\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 199 X\r\n\r\n",
        b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 20 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2x0 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.0 200 X\r\nContent-Length: 0\r\n\r\n",
        b"what?\r\n\r\n",
        b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n: no name\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n folded: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nName: a\rb\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        b"HTTP/1.1 200 OK\r\nName: \xff\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
        b"",
    ];
    let long = [b"HTTP/1.1 200 OK\r\nName: ".to_vec(), vec![b'a'; 190]].concat();
    let long_whole = [&long[..], b"\r\nContent-Length: 0\r\n\r\n"].concat();
    samples.iter().map(|bytes| response(bytes)).chain([response(&long), response(&long_whole)]).collect()
}

/// The name of an attempt status in the recorded files.
fn outcome_name(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Served => "done",
        AttemptStatus::Error => "error",
        AttemptStatus::Overloaded => "full",
        AttemptStatus::TimedOut => "timed out",
        AttemptStatus::Unreachable => "unreachable",
        AttemptStatus::Incomplete => "broken",
        AttemptStatus::Cancelled => "cancelled",
        AttemptStatus::Superseded => "not executed",
        AttemptStatus::Miss => "miss",
    }
}

/// The name of an outcome detail in the recorded files.
fn remark_name(detail: OutcomeDetail) -> &'static str {
    match detail {
        OutcomeDetail::Unknown => "none",
        OutcomeDetail::Hit => "hit",
        OutcomeDetail::FilledFromSource => "filled",
        OutcomeDetail::FilledFromOrigin => "filled by origin",
        OutcomeDetail::JoinedFill => "joined",
        OutcomeDetail::StaleHit => "old copy",
        OutcomeDetail::SourceOverloaded => "source refused",
        OutcomeDetail::SourceUnreachable => "source lost",
        OutcomeDetail::SourceMiss => "source lacks",
        OutcomeDetail::NoFillSlot => "no fill place",
        OutcomeDetail::OriginFailed => "origin failed",
    }
}

fn statuses() -> String {
    let name = |status, rejected| attempt_status(status, rejected).map_or("-", outcome_name);
    let line = |status| format!("{status}: {}, with X-Shed: {}\n", name(status, false), name(status, true));
    (100..=599).map(line).collect()
}

fn remarks() -> String {
    let known = ["", "warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed"];
    let others = ["backfire", "Warm", " warm", "warm ", "filled", "none", "hit", "deep-fill", "x"];
    let line = |remark: &&str| format!("{remark:?}: {}\n", outcome_detail(remark).map_or("-", remark_name));
    known.iter().chain(&others).map(line).collect()
}

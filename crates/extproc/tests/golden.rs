//! Compares the bytes of every message to a proxy, and the requests and reports read from a proxy's headers,
//! with the recorded files in `tests/golden/`.
//!
//! To record the files again: `cargo test -p tindoor-extproc --test golden -- --ignored record`

#[path = "../../testbed/tests/support/golden.rs"]
mod golden;

use std::time::Duration;

use bytes::BytesMut;
use golden::Recording;
use tindoor::host::{AttemptStatus, Authorization, EndpointId, FillDirectives, OutcomeDetail};
use tindoor::settings::Idempotency;
use tindoor::time::Span;
use tindoor_external_requests::{
    CallReply, ExternalRequest, RefusalReason, Report, RoutingDecision, StoredResult,
};
use tindoor_extproc::frames;
use tindoor_extproc::messages::{
    HeaderMap, HeaderValue, HttpBody, HttpHeaders, HttpTrailers, Phase, ProcessingRequest, ProcessingResponse,
};
use tindoor_extproc::request::{self, HeaderNames, Headers, RequestClass};
use tindoor_extproc::response::{self, FinalResponse, HeaderField};

type Pairs<'a> = &'a [(&'a str, &'a str)];

fn recordings() -> Vec<Recording> {
    vec![
        ("choices.txt", decisions()),
        ("refusals.txt", refusals()),
        ("responses.txt", responses()),
        ("requests.txt", requests()),
        ("reports.txt", reports()),
        ("from_proxy.txt", messages_from_a_proxy()),
    ]
}

#[test]
fn messages_and_headers_are_as_recorded() {
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

/// Formats a message in its gRPC frame.
fn message(title: &str, response: &ProcessingResponse) -> String {
    section(title, &frames::encode(response).escape_ascii().to_string())
}

fn fields_text(fields: &[HeaderField]) -> String {
    fields.iter().map(|field| format!("{}: {}", field.name, field.value)).collect::<Vec<_>>().join("; ")
}

const PATH: (&str, &str) = (":path", "/v1/store/pages/7f3a9c21e0b4d655/3");
const SAVE: (&str, &str) = (":path", "/v1/store/saves/7f3a9c21e0b4d655/0");
const ID: (&str, &str) = ("x-ticket", "9b1f03aa5c7e2d41");
const KEY: (&str, &str) = ("x-nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

fn classes() -> Vec<RequestClass> {
    let class = |name: &str, idempotency, seconds| {
        let default_deadline = Duration::from_secs(seconds);
        RequestClass { name: name.into(), idempotency, default_deadline }
    };
    vec![class("pages", Idempotency::Idempotent, 3), class("saves", Idempotency::WithKey, 5)]
}

fn headers<'a>(pairs: Pairs<'a>) -> Headers<'a> {
    Headers(pairs.iter().map(|(name, value)| (*name, value.as_bytes())).collect())
}

fn call(pairs: Pairs) -> Result<ExternalRequest, request::HeaderError> {
    request::read_request(&headers(pairs), &HeaderNames::default(), &classes())
}

/// Formats the message for a decision with these directives.
fn decision(
    title: &str,
    directives: Option<FillDirectives>,
    source: Option<&str>,
    spans: [Span; 2],
) -> String {
    let source = source.map(str::to_string);
    let target = response::RoutingTarget { endpoint: "c-1".into(), address: "10.0.0.1:80".into(), source };
    let decision = RoutingDecision {
        attempt_index: 4,
        endpoint: EndpointId(1),
        directives,
        timeout: Span::millis(900),
        send_by: None,
    };
    let [use_within, time_remaining] = spans;
    let fields = response::decision_headers(
        &call(&[PATH, ID]).unwrap(),
        &decision,
        &target,
        use_within,
        time_remaining,
    );
    message(title, &response::forward_request(fields))
}

fn decisions() -> String {
    let plain = FillDirectives {
        source: EndpointId(2),
        max_age: None,
        join_fill: false,
        only_if_cached: false,
        refresh: false,
        retention_rank: 0,
    };
    let all_set = FillDirectives {
        max_age: Some(Span::millis(8000)),
        join_fill: true,
        only_if_cached: true,
        refresh: true,
        retention_rank: 2,
        ..plain
    };
    let spans = [Span::millis(200), Span::millis(700)];
    let short = [Span::micros(999), Span::micros(999)];
    let recent = FillDirectives { max_age: Some(Span::micros(300)), ..plain };
    let mut out = [
        decision("without terms", None, None, spans),
        decision("from itself", Some(plain), None, spans),
        decision("with a source", Some(plain), Some("p-1"), spans),
        decision("with every term", Some(all_set), Some("p-1"), spans),
        decision("with an age under a millisecond", Some(recent), Some("p-1"), spans),
        decision("with less than a millisecond left", Some(plain), Some("p-1"), short),
    ]
    .concat();
    for bits in 0..8 {
        let [join, only_if_cached, refresh] = [1, 2, 4].map(|bit| bits & bit > 0);
        let title = format!("modes: join {join}, from cache only {only_if_cached}, renew {refresh}");
        out += &decision(
            &title,
            Some(FillDirectives { join_fill: join, only_if_cached, refresh, ..plain }),
            Some("p-1"),
            spans,
        );
    }
    out
}

/// The name of a reason in the recorded files. Each reason must also be listed in `REASONS`.
fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::GaveUp => "given up",
        RefusalReason::NoCapacity => "no room",
        RefusalReason::CorrelationIdInUse => "id in use",
        RefusalReason::IdempotencyKeyInUse => "idempotency key in use",
        RefusalReason::Superseded => "overtaken",
        RefusalReason::UnknownDecision => "no choice",
        RefusalReason::NotReported => "unreported",
        RefusalReason::ShuttingDown => "stopping",
    }
}

const REASONS: [RefusalReason; 8] = [
    RefusalReason::GaveUp,
    RefusalReason::NoCapacity,
    RefusalReason::CorrelationIdInUse,
    RefusalReason::IdempotencyKeyInUse,
    RefusalReason::Superseded,
    RefusalReason::UnknownDecision,
    RefusalReason::NotReported,
    RefusalReason::ShuttingDown,
];

/// Formats the response for a final reply, as status and headers, and as a message.
fn refusal(title: &str, reply: &CallReply) -> String {
    let Some(response) = response::final_response(reply) else { return section(title, "none") };
    let plain = format!("{} {}", response.status, fields_text(&response.fields));
    section(title, &plain) + &message(&format!("{title}, message"), &response::immediate(response))
}

fn refusals() -> String {
    let mut out = String::new();
    for reason in REASONS {
        let name = reason_name(reason);
        out += &refusal(&format!("rejected, {name}"), &CallReply::Rejected(None, reason));
        out += &refusal(&format!("failed, {name}"), &CallReply::Failed(reason));
    }
    for micros in [0, 999, 1000, 1_000_000, 1_000_001, 1_200_000, 60_000_000] {
        let reply = CallReply::Rejected(Some(Span::micros(micros)), RefusalReason::GaveUp);
        out += &refusal(&format!("rejected with a pause of {micros} microseconds"), &reply);
    }
    for status in [0, 200, 201, 404] {
        let result = StoredResult { status, version: 0x4be0_c192_7d55_a6f3 };
        out += &refusal(&format!("done before with status {status}"), &CallReply::Replayed(result));
    }
    out += &refusal(
        "done before without version",
        &CallReply::Replayed(StoredResult { status: 200, version: 0 }),
    );
    out += &refusal("pass on", &CallReply::PassThrough);
    out + &refusal("again", &CallReply::AwaitRetry)
}

fn responses() -> String {
    let cookie = "name=value; Path=/; HttpOnly".to_string();
    let mut refused = FinalResponse::with_reason(503, "no-room");
    refused.fields.push(HeaderField::new("retry-after", "1"));
    [
        message("passed on", &response::pass_through(None)),
        message("passed on with a cookie", &response::pass_through(Some(cookie))),
        message("again", &response::request_retry()),
        message(
            "immediate without headers",
            &response::immediate(FinalResponse { status: 200, fields: Vec::new() }),
        ),
        message("immediate with a reason", &response::immediate(refused)),
        message("chosen without headers", &response::forward_request(Vec::new())),
    ]
    .concat()
}

fn call_text(call: &ExternalRequest) -> String {
    let ExternalRequest {
        correlation_id,
        attempt,
        class,
        object,
        part,
        group,
        idempotency_key,
        is_non_idempotent,
        client_retry,
        time_remaining,
        authorization,
    } = *call;
    assert!(!is_non_idempotent, "no class of the recording is");
    let authorization = match authorization {
        Authorization::Granted => "free",
        Authorization::NotYetValid(_) => "early",
        Authorization::Expired => "lapsed",
        Authorization::Denied => "refused",
    };
    let key = idempotency_key.map_or("none".to_string(), |idempotency_key| format!("{idempotency_key:032x}"));
    format!(
        "id {correlation_id:016x}, attempt {attempt}, class {class}, object {object:016x}, part {part}, \
         group {group}, idempotency key {key}, repeat {client_retry}, left {} us, pass {authorization}",
        time_remaining.as_micros()
    )
}

fn pairs_shown(pairs: Pairs) -> String {
    let shown = |(name, value): &(&str, &str)| {
        let value = if value.len() > 99 { format!("({} bytes)", value.len()) } else { format!("{value:?}") };
        format!("{name}={value}")
    };
    pairs.iter().map(shown).collect::<Vec<_>>().join(" ")
}

fn request(pairs: Pairs) -> String {
    let read = match call(pairs) {
        Ok(call) => call_text(&call),
        Err(error) => format!("fault: {error}"),
    };
    section(&pairs_shown(pairs), &read)
}

const TIMEOUT: &str = "x-envoy-expected-rq-timeout-ms";
const TIME_REMAINING: &str = "x-max-ms";

fn requests() -> String {
    [common_requests(), requests_with_paths(), requests_with_values()].concat()
}

fn common_requests() -> String {
    let by_request = ("x-request-id", "0f5e3a54-6b1b-4a4d-9c5e-3d0c8b1e7a11");
    [
        request(&[PATH, ID]),
        request(&[PATH, by_request]),
        request(&[PATH, by_request, ID]),
        request(&[PATH, ID, (TIMEOUT, "900")]),
        request(&[PATH, ID, (TIMEOUT, "900"), (TIME_REMAINING, "700")]),
        request(&[PATH, ID, KEY]),
        request(&[SAVE, ID, KEY]),
        request(&[SAVE, ID]),
        request(&[PATH, ID, ("x-group", "17"), ("x-redo", "1"), ("x-envoy-attempt-count", "2")]),
        request(&[PATH, ID, ("x-other", "value")]),
        request(&[PATH]),
        request(&[ID]),
        request(&[]),
        request(&[PATH, PATH, ID]),
        request(&[PATH, ID, ID]),
    ]
    .concat()
}

fn requests_with_paths() -> String {
    let mut out = String::new();
    for path in [
        "/v1/store/pages/7F3A9C21E0B4D655/0",
        "/v1/store/pages/7f3a9c21e0b4d655/4294967295",
        "/v1/store/pages/7f3a9c21e0b4d655/4294967296",
        "/v1/store/pages/7f3a9c21e0b4d655/01",
        "/v1/store/pages/7f3a9c21e0b4d655/+1",
        "/v1/store/pages/7f3a9c21e0b4d655/",
        "/v1/store/pages/7f3a9c21e0b4d655",
        "/v1/store/pages/7f3a9c21e0b4d655/3/4",
        "/v1/store/pages/7f3a9c21e0b4d655/3?x=1",
        "/v1/store/pages/7f3a9c21e0b4d65g/3",
        "/v1/store/pages/7f3a/3",
        "/v1/store/unknown/7f3a9c21e0b4d655/3",
        "/v2/store/pages/7f3a9c21e0b4d655/3",
        "/v1/store/pages/7f3a9c21e0b4d655/3 4",
        "",
    ] {
        out += &request(&[(":path", path), ID]);
    }
    out
}

fn requests_with_values() -> String {
    let mut out = String::new();
    let long = "1".repeat(257);
    for (name, values) in [
        ("x-ticket", &["9b1f", "9b1f03aa5c7e2d4g", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41", "", &long][..]),
        (TIME_REMAINING, &["0", "1", "-5", "05", "4294967295", "4294967296", "soon", &long]),
        (TIMEOUT, &["0", "1", "4294967296"]),
        ("x-nonce", &["5c0f", "5c0f6e1a2b3d4c59a8b7c6d5e4f3021g"]),
        ("x-group", &["0", "255", "256", "x"]),
        ("x-redo", &["0", "yes"]),
        ("x-envoy-attempt-count", &["0", "1", "65536", "65537"]),
    ] {
        for value in values {
            let id = [ID];
            let others = if name == "x-ticket" { &[][..] } else { &id };
            out += &request(&[&[PATH], others, &[(name, value)]].concat());
        }
    }
    out
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

fn report_text(report: &Report) -> String {
    let Report { outcome, stored_result, used_after } = *report;
    let used = used_after.map_or("untold".to_string(), |span| format!("{} us", span.as_micros()));
    format!(
        "{}, remark {}, status {}, version {:016x}, used after {used}",
        outcome_name(outcome.status),
        remark_name(outcome.detail),
        stored_result.status,
        stored_result.version
    )
}

fn report(pairs: Pairs) -> String {
    let read = match request::read_report(&headers(pairs)) {
        Ok(report) => report_text(&report),
        Err(error) => format!("fault: {error}"),
    };
    section(&pairs_shown(pairs), &read)
}

fn reports() -> String {
    let ok = (":status", "200");
    let version = ("x-version", "4be0c1927d55a6f3");
    let mut out = String::new();
    for status in ["200", "304", "404", "500", "502", "503", "504", "418", "100", "999"] {
        out += &report(&[(":status", status)]);
        out += &report(&[(":status", status), ("x-shed", "1")]);
    }
    for status in ["99", "1000", "0200", "x", ""] {
        out += &report(&[(":status", status)]);
    }
    for remark in ["warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed"] {
        out += &report(&[ok, ("x-remark", remark)]);
    }
    for failed in ["unreachable", "timed-out", "broken", "unused", "given-up", "other"] {
        out += &report(&[("x-tindoor-failed", failed)]);
        out += &report(&[(":status", "503"), ("x-tindoor-failed", failed)]);
    }
    out += &report(&[ok, ("x-remark", "backfire")]);
    out += &report(&[ok, ("x-remark", "unknown")]);
    out += &report(&[ok, version, ("x-remark", "warm"), ("x-tindoor-used-ms", "12")]);
    out += &report(&[ok, ("x-version", "4be0")]);
    out += &report(&[ok, ("x-tindoor-used-ms", "-1")]);
    out += &report(&[ok, ("x-tindoor-used-ms", "4294967296")]);
    out += &report(&[ok, ("x-shed", "0")]);
    out += &report(&[ok, ok]);
    out + &report(&[])
}

/// Formats the bytes of a message from a proxy, and checks that they decode to the same message.
fn from_proxy(title: &str, phase: Option<Phase>, observability_mode: bool) -> String {
    let request = ProcessingRequest { phase, observability_mode };
    let bytes = frames::encode(&request);
    assert_eq!(frames::decode(&mut BytesMut::from(&bytes[..]), 1000), Ok(Some(request)));
    section(title, &bytes.escape_ascii().to_string())
}

fn messages_from_a_proxy() -> String {
    let header = |value: &str, raw_value: &[u8]| {
        let (value, raw_value) = (value.to_string(), raw_value.to_vec());
        HeaderValue { key: "x-ticket".into(), value, raw_value }
    };
    let map = || Some(HeaderMap { headers: vec![header("text", b""), header("", b"raw\xff")] });
    let headers = |end_of_stream| HttpHeaders { headers: map(), end_of_stream };
    let body = |end_of_stream| HttpBody { body: (&b"body"[..]).into(), end_of_stream };
    let trailers = || HttpTrailers { trailers: map() };
    [
        from_proxy("request headers", Some(Phase::RequestHeaders(headers(false))), false),
        from_proxy("request headers, the end", Some(Phase::RequestHeaders(headers(true))), false),
        from_proxy("response headers", Some(Phase::ResponseHeaders(headers(false))), false),
        from_proxy("request body", Some(Phase::RequestBody(body(true))), false),
        from_proxy("response body", Some(Phase::ResponseBody(body(false))), false),
        from_proxy("request trailers", Some(Phase::RequestTrailers(trailers())), false),
        from_proxy("response trailers", Some(Phase::ResponseTrailers(trailers())), false),
        from_proxy("observability mode", Some(Phase::RequestHeaders(headers(false))), true),
        from_proxy("nothing", None, false),
    ]
    .concat()
}

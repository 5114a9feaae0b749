//! Strict parsing of requests and reports within limits, the headers of decisions and rejections, and the
//! framing of messages.

use std::time::Duration;

use bytes::BytesMut;
use proptest::prelude::*;
use prost::Message;
use tindoor::host::{AttemptStatus, EndpointId, FillDirectives, OutcomeDetail};
use tindoor::settings::Idempotency;
use tindoor::time::Span;
use tindoor_external_requests::{CallReply, RefusalReason, RoutingDecision, StoredResult};
use tindoor_extproc::frames::{self, FrameError};
use tindoor_extproc::messages::{HttpBody, Phase, ProcessingRequest};
use tindoor_extproc::request::{self, HeaderError, HeaderNames, Headers, RequestClass};
use tindoor_extproc::response::{self, FinalResponse, HeaderField};

fn classes() -> Vec<RequestClass> {
    let class = |name: &str, idempotency| RequestClass {
        name: name.into(),
        idempotency,
        default_deadline: Duration::from_secs(3),
    };
    vec![class("pages", Idempotency::Idempotent), class("saves", Idempotency::WithKey)]
}

fn read_request(fields: &[(&str, &str)]) -> Result<tindoor_external_requests::ExternalRequest, HeaderError> {
    let headers = Headers(fields.iter().map(|(name, value)| (*name, value.as_bytes())).collect());
    request::read_request(&headers, &HeaderNames::default(), &classes())
}

const PATH: (&str, &str) = (":path", "/v1/store/pages/7f3a9c21e0b4d655/3");
const CORRELATION_ID: (&str, &str) = ("x-ticket", "9b1f03aa5c7e2d41");

#[test]
fn headers_that_a_proxy_leaves_out_have_defaults() {
    let request = read_request(&[PATH, CORRELATION_ID]).unwrap();
    assert_eq!(
        (request.correlation_id, request.object, request.part),
        (0x9b1f_03aa_5c7e_2d41, 0x7f3a_9c21_e0b4_d655, 3)
    );
    assert_eq!(
        (request.attempt, request.group, request.client_retry, request.time_remaining),
        (1, 0, false, Span::millis(3000))
    );
    let correlation_id_of = |id| read_request(&[PATH, ("x-request-id", id)]).unwrap().correlation_id;
    assert_eq!(correlation_id_of("a"), correlation_id_of("a"));
    assert_ne!(correlation_id_of("a"), correlation_id_of("b"));
    let with_timeout =
        read_request(&[PATH, CORRELATION_ID, ("x-envoy-expected-rq-timeout-ms", "900")]).unwrap();
    assert_eq!(with_timeout.time_remaining, Span::millis(900));
    let with_both =
        read_request(&[PATH, CORRELATION_ID, ("x-envoy-expected-rq-timeout-ms", "900"), ("x-max-ms", "700")])
            .unwrap();
    assert_eq!(with_both.time_remaining, Span::millis(700));
}

#[test]
fn an_idempotency_key_is_used_only_by_classes_that_require_one() {
    let key = ("x-nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    assert_eq!(read_request(&[PATH, CORRELATION_ID, key]).unwrap().idempotency_key, None);
    let write = (":path", "/v1/store/saves/7f3a9c21e0b4d655/0");
    assert_eq!(
        read_request(&[write, CORRELATION_ID, key]).unwrap().idempotency_key,
        Some(0x5c0f_6e1a_2b3d_4c59_a8b7_c6d5_e4f3_0211)
    );
    assert_eq!(read_request(&[write, CORRELATION_ID]).unwrap_err().header, "x-nonce");
}

#[test]
fn a_report_has_the_status_and_detail_that_its_headers_state() {
    let read = |fields: &[(&str, &str)]| {
        request::read_report(&Headers(fields.iter().map(|(name, value)| (*name, value.as_bytes())).collect()))
    };
    for (fields, status, detail) in [
        (&[(":status", "200"), ("x-remark", "piggy")][..], AttemptStatus::Served, OutcomeDetail::JoinedFill),
        (&[(":status", "503"), ("x-shed", "1")], AttemptStatus::Overloaded, OutcomeDetail::Unknown),
        (&[(":status", "503")], AttemptStatus::Incomplete, OutcomeDetail::Unknown),
        (
            &[(":status", "500"), ("x-remark", "bounced")],
            AttemptStatus::Error,
            OutcomeDetail::SourceOverloaded,
        ),
        (
            &[(":status", "503"), ("x-tindoor-failed", "unreachable")],
            AttemptStatus::Unreachable,
            OutcomeDetail::Unknown,
        ),
        (
            &[(":status", "503"), ("x-tindoor-failed", "unused")],
            AttemptStatus::Superseded,
            OutcomeDetail::Unknown,
        ),
        (&[(":status", "404")], AttemptStatus::Miss, OutcomeDetail::Unknown),
    ] {
        let report = read(fields).unwrap();
        assert_eq!((report.outcome.status, report.outcome.detail), (status, detail), "{fields:?}");
    }
    assert_eq!(read(&[]).unwrap_err().header, ":status");
    assert_eq!(
        read(&[(":status", "200"), ("x-tindoor-failed", "so so")]).unwrap_err().header,
        "x-tindoor-failed"
    );
}

#[test]
fn a_decision_sets_its_headers_and_removes_those_of_the_client() {
    let request = read_request(&[PATH, CORRELATION_ID]).unwrap();
    let target =
        response::RoutingTarget { endpoint: "c-1".into(), address: "10.0.0.1:80".into(), source: None };
    let max_age = Some(Span::micros(300));
    let directives = FillDirectives {
        source: EndpointId(2),
        max_age,
        join_fill: true,
        only_if_cached: false,
        refresh: true,
        retention_rank: 2,
    };
    let decision = RoutingDecision {
        attempt_index: 4,
        endpoint: EndpointId(1),
        directives: Some(directives),
        timeout: Span::millis(900),
        send_by: None,
    };
    let fields =
        response::decision_headers(&request, &decision, &target, Span::millis(200), Span::millis(700));
    let field = |name: &str| fields.iter().find(|field| field.name == name).map(|field| field.value.as_str());
    assert_eq!(
        (field("x-tier"), field("x-mode"), field("x-tindoor-nth")),
        (Some("2"), Some("j+r"), Some("4"))
    );
    assert_eq!(field("x-accept-age"), Some("1"), "0 would accept any fresh copy");
    assert_eq!(field("x-source"), None);
    let Some(tindoor_extproc::messages::Reply::RequestHeaders(reply)) =
        response::forward_request(fields).reply
    else {
        panic!()
    };
    let mutation = reply.response.unwrap().header_mutation.unwrap();
    assert!(mutation.remove_headers.contains(&"x-source".to_string()), "a client must not name a source");
    assert!(!mutation.remove_headers.contains(&"x-mode".to_string()));
}

#[test]
fn a_rejection_gives_retry_after_in_whole_seconds_and_in_milliseconds() {
    let FinalResponse { status, fields } =
        response::final_response(&CallReply::Rejected(Some(Span::millis(1200)), RefusalReason::GaveUp))
            .unwrap();
    assert_eq!(status, 503);
    assert!(fields.contains(&HeaderField::new("retry-after", "2")));
    assert!(fields.contains(&HeaderField::new("x-tindoor-pause-ms", "1200")));
    assert_eq!(
        response::final_response(&CallReply::Failed(RefusalReason::CorrelationIdInUse)).unwrap().status,
        502
    );
    assert_eq!(
        response::final_response(&CallReply::Replayed(StoredResult { status: 0, version: 0 }))
            .unwrap()
            .status,
        200
    );
    assert!(response::final_response(&CallReply::PassThrough).is_none());
}

#[test]
fn a_message_is_decoded_from_single_bytes_and_rejected_over_the_limit() {
    let body = HttpBody { body: vec![7; 900].into(), end_of_stream: true };
    let message = ProcessingRequest { phase: Some(Phase::RequestBody(body)), observability_mode: false };
    let encoded = frames::encode(&message);
    let mut read = BytesMut::new();
    for byte in &encoded[..encoded.len() - 1] {
        read.extend_from_slice(&[*byte]);
        assert_eq!(frames::decode::<ProcessingRequest>(&mut read, 1000), Ok(None));
    }
    read.extend_from_slice(&encoded[encoded.len() - 1..]);
    assert_eq!(frames::decode(&mut read, 1000), Ok(Some(message)));
    let mut too_long = BytesMut::from(&[0, 0, 0, 4, 0][..]);
    assert_eq!(
        frames::decode::<ProcessingRequest>(&mut too_long, 1000),
        Err(FrameError::TooLong),
        "rejected before the message has arrived"
    );
}

proptest! {
    /// Arbitrary bytes are decoded or rejected without a panic, and no decoded message is oversized.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut read = BytesMut::from(&bytes[..]);
        while let Ok(Some(message)) = frames::decode::<ProcessingRequest>(&mut read, 200) {
            prop_assert!(message.encoded_len() <= 4096);
        }
    }

    /// An accepted number has only one spelling: formatting the parsed number returns the original text.
    #[test]
    fn a_number_is_accepted_in_its_canonical_form_only(text in "[0-9+ -]{1,7}") {
        if let Ok(request) = read_request(&[PATH, CORRELATION_ID, ("x-max-ms", &text)]) {
            prop_assert_eq!(format!("{}", request.time_remaining.as_micros() / 1000), text);
        }
    }

    #[test]
    fn accepted_paths_are_canonical(path in "/?v1/store/[a-z]{0,6}/[0-9a-fA-F]{14,18}/[0-9/]{0,4}") {
        if let Ok(request) = read_request(&[(":path", &path), CORRELATION_ID]) {
            let class = &classes()[usize::from(request.class)].name;
            let canonical = format!("/v1/store/{class}/{:016x}/{}", request.object, request.part);
            prop_assert_eq!(canonical, path.to_lowercase());
        }
    }
}

//! What the router says to a proxy, as headers and as messages of the external processing service.

use tindoor::time::Span;
use tindoor_external_requests::{CallReply, ExternalRequest, RefusalReason, RoutingDecision};

use crate::messages::{
    AppendAction, CommonResponse, HeaderMutation, HeaderSend, HeaderValue, HeaderValueOption,
    HeadersResponse, HttpStatus, ImmediateResponse, ProcessingMode, ProcessingResponse, Reply,
};

/// Names of the cache and the source that a choice goes to.
#[derive(Clone, Debug)]
pub struct RoutingTarget {
    pub cache: String,
    pub address: String,
    /// None where nothing may be filled, or where the cache is its own source.
    pub source: Option<String>,
}

pub type HeaderFields = Vec<(&'static str, String)>;

fn millis(span: Span) -> u64 {
    span.as_micros() / 1000
}

/// The headers of a choice. Those of the platform's protocol are as a cache reads them.
pub fn decision_headers(
    call: &ExternalRequest,
    decision: &RoutingDecision,
    place: &RoutingTarget,
    use_within: Span,
    left: Span,
) -> HeaderFields {
    let mut fields = vec![
        ("x-tindoor-cache", place.cache.clone()),
        ("x-tindoor-address", place.address.clone()),
        ("x-tindoor-use-within-ms", millis(use_within).to_string()),
        ("x-tindoor-nth", decision.attempt_index.to_string()),
        ("x-ticket", format!("{:016x}", call.correlation_id)),
        ("x-max-ms", millis(left).max(1).to_string()),
    ];
    fields.extend(place.source.iter().map(|source| ("x-source", source.clone())));
    if let Some(directives) = decision.directives {
        if directives.retention_rank > 0 {
            fields.push(("x-tier", directives.retention_rank.to_string()));
        }
        // Rounded down; 0 would mean that any fresh copy will do. A copy ages while the choice waits for its
        // use, and the moment of the purge that bounds it lies ever further back: what holds now holds then.
        fields.extend(directives.max_age.map(|max_age| ("x-accept-age", millis(max_age).max(1).to_string())));
        let words =
            [(directives.join_fill, "j"), (directives.only_if_cached, "h"), (directives.refresh, "r")];
        let words: Vec<&str> = words.iter().filter(|word| word.0).map(|word| word.1).collect();
        if !words.is_empty() {
            fields.push(("x-mode", words.join("+")));
        }
    }
    fields
}

/// What a client must not set itself: these say what only a choice may.
pub const OURS: [&str; 6] =
    ["x-tindoor-again", "x-tindoor-reason", "x-source", "x-tier", "x-accept-age", "x-mode"];

fn reason(why: RefusalReason) -> &'static str {
    match why {
        RefusalReason::GaveUp => "given-up",
        RefusalReason::NoCapacity => "no-room",
        RefusalReason::CorrelationIdInUse => "ticket",
        RefusalReason::IdempotencyKeyInUse => "mark",
        RefusalReason::Superseded => "overtaken",
        RefusalReason::UnknownDecision => "no-choice",
        RefusalReason::NotReported => "unreported",
        RefusalReason::ShuttingDown => "stopping",
    }
}

/// A final answer as status and headers; none for what is not final or goes on as it is.
pub fn final_headers(say: &CallReply) -> Option<(u16, HeaderFields)> {
    Some(match say {
        CallReply::Rejected(retry_after, why) => {
            let mut fields = vec![("x-tindoor-reason", reason(*why).to_string())];
            if let Some(retry_after) = retry_after {
                // Whole seconds for those that know no better, rounded up; and the milliseconds.
                fields.push(("retry-after", retry_after.as_micros().div_ceil(1_000_000).max(1).to_string()));
                fields.push(("x-tindoor-pause-ms", millis(*retry_after).to_string()));
            }
            (503, fields)
        }
        CallReply::Failed(why) => (502, vec![("x-tindoor-reason", reason(*why).to_string())]),
        CallReply::Replayed(known) => {
            let mut fields = vec![("x-tindoor-known", "1".to_string())];
            fields.push(("x-version", format!("{:016x}", known.version)));
            (if known.status == 0 { 200 } else { known.status }, fields)
        }
        CallReply::Decision { .. } | CallReply::PassThrough | CallReply::AwaitRetry => return None,
    })
}

fn mutation(fields: HeaderFields, remove: &[&str]) -> HeaderMutation {
    let set = |(name, value): (&str, String)| HeaderValueOption {
        header: Some(HeaderValue { key: name.into(), value: String::new(), raw_value: value.into_bytes() }),
        append_action: AppendAction::OverwriteIfExistsOrAdd as i32,
    };
    let kept = |name: &&&str| !fields.iter().any(|field| field.0 == **name);
    let remove_headers = remove.iter().filter(kept).map(|name| name.to_string()).collect();
    HeaderMutation { remove_headers, set_headers: fields.into_iter().map(set).collect() }
}

fn goes_on(header_mutation: Option<HeaderMutation>, clear_route_cache: bool) -> HeadersResponse {
    HeadersResponse { response: Some(CommonResponse { status: 0, header_mutation, clear_route_cache }) }
}

/// Go to that cache: only the headers of the answer are wanted of what follows.
pub fn forward_request(fields: HeaderFields) -> ProcessingResponse {
    let mode = ProcessingMode {
        request_header_mode: HeaderSend::Default as i32,
        response_header_mode: HeaderSend::Send as i32,
        request_body_mode: 0,
        response_body_mode: 0,
        request_trailer_mode: HeaderSend::Skip as i32,
        response_trailer_mode: HeaderSend::Skip as i32,
    };
    let reply = Reply::RequestHeaders(goes_on(Some(mutation(fields, &OURS)), true));
    ProcessingResponse { reply: Some(reply), mode_override: Some(mode) }
}

fn answered(header_mutation: Option<HeaderMutation>) -> ProcessingResponse {
    let reply = Reply::ResponseHeaders(goes_on(header_mutation, false));
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

/// The cache's answer goes on, with a cookie beside those that it may set itself.
pub fn pass_through(cookie: Option<String>) -> ProcessingResponse {
    let added = |cookie: String| HeaderValueOption {
        header: Some(HeaderValue {
            key: "set-cookie".into(),
            value: String::new(),
            raw_value: cookie.into_bytes(),
        }),
        append_action: AppendAction::AppendIfExistsOrAdd as i32,
    };
    let set =
        cookie.map(|cookie| HeaderMutation { set_headers: vec![added(cookie)], remove_headers: vec![] });
    answered(set)
}

/// The cache's answer is not final: a proxy that retries by a header does so.
pub fn request_retry() -> ProcessingResponse {
    answered(Some(mutation(vec![("x-tindoor-again", "1".to_string())], &[])))
}

/// A final answer in place of whatever was to come.
pub fn immediate(status: u16, fields: HeaderFields) -> ProcessingResponse {
    let details = fields.iter().find(|field| field.0 == "x-tindoor-reason").map(|field| field.1.clone());
    let reply = Reply::Immediate(ImmediateResponse {
        status: Some(HttpStatus { code: status.into() }),
        headers: Some(mutation(fields, &[])),
        body: Vec::new(),
        details: details.unwrap_or_default(),
    });
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

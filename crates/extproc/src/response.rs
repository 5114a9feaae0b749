//! The router's responses to a proxy, as headers and as messages of the external processing protocol.

use tindoor::host::FillDirectives;
use tindoor::time::Span;
use tindoor_external_requests::{CallReply, ExternalRequest, RefusalReason, RoutingDecision};

use crate::messages::{
    AppendAction, CommonResponse, HeaderMutation, HeaderSend, HeaderValue, HeaderValueOption,
    HeadersResponse, HttpStatus, ImmediateResponse, ProcessingMode, ProcessingResponse, Reply,
};

const MICROS_PER_MILLI: u64 = 1000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The header with the reason why a request was rejected or failed, or with what is wrong with the request.
pub const REASON: &str = "x-tindoor-reason";

/// The headers that only a routing decision may set. Values sent by the client are removed.
pub const DECISION_HEADERS: [&str; 6] =
    ["x-tindoor-again", REASON, "x-source", "x-tier", "x-accept-age", "x-mode"];

/// The endpoint and the fill source of a routing decision, by their names.
#[derive(Clone, Debug)]
pub struct RoutingTarget {
    /// The endpoint's id.
    pub endpoint: String,
    /// The endpoint's address.
    pub address: String,
    /// The id of the fill source. `None` if nothing may be filled, or if the endpoint is its own source.
    pub source: Option<String>,
}

/// A header to set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name, in lower case.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

impl HeaderField {
    /// Creates a header with this name and value.
    pub fn new(name: &'static str, value: impl Into<String>) -> Self {
        Self { name, value: value.into() }
    }
}

/// A response that the client receives in place of one from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub fields: Vec<HeaderField>,
}

impl FinalResponse {
    /// Creates a response that states its reason in the header [`REASON`].
    pub fn with_reason(status: u16, reason: impl Into<String>) -> Self {
        Self { status, fields: vec![HeaderField::new(REASON, reason)] }
    }
}

/// Returns the headers of a routing decision. The headers of the platform's protocol have the form that
/// endpoints expect.
pub fn decision_headers(
    request: &ExternalRequest,
    decision: &RoutingDecision,
    target: &RoutingTarget,
    use_within: Span,
    time_remaining: Span,
) -> Vec<HeaderField> {
    let mut fields = vec![
        HeaderField::new("x-tindoor-cache", &target.endpoint),
        HeaderField::new("x-tindoor-address", &target.address),
        HeaderField::new("x-tindoor-use-within-ms", millis(use_within).to_string()),
        HeaderField::new("x-tindoor-nth", decision.attempt_index.to_string()),
        HeaderField::new("x-ticket", format!("{:016x}", request.correlation_id)),
        HeaderField::new("x-max-ms", millis(time_remaining).max(1).to_string()),
    ];
    fields.extend(target.source.iter().map(|source| HeaderField::new("x-source", source)));
    if let Some(directives) = decision.directives {
        push_directives(&mut fields, &directives);
    }
    fields
}

fn push_directives(fields: &mut Vec<HeaderField>, directives: &FillDirectives) {
    if directives.retention_rank > 0 {
        fields.push(HeaderField::new("x-tier", directives.retention_rank.to_string()));
    }
    // Rounded down, but not to 0, which would accept any fresh copy. The limit stays correct if the proxy
    // uses the decision later: a copy ages at the same rate as the purge that limits its age.
    let max_age = directives.max_age.map(|max_age| millis(max_age).max(1).to_string());
    fields.extend(max_age.map(|max_age| HeaderField::new("x-accept-age", max_age)));
    let modes = [(directives.join_fill, "j"), (directives.only_if_cached, "h"), (directives.refresh, "r")];
    let modes: Vec<&str> = modes.iter().filter(|mode| mode.0).map(|mode| mode.1).collect();
    if !modes.is_empty() {
        fields.push(HeaderField::new("x-mode", modes.join("+")));
    }
}

/// Returns the word that proxies receive for a reason.
fn reason_word(reason: RefusalReason) -> &'static str {
    match reason {
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

/// Converts a final reply to a response. `None` if the reply is not final, or passes the endpoint's response
/// through.
pub fn final_response(reply: &CallReply) -> Option<FinalResponse> {
    match reply {
        CallReply::Rejected(retry_after, reason) => {
            let mut response = FinalResponse::with_reason(503, reason_word(*reason));
            response.fields.extend(retry_after.iter().flat_map(|retry_after| retry_fields(*retry_after)));
            Some(response)
        }
        CallReply::Failed(reason) => Some(FinalResponse::with_reason(502, reason_word(*reason))),
        CallReply::Replayed(result) => {
            let status = if result.status == 0 { 200 } else { result.status };
            let version = format!("{:016x}", result.version);
            let fields =
                vec![HeaderField::new("x-tindoor-known", "1"), HeaderField::new("x-version", version)];
            Some(FinalResponse { status, fields })
        }
        CallReply::Decision { .. } | CallReply::PassThrough | CallReply::AwaitRetry => None,
    }
}

/// Returns `Retry-After` in whole seconds, rounded up, and the same time in milliseconds in a header of its
/// own.
fn retry_fields(retry_after: Span) -> [HeaderField; 2] {
    let seconds = retry_after.as_micros().div_ceil(MICROS_PER_SECOND).max(1);
    [
        HeaderField::new("retry-after", seconds.to_string()),
        HeaderField::new("x-tindoor-pause-ms", millis(retry_after).to_string()),
    ]
}

/// Has the proxy forward the request with the headers of a decision. After this, the proxy sends only the
/// headers of the response to the router.
pub fn forward_request(fields: Vec<HeaderField>) -> ProcessingResponse {
    let mode = ProcessingMode {
        request_header_mode: HeaderSend::Default as i32,
        response_header_mode: HeaderSend::Send as i32,
        request_body_mode: 0,
        response_body_mode: 0,
        request_trailer_mode: HeaderSend::Skip as i32,
        response_trailer_mode: HeaderSend::Skip as i32,
    };
    let reply = Reply::RequestHeaders(continue_with(Some(mutation(fields, &DECISION_HEADERS)), true));
    ProcessingResponse { reply: Some(reply), mode_override: Some(mode) }
}

/// Has the proxy pass the endpoint's response through. `cookie` is added to the cookies that the endpoint
/// sets.
pub fn pass_through(cookie: Option<String>) -> ProcessingResponse {
    let mutation = cookie.map(|cookie| {
        let field = HeaderField::new("set-cookie", cookie);
        let set_headers = vec![header_option(field, AppendAction::AppendIfExistsOrAdd)];
        HeaderMutation { set_headers, remove_headers: vec![] }
    });
    continue_response(mutation)
}

/// Marks the endpoint's response as not final. The proxy retries if it is configured to retry on this header.
pub fn request_retry() -> ProcessingResponse {
    continue_response(Some(mutation(vec![HeaderField::new("x-tindoor-again", "1")], &[])))
}

/// Has the proxy send this response immediately, in place of any other.
pub fn immediate(response: FinalResponse) -> ProcessingResponse {
    let reason = response.fields.iter().find(|field| field.name == REASON);
    let details = reason.map(|field| field.value.clone()).unwrap_or_default();
    let reply = Reply::Immediate(ImmediateResponse {
        status: Some(HttpStatus { code: response.status.into() }),
        headers: Some(mutation(response.fields, &[])),
        body: Vec::new(),
        details,
    });
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

fn continue_response(header_mutation: Option<HeaderMutation>) -> ProcessingResponse {
    let reply = Reply::ResponseHeaders(continue_with(header_mutation, false));
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

fn continue_with(header_mutation: Option<HeaderMutation>, clear_route_cache: bool) -> HeadersResponse {
    HeadersResponse { response: Some(CommonResponse { status: 0, header_mutation, clear_route_cache }) }
}

/// Sets `fields`, and removes the headers in `removed` that are not set.
fn mutation(fields: Vec<HeaderField>, removed: &[&str]) -> HeaderMutation {
    let is_unset = |name: &&&str| !fields.iter().any(|field| field.name == **name);
    let remove_headers = removed.iter().filter(is_unset).map(ToString::to_string).collect();
    let set = |field| header_option(field, AppendAction::OverwriteIfExistsOrAdd);
    HeaderMutation { remove_headers, set_headers: fields.into_iter().map(set).collect() }
}

fn header_option(field: HeaderField, action: AppendAction) -> HeaderValueOption {
    let raw_value = field.value.into_bytes();
    HeaderValueOption {
        header: Some(HeaderValue { key: field.name.into(), value: String::new(), raw_value }),
        append_action: action as i32,
    }
}

fn millis(span: Span) -> u64 {
    span.as_micros() / MICROS_PER_MILLI
}

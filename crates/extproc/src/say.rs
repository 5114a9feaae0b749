//! What the router says to a proxy, as headers and as messages of the external processing service.

use tindoor::time::Span;
use tindoor_external_requests::{Call, Choice, Say, Why};

use crate::messages::{
    AppendAction, CommonResponse, HeaderMutation, HeaderSend, HeaderValue, HeaderValueOption,
    HeadersResponse, HttpStatus, ImmediateResponse, ProcessingMode, ProcessingResponse, Reply,
};

/// Names of the cache and the source that a choice goes to.
#[derive(Clone, Debug)]
pub struct Place {
    pub cache: String,
    pub address: String,
    /// None where nothing may be filled, or where the cache is its own source.
    pub source: Option<String>,
}

pub type Fields = Vec<(&'static str, String)>;

fn millis(span: Span) -> u64 {
    span.as_micros() / 1000
}

/// The headers of a choice. Those of the platform's protocol are as a cache reads them.
pub fn choice(call: &Call, choice: &Choice, place: &Place, use_within: Span, left: Span) -> Fields {
    let mut fields = vec![
        ("x-tindoor-cache", place.cache.clone()),
        ("x-tindoor-address", place.address.clone()),
        ("x-tindoor-use-within-ms", millis(use_within).to_string()),
        ("x-tindoor-nth", choice.nth.to_string()),
        ("x-ticket", format!("{:016x}", call.ticket)),
        ("x-max-ms", millis(left).max(1).to_string()),
    ];
    fields.extend(place.source.iter().map(|source| ("x-source", source.clone())));
    if let Some(terms) = choice.terms {
        if terms.rank > 0 {
            fields.push(("x-tier", terms.rank.to_string()));
        }
        // Rounded down; 0 would mean that any fresh copy will do. A copy ages while the choice waits for its
        // use, and the moment of the purge that bounds it lies ever further back: what holds now holds then.
        fields.extend(terms.oldest.map(|oldest| ("x-accept-age", millis(oldest).max(1).to_string())));
        let words = [(terms.join, "j"), (terms.only_held, "h"), (terms.renew, "r")];
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

fn reason(why: Why) -> &'static str {
    match why {
        Why::GivenUp => "given-up",
        Why::NoRoom => "no-room",
        Why::Ticket => "ticket",
        Why::Mark => "mark",
        Why::Overtaken => "overtaken",
        Why::NoChoice => "no-choice",
        Why::Unreported => "unreported",
        Why::Stopping => "stopping",
    }
}

/// A final answer as status and headers; none for what is not final or goes on as it is.
pub fn refusal(say: &Say) -> Option<(u16, Fields)> {
    Some(match say {
        Say::TurnedBack(come_back, why) => {
            let mut fields = vec![("x-tindoor-reason", reason(*why).to_string())];
            if let Some(come_back) = come_back {
                // Whole seconds for those that know no better, rounded up; and the milliseconds.
                fields.push(("retry-after", come_back.as_micros().div_ceil(1_000_000).max(1).to_string()));
                fields.push(("x-tindoor-pause-ms", millis(*come_back).to_string()));
            }
            (503, fields)
        }
        Say::WrittenOff(why) => (502, vec![("x-tindoor-reason", reason(*why).to_string())]),
        Say::Known(known) => {
            let mut fields = vec![("x-tindoor-known", "1".to_string())];
            fields.push(("x-version", format!("{:016x}", known.version)));
            (if known.status == 0 { 200 } else { known.status }, fields)
        }
        Say::Choice { .. } | Say::PassOn | Say::Again => return None,
    })
}

fn mutation(fields: Fields, remove: &[&str]) -> HeaderMutation {
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
pub fn chosen(fields: Fields) -> ProcessingResponse {
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
pub fn passed_on(cookie: Option<String>) -> ProcessingResponse {
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
pub fn again() -> ProcessingResponse {
    answered(Some(mutation(vec![("x-tindoor-again", "1".to_string())], &[])))
}

/// A final answer in place of whatever was to come.
pub fn immediate(status: u16, fields: Fields) -> ProcessingResponse {
    let details = fields.iter().find(|field| field.0 == "x-tindoor-reason").map(|field| field.1.clone());
    let reply = Reply::Immediate(ImmediateResponse {
        status: Some(HttpStatus { code: status.into() }),
        headers: Some(mutation(fields, &[])),
        body: Vec::new(),
        details: details.unwrap_or_default(),
    });
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

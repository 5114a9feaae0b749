//! Reads requests, and reports on attempts, from the headers that a proxy sends. The external processing
//! service and the plain HTTP call both use this module.

use std::time::Duration;

use tindoor::host::{AttemptStatus, Authorization, Outcome, OutcomeDetail};
use tindoor::settings::Idempotency;
use tindoor::time::Span;
use tindoor_external_requests::{ExternalRequest, Report, StoredResult};
use xxhash_rust::xxh3::xxh3_64;

pub use crate::headers::{HeaderError, HeaderNames, Headers};
use crate::headers::{is_canonical_number, parse_hex};

const PATH_PREFIX: &str = "/v1/store/";
const PATH_FORM: &str = "not /v1/store/OFFERING/OBJECT/PART";
const CORRELATION_ID_DIGITS: usize = 16;
const OBJECT_DIGITS: usize = 16;
const IDEMPOTENCY_KEY_DIGITS: usize = 32;
const VERSION_DIGITS: usize = 16;
const MAX_ATTEMPT: u64 = 1 << 16;
const MAX_GROUP: u64 = 255;
const MAX_MS: u64 = u32::MAX as u64;

/// The properties of a request class that reading a request depends on.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name of the class in paths.
    pub name: String,
    /// Whether requests of the class may run again.
    pub idempotency: Idempotency,
    /// How long the client waits if the request does not state it.
    pub default_deadline: Duration,
}

impl RequestClass {
    /// Returns whether requests of the class must have an idempotency key.
    pub fn requires_idempotency_key(&self) -> bool {
        self.idempotency == Idempotency::WithKey
    }
}

/// Reads a request from its headers. An error names the header at fault.
pub fn read_request(
    headers: &Headers,
    names: &HeaderNames,
    classes: &[RequestClass],
) -> Result<ExternalRequest, HeaderError> {
    let target = read_target(headers, names, classes)?;
    let class = &classes[target.class];
    Ok(ExternalRequest {
        correlation_id: read_correlation_id(headers, names)?,
        time_remaining: read_time_remaining(headers, names, class)?,
        idempotency_key: read_idempotency_key(headers, names, class)?,
        is_non_idempotent: class.idempotency == Idempotency::NonIdempotent,
        client_retry: read_client_retry(headers, names)?,
        attempt: headers.number(&names.attempt, [1, MAX_ATTEMPT])?.unwrap_or(1) as u32,
        class: target.class as u16,
        object: target.object,
        part: target.part,
        group: headers.number(&names.group, [0, MAX_GROUP])?.unwrap_or(0) as u32,
        authorization: Authorization::Granted,
    })
}

/// The parts of a request path.
struct Target {
    /// The index of the class.
    class: usize,
    object: u64,
    part: u32,
}

fn read_target(
    headers: &Headers,
    names: &HeaderNames,
    classes: &[RequestClass],
) -> Result<Target, HeaderError> {
    let error = |problem| HeaderError::new(&names.path, problem);
    let path = headers.text(&names.path)?.ok_or_else(|| error("missing"))?;
    let rest = path.strip_prefix(PATH_PREFIX).ok_or_else(|| error(PATH_FORM))?;
    let mut segments = rest.split('/');
    let (Some(class), Some(object), Some(part), None) =
        (segments.next(), segments.next(), segments.next(), segments.next())
    else {
        return Err(error(PATH_FORM));
    };
    let class = classes.iter().position(|known| known.name == class);
    let class = class.ok_or_else(|| error("an unknown offering"))?;
    let object = parse_hex(object, OBJECT_DIGITS);
    let object = object.ok_or_else(|| error("an object that is not 16 hex digits"))? as u64;
    let number = part.parse::<u32>().ok().filter(|_| is_canonical_number(part));
    let part = number.ok_or_else(|| error("a part that is no number"))?;
    Ok(Target { class, object, part })
}

fn read_correlation_id(headers: &Headers, names: &HeaderNames) -> Result<u64, HeaderError> {
    let error = |problem| HeaderError::new(&names.correlation_id, problem);
    let correlation_id = headers.text(&names.correlation_id)?;
    let request_id = headers.text(&names.request_id)?;
    match (correlation_id, request_id) {
        (Some(text), _) => {
            let id = parse_hex(text, CORRELATION_ID_DIGITS).ok_or_else(|| error("not 16 hex digits"))?;
            Ok(id as u64)
        }
        (None, Some(text)) => Ok(xxh3_64(text.as_bytes())),
        (None, None) => Err(error("missing")),
    }
}

fn read_time_remaining(
    headers: &Headers,
    names: &HeaderNames,
    class: &RequestClass,
) -> Result<Span, HeaderError> {
    let millis = match headers.number(&names.time_remaining, [1, MAX_MS])? {
        Some(millis) => Some(millis),
        None => headers.number(&names.timeout, [1, MAX_MS])?,
    };
    let default = Span::micros(class.default_deadline.as_micros() as u64);
    Ok(millis.map_or(default, Span::millis))
}

/// Reads the idempotency key. A key is checked for every class, but only used for classes that require one.
fn read_idempotency_key(
    headers: &Headers,
    names: &HeaderNames,
    class: &RequestClass,
) -> Result<Option<u128>, HeaderError> {
    let error = |problem| HeaderError::new(&names.idempotency_key, problem);
    match headers.text(&names.idempotency_key)? {
        Some(text) => {
            let key = parse_hex(text, IDEMPOTENCY_KEY_DIGITS).ok_or_else(|| error("not 32 hex digits"))?;
            Ok(Some(key).filter(|_| class.requires_idempotency_key()))
        }
        None if class.requires_idempotency_key() => Err(error("missing")),
        None => Ok(None),
    }
}

fn read_client_retry(headers: &Headers, names: &HeaderNames) -> Result<bool, HeaderError> {
    match headers.text(&names.client_retry)? {
        None => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(HeaderError::new(&names.client_retry, "not 1")),
    }
}

/// Reads the result of an attempt from the headers of a response, which the endpoint or the proxy itself
/// created.
pub fn read_report(headers: &Headers) -> Result<Report, HeaderError> {
    let status = headers.number(":status", [100, 999])?;
    let is_shed = headers.text("x-shed")? == Some("1");
    let remark = headers.text("x-remark")?.unwrap_or_default();
    let used_after = headers.number("x-tindoor-used-ms", [0, MAX_MS])?.map(Span::millis);
    let version = headers.text("x-version")?.and_then(|version| parse_hex(version, VERSION_DIGITS));
    let attempt_status = match headers.text("x-tindoor-failed")? {
        Some(word) => proxy_failure(word)?,
        None => response_status(status, is_shed)?,
    };
    let detail = tindoor_http::outcome_detail(remark).unwrap_or(OutcomeDetail::Unknown);
    Ok(Report {
        outcome: Outcome::new(attempt_status, detail),
        stored_result: StoredResult {
            status: status.unwrap_or_default() as u16,
            version: version.unwrap_or_default() as u64,
        },
        used_after,
    })
}

/// Returns the attempt status for the word that a proxy reports if there was no response.
fn proxy_failure(word: &str) -> Result<AttemptStatus, HeaderError> {
    match word {
        "unreachable" => Ok(AttemptStatus::Unreachable),
        "timed-out" => Ok(AttemptStatus::TimedOut),
        "broken" => Ok(AttemptStatus::Incomplete),
        "unused" => Ok(AttemptStatus::Superseded),
        "given-up" => Ok(AttemptStatus::Cancelled),
        _ => Err(HeaderError::new("x-tindoor-failed", "an unknown word")),
    }
}

/// Returns the attempt status for the status of a response. A gateway error (502 to 504) that endpoints never
/// send may come from the proxy, because it did not reach the endpoint or the connection to the endpoint
/// broke. The attempt may have run without a response from the endpoint, so it is treated as incomplete.
fn response_status(status: Option<u64>, is_shed: bool) -> Result<AttemptStatus, HeaderError> {
    let status = status.ok_or_else(|| HeaderError::new(":status", "missing"))?;
    Ok(tindoor_http::attempt_status(status as u16, is_shed).unwrap_or(match status {
        502..=504 => AttemptStatus::Incomplete,
        _ => AttemptStatus::Error,
    }))
}

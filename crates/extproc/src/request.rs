//! What a proxy's headers ask for and report. Both codecs use it, the external processor's and the plain
//! call's.

use std::time::Duration;

use serde::Deserialize;
use tindoor::host::{AttemptStatus, Authorization, Outcome, OutcomeDetail};
use tindoor::time::Span;
use tindoor_external_requests::{ExternalRequest, Report, StoredResult};
use xxhash_rust::xxh3::xxh3_64;

/// What is known of an request class here.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: String,
    /// A repeat is told by its mark.
    pub requires_idempotency_key: bool,
    /// How long a client waits that says nothing of it.
    pub default_deadline: Duration,
}

/// Which headers say what, in lower case.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderNames {
    pub path: String,
    #[serde(alias = "ticket")]
    pub correlation_id: String,
    /// Hashed for the ticket where that is missing.
    pub request: String,
    pub patience: String,
    /// The patience where that is missing.
    pub timeout: String,
    #[serde(alias = "mark")]
    pub idempotency_key: String,
    pub group: String,
    pub client_retry: String,
    pub attempt: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = str::to_string;
        Self {
            path: name(":path"),
            correlation_id: name("x-ticket"),
            request: name("x-request-id"),
            patience: name("x-max-ms"),
            timeout: name("x-envoy-expected-rq-timeout-ms"),
            idempotency_key: name("x-nonce"),
            group: name("x-group"),
            client_retry: name("x-redo"),
            attempt: name("x-envoy-attempt-count"),
        }
    }
}

/// A header that is missing, twice or can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{header}: {problem}")]
pub struct HeaderError {
    pub header: String,
    pub problem: &'static str,
}

/// The headers of a request or an answer, by lower-case names.
pub struct Headers<'a>(pub Vec<(&'a str, &'a [u8])>);

impl<'a> Headers<'a> {
    /// The text of a header that is given once, of any length.
    pub fn one(&self, name: &str) -> Option<&'a str> {
        let mut values = self.0.iter().filter(|header| header.0 == name).map(|header| header.1);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(value).ok()
    }

    /// The value of a header: graphic text of bounded length, given once.
    fn text(&self, name: &str) -> Result<Option<&'a str>, HeaderError> {
        let fault = |problem| HeaderError { header: name.to_string(), problem };
        let mut values = self.0.iter().filter(|header| header.0 == name).map(|header| header.1);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(fault("given twice"));
        }
        let graphic = !value.is_empty() && value.len() <= 256 && value.iter().all(u8::is_ascii_graphic);
        std::str::from_utf8(value).ok().filter(|_| graphic).map(Some).ok_or_else(|| fault("no plain text"))
    }

    /// A whole number: digits alone, and none before them that mean nothing.
    fn number(&self, name: &str, [least, most]: [u64; 2]) -> Result<Option<u64>, HeaderError> {
        let Some(text) = self.text(name)? else { return Ok(None) };
        let plain = text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
        let number = text.parse::<u64>().ok().filter(|number| plain && (least..=most).contains(number));
        number
            .map(Some)
            .ok_or_else(|| HeaderError { header: name.to_string(), problem: "no whole number within bounds" })
    }
}

/// A strict hexadecimal number of so many digits.
fn hex(text: &str, digits: usize) -> Option<u128> {
    let whole = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| whole)
}

/// Reads what is asked; names the header at fault.
pub fn read_request(
    headers: &Headers,
    names: &HeaderNames,
    classes: &[RequestClass],
) -> Result<ExternalRequest, HeaderError> {
    let fault = |header: &str, problem| HeaderError { header: header.to_string(), problem };
    let path = headers.text(&names.path)?.ok_or_else(|| fault(&names.path, "missing"))?;
    let bad_path = |what| fault(&names.path, what);
    let rest =
        path.strip_prefix("/v1/store/").ok_or_else(|| bad_path("not /v1/store/OFFERING/OBJECT/PART"))?;
    let mut parts = rest.split('/');
    let (Some(route), Some(object), Some(part), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(bad_path("not /v1/store/OFFERING/OBJECT/PART"));
    };
    let class = classes.iter().position(|known| known.name == route);
    let class = class.ok_or_else(|| bad_path("an unknown offering"))?;
    let object = hex(object, 16).ok_or_else(|| bad_path("an object that is not 16 hex digits"))?;
    let plain = !part.is_empty()
        && part.bytes().all(|byte| byte.is_ascii_digit())
        && (part == "0" || !part.starts_with('0'));
    let part =
        part.parse::<u32>().ok().filter(|_| plain).ok_or_else(|| bad_path("a part that is no number"))?;
    let correlation_id = match (headers.text(&names.correlation_id)?, headers.text(&names.request)?) {
        (Some(correlation_id), _) => {
            hex(correlation_id, 16).ok_or_else(|| fault(&names.correlation_id, "not 16 hex digits"))? as u64
        }
        (None, Some(request)) => xxh3_64(request.as_bytes()),
        (None, None) => return Err(fault(&names.correlation_id, "missing")),
    };
    let patience = match headers.number(&names.patience, [1, u64::from(u32::MAX)])? {
        Some(patience) => Some(patience),
        None => headers.number(&names.timeout, [1, u64::from(u32::MAX)])?,
    };
    let known = &classes[class];
    let left = patience.map_or(Span::micros(known.default_deadline.as_micros() as u64), Span::millis);
    let idempotency_key = match headers.text(&names.idempotency_key)? {
        Some(idempotency_key) => {
            Some(hex(idempotency_key, 32).ok_or_else(|| fault(&names.idempotency_key, "not 32 hex digits"))?)
        }
        None if known.requires_idempotency_key => return Err(fault(&names.idempotency_key, "missing")),
        None => None,
    };
    let client_retry = match headers.text(&names.client_retry)? {
        None => false,
        Some("1") => true,
        Some(_) => return Err(fault(&names.client_retry, "not 1")),
    };
    Ok(ExternalRequest {
        correlation_id,
        attempt: headers.number(&names.attempt, [1, 1 << 16])?.unwrap_or(1) as u32,
        class: class as u16,
        object: object as u64,
        part,
        group: headers.number(&names.group, [0, 255])?.unwrap_or(0) as u32,
        idempotency_key: idempotency_key.filter(|_| known.requires_idempotency_key),
        client_retry,
        time_remaining: left,
        authorization: Authorization::Granted,
    })
}

/// Reads what the headers of a cache's answer, or of a proxy's own, say of the attempt.
pub fn read_report(headers: &Headers) -> Result<Report, HeaderError> {
    let status = headers.number(":status", [100, 999])?;
    let shed = headers.text("x-shed")? == Some("1");
    let remark = headers.text("x-remark")?.unwrap_or_default();
    let used = headers.number("x-tindoor-used-ms", [0, u64::from(u32::MAX)])?;
    let version = headers.text("x-version")?.and_then(|version| hex(version, 16)).unwrap_or_default() as u64;
    // What the proxy says itself, where no answer came.
    let verdict = match headers.text("x-tindoor-failed")? {
        Some("unreachable") => AttemptStatus::Unreachable,
        Some("timed-out") => AttemptStatus::TimedOut,
        Some("broken") => AttemptStatus::Incomplete,
        Some("unused") => AttemptStatus::Superseded,
        Some("given-up") => AttemptStatus::Cancelled,
        Some(_) => return Err(HeaderError { header: "x-tindoor-failed".into(), problem: "an unknown word" }),
        None => {
            let status = status.ok_or(HeaderError { header: ":status".into(), problem: "missing" })?;
            // An answer that no page names may be the proxy's own, of a cache that it did not reach or that
            // broke off: it may have run, and is not the cache's word.
            tindoor_http::attempt_status(status as u16, shed).unwrap_or(match status {
                502..=504 => AttemptStatus::Incomplete,
                _ => AttemptStatus::Error,
            })
        }
    };
    let detail = tindoor_http::outcome_detail(remark).unwrap_or(OutcomeDetail::Unknown);
    Ok(Report {
        outcome: Outcome::new(verdict, detail),
        stored_result: StoredResult { status: status.unwrap_or_default() as u16, version },
        used_after: used.map(Span::millis),
    })
}

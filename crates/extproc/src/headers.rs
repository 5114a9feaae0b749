//! Strict parsing of the headers of a request or a response.

use serde::Deserialize;

/// The maximum size of a value that is read with [`Headers::text`], in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// The names of the headers to read, in lower case.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderNames {
    /// The path of the request.
    pub path: String,
    /// The correlation id, 16 hex digits.
    #[serde(rename = "ticket", alias = "correlation_id")]
    pub correlation_id: String,
    /// The proxy's request id. If the correlation id is missing, a hash of the request id is used in its
    /// place.
    #[serde(rename = "request")]
    pub request_id: String,
    /// How long the client still waits, in milliseconds.
    #[serde(rename = "patience")]
    pub time_remaining: String,
    /// The proxy's timeout, in milliseconds. It is used if `time_remaining` is missing.
    pub timeout: String,
    /// The idempotency key, 32 hex digits.
    #[serde(rename = "mark", alias = "idempotency_key")]
    pub idempotency_key: String,
    /// The purge group of the object.
    pub group: String,
    /// Whether the client marks the request as a retry.
    #[serde(rename = "repeat", alias = "client_retry")]
    pub client_retry: String,
    /// The number of the attempt, which the proxy counts from 1.
    pub attempt: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = str::to_string;
        Self {
            path: name(":path"),
            correlation_id: name("x-ticket"),
            request_id: name("x-request-id"),
            time_remaining: name("x-max-ms"),
            timeout: name("x-envoy-expected-rq-timeout-ms"),
            idempotency_key: name("x-nonce"),
            group: name("x-group"),
            client_retry: name("x-redo"),
            attempt: name("x-envoy-attempt-count"),
        }
    }
}

/// The error for a header that is missing, duplicate or invalid. The proxy receives its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{header}: {problem}")]
pub struct HeaderError {
    /// The name of the header at fault.
    pub header: String,
    /// What is wrong with the header.
    pub problem: &'static str,
}

impl HeaderError {
    pub(crate) fn new(header: &str, problem: &'static str) -> Self {
        Self { header: header.to_string(), problem }
    }
}

/// The headers of a request or a response, as pairs of a lower-case name and a value.
pub struct Headers<'a>(pub Vec<(&'a str, &'a [u8])>);

impl<'a> Headers<'a> {
    /// Returns the value of a header as text of any length. `None` if the header is missing, occurs more than
    /// once or is not UTF-8.
    pub fn one(&self, name: &str) -> Option<&'a str> {
        let mut values = self.values(name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(value).ok()
    }

    /// Returns the value of a header. `None` if the header is missing. It is an error if the header occurs
    /// more than once, or if the value is not 1 to `MAX_VALUE_BYTES` printable ASCII characters without
    /// spaces.
    pub(crate) fn text(&self, name: &str) -> Result<Option<&'a str>, HeaderError> {
        let mut values = self.values(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(HeaderError::new(name, "given twice"));
        }
        let is_graphic = value.iter().all(u8::is_ascii_graphic);
        let is_plain = !value.is_empty() && value.len() <= MAX_VALUE_BYTES && is_graphic;
        let text = std::str::from_utf8(value).ok().filter(|_| is_plain);
        text.map(Some).ok_or_else(|| HeaderError::new(name, "no plain text"))
    }

    /// Returns the value of a header as a whole number. `None` if the header is missing. It is an error if
    /// the number is not in canonical form, or not from `min` to `max`.
    pub(crate) fn number(&self, name: &str, [min, max]: [u64; 2]) -> Result<Option<u64>, HeaderError> {
        let Some(text) = self.text(name)? else { return Ok(None) };
        let number = text.parse::<u64>().ok();
        let number = number.filter(|number| is_canonical_number(text) && (min..=max).contains(number));
        number.map(Some).ok_or_else(|| HeaderError::new(name, "no whole number within bounds"))
    }

    fn values(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |header| header.0 == name).map(|header| header.1)
    }
}

/// Returns whether a text consists only of digits, without leading zeros. Parsers also accept other forms.
pub(crate) fn is_canonical_number(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'))
}

/// Parses a hexadecimal number with exactly `digits` digits.
pub(crate) fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_hex = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| is_hex)
}

//! Encodes requests to endpoints.

use std::fmt::Write;

/// A request to an endpoint. Texts are written without escaping, so the caller must have checked that they
/// are printable.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRequest<'a> {
    /// The name of the request class.
    pub class: &'a str,
    /// The object's id, as 16 hexadecimal digits.
    pub object: &'a str,
    /// The index of the object's part, as decimal digits.
    pub part: &'a str,
    /// `X-Ticket`: the correlation id that the client has chosen for the request.
    pub correlation_id: &'a str,
    /// `X-Max-Ms`: the time after which the router stops waiting, in milliseconds.
    pub timeout_ms: u64,
    /// `X-Nonce`: the idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// `X-Source`: the endpoint to fill from on a miss.
    pub fill_source: Option<&'a str>,
    /// `X-Tier`: the rank that determines how long a filled copy is retained. 0 is not sent.
    pub retention_rank: u8,
    /// `X-Accept-Age`: the maximum age of an acceptable copy, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// `X-Mode: j`: the request may join a fill that is in progress.
    pub join_fill: bool,
    /// `X-Mode: h`: the endpoint serves the request only from its cache.
    pub only_if_cached: bool,
    /// `X-Mode: r`: the endpoint refreshes its copy.
    pub refresh: bool,
    /// `X-Client-Tag`: the version of the copy that the client already has.
    pub client_tag: Option<&'a str>,
    /// The length of the body that follows the head, in bytes.
    pub body_length: usize,
}

impl EndpointRequest<'_> {
    /// Encodes the head of the request. The method is GET even for a request with a body, as endpoints
    /// support no other.
    pub fn encode_head(&self) -> String {
        let mut out = String::with_capacity(320);
        let Self { class, object, part, correlation_id, timeout_ms, .. } = self;
        let _ = write!(
            out,
            "GET /v1/store/{class}/{object}/{part} HTTP/1.1\r\nHost: cache\r\n\
             X-Ticket: {correlation_id}\r\nX-Max-Ms: {timeout_ms}\r\n"
        );
        let optional_headers = [
            ("X-Nonce", self.idempotency_key),
            ("X-Source", self.fill_source),
            ("X-Client-Tag", self.client_tag),
        ];
        for (name, value) in optional_headers {
            if let Some(value) = value {
                let _ = write!(out, "{name}: {value}\r\n");
            }
        }
        if self.retention_rank > 0 {
            let _ = write!(out, "X-Tier: {}\r\n", self.retention_rank);
        }
        if let Some(max_age_ms) = self.max_age_ms {
            let _ = write!(out, "X-Accept-Age: {max_age_ms}\r\n");
        }
        let modes = self.modes();
        if !modes.is_empty() {
            let _ = write!(out, "X-Mode: {}\r\n", modes.join("+"));
        }
        if self.body_length > 0 {
            let _ = write!(out, "Content-Length: {}\r\n", self.body_length);
        }
        out.push_str("\r\n");
        out
    }

    /// Returns the letters for `X-Mode`.
    fn modes(&self) -> Vec<&'static str> {
        let modes = [(self.join_fill, "j"), (self.only_if_cached, "h"), (self.refresh, "r")];
        modes.into_iter().filter(|(is_set, _)| *is_set).map(|(_, letter)| letter).collect()
    }
}

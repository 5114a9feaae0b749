//! Requests to endpoints.

use std::fmt::Write;

/// A request to an endpoint. Texts are written as they are; the caller has checked that they are printable.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRequest<'a> {
    /// The request class, by its name.
    pub class: &'a str,
    /// The object, as 16 hexadecimal digits.
    pub object: &'a str,
    /// The part of the object, as decimal digits.
    pub part: &'a str,
    /// `X-Ticket`: the client's id of the request.
    pub correlation_id: &'a str,
    /// `X-Max-Ms`: the time until the router stops waiting, in milliseconds.
    pub timeout_ms: u64,
    /// `X-Nonce`: the idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// `X-Source`: the endpoint to fill from on a miss.
    pub fill_source: Option<&'a str>,
    /// `X-Tier`: how long a fill is to be retained; 0 is not sent.
    pub retention_rank: u8,
    /// `X-Accept-Age`: the age of the oldest copy that will do, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// `X-Mode: j`: a fill under way may be joined.
    pub join_fill: bool,
    /// `X-Mode: h`: a cache-only read.
    pub only_if_cached: bool,
    /// `X-Mode: r`: the copy is to be refreshed.
    pub refresh: bool,
    /// `X-Client-Tag`: the version of the client's own copy.
    pub client_tag: Option<&'a str>,
    /// The length of the body that follows the head, in bytes.
    pub body_length: usize,
}

impl EndpointRequest<'_> {
    /// The head of the request. The method is GET even with a body: endpoints know no other.
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

    fn modes(&self) -> Vec<&'static str> {
        let modes = [(self.join_fill, "j"), (self.only_if_cached, "h"), (self.refresh, "r")];
        modes.into_iter().filter(|(is_set, _)| *is_set).map(|(_, letter)| letter).collect()
    }
}

//! The head of a request over plain HTTP/1.1.

use std::io;

use tindoor_extproc::request::Headers;

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The path and headers of a request.
pub struct RequestHead {
    pub path: String,
    headers: Vec<(String, Vec<u8>)>,
    /// Whether the proxy asks to close the connection after the response.
    pub closes_connection: bool,
}

impl RequestHead {
    /// Returns the headers, with the path under the name `:path`.
    pub fn headers(&self) -> Headers<'_> {
        let path = (":path", self.path.as_bytes());
        let headers = self.headers.iter().map(|header| (header.0.as_str(), header.1.as_slice()));
        Headers(std::iter::once(path).chain(headers).collect())
    }

    /// Returns the headers of a report, with `x-status`, the endpoint's status, under the name `:status`.
    pub fn report_headers(&self) -> Headers<'_> {
        let mut headers = self.headers();
        for header in headers.0.iter_mut().filter(|header| header.0 == "x-status") {
            header.0 = ":status";
        }
        headers
    }

    /// Returns a header's value as a number. `None` if the header is missing, repeated or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut values = self.headers.iter().filter(|header| header.0 == name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(&value.1).ok()?.parse().ok()
    }
}

/// Parses the head of a request, and returns it with its size in bytes. `None` if the head is incomplete.
pub fn parse_head(received: &[u8]) -> io::Result<Option<(RequestHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(received) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("the request can't be read")),
    };
    let headers = request.headers.iter();
    let headers: Vec<_> =
        headers.map(|header| (header.name.to_ascii_lowercase(), header.value.to_vec())).collect();
    let named = |name: &str| headers.iter().find(|header| header.0 == name).map(|header| &header.1[..]);
    let has_body = named("content-length").is_some_and(|length| length != b"0");
    if has_body || named("transfer-encoding").is_some() {
        return Err(invalid("a call has no body"));
    }
    let closes_connection = named("connection").is_some_and(|words| words.eq_ignore_ascii_case(b"close"));
    let path = request.path.unwrap_or_default().to_string();
    Ok(Some((RequestHead { path, headers, closes_connection }, size)))
}

/// Returns an error of a request that can't be read.
pub fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

//! Requests to caches and the heads of their answers: HTTP/1.1, one request at a time on a connection.
//! Nothing here does I/O.

mod outcome;

use std::fmt::Write;

pub use outcome::{attempt_status, outcome_detail};

/// A request to a cache. The texts go on as they came; the caller has seen to it that they are plain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    pub class: &'a str,
    pub object: &'a str,
    pub part: &'a str,
    pub correlation_id: &'a str,
    pub wait_ms: u64,
    pub nonce: Option<&'a str>,
    pub source: Option<&'a str>,
    pub retention_rank: u8,
    pub max_age_ms: Option<u64>,
    pub join_fill: bool,
    pub only_if_cached: bool,
    pub refresh: bool,
    pub client_tag: Option<&'a str>,
    pub body: usize,
}

impl Ask<'_> {
    /// The head of the request; the body, if there is one, follows it as it came. It is a GET even then, as
    /// the protocol knows no other method: a POST is answered 400, and every write is lost.
    pub fn head(&self) -> String {
        let mut out = String::with_capacity(320);
        let Self { class, object, part, correlation_id, wait_ms, .. } = self;
        let _ = write!(
            out,
            "GET /v1/store/{class}/{object}/{part} HTTP/1.1\r\nHost: cache\r\n\
             X-Ticket: {correlation_id}\r\nX-Max-Ms: {wait_ms}\r\n"
        );
        let texts = [("X-Nonce", self.nonce), ("X-Source", self.source), ("X-Client-Tag", self.client_tag)];
        for (name, value) in texts.into_iter().filter_map(|(name, value)| Some((name, value?))) {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        if self.retention_rank > 0 {
            let _ = write!(out, "X-Tier: {}\r\n", self.retention_rank);
        }
        if let Some(max_age) = self.max_age_ms {
            let _ = write!(out, "X-Accept-Age: {max_age}\r\n");
        }
        let words = [(self.join_fill, "j"), (self.only_if_cached, "h"), (self.refresh, "r")];
        let words: Vec<&str> = words.iter().filter(|word| word.0).map(|word| word.1).collect();
        if !words.is_empty() {
            let _ = write!(out, "X-Mode: {}\r\n", words.join("+"));
        }
        if self.body > 0 {
            let _ = write!(out, "Content-Length: {}\r\n", self.body);
        }
        out.push_str("\r\n");
        out
    }
}

/// What an answer says before its body.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// How many bytes it takes itself.
    pub size: usize,
    pub status: u16,
    /// How many bytes of body follow.
    pub length: usize,
    /// `X-Shed: 1`: it never ran.
    pub shed: bool,
    /// `X-Remark`, as it stands.
    pub remark: Option<String>,
    /// The connection ends with this answer.
    pub closes: bool,
}

impl Head {
    /// One of those that may come before the answer itself, any number of them.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("the head is over the limit")]
    LongHead,
    #[error("the status line can't be read")]
    Status,
    #[error("a header can't be read")]
    Header,
    #[error("no length of the body is given, or one that can't be used")]
    Length,
    #[error("the body is over the limit")]
    LongBody,
}

/// Reads the head of an answer at the start of `read`; none while it is not all there.
pub fn head(read: &[u8], longest_head: usize, longest_body: usize) -> Result<Option<Head>, Fault> {
    let Some(end) = read.windows(4).position(|window| window == b"\r\n\r\n") else {
        return if read.len() > longest_head { Err(Fault::LongHead) } else { Ok(None) };
    };
    if end + 4 > longest_head {
        return Err(Fault::LongHead);
    }
    let text = std::str::from_utf8(&read[..end]).map_err(|_| Fault::Header)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 ")).ok_or(Fault::Status)?;
    let digits = status.get(..3).filter(|d| d.bytes().all(|b| b.is_ascii_digit())).ok_or(Fault::Status)?;
    if !matches!(status.as_bytes().get(3), None | Some(b' ')) {
        return Err(Fault::Status);
    }
    let status: u16 = digits.parse().map_err(|_| Fault::Status)?;
    let mut head = Head { size: end + 4, status, length: 0, shed: false, remark: None, closes: false };
    let mut length: Option<usize> = None;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Fault::Header)?;
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty() || name.contains([' ', '\t', '\r', '\n']) || value.contains(['\r', '\n']) {
            return Err(Fault::Header);
        }
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("Content-Length") {
            let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let given = value.parse().ok().filter(|_| plain).ok_or(Fault::Length)?;
            if length.is_some_and(|length| length != given) {
                return Err(Fault::Length);
            }
            length = Some(given);
        } else if is("Transfer-Encoding") {
            return Err(Fault::Length);
        } else if is("X-Shed") {
            head.shed = value == "1";
        } else if is("X-Remark") {
            head.remark = Some(value.to_string());
        } else if is("Connection") {
            head.closes = value.eq_ignore_ascii_case("close");
        }
    }
    // These never have a body, whatever the length says.
    if !head.is_interim() && !matches!(status, 204 | 304) {
        head.length = length.ok_or(Fault::Length)?;
    }
    if head.length > longest_body { Err(Fault::LongBody) } else { Ok(Some(head)) }
}

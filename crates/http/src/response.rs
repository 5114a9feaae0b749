//! Parses the heads of responses from endpoints.

/// The bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The parsed head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The length of the head, in bytes.
    pub head_length: usize,
    /// The status code.
    pub status: u16,
    /// The length of the body that follows, in bytes.
    pub body_length: usize,
    /// `X-Shed: 1`: the endpoint has rejected the request without running it.
    pub rejected: bool,
    /// The unparsed value of `X-Remark`. `None` if the header is missing.
    pub remark: Option<String>,
    /// `Connection: close`: the endpoint closes the connection after this response.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Returns whether this is an informational response (1xx). Any number of them may precede the final
    /// response.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns whether a response with this status has no body, regardless of its `Content-Length`.
    fn is_bodiless(&self) -> bool {
        self.is_interim() || matches!(self.status, 204 | 304)
    }
}

/// The reason why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The head is longer than allowed.
    #[error("response head over the size limit")]
    HeadTooLong,
    /// The status line is malformed.
    #[error("malformed status line")]
    InvalidStatusLine,
    /// A header line is malformed.
    #[error("malformed header")]
    InvalidHeader,
    /// The body's length is missing, malformed or ambiguous, or `Transfer-Encoding` is set, which is not
    /// supported.
    #[error("Content-Length is missing, malformed or ambiguous, or Transfer-Encoding is set")]
    InvalidLength,
    /// The body is longer than allowed.
    #[error("response body over the size limit")]
    BodyTooLong,
}

/// Parses the head at the start of `buffer`. `None` if the head is still incomplete. The limits are in bytes.
///
/// # Errors
///
/// The head is malformed, or the head or the body exceeds its limit.
pub fn parse_response_head(
    buffer: &[u8],
    max_head_length: usize,
    max_body_length: usize,
) -> Result<Option<ResponseHead>, ParseError> {
    let Some(end) = buffer.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        return if buffer.len() > max_head_length { Err(ParseError::HeadTooLong) } else { Ok(None) };
    };
    let head_length = end + HEAD_END.len();
    if head_length > max_head_length {
        return Err(ParseError::HeadTooLong);
    }
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| ParseError::InvalidHeader)?;
    let mut lines = text.split("\r\n");
    let status = parse_status_line(lines.next().unwrap_or_default())?;
    let mut head = ResponseHead {
        head_length,
        status,
        body_length: 0,
        rejected: false,
        remark: None,
        closes_connection: false,
    };
    let mut content_length = None;
    for line in lines {
        apply_header(line, &mut head, &mut content_length)?;
    }
    if !head.is_bodiless() {
        head.body_length = content_length.ok_or(ParseError::InvalidLength)?;
    }
    if head.body_length > max_body_length { Err(ParseError::BodyTooLong) } else { Ok(Some(head)) }
}

fn parse_status_line(line: &str) -> Result<u16, ParseError> {
    let invalid = ParseError::InvalidStatusLine;
    let status = line.strip_prefix("HTTP/1.1 ").ok_or(invalid)?;
    let digits = status.get(..3).ok_or(invalid)?;
    let has_end = matches!(status.as_bytes().get(3), None | Some(b' '));
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) || !has_end {
        return Err(invalid);
    }
    digits.parse().map_err(|_| invalid)
}

/// Parses one header line and applies it to `head` or `content_length`.
fn apply_header(
    line: &str,
    head: &mut ResponseHead,
    content_length: &mut Option<usize>,
) -> Result<(), ParseError> {
    let (name, value) = line.split_once(':').ok_or(ParseError::InvalidHeader)?;
    let value = value.trim_matches([' ', '\t']);
    if name.is_empty() || name.contains([' ', '\t', '\r', '\n']) || value.contains(['\r', '\n']) {
        return Err(ParseError::InvalidHeader);
    }
    let name_is = |other: &str| name.eq_ignore_ascii_case(other);
    if name_is("Content-Length") {
        let length = parse_content_length(value)?;
        // With two different lengths, the end of the body is unknown.
        if content_length.is_some_and(|known| known != length) {
            return Err(ParseError::InvalidLength);
        }
        *content_length = Some(length);
    } else if name_is("Transfer-Encoding") {
        return Err(ParseError::InvalidLength);
    } else if name_is("X-Shed") {
        head.rejected = value == "1";
    } else if name_is("X-Remark") {
        head.remark = Some(value.to_string());
    } else if name_is("Connection") {
        head.closes_connection = value.eq_ignore_ascii_case("close");
    }
    Ok(())
}

fn parse_content_length(value: &str) -> Result<usize, ParseError> {
    let is_plain = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    value.parse().ok().filter(|_| is_plain).ok_or(ParseError::InvalidLength)
}

//! The heads of endpoints' responses.

/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a response says before its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The length of the head itself, in bytes.
    pub head_length: usize,
    /// The status code.
    pub status: u16,
    /// The length of the body that follows, in bytes.
    pub body_length: usize,
    /// `X-Shed: 1`: the endpoint rejected the request, which never ran.
    pub rejected: bool,
    /// `X-Remark`, as it stands.
    pub remark: Option<String>,
    /// The endpoint closes the connection behind this response.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Whether this is an informational response (1xx), which any number of may precede the final one.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Whether the status forbids a body, whatever the length says.
    fn is_bodiless(&self) -> bool {
        self.is_interim() || matches!(self.status, 204 | 304)
    }
}

/// Why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The head is longer than allowed.
    #[error("the head is over the limit")]
    HeadTooLong,
    /// The status line is malformed.
    #[error("the status line can't be read")]
    InvalidStatusLine,
    /// A header line is malformed.
    #[error("a header can't be read")]
    InvalidHeader,
    /// The body's length is missing, malformed or ambiguous.
    #[error("no length of the body is given, or one that can't be used")]
    InvalidLength,
    /// The body is longer than allowed.
    #[error("the body is over the limit")]
    BodyTooLong,
}

/// Parses the head at the start of `buffer`; `None` while it is incomplete. The limits are in bytes.
///
/// # Errors
///
/// The head is malformed, or it or its body is over the limit.
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

/// Applies one header line.
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
        // Two different lengths leave the end of the body open.
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

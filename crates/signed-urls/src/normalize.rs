//! Normalizes the path and query of a request (RFC 3986, section 6.2), so that the verified URL is the one
//! that is served. Request targets without a safe normal form are rejected.

use std::fmt::Write;

use percent_encoding::percent_decode_str;

/// The maximum size of a path with its query, in bytes.
pub const MAX_BYTES: usize = 8 << 10;
/// The maximum number of keys in a query.
pub const MAX_QUERY_KEYS: usize = 64;

/// The reason why a request target has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NormalizeError {
    /// The target is too long or has too many query keys.
    #[error("the URL is over {MAX_BYTES} bytes or {MAX_QUERY_KEYS} query keys")]
    TooLong,
    /// The path does not begin with a slash.
    #[error("the path does not begin with a slash")]
    NotAbsolute,
    /// A percent sign is not followed by two hex digits.
    #[error("a percent sign is not followed by two hex digits")]
    BadPercentEncoding,
    /// The target contains a character, plain or encoded, that other servers may interpret differently.
    #[error(
        "the URL contains an encoded slash, a control character, invalid UTF-8 or another unsafe character"
    )]
    UnsafeCharacter,
    /// Dot segments lead above the root.
    #[error("dot segments lead above the root of the path")]
    EscapesRoot,
    /// The target has a fragment.
    #[error("the URL has a fragment, which clients never send")]
    Fragment,
    /// A query key occurs twice.
    #[error("a query key occurs twice")]
    DuplicateKey,
}

/// A normalized path and query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The path. It begins with a slash and has no dot segments; only its last segment may be empty.
    pub path: String,
    /// The percent-encoded keys and values of the query, in their original order. Each key occurs once.
    pub query: Vec<(String, String)>,
}

impl Target {
    /// Removes a query key and returns its decoded value. `None` if the key does not occur. Tokens are
    /// removed this way before the request is forwarded.
    pub fn remove_query_value(&mut self, key: &str) -> Option<String> {
        let at = self.query.iter().position(|pair| pair.0 == key)?;
        let value = self.query.remove(at).1;
        Some(percent_decode_str(&value).decode_utf8_lossy().into_owned())
    }

    /// Returns the path and query in the form in which the request is forwarded.
    pub fn to_text(&self) -> String {
        let mut out = self.path.clone();
        for (index, (key, value)) in self.query.iter().enumerate() {
            out.push(if index == 0 { '?' } else { '&' });
            out.push_str(key);
            if !value.is_empty() {
                out.push('=');
                out.push_str(value);
            }
        }
        out
    }
}

/// Normalizes a path segment, query key or query value. Unreserved characters are decoded. All other encoded
/// characters stay encoded, with upper-case hex digits, as decoding them would change the meaning of the URL.
fn normalize_component(text: &str, in_path: bool) -> Result<String, NormalizeError> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, remaining)) = rest.split_first() {
        rest = remaining;
        if *byte != b'%' {
            // Some servers treat a backslash as a slash.
            if !byte.is_ascii_graphic() || b"\"<>\\^`{|}".contains(byte) {
                return Err(NormalizeError::UnsafeCharacter);
            }
            out.push(char::from(*byte));
            continue;
        }
        let digits = rest.get(..2).filter(|digits| digits.iter().all(u8::is_ascii_hexdigit));
        let digits = std::str::from_utf8(digits.ok_or(NormalizeError::BadPercentEncoding)?)
            .map_err(|_| NormalizeError::BadPercentEncoding)?;
        let byte = u8::from_str_radix(digits, 16).map_err(|_| NormalizeError::BadPercentEncoding)?;
        rest = &rest[2..];
        match byte {
            b'-' | b'.' | b'_' | b'~' => out.push(char::from(byte)),
            byte if byte.is_ascii_alphanumeric() => out.push(char::from(byte)),
            b'/' | b'\\' if in_path => return Err(NormalizeError::UnsafeCharacter),
            byte if byte.is_ascii_control() => return Err(NormalizeError::UnsafeCharacter),
            byte => drop(write!(out, "%{byte:02X}")),
        }
    }
    // Lenient decoders may decode an overlong UTF-8 sequence as a slash.
    if percent_decode_str(&out).decode_utf8().is_err() {
        return Err(NormalizeError::UnsafeCharacter);
    }
    Ok(out)
}

/// Normalizes a request target.
pub fn normalize(text: &str) -> Result<Target, NormalizeError> {
    if text.len() > MAX_BYTES {
        return Err(NormalizeError::TooLong);
    }
    if text.contains('#') {
        return Err(NormalizeError::Fragment);
    }
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    let rest = path.strip_prefix('/').ok_or(NormalizeError::NotAbsolute)?;
    let mut parts: Vec<String> = Vec::new();
    let mut ends_with_slash = true;
    for text in rest.split('/') {
        let part = normalize_component(text, true)?;
        ends_with_slash = matches!(part.as_str(), "" | "." | "..");
        match part.as_str() {
            "" | "." => {}
            ".." => drop(parts.pop().ok_or(NormalizeError::EscapesRoot)?),
            _ => parts.push(part),
        }
    }
    let mut path = format!("/{}", parts.join("/"));
    if ends_with_slash && path.len() > 1 {
        path.push('/');
    }
    Ok(Target { path, query: normalize_query(query)? })
}

fn normalize_query(query: &str) -> Result<Vec<(String, String)>, NormalizeError> {
    let mut pairs: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (key, value) = (normalize_component(key, false)?, normalize_component(value, false)?);
        if key.is_empty() && value.is_empty() {
            continue;
        }
        if pairs.iter().any(|known| known.0 == key) {
            return Err(NormalizeError::DuplicateKey);
        }
        if pairs.len() == MAX_QUERY_KEYS {
            return Err(NormalizeError::TooLong);
        }
        pairs.push((key, value));
    }
    Ok(pairs)
}

//! Normalizes a request's path and query (RFC 3986, section 6.2), so that what is verified is what is served.
//! A target without a safe normal form is rejected.

use std::fmt::Write;

use percent_encoding::percent_decode_str;

/// Size of a path with its query, in bytes, at most.
pub const MAX_BYTES: usize = 8 << 10;
/// Keys in a query, at most.
pub const MAX_QUERY_KEYS: usize = 64;

/// Why a request target has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NormalizeError {
    /// The target, or its number of query keys, is over the limit.
    #[error("over the limit")]
    TooLong,
    /// The path does not begin with a slash.
    #[error("not an absolute path")]
    NotAbsolute,
    /// A percent sign is not followed by two hex digits.
    #[error("a percent sign that encodes nothing")]
    BadPercentEncoding,
    /// A character, plain or encoded, that others may read differently.
    #[error("an encoded slash, control character or byte that is no text")]
    UnsafeCharacter,
    /// Dot segments lead above the root.
    #[error("a path that climbs over its root")]
    EscapesRoot,
    /// The target has a fragment.
    #[error("a fragment, which no client sends")]
    Fragment,
    /// A query key occurs twice.
    #[error("a key of the query is given twice")]
    DuplicateKey,
}

/// A normalized path and query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Begins with a slash; has no dot segments, and no empty segment but the last.
    pub path: String,
    /// Keys and values, still percent-encoded, in their order; each key once.
    pub query: Vec<(String, String)>,
}

impl Target {
    /// Removes a key and returns its decoded value, as a token is removed before its request is forwarded.
    pub fn remove_query_value(&mut self, key: &str) -> Option<String> {
        let at = self.query.iter().position(|pair| pair.0 == key)?;
        let value = self.query.remove(at).1;
        Some(percent_decode_str(&value).decode_utf8_lossy().into_owned())
    }

    /// Path and query in the form in which the request is forwarded.
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

/// Normalizes a path segment, query key or query value: unreserved characters are decoded, every other
/// encoded one stays encoded, in upper case. Decoding more would change the URL's meaning.
fn normalize_component(text: &str, in_path: bool) -> Result<String, NormalizeError> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, behind)) = rest.split_first() {
        rest = behind;
        if *byte != b'%' {
            // Some servers take a backslash for a slash.
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
    // Lenient decoders may read overlong UTF-8 as a slash.
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

//! The normal form of a request's path and query (RFC 3986, section 6.2): what is checked is what is served.
//! What has no safe normal form is refused.

use std::fmt::Write;

use percent_encoding::percent_decode_str;

/// The longest path with its query, in bytes.
pub const LONGEST: usize = 8 << 10;
/// The most keys in a query.
pub const MOST_KEYS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("over the limit")]
    Long,
    #[error("not an absolute path")]
    Relative,
    #[error("a percent sign that encodes nothing")]
    Percent,
    #[error("an encoded slash, control character or byte that is no text")]
    Hidden,
    #[error("a path that climbs over its root")]
    Climbs,
    #[error("a fragment, which no client sends")]
    Fragment,
    #[error("a key of the query is given twice")]
    Twice,
}

/// A path and its query in their normal form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Begins with a slash; has no dot segments and no empty ones but the last.
    pub path: String,
    /// Keys and values in their normal form, still encoded, in the order given; no key twice.
    pub query: Vec<(String, String)>,
}

impl Target {
    /// Takes a key out, as a token is before its request goes on: its value, decoded.
    pub fn take(&mut self, key: &str) -> Option<String> {
        let at = self.query.iter().position(|pair| pair.0 == key)?;
        let value = self.query.remove(at).1;
        Some(percent_decode_str(&value).decode_utf8_lossy().into_owned())
    }

    /// Path and query as they go on: keys in their order, encoded in one way.
    pub fn text(&self) -> String {
        let mut out = self.path.clone();
        for (nth, (key, value)) in self.query.iter().enumerate() {
            out.push(if nth == 0 { '?' } else { '&' });
            out.push_str(key);
            if !value.is_empty() {
                out.push('=');
                out.push_str(value);
            }
        }
        out
    }
}

/// One part of a path or query: what RFC 3986 leaves unreserved stands as it is, all else that was encoded
/// stays so, with large digits. Decoding more would make another URL of it: a plus sign is none where it was
/// encoded.
fn part(text: &str, in_path: bool) -> Result<String, Fault> {
    let mut out = String::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, behind)) = rest.split_first() {
        rest = behind;
        if *byte != b'%' {
            // Nothing else may stand in a request unencoded; a backslash is a slash to some.
            if !byte.is_ascii_graphic() || b"\"<>\\^`{|}".contains(byte) {
                return Err(Fault::Hidden);
            }
            out.push(char::from(*byte));
            continue;
        }
        let digits = rest.get(..2).filter(|digits| digits.iter().all(u8::is_ascii_hexdigit));
        let digits = std::str::from_utf8(digits.ok_or(Fault::Percent)?).map_err(|_| Fault::Percent)?;
        let byte = u8::from_str_radix(digits, 16).map_err(|_| Fault::Percent)?;
        rest = &rest[2..];
        match byte {
            b'-' | b'.' | b'_' | b'~' => out.push(char::from(byte)),
            byte if byte.is_ascii_alphanumeric() => out.push(char::from(byte)),
            b'/' | b'\\' if in_path => return Err(Fault::Hidden),
            byte if byte.is_ascii_control() => return Err(Fault::Hidden),
            byte => drop(write!(out, "%{byte:02X}")),
        }
    }
    // Bytes that are no text may be a slash to whoever reads them loosely.
    if percent_decode_str(&out).decode_utf8().is_err() {
        return Err(Fault::Hidden);
    }
    Ok(out)
}

/// The normal form of a request target; a fault where it has none.
pub fn target(text: &str) -> Result<Target, Fault> {
    if text.len() > LONGEST {
        return Err(Fault::Long);
    }
    if text.contains('#') {
        return Err(Fault::Fragment);
    }
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    let rest = path.strip_prefix('/').ok_or(Fault::Relative)?;
    let mut parts: Vec<String> = Vec::new();
    let mut open = true;
    for text in rest.split('/') {
        let part = part(text, true)?;
        open = matches!(part.as_str(), "" | "." | "..");
        match part.as_str() {
            "" | "." => {}
            ".." => drop(parts.pop().ok_or(Fault::Climbs)?),
            _ => parts.push(part),
        }
    }
    let mut path = format!("/{}", parts.join("/"));
    if open && path.len() > 1 {
        path.push('/');
    }
    let mut pairs: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (key, value) = (part(key, false)?, part(value, false)?);
        if key.is_empty() && value.is_empty() {
            continue;
        }
        if pairs.iter().any(|known| known.0 == key) {
            return Err(Fault::Twice);
        }
        if pairs.len() == MOST_KEYS {
            return Err(Fault::Long);
        }
        pairs.push((key, value));
    }
    Ok(Target { path, query: pairs })
}

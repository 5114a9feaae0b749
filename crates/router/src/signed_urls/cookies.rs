//! Reads the cookies of a request.

use tindoor_extproc::request::Headers;

/// Returns the value of the cookie with this name; `None` if the cookie is missing, or if it is ambiguous
/// because it occurs more than once.
pub fn cookie(headers: &Headers, name: &str) -> Option<String> {
    let headers = headers.0.iter().filter(|header| header.0 == "cookie");
    let texts = headers.filter_map(|header| std::str::from_utf8(header.1).ok());
    let pairs = texts.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let mut values = pairs.filter(|pair| pair.0 == name).map(|pair| pair.1);
    let value = values.next()?;
    values.next().is_none().then(|| value.to_string())
}

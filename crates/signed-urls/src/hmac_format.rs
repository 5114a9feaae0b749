//! The HMAC token format, `st=..~exp=..~acl=..~hmac=..`: fields in plain text, followed by their HMAC-SHA256
//! in hexadecimal.

use crate::TokenFormat;
use crate::claims::{Claims, ClientNetwork, Scope, TokenError, VerificationContext};
use crate::keys::{Algorithm, Key, KeySet};

/// The maximum size of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 2048;
/// The maximum number of path patterns in a token.
const MAX_PATTERNS: usize = 16;

/// The HMAC format. Its tokens do not name their key.
#[derive(Clone, Debug)]
pub struct HmacFormat {
    /// The ids of the keys to try, in this order.
    pub keys: Vec<String>,
}

/// The fields of a token to sign.
#[derive(Clone, Debug, Default)]
pub struct HmacFields {
    /// The time from which the token is valid, in Unix seconds.
    pub not_before: Option<u64>,
    /// The time at which the token expires, in Unix seconds.
    pub expires: u64,
    /// The path patterns that the token covers. If there are none, it covers a single path.
    pub patterns: Vec<String>,
    /// The client network that may use the token.
    pub client: Option<String>,
    /// The id of the token itself.
    pub id: Option<String>,
    /// Data that only the signer uses.
    pub data: Option<String>,
}

fn parse_hex(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, digits) in out.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some(out)
}

fn parse_number(text: &str) -> Option<u64> {
    let is_decimal = !text.is_empty() && text.len() <= 12 && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_decimal)
}

/// Returns whether a text is a valid field value: printable ASCII without the separator `~`.
fn is_valid_value(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'~')
}

impl HmacFormat {
    /// Signs the fields; without patterns, the token covers only `path`. `None` if a field has an invalid
    /// value, or if the key is not an HMAC key that may sign.
    pub fn sign(&self, key: &Key, fields: &HmacFields, path: &str) -> Option<String> {
        if key.algorithm != Algorithm::Hs256 {
            return None;
        }
        let mut parts = Vec::new();
        parts.extend(fields.client.as_ref().map(|client| format!("ip={client}")));
        parts.extend(fields.not_before.map(|at| format!("st={at}")));
        parts.push(format!("exp={}", fields.expires));
        if !fields.patterns.is_empty() {
            parts.push(format!("acl={}", fields.patterns.join("!")));
        }
        parts.extend(fields.id.as_ref().map(|id| format!("id={id}")));
        parts.extend(fields.data.as_ref().map(|data| format!("data={data}")));
        let all_valid = parts.iter().all(|part| is_valid_value(part))
            && !fields.patterns.iter().any(|pattern| pattern.contains('!'));
        let text = parts.join("~");
        let message = if fields.patterns.is_empty() { format!("{text}~url={path}") } else { text.clone() };
        let hmac = key.sign(message.as_bytes()).filter(|_| all_valid)?;
        let digits: String = hmac.iter().map(|byte| format!("{byte:02x}")).collect();
        Some(format!("{text}~hmac={digits}"))
    }
}

impl TokenFormat for HmacFormat {
    fn name(&self) -> &'static str {
        "hmac"
    }

    fn parameters(&self) -> &[String] {
        &self.keys
    }

    fn verify(
        &self,
        token: &str,
        keys: &KeySet,
        context: &VerificationContext,
    ) -> Result<Claims, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let (text, hmac) = token.split_once("~hmac=").ok_or(TokenError::Malformed("no hmac"))?;
        let hmac = parse_hex(hmac).ok_or(TokenError::Malformed("an hmac that is not 64 hex digits, last"))?;
        let path = context.target.path.as_str();
        let mut claims = parse_fields(text, path)?;
        // A token for a single path signs this path without containing it. It is valid only if the requested
        // path is the one that was signed.
        let message = match claims.scope {
            Scope::Path(_) => format!("{text}~url={path}"),
            _ => text.to_string(),
        };
        let mut known_keys = self.keys.iter().filter_map(|id| keys.key(id)).peekable();
        known_keys.peek().ok_or(TokenError::UnknownKey)?;
        let mut candidates = known_keys.filter(|key| key.algorithm == Algorithm::Hs256);
        let key = candidates.find(|key| key.verifies(message.as_bytes(), &hmac));
        claims.key = key.ok_or(TokenError::InvalidSignature)?.id.clone();
        Ok(claims)
    }
}

/// Parses the fields in front of the HMAC. Without patterns, the claims cover only `path`. The key's id is
/// left empty; the caller sets it after it has verified the signature.
fn parse_fields(text: &str, path: &str) -> Result<Claims, TokenError> {
    let mut claims = Claims {
        key: String::new(),
        not_before: None,
        expires: None,
        scope: Scope::Path(path.to_string()),
        client: None,
        id: None,
        renewal: None,
    };
    let mut seen = Vec::new();
    for field in text.split('~') {
        let (name, value) = field.split_once('=').ok_or(TokenError::Malformed("a field without a value"))?;
        if seen.contains(&name) {
            return Err(TokenError::Malformed("a field twice"));
        }
        if !is_valid_value(value) {
            return Err(TokenError::Malformed("a field that is no plain text"));
        }
        seen.push(name);
        set_field(&mut claims, name, value)?;
    }
    if claims.expires.is_none() {
        return Err(TokenError::Malformed("no end"));
    }
    Ok(claims)
}

fn set_field(claims: &mut Claims, name: &str, value: &str) -> Result<(), TokenError> {
    let time = || parse_number(value).ok_or(TokenError::Malformed("a time that is no number"));
    match name {
        "st" => claims.not_before = Some(time()?),
        "exp" => claims.expires = Some(time()?),
        "acl" => {
            let patterns: Vec<_> = value.split('!').map(str::to_string).collect();
            if patterns.len() > MAX_PATTERNS {
                return Err(TokenError::TooLong);
            }
            claims.scope = Scope::Patterns(patterns);
        }
        "ip" => {
            let client = ClientNetwork::parse(value);
            claims.client = Some(client.ok_or(TokenError::Malformed("an address that is none"))?);
        }
        "id" => claims.id = Some(value.to_string()),
        "data" => {}
        _ => return Err(TokenError::Malformed("a field that is not known")),
    }
    Ok(())
}

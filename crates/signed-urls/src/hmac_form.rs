//! The HMAC form, `st=..~exp=..~acl=..~hmac=..`: fields in the clear, and the HMAC-SHA256 of them in hex.

use crate::Format;
use crate::claims::{Asked, Claims, Prefix, Refusal, Scope};
use crate::keys::{Algorithm, Key, KeySet};

/// The longest token, and the most patterns in one.
const LONGEST: usize = 2048;
const MOST_PATTERNS: usize = 16;

/// The token names no key: these are tried, in this order.
#[derive(Clone, Debug)]
pub struct HmacForm {
    pub keys: Vec<String>,
}

/// Fields of a token to be signed.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    pub not_before: Option<u64>,
    pub expires: u64,
    /// Patterns of paths; without any it is for one path alone.
    pub patterns: Vec<String>,
    pub client: Option<String>,
    pub id: Option<String>,
    pub data: Option<String>,
}

fn hex(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, digits) in out.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some(out)
}

fn number(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.len() <= 12 && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

/// A field's value can't hold what stands between fields.
fn plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'~')
}

impl HmacForm {
    /// Signs fields for a path.
    pub fn sign(&self, key: &Key, fields: &Fields, path: &str) -> Option<String> {
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
        let good =
            parts.iter().all(|part| plain(part)) && !fields.patterns.iter().any(|one| one.contains('!'));
        let text = parts.join("~");
        let message = if fields.patterns.is_empty() { format!("{text}~url={path}") } else { text.clone() };
        let hmac = key.sign(message.as_bytes()).filter(|_| good)?;
        let digits: String = hmac.iter().map(|byte| format!("{byte:02x}")).collect();
        Some(format!("{text}~hmac={digits}"))
    }
}

impl Format for HmacForm {
    fn name(&self) -> &'static str {
        "hmac"
    }

    fn terms(&self) -> &[String] {
        &self.keys
    }

    fn check(&self, token: &str, keys: &KeySet, asked: &Asked) -> Result<Claims, Refusal> {
        if token.len() > LONGEST {
            return Err(Refusal::Long);
        }
        let (text, hmac) = token.split_once("~hmac=").ok_or(Refusal::Unreadable("no hmac"))?;
        let hmac = hex(hmac).ok_or(Refusal::Unreadable("an hmac that is not 64 hex digits, last"))?;
        let mut claims = Claims {
            key: String::new(),
            not_before: None,
            expires: None,
            scope: Scope::Path(asked.target.path.clone()),
            client: None,
            id: None,
            renewal: None,
        };
        let (mut seen, mut one_path) = (Vec::new(), true);
        for field in text.split('~') {
            let (name, value) =
                field.split_once('=').ok_or(Refusal::Unreadable("a field without a value"))?;
            if seen.contains(&name) {
                return Err(Refusal::Unreadable("a field twice"));
            }
            if !plain(value) {
                return Err(Refusal::Unreadable("a field that is no plain text"));
            }
            seen.push(name);
            let bad = Refusal::Unreadable("a time that is no number");
            match name {
                "st" => claims.not_before = Some(number(value).ok_or(bad)?),
                "exp" => claims.expires = Some(number(value).ok_or(bad)?),
                "acl" => {
                    let patterns: Vec<_> = value.split('!').map(str::to_string).collect();
                    if patterns.len() > MOST_PATTERNS {
                        return Err(Refusal::Long);
                    }
                    (claims.scope, one_path) = (Scope::Patterns(patterns), false);
                }
                "ip" => {
                    let client = Prefix::read(value).ok_or(Refusal::Unreadable("an address that is none"))?;
                    claims.client = Some(client);
                }
                "id" => claims.id = Some(value.to_string()),
                "data" => {}
                _ => return Err(Refusal::Unreadable("a field that is not known")),
            }
        }
        if claims.expires.is_none() {
            return Err(Refusal::Unreadable("no end"));
        }
        // The path that is signed with it stands not in the token: it is the one asked for.
        let path = asked.target.path.as_str();
        let message = if one_path { format!("{text}~url={path}") } else { text.to_string() };
        let mut known = self.keys.iter().filter_map(|id| keys.key(id)).peekable();
        known.peek().ok_or(Refusal::UnknownKey)?;
        let mut fit = known.filter(|key| key.algorithm == Algorithm::Hs256);
        let key = fit.find(|key| key.checks(message.as_bytes(), &hmac)).ok_or(Refusal::Signature)?;
        claims.key = key.id.clone();
        Ok(claims)
    }
}

//! What a token says once its signature holds, and whether that lets a request pass now. Every format ends
//! here.

use std::net::IpAddr;

use regex::Regex;

use crate::normal::Target;

/// Why a token does not let a request pass. Words for operators; never a part of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    #[error("there is no token")]
    Missing,
    #[error("the token is over its limit")]
    Long,
    #[error("the token can't be read: {0}")]
    Unreadable(&'static str),
    #[error("no key of that id is known")]
    UnknownKey,
    #[error("the token names another algorithm than its key's")]
    Algorithm,
    #[error("the signature is not the key's")]
    Signature,
    #[error("the key, or the token, was revoked")]
    Revoked,
    #[error("the key does not hold at this time")]
    KeyTime,
    #[error("a claim that must be understood is not known here")]
    Critical,
    #[error("the token is for another audience")]
    Audience,
    #[error("the token is for another address of a client")]
    Client,
    #[error("the token is for another path")]
    Scope,
    #[error("the token is used from too many addresses")]
    Shared,
    /// It begins so many milliseconds from now.
    #[error("the token is not valid yet, in {0} ms")]
    Early(u64),
    /// It ended so many milliseconds ago.
    #[error("the token lapsed {0} ms ago")]
    Lapsed(u64),
}

impl Refusal {
    /// How long to stay away before the same token may pass; none where it never will.
    pub fn come_back_ms(self) -> Option<u64> {
        match self {
            Self::Early(wait) => Some(wait),
            _ => None,
        }
    }
}

/// Addresses of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    address: IpAddr,
    bits: u8,
}

impl Prefix {
    /// An address, or one with a number of bits.
    pub fn read(text: &str) -> Option<Self> {
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().ok()?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let bits = match bits {
            Some(bits) if bits.bytes().all(|byte| byte.is_ascii_digit()) => bits.parse().ok()?,
            Some(_) => return None,
            None => most,
        };
        (bits <= most).then_some(Self { address, bits })
    }

    pub fn holds(&self, other: IpAddr) -> bool {
        // A client that comes by IPv4 on a socket of both kinds is the same client.
        let same = |a: u128, b: u128, width: u8| self.bits == 0 || (a ^ b) >> (width - self.bits) == 0;
        match (self.address, other.to_canonical()) {
            (IpAddr::V4(a), IpAddr::V4(b)) => same(a.to_bits().into(), b.to_bits().into(), 32),
            (IpAddr::V6(a), IpAddr::V6(b)) => same(a.to_bits(), b.to_bits(), 128),
            _ => false,
        }
    }
}

/// What a token lets pass.
#[derive(Clone, Debug)]
pub enum Scope {
    /// The path, as it is.
    Path(String),
    /// All that begins so: the whole URL, with scheme and host.
    UrlPrefix(String),
    /// Paths by patterns, of which one has to fit.
    Patterns(Vec<String>),
    /// The whole URL, by an expression that has to fit all of it.
    Expression(Regex),
    /// The SHA-256 of the whole URL.
    Hash([u8; 32]),
}

/// How a token is renewed (RFC 9246, sections 3 and 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Seconds that a renewed one holds.
    pub holds: u64,
    /// 1: in a cookie; 2: in the query.
    pub transport: u8,
    /// How much of the path the renewed one is for.
    pub depth: u32,
}

/// What a token says. Times are Unix seconds.
#[derive(Clone, Debug)]
pub struct Claims {
    /// The id of the key that signed it.
    pub key: String,
    pub not_before: Option<u64>,
    pub expires: Option<u64>,
    pub scope: Scope,
    pub client: Option<Prefix>,
    /// The token's own id, where it has one.
    pub id: Option<String>,
    pub renewal: Option<Renewal>,
}

/// What is asked, by whom.
pub struct Asked<'a> {
    /// Scheme and host, as `https://videos.example`.
    pub base: &'a str,
    /// Without the token.
    pub target: &'a Target,
    pub client: IpAddr,
}

/// The time, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    pub unix_ms: u64,
    /// How far off it, or the signer's clock, may be: a token that is early or lapsed by no more passes.
    pub skew_ms: u64,
}

impl Claims {
    /// Whether the request may pass now, and until when (Unix milliseconds, the skew included) this holds.
    pub fn judge(&self, asked: &Asked, now: Now) -> Result<u64, Refusal> {
        if let Some(client) = self.client
            && !client.holds(asked.client)
        {
            return Err(Refusal::Client);
        }
        if !self.scope.holds(asked) {
            return Err(Refusal::Scope);
        }
        self.judge_time(now)
    }

    /// The part of it that changes with time, for a verdict that is known.
    pub fn judge_time(&self, now: Now) -> Result<u64, Refusal> {
        let begins = self.not_before.map_or(0, |at| at.saturating_mul(1000));
        let ends = self.expires.map_or(u64::MAX, |at| at.saturating_mul(1000).saturating_add(now.skew_ms));
        if now.unix_ms.saturating_add(now.skew_ms) < begins {
            return Err(Refusal::Early(begins - now.unix_ms - now.skew_ms));
        }
        if now.unix_ms >= ends {
            return Err(Refusal::Lapsed(now.unix_ms - (ends - now.skew_ms)));
        }
        Ok(ends)
    }
}

impl Scope {
    fn holds(&self, asked: &Asked) -> bool {
        let whole = || format!("{}{}", asked.base, asked.target.text());
        match self {
            Self::Path(path) => *path == asked.target.path,
            Self::UrlPrefix(prefix) => whole().starts_with(prefix.as_str()),
            Self::Patterns(patterns) => patterns.iter().any(|pattern| fits(pattern, &asked.target.path)),
            Self::Expression(expression) => expression.is_match(&whole()),
            Self::Hash(hash) => {
                let found = ring::digest::digest(&ring::digest::SHA256, whole().as_bytes());
                found.as_ref() == hash
            }
        }
    }
}

/// Whether a pattern fits all of a text: `*` stands for any characters, `?` for one. In time of their
/// product.
pub fn fits(pattern: &str, text: &str) -> bool {
    let (pattern, text) = (pattern.as_bytes(), text.as_bytes());
    let (mut at, mut from, mut star) = (0, 0, None);
    while from < text.len() {
        match pattern.get(at) {
            Some(b'*') => {
                star = Some((at, from));
                at += 1;
            }
            Some(sign) if *sign == b'?' || *sign == text[from] => (at, from) = (at + 1, from + 1),
            _ => match star {
                Some((back, taken)) => {
                    (at, from) = (back + 1, taken + 1);
                    star = Some((back, taken + 1));
                }
                None => return false,
            },
        }
    }
    pattern[at..].iter().all(|sign| *sign == b'*')
}

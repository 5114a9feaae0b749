//! The claims of a verified token, and whether they authorize a request. Every token format yields
//! [`Claims`].

use std::net::IpAddr;

use regex::Regex;

use crate::normalize::Target;

/// Why a token does not authorize a request. The texts are for operators and never quote a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum TokenError {
    /// The request carries no token.
    #[error("there is no token")]
    Missing,
    /// The token, or a part of it, is over its size limit.
    #[error("the token is over its limit")]
    TooLong,
    /// The token does not have its format's form; says which part.
    #[error("the token can't be read: {0}")]
    Malformed(&'static str),
    /// No key of the set has the token's key id.
    #[error("no key of that id is known")]
    UnknownKey,
    /// The token names another algorithm than the key's own.
    #[error("the token names another algorithm than its key's")]
    AlgorithmMismatch,
    /// The signature was not made by the key.
    #[error("the signature is not the key's")]
    InvalidSignature,
    /// The key or the token is revoked.
    #[error("the key, or the token, was revoked")]
    Revoked,
    /// The key is not valid yet, or no longer.
    #[error("the key does not hold at this time")]
    KeyNotValid,
    /// A claim that is marked critical is not supported.
    #[error("a claim that must be understood is not known here")]
    UnknownCriticalClaim,
    /// The token is meant for another audience.
    #[error("the token is for another audience")]
    AudienceMismatch,
    /// The token is bound to another client address.
    #[error("the token is for another address of a client")]
    ClientMismatch,
    /// The token does not cover the requested path.
    #[error("the token is for another path")]
    PathMismatch,
    /// More clients use the token than one token allows.
    #[error("the token is used from too many addresses")]
    TooManyClients,
    /// The token becomes valid in so many milliseconds.
    #[error("the token is not valid yet, in {0} ms")]
    NotYetValid(u64),
    /// The token expired so many milliseconds ago.
    #[error("the token lapsed {0} ms ago")]
    Expired(u64),
}

impl TokenError {
    /// After how many milliseconds the same token may be accepted; none where it never will be.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotYetValid(wait) => Some(wait),
            _ => None,
        }
    }
}

/// A network of client addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientNetwork {
    address: IpAddr,
    bits: u8,
}

impl ClientNetwork {
    /// Parses an address, or a network as `address/bits`.
    pub fn parse(text: &str) -> Option<Self> {
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().ok()?;
        let width = if address.is_ipv4() { 32 } else { 128 };
        let bits = match bits {
            Some(bits) if bits.bytes().all(|byte| byte.is_ascii_digit()) => bits.parse().ok()?,
            Some(_) => return None,
            None => width,
        };
        (bits <= width).then_some(Self { address, bits })
    }

    /// Whether the address belongs to the network.
    pub fn contains(&self, other: IpAddr) -> bool {
        // An IPv4 client on a dual-stack socket has an IPv4-mapped IPv6 address.
        let same = |a: u128, b: u128, width: u8| self.bits == 0 || (a ^ b) >> (width - self.bits) == 0;
        match (self.address, other.to_canonical()) {
            (IpAddr::V4(a), IpAddr::V4(b)) => same(a.to_bits().into(), b.to_bits().into(), 32),
            (IpAddr::V6(a), IpAddr::V6(b)) => same(a.to_bits(), b.to_bits(), 128),
            _ => false,
        }
    }
}

/// Which requests a token covers.
#[derive(Clone, Debug)]
pub enum Scope {
    /// Exactly this path.
    Path(String),
    /// Every URL, with scheme and host, that begins with this prefix.
    UrlPrefix(String),
    /// Paths that match one of these glob patterns.
    Patterns(Vec<String>),
    /// URLs that match this expression as a whole.
    Expression(Regex),
    /// The SHA-256 of the whole URL.
    Hash([u8; 32]),
}

/// How a token is renewed (RFC 9246, sections 3 and 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Lifetime of a renewed token, in seconds.
    pub lifetime_seconds: u64,
    /// How a renewed token is sent: 1 in a cookie, 2 in the query.
    pub transport: u8,
    /// How many path segments a renewed token covers.
    pub depth: u32,
}

/// What a verified token claims. Times are in Unix seconds.
#[derive(Clone, Debug)]
pub struct Claims {
    /// The id of the key that signed it.
    pub key: String,
    /// From when the token is valid.
    pub not_before: Option<u64>,
    /// When the token expires.
    pub expires: Option<u64>,
    /// Which requests it covers.
    pub scope: Scope,
    /// The clients that may use it; any where none is named.
    pub client: Option<ClientNetwork>,
    /// The token's own id, where it has one.
    pub id: Option<String>,
    /// How it is renewed, where it is.
    pub renewal: Option<Renewal>,
}

/// The request that a token is verified for.
pub struct VerificationContext<'a> {
    /// Scheme and host, such as `https://videos.example`.
    pub base_url: &'a str,
    /// Path and query, without the token.
    pub target: &'a Target,
    /// The client's address.
    pub client: IpAddr,
}

/// The time at which a token is verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerificationTime {
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
    /// Tolerated clock skew, in milliseconds: a token that is early or expired by no more is valid.
    pub skew_ms: u64,
}

impl Claims {
    /// Authorizes a request, and says until when that holds (Unix milliseconds, skew included).
    pub fn authorize(&self, context: &VerificationContext, now: VerificationTime) -> Result<u64, TokenError> {
        if let Some(client) = self.client
            && !client.contains(context.client)
        {
            return Err(TokenError::ClientMismatch);
        }
        if !self.scope.covers(context) {
            return Err(TokenError::PathMismatch);
        }
        self.check_validity(now)
    }

    /// Checks the validity period alone; says until when it lasts (Unix milliseconds, skew included).
    pub fn check_validity(&self, now: VerificationTime) -> Result<u64, TokenError> {
        let begins = self.not_before.map_or(0, |at| at.saturating_mul(1000));
        let ends = self.expires.map_or(u64::MAX, |at| at.saturating_mul(1000).saturating_add(now.skew_ms));
        if now.unix_ms.saturating_add(now.skew_ms) < begins {
            return Err(TokenError::NotYetValid(begins - now.unix_ms - now.skew_ms));
        }
        if now.unix_ms >= ends {
            return Err(TokenError::Expired(now.unix_ms - (ends - now.skew_ms)));
        }
        Ok(ends)
    }
}

impl Scope {
    fn covers(&self, context: &VerificationContext) -> bool {
        let whole = || format!("{}{}", context.base_url, context.target.to_text());
        match self {
            Self::Path(path) => *path == context.target.path,
            Self::UrlPrefix(prefix) => whole().starts_with(prefix.as_str()),
            Self::Patterns(patterns) => {
                patterns.iter().any(|pattern| glob_matches(pattern, &context.target.path))
            }
            Self::Expression(expression) => expression.is_match(&whole()),
            Self::Hash(hash) => {
                let found = ring::digest::digest(&ring::digest::SHA256, whole().as_bytes());
                found.as_ref() == hash
            }
        }
    }
}

/// Whether a glob pattern matches a whole text: `*` matches any characters, `?` matches one. Takes time
/// proportional to the product of both lengths.
pub fn glob_matches(pattern: &str, text: &str) -> bool {
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

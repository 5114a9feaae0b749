//! The claims of a verified token, and the check whether they authorize a request. Every token format
//! produces [`Claims`].

use std::net::IpAddr;

use regex::Regex;

use crate::normalize::Target;

/// The reason why a token does not authorize a request. Clients and operators see the texts, which never
/// quote a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum TokenError {
    /// The request carries no token.
    #[error("there is no token")]
    Missing,
    /// The token, or a part of it, exceeds its size limit.
    #[error("the token is over its limit")]
    TooLong,
    /// The token does not conform to its format. The text names the invalid part.
    #[error("the token can't be read: {0}")]
    Malformed(&'static str),
    /// The key set has no key with the token's key id.
    #[error("no key of that id is known")]
    UnknownKey,
    /// The token names a different algorithm than that of its key.
    #[error("the token names another algorithm than its key's")]
    AlgorithmMismatch,
    /// The key did not create the signature.
    #[error("the signature is not the key's")]
    InvalidSignature,
    /// The key or the token is revoked.
    #[error("the key, or the token, was revoked")]
    Revoked,
    /// The key is not valid yet, or has expired.
    #[error("the key does not hold at this time")]
    KeyNotValid,
    /// A claim that is marked as critical is not supported.
    #[error("a claim that must be understood is not known here")]
    UnknownCriticalClaim,
    /// The token was issued for another audience.
    #[error("the token is for another audience")]
    AudienceMismatch,
    /// The token is bound to another client address.
    #[error("the token is for another address of a client")]
    ClientMismatch,
    /// The token does not cover the requested path.
    #[error("the token is for another path")]
    PathMismatch,
    /// Too many clients use the token.
    #[error("the token is used from too many addresses")]
    TooManyClients,
    /// The token is not valid yet. Carries the time until it becomes valid, in milliseconds.
    #[error("the token is not valid yet, in {0} ms")]
    NotYetValid(u64),
    /// The token has expired. Carries the time since its expiry, in milliseconds.
    #[error("the token lapsed {0} ms ago")]
    Expired(u64),
}

impl TokenError {
    /// Returns the time after which the same token may be accepted, in milliseconds. `None` if it never will
    /// be.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotYetValid(wait) => Some(wait),
            _ => None,
        }
    }
}

/// A network of client addresses, or a single address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientNetwork {
    address: IpAddr,
    bits: u8,
}

impl ClientNetwork {
    /// Parses an address, or a network in the form `address/bits`. `None` if the text is neither.
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

    /// Returns whether the address belongs to the network.
    pub fn contains(&self, other: IpAddr) -> bool {
        // On a dual-stack socket, an IPv4 client appears with an IPv4-mapped IPv6 address.
        let prefix_equal =
            |a: u128, b: u128, width: u8| self.bits == 0 || (a ^ b) >> (width - self.bits) == 0;
        match (self.address, other.to_canonical()) {
            (IpAddr::V4(a), IpAddr::V4(b)) => prefix_equal(a.to_bits().into(), b.to_bits().into(), 32),
            (IpAddr::V6(a), IpAddr::V6(b)) => prefix_equal(a.to_bits(), b.to_bits(), 128),
            _ => false,
        }
    }
}

/// The requests that a token covers.
#[derive(Clone, Debug)]
pub enum Scope {
    /// Exactly this path.
    Path(String),
    /// Every URL, with scheme and host, that begins with this prefix.
    UrlPrefix(String),
    /// Paths that match one of these glob patterns.
    Patterns(Vec<String>),
    /// URLs that this expression matches in full.
    Expression(Regex),
    /// The URL whose SHA-256 hash is this one.
    Hash([u8; 32]),
}

/// How a token is renewed (RFC 9246, sections 3 and 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Lifetime of a renewed token, in seconds.
    pub lifetime_seconds: u64,
    /// How a renewed token is sent: 1 for a cookie, 2 for the query.
    pub transport: u8,
    /// The number of path segments that a renewed token covers.
    pub depth: u32,
}

/// The claims of a verified token. Times are in Unix seconds.
#[derive(Clone, Debug)]
pub struct Claims {
    /// The id of the key that signed the token.
    pub key: String,
    /// The time from which the token is valid. `None` if it has no start.
    pub not_before: Option<u64>,
    /// The time at which the token expires. `None` if it never does.
    pub expires: Option<u64>,
    /// The requests that the token covers.
    pub scope: Scope,
    /// The clients that may use the token. `None` if any client may.
    pub client: Option<ClientNetwork>,
    /// The id of the token itself, by which it can be revoked. `None` if it has none.
    pub id: Option<String>,
    /// How the token is renewed. `None` if it is not.
    pub renewal: Option<Renewal>,
}

/// The request for which a token is verified.
pub struct VerificationContext<'a> {
    /// Scheme and host, such as `https://videos.example`.
    pub base_url: &'a str,
    /// The path and query, without the token.
    pub target: &'a Target,
    /// The client's address.
    pub client: IpAddr,
}

/// The time at which a token is verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerificationTime {
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
    /// The tolerated clock skew, in milliseconds. A token is accepted this long before its validity begins
    /// and after it ends.
    pub skew_ms: u64,
}

impl Claims {
    /// Checks whether the claims authorize a request. Returns the time at which the authorization expires, in
    /// Unix milliseconds, including the tolerated skew.
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

    /// Checks only the validity period. Returns its end, in Unix milliseconds, including the tolerated skew.
    pub fn check_validity(&self, now: VerificationTime) -> Result<u64, TokenError> {
        let begins_ms = self.not_before.map_or(0, |at| at.saturating_mul(1000));
        let ends_ms = self.expires.map_or(u64::MAX, |at| at.saturating_mul(1000).saturating_add(now.skew_ms));
        if now.unix_ms.saturating_add(now.skew_ms) < begins_ms {
            return Err(TokenError::NotYetValid(begins_ms - now.unix_ms - now.skew_ms));
        }
        if now.unix_ms >= ends_ms {
            return Err(TokenError::Expired(now.unix_ms - (ends_ms - now.skew_ms)));
        }
        Ok(ends_ms)
    }
}

impl Scope {
    fn covers(&self, context: &VerificationContext) -> bool {
        let full_url = || format!("{}{}", context.base_url, context.target.to_text());
        match self {
            Self::Path(path) => *path == context.target.path,
            Self::UrlPrefix(prefix) => full_url().starts_with(prefix.as_str()),
            Self::Patterns(patterns) => {
                patterns.iter().any(|pattern| glob_matches(pattern, &context.target.path))
            }
            Self::Expression(expression) => expression.is_match(&full_url()),
            Self::Hash(hash) => {
                let found = ring::digest::digest(&ring::digest::SHA256, full_url().as_bytes());
                found.as_ref() == hash
            }
        }
    }
}

/// Returns whether a glob pattern matches the whole text. `*` matches any number of characters, `?` matches
/// one. The time taken is at most proportional to the product of both lengths.
pub fn glob_matches(pattern: &str, text: &str) -> bool {
    let (pattern, text) = (pattern.as_bytes(), text.as_bytes());
    let (mut pattern_index, mut text_index, mut last_star) = (0, 0, None);
    while text_index < text.len() {
        match pattern.get(pattern_index) {
            Some(b'*') => {
                last_star = Some((pattern_index, text_index));
                pattern_index += 1;
            }
            Some(expected) if *expected == b'?' || *expected == text[text_index] => {
                (pattern_index, text_index) = (pattern_index + 1, text_index + 1);
            }
            _ => match last_star {
                Some((star_index, retry_index)) => {
                    (pattern_index, text_index) = (star_index + 1, retry_index + 1);
                    last_star = Some((star_index, retry_index + 1));
                }
                None => return false,
            },
        }
    }
    pattern[pattern_index..].iter().all(|expected| *expected == b'*')
}

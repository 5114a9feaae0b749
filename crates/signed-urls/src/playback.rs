//! Allows a playback that was started with a valid signed URL to continue after the URL has expired, up to a
//! fixed end. Each response carries a renewal token that the router signs. Any router with the same keys
//! accepts this token, without shared state. These are chained tokens as in RFC 9246, section 4, but with
//! different claims, as the renewal of RFC 9246 would move the end each time.

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::claims::{Claims, ClientNetwork, TokenError, VerificationContext, VerificationTime};
use crate::keys::KeySet;

/// The maximum size of a renewal token, in bytes.
const MAX_TOKEN_BYTES: usize = 2 << 10;
/// The `typ` in the header of renewal tokens.
const TOKEN_TYPE: &str = "tindoor-playback";

/// The limits of a playback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaybackLimits {
    /// The lifetime of one renewal token, in seconds. A longer pause ends the playback, unless its URL is
    /// still valid.
    pub renewal_seconds: u64,
    /// The maximum duration of a playback from its first part on, in seconds.
    pub max_seconds: u64,
    /// How long a playback may continue after its URL has expired, in seconds.
    pub grace_seconds: u64,
    /// The maximum number of renewals of one playback.
    pub max_renewals: u32,
}

impl PlaybackLimits {
    /// The limits that the router uses.
    pub const DEFAULT: Self =
        Self { renewal_seconds: 60, max_seconds: 7200, grace_seconds: 900, max_renewals: 10_000 };
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Header {
    alg: String,
    kid: String,
    typ: String,
}

/// The claims of a renewal token. Times are in Unix seconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Playback {
    /// The time at which this renewal expires.
    #[serde(rename = "exp")]
    expires: u64,
    /// The time at which the playback ends at the latest.
    #[serde(rename = "ends")]
    ends_at: u64,
    /// The time at which the playback started.
    #[serde(rename = "began")]
    started_at: u64,
    /// The number of previous renewals.
    #[serde(rename = "nth")]
    renewals: u32,
    /// The client's IPv4 address, or its IPv6 network with 64 bits.
    client: String,
    /// The path prefix of the object's parts. A seek to another part with this prefix belongs to the
    /// playback.
    path: String,
    /// The id of the key that signed the URL. The key may be revoked during the playback.
    key: String,
    /// The token id of the signed URL, which may be revoked during the playback as well.
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<String>,
}

/// Returns the network that a renewal is bound to, so that no other client can use a copy of it.
fn client_network(client: IpAddr) -> String {
    match client.to_canonical() {
        IpAddr::V4(address) => address.to_string(),
        IpAddr::V6(address) => {
            let network = std::net::Ipv6Addr::from_bits(address.to_bits() >> 64 << 64);
            format!("{network}/64")
        }
    }
}

/// Returns the path prefix of the object that a part belongs to, including the final slash. `None` for a part
/// at the root.
fn object_path(path: &str) -> Option<&str> {
    path.rfind('/').map(|at| &path[..=at]).filter(|path| path.len() > 1)
}

impl Playback {
    /// Starts a playback with the first part that a signed URL has authorized. `None` if the URL does not
    /// expire, or if the part is at the root of the path.
    pub fn start(
        claims: &Claims,
        context: &VerificationContext,
        now: VerificationTime,
        limits: &PlaybackLimits,
    ) -> Option<Self> {
        let unix_seconds = now.unix_ms / 1000;
        // Computed from the URL's expiry without the tolerated skew, so that a fast clock does not extend it.
        let ends_at = claims
            .expires?
            .saturating_add(limits.grace_seconds)
            .min(unix_seconds.saturating_add(limits.max_seconds));
        Some(Self {
            expires: unix_seconds.saturating_add(limits.renewal_seconds).min(ends_at),
            ends_at,
            started_at: unix_seconds,
            renewals: 0,
            client: client_network(context.client),
            path: object_path(&context.target.path)?.to_string(),
            key: claims.key.clone(),
            id: claims.id.clone(),
        })
    }

    /// Returns the next renewal. `None` if the playback has ended, or has reached the maximum number of
    /// renewals.
    pub fn renew(&self, now: VerificationTime, limits: &PlaybackLimits) -> Option<Self> {
        let unix_seconds = now.unix_ms / 1000;
        let renewals = self.renewals + 1;
        // If the maximum duration was lowered during the playback, the lower one applies.
        let ends_at = self.ends_at.min(self.started_at.saturating_add(limits.max_seconds));
        let expires = unix_seconds.saturating_add(limits.renewal_seconds).min(ends_at);
        let may_continue = renewals <= limits.max_renewals && unix_seconds < ends_at;
        may_continue.then(|| Self { expires, ends_at, renewals, ..self.clone() })
    }

    /// Returns the path prefix of the playback's parts.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the remaining lifetime of this renewal, in seconds.
    pub fn remaining_seconds(&self, now: VerificationTime) -> u64 {
        self.expires.saturating_sub(now.unix_ms / 1000)
    }

    /// Signs the renewal with the current signing key. `None` if no key may sign at this time.
    pub fn sign(&self, keys: &KeySet, now: VerificationTime) -> Option<String> {
        let key = keys.signing_key(now.unix_ms / 1000)?;
        let head = Header { alg: key.algorithm.name().into(), kid: key.id.clone(), typ: TOKEN_TYPE.into() };
        let [head, body] = [serde_json::to_vec(&head).ok()?, serde_json::to_vec(self).ok()?];
        let text = format!("{}.{}", URL_SAFE_NO_PAD.encode(head), URL_SAFE_NO_PAD.encode(body));
        let signature = key.sign(text.as_bytes())?;
        Some(format!("{text}.{}", URL_SAFE_NO_PAD.encode(signature)))
    }

    /// Verifies a renewal token for a request, including its expiry, client and path.
    pub fn verify(
        token: &str,
        keys: &KeySet,
        context: &VerificationContext,
        now: VerificationTime,
    ) -> Result<Self, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let malformed = TokenError::Malformed("not a renewal");
        let mut parts = token.split('.');
        let (Some(head), Some(body), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed);
        };
        let part = |text: &str| URL_SAFE_NO_PAD.decode(text).map_err(|_| malformed);
        let header: Header = serde_json::from_slice(&part(head)?).map_err(|_| malformed)?;
        let key = keys.key(&header.kid).ok_or(TokenError::UnknownKey)?;
        if header.alg != key.algorithm.name() || header.typ != TOKEN_TYPE {
            return Err(TokenError::AlgorithmMismatch);
        }
        // Only keys that the router itself signs with are accepted: those who sign URLs must not be able to
        // create renewals.
        if !key.can_sign || !key.verifies(&token.as_bytes()[..head.len() + 1 + body.len()], &part(signature)?)
        {
            return Err(TokenError::InvalidSignature);
        }
        let playback: Self = serde_json::from_slice(&part(body)?).map_err(|_| malformed)?;
        if !key.is_valid_at(now.unix_ms / 1000) {
            return Err(TokenError::KeyNotValid);
        }
        if keys.is_revoked(&playback.key, playback.id.as_deref()) {
            return Err(TokenError::Revoked);
        }
        if !ClientNetwork::parse(&playback.client).is_some_and(|client| client.contains(context.client)) {
            return Err(TokenError::ClientMismatch);
        }
        if object_path(&context.target.path) != Some(playback.path.as_str()) {
            return Err(TokenError::PathMismatch);
        }
        let ends_ms = playback.expires.saturating_mul(1000).saturating_add(now.skew_ms);
        if now.unix_ms >= ends_ms {
            return Err(TokenError::Expired(now.unix_ms - (ends_ms - now.skew_ms)));
        }
        Ok(playback)
    }
}

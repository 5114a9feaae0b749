//! A playback that began in time may go on to a stated end. Its parts are tied together by renewals that the
//! router signs itself, one with each answer, so that any router of the branch, and one that was restarted,
//! takes them without a state of its own (RFC 9246, section 4, chained tokens; the claims are ours, as its
//! renewal would move the end each time).

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::claims::{Asked, Claims, Now, Prefix, Refusal};
use crate::keys::KeySet;

/// The longest renewal as text.
const LONGEST: usize = 2 << 10;
const KIND: &str = "tindoor-playback";

/// What playbacks are held to; seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How long one renewal holds: a pause that is longer ends the playback, unless its link still passes.
    pub holds: u64,
    /// How long a playback may last from its first part.
    pub longest: u64,
    /// How long it may go on past the end of its link.
    pub after_end: u64,
    /// How many renewals may follow one another.
    pub chain: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { holds: 60, longest: 7200, after_end: 900, chain: 10_000 }
    }
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Head {
    alg: String,
    kid: String,
    typ: String,
}

/// What a renewal says. Times are Unix seconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Playback {
    /// Until when this renewal holds, and the playback at the latest.
    exp: u64,
    ends: u64,
    began: u64,
    /// How many renewals came before.
    nth: u32,
    /// The client's address, or its network of 64 bits.
    client: String,
    /// All parts of one object: a seek within it is part of the playback.
    path: String,
    /// The link's key and id, which may be revoked meanwhile.
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<String>,
}

/// The prefix by which a client is known again: copied to another, a renewal is of no use.
fn own(client: IpAddr) -> String {
    match client.to_canonical() {
        IpAddr::V4(address) => address.to_string(),
        IpAddr::V6(address) => {
            let network = std::net::Ipv6Addr::from_bits(address.to_bits() >> 64 << 64);
            format!("{network}/64")
        }
    }
}

/// The object that a part belongs to, with its slash.
fn object(path: &str) -> Option<&str> {
    path.rfind('/').map(|at| &path[..=at]).filter(|path| path.len() > 1)
}

impl Playback {
    /// Begins with the first part that a link let pass; none for a link that has no end.
    pub fn begin(claims: &Claims, asked: &Asked, now: Now, bounds: &Bounds) -> Option<Self> {
        let unix = now.unix_ms / 1000;
        // Of the link's own end, without any skew: a box that is fast must not move it.
        let ends = claims.expires?.saturating_add(bounds.after_end).min(unix.saturating_add(bounds.longest));
        Some(Self {
            exp: unix.saturating_add(bounds.holds).min(ends),
            ends,
            began: unix,
            nth: 0,
            client: own(asked.client),
            path: object(&asked.target.path)?.to_string(),
            key: claims.key.clone(),
            id: claims.id.clone(),
        })
    }

    /// The next renewal; none once the chain or the playback is at its end.
    pub fn next(&self, now: Now, bounds: &Bounds) -> Option<Self> {
        let unix = now.unix_ms / 1000;
        let nth = self.nth + 1;
        // Bounds that became shorter meanwhile hold for what began before, too.
        let ends = self.ends.min(self.began.saturating_add(bounds.longest));
        let exp = unix.saturating_add(bounds.holds).min(ends);
        (nth <= bounds.chain && unix < ends).then(|| Self { exp, ends, nth, ..self.clone() })
    }

    /// Where parts of it are found.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// How long this renewal holds from now, in seconds.
    pub fn holds(&self, now: Now) -> u64 {
        self.exp.saturating_sub(now.unix_ms / 1000)
    }

    /// Signs it by the key that signs now; none where no key does.
    pub fn sign(&self, keys: &KeySet, now: Now) -> Option<String> {
        let key = keys.signer(now.unix_ms / 1000)?;
        let head = Head { alg: key.algorithm.name().into(), kid: key.id.clone(), typ: KIND.into() };
        let [head, body] = [serde_json::to_vec(&head).ok()?, serde_json::to_vec(self).ok()?];
        let text = format!("{}.{}", URL_SAFE_NO_PAD.encode(head), URL_SAFE_NO_PAD.encode(body));
        let signature = key.sign(text.as_bytes())?;
        Some(format!("{text}.{}", URL_SAFE_NO_PAD.encode(signature)))
    }

    /// Reads a renewal and judges whether it lets a request pass now.
    pub fn check(token: &str, keys: &KeySet, asked: &Asked, now: Now) -> Result<Self, Refusal> {
        if token.len() > LONGEST {
            return Err(Refusal::Long);
        }
        let unreadable = Refusal::Unreadable("not a renewal");
        let mut parts = token.split('.');
        let (Some(head), Some(body), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(unreadable);
        };
        let part = |text: &str| URL_SAFE_NO_PAD.decode(text).map_err(|_| unreadable);
        let header: Head = serde_json::from_slice(&part(head)?).map_err(|_| unreadable)?;
        let key = keys.key(&header.kid).ok_or(Refusal::UnknownKey)?;
        if header.alg != key.algorithm.name() || header.typ != KIND {
            return Err(Refusal::Algorithm);
        }
        // Who may only check could else make renewals for everybody: those are signed by our own keys.
        if !key.signs || !key.checks(&token.as_bytes()[..head.len() + 1 + body.len()], &part(signature)?) {
            return Err(Refusal::Signature);
        }
        let playback: Self = serde_json::from_slice(&part(body)?).map_err(|_| unreadable)?;
        if !key.holds_at(now.unix_ms / 1000) {
            return Err(Refusal::KeyTime);
        }
        if keys.is_revoked(&playback.key, playback.id.as_deref()) {
            return Err(Refusal::Revoked);
        }
        if !Prefix::read(&playback.client).is_some_and(|client| client.holds(asked.client)) {
            return Err(Refusal::Client);
        }
        if object(&asked.target.path) != Some(playback.path.as_str()) {
            return Err(Refusal::Scope);
        }
        let ends = playback.exp.saturating_mul(1000).saturating_add(now.skew_ms);
        if now.unix_ms >= ends {
            return Err(Refusal::Lapsed(now.unix_ms - (ends - now.skew_ms)));
        }
        Ok(playback)
    }
}

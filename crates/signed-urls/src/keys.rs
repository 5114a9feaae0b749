//! Keys: a set of them from a JSON key set (RFC 7517), each with its id, its one algorithm, its use and its
//! time. A set is taken whole or not at all.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::{hmac, signature};
use serde::Deserialize;
use zeroize::{Zeroize, Zeroizing};

/// The most keys in a set, and the longest text of one.
pub const MOST: usize = 256;
pub const LONGEST: usize = 256 << 10;

/// What a key is for; a token that names another algorithm than its key's is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Algorithm {
    /// HMAC with SHA-256, secrets of 32 bytes or more.
    #[serde(rename = "HS256")]
    Hs256,
    /// ECDSA on P-256 with SHA-256.
    #[serde(rename = "ES256")]
    Es256,
    /// Ed25519.
    #[serde(rename = "EdDSA")]
    EdDsa,
}

impl Algorithm {
    pub fn name(self) -> &'static str {
        match self {
            Self::Hs256 => "HS256",
            Self::Es256 => "ES256",
            Self::EdDsa => "EdDSA",
        }
    }
}

/// A fault of a key set: which key, and what of it. Never a part of a secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("key set: {0}")]
    Unreadable(String),
    #[error("key set: over {MOST} keys or {LONGEST} bytes")]
    Long,
    #[error("key {0:?}: {1}")]
    Key(String, &'static str),
}

enum Material {
    Secret(hmac::Key),
    Public(signature::UnparsedPublicKey<Vec<u8>>),
    Pair(signature::Ed25519KeyPair),
}

pub struct Key {
    pub id: String,
    pub algorithm: Algorithm,
    /// Whether it may sign; all keys check.
    pub signs: bool,
    /// Unix seconds between which what it signed is taken.
    pub from: u64,
    pub until: u64,
    material: Material,
}

impl fmt::Debug for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "Key({:?}, {}, {} to {})", self.id, self.algorithm.name(), self.from, self.until)
    }
}

impl Key {
    /// Whether the signature is this key's; compared in constant time.
    pub fn checks(&self, message: &[u8], signature: &[u8]) -> bool {
        match &self.material {
            Material::Secret(key) => hmac::verify(key, message, signature).is_ok(),
            Material::Public(key) => key.verify(message, signature).is_ok(),
            Material::Pair(pair) => {
                let key = signature::UnparsedPublicKey::new(
                    &signature::ED25519,
                    signature::KeyPair::public_key(pair),
                );
                key.verify(message, signature).is_ok()
            }
        }
    }

    /// The signature of a message; none by a key that may not sign.
    pub fn sign(&self, message: &[u8]) -> Option<Vec<u8>> {
        match &self.material {
            _ if !self.signs => None,
            Material::Secret(key) => Some(hmac::sign(key, message).as_ref().to_vec()),
            Material::Pair(pair) => Some(pair.sign(message).as_ref().to_vec()),
            Material::Public(_) => None,
        }
    }

    pub fn holds_at(&self, unix: u64) -> bool {
        (self.from..self.until).contains(&unix)
    }
}

#[derive(Deserialize)]
struct Set {
    keys: Vec<Jwk>,
    /// Ids of keys, and of single tokens, that hold no more.
    #[serde(default)]
    revoked_keys: BTreeSet<String>,
    #[serde(default)]
    revoked_tokens: BTreeSet<String>,
}

/// A key as RFC 7517 and 8037 write it, with the times of ours.
#[derive(Deserialize)]
struct Jwk {
    kid: String,
    kty: String,
    alg: Algorithm,
    #[serde(default)]
    crv: String,
    #[serde(default)]
    k: Wiped,
    #[serde(default)]
    x: String,
    #[serde(default)]
    y: String,
    #[serde(default)]
    d: Wiped,
    #[serde(default)]
    key_ops: Vec<String>,
    #[serde(default)]
    nbf: u64,
    #[serde(default = "for_ever")]
    exp: u64,
}

fn for_ever() -> u64 {
    u64::MAX
}

/// Text of a secret, wiped when it goes.
#[derive(Default, Deserialize)]
struct Wiped(String);

impl Drop for Wiped {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

fn bytes(text: &str) -> Option<Zeroizing<Vec<u8>>> {
    URL_SAFE_NO_PAD.decode(text).ok().map(Zeroizing::new)
}

impl Jwk {
    fn key(self) -> Result<Key, Fault> {
        let fault = |what| Fault::Key(self.kid.clone(), what);
        if self.kid.is_empty() || self.kid.len() > 128 || !self.kid.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(fault("its id is empty, over 128 bytes or no plain text"));
        }
        let part = |text: &str, what| bytes(text).ok_or_else(|| fault(what));
        let material = match (self.alg, self.kty.as_str(), self.crv.as_str()) {
            (Algorithm::Hs256, "oct", "") => {
                let secret = part(&self.k.0, "k is no base64url")?;
                if secret.len() < 32 {
                    return Err(fault("k is under 32 bytes"));
                }
                Material::Secret(hmac::Key::new(hmac::HMAC_SHA256, &secret))
            }
            (Algorithm::Es256, "EC", "P-256") => {
                let (x, y) = (part(&self.x, "x is no base64url")?, part(&self.y, "y is no base64url")?);
                if x.len() != 32 || y.len() != 32 {
                    return Err(fault("x and y are not 32 bytes each"));
                }
                let point = [&[4][..], &x, &y].concat();
                Material::Public(signature::UnparsedPublicKey::new(
                    &signature::ECDSA_P256_SHA256_FIXED,
                    point,
                ))
            }
            (Algorithm::EdDsa, "OKP", "Ed25519") => {
                let public = part(&self.x, "x is no base64url")?;
                if public.len() != 32 {
                    return Err(fault("x is not 32 bytes"));
                }
                if self.d.0.is_empty() {
                    Material::Public(signature::UnparsedPublicKey::new(&signature::ED25519, public.to_vec()))
                } else {
                    let seed = part(&self.d.0, "d is no base64url")?;
                    let pair = signature::Ed25519KeyPair::from_seed_and_public_key(&seed, &public);
                    Material::Pair(pair.map_err(|_| fault("d and x are no pair"))?)
                }
            }
            _ => return Err(fault("kty, crv and alg do not go together")),
        };
        let signs = self.key_ops.iter().any(|deed| deed == "sign");
        if signs && matches!(material, Material::Public(_)) {
            return Err(fault("it is to sign and has no private part"));
        }
        if self.nbf >= self.exp {
            return Err(fault("it ends before it begins"));
        }
        let (id, algorithm) = (self.kid.clone(), self.alg);
        Ok(Key { id, algorithm, signs, from: self.nbf, until: self.exp, material })
    }
}

/// Keys by their ids, and what was revoked.
#[derive(Debug, Default)]
pub struct KeySet {
    keys: BTreeMap<String, Key>,
    revoked_keys: BTreeSet<String>,
    revoked_tokens: BTreeSet<String>,
}

impl KeySet {
    /// Reads a set; a fault in one key refuses all of it.
    pub fn read(text: &[u8]) -> Result<Self, Fault> {
        if text.len() > LONGEST {
            return Err(Fault::Long);
        }
        let set: Set = serde_json::from_slice(text).map_err(|error| {
            // The library's words may quote a value: only where it stands is told.
            Fault::Unreadable(format!("line {}, column {}", error.line(), error.column()))
        })?;
        if set.keys.len() > MOST {
            return Err(Fault::Long);
        }
        let (revoked_keys, revoked_tokens) = (set.revoked_keys, set.revoked_tokens);
        let mut keys = BTreeMap::new();
        for jwk in set.keys {
            let key = jwk.key()?;
            if let Some(twice) = keys.insert(key.id.clone(), key) {
                return Err(Fault::Key(twice.id, "two keys have this id"));
            }
        }
        Ok(Self { keys, revoked_keys, revoked_tokens })
    }

    /// The key of that id, unless it was revoked.
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.keys.get(id).filter(|_| !self.revoked_keys.contains(id))
    }

    pub fn is_revoked(&self, key: &str, token: Option<&str>) -> bool {
        self.revoked_keys.contains(key) || token.is_some_and(|token| self.revoked_tokens.contains(token))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        self.keys.values().filter(|key| !self.revoked_keys.contains(&key.id))
    }

    /// The key that signs now: of those that hold, the one that holds for longest.
    pub fn signer(&self, unix: u64) -> Option<&Key> {
        self.iter().filter(|key| key.signs && key.holds_at(unix)).max_by_key(|key| (key.until, key.from))
    }
}

//! Key sets: JSON Web Key Sets (RFC 7517). Each key has an id, a single algorithm, its permitted operations
//! and a validity period. One unusable key rejects the whole set.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::{hmac, signature};
use serde::Deserialize;
use zeroize::{Zeroize, Zeroizing};

/// The maximum number of keys in a set.
pub const MAX_KEYS: usize = 256;
/// The maximum size of a set's text, in bytes.
pub const MAX_BYTES: usize = 256 << 10;

/// The maximum size of a key's id, in bytes.
const MAX_KEY_ID_BYTES: usize = 128;
/// The minimum size of an HMAC secret, in bytes.
const MIN_SECRET_BYTES: usize = 32;
/// The size of a P-256 coordinate and of an Ed25519 public key, in bytes.
const COORDINATE_BYTES: usize = 32;
/// The first byte of an uncompressed point (SEC 1, section 2.3.3).
const UNCOMPRESSED_POINT: u8 = 4;

/// The signature algorithm of a key. A token that names a different algorithm than that of its key is
/// rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Algorithm {
    /// HMAC with SHA-256. Secrets have at least 32 bytes.
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
    /// Returns the algorithm's name in `alg` (RFC 7518, RFC 8037).
    pub fn name(self) -> &'static str {
        match self {
            Self::Hs256 => "HS256",
            Self::Es256 => "ES256",
            Self::EdDsa => "EdDSA",
        }
    }
}

/// The reason why a key set is rejected. The texts never quote a secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeySetError {
    /// The text is not a key set. Carries a description that includes the position, if it is known.
    #[error("key set: {0}")]
    Malformed(String),
    /// The set has too many keys, or its text has too many bytes.
    #[error("key set: over {MAX_KEYS} keys or {MAX_BYTES} bytes")]
    TooLong,
    /// A key can't be used. Carries the key's id and the reason.
    #[error("key {0:?}: {1}")]
    Key(String, &'static str),
}

enum KeyMaterial {
    Secret(hmac::Key),
    Public(signature::UnparsedPublicKey<Vec<u8>>),
    KeyPair(signature::Ed25519KeyPair),
}

/// A key of a set.
pub struct Key {
    /// The id by which tokens refer to the key.
    pub id: String,
    /// The only algorithm that the key may be used with.
    pub algorithm: Algorithm,
    /// Whether the key may sign. Every key may verify.
    pub can_sign: bool,
    /// The time from which the key's signatures are accepted, in Unix seconds.
    pub valid_from: u64,
    /// The time until which the key's signatures are accepted, in Unix seconds.
    pub valid_until: u64,
    material: KeyMaterial,
}

impl fmt::Debug for Key {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "Key({:?}, {}, {} to {})",
            self.id,
            self.algorithm.name(),
            self.valid_from,
            self.valid_until
        )
    }
}

impl Key {
    /// Returns whether this key created the signature. Compares in constant time.
    pub fn verifies(&self, message: &[u8], signature: &[u8]) -> bool {
        match &self.material {
            KeyMaterial::Secret(key) => hmac::verify(key, message, signature).is_ok(),
            KeyMaterial::Public(key) => key.verify(message, signature).is_ok(),
            KeyMaterial::KeyPair(pair) => {
                let key = signature::UnparsedPublicKey::new(
                    &signature::ED25519,
                    signature::KeyPair::public_key(pair),
                );
                key.verify(message, signature).is_ok()
            }
        }
    }

    /// Signs a message. `None` if the key may not sign.
    pub fn sign(&self, message: &[u8]) -> Option<Vec<u8>> {
        match &self.material {
            _ if !self.can_sign => None,
            KeyMaterial::Secret(key) => Some(hmac::sign(key, message).as_ref().to_vec()),
            KeyMaterial::KeyPair(pair) => Some(pair.sign(message).as_ref().to_vec()),
            KeyMaterial::Public(_) => None,
        }
    }

    /// Returns whether the time lies within the key's validity period.
    pub fn is_valid_at(&self, unix_seconds: u64) -> bool {
        (self.valid_from..self.valid_until).contains(&unix_seconds)
    }
}

#[derive(Deserialize)]
struct JsonKeySet {
    keys: Vec<JsonKey>,
    /// The ids of revoked keys.
    #[serde(default)]
    revoked_keys: BTreeSet<String>,
    /// The ids of revoked tokens.
    #[serde(default)]
    revoked_tokens: BTreeSet<String>,
}

/// A JSON Web Key (RFC 7517, RFC 8037) with a validity period (`nbf`, `exp`).
#[derive(Deserialize)]
struct JsonKey {
    kid: String,
    kty: String,
    alg: Algorithm,
    #[serde(default)]
    crv: String,
    #[serde(default)]
    k: SecretText,
    #[serde(default)]
    x: String,
    #[serde(default)]
    y: String,
    #[serde(default)]
    d: SecretText,
    #[serde(default)]
    key_ops: Vec<String>,
    #[serde(default)]
    nbf: u64,
    #[serde(default = "no_expiry")]
    exp: u64,
}

fn no_expiry() -> u64 {
    u64::MAX
}

/// The text of a secret. Its memory is overwritten with zeros when it is dropped.
#[derive(Default, Deserialize)]
struct SecretText(String);

impl Drop for SecretText {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

fn decode_base64url(text: &str) -> Option<Zeroizing<Vec<u8>>> {
    URL_SAFE_NO_PAD.decode(text).ok().map(Zeroizing::new)
}

impl JsonKey {
    fn into_key(self) -> Result<Key, KeySetError> {
        let well_formed = !self.kid.is_empty()
            && self.kid.len() <= MAX_KEY_ID_BYTES
            && self.kid.bytes().all(|byte| byte.is_ascii_graphic());
        if !well_formed {
            return Err(self.error("its id is not 1 to 128 printable ASCII characters without spaces"));
        }
        let material = self.material()?;
        let can_sign = self.key_ops.iter().any(|operation| operation == "sign");
        if can_sign && matches!(material, KeyMaterial::Public(_)) {
            return Err(self.error("key_ops contains \"sign\", but the private part is missing"));
        }
        if self.nbf >= self.exp {
            return Err(self.error("exp is not after nbf"));
        }
        let (id, algorithm) = (self.kid.clone(), self.alg);
        Ok(Key { id, algorithm, can_sign, valid_from: self.nbf, valid_until: self.exp, material })
    }

    fn material(&self) -> Result<KeyMaterial, KeySetError> {
        match (self.alg, self.kty.as_str(), self.crv.as_str()) {
            (Algorithm::Hs256, "oct", "") => self.hmac_key(),
            (Algorithm::Es256, "EC", "P-256") => self.ecdsa_key(),
            (Algorithm::EdDsa, "OKP", "Ed25519") => self.ed25519_key(),
            _ => Err(self.error("kty, crv and alg do not match, or are not supported")),
        }
    }

    fn hmac_key(&self) -> Result<KeyMaterial, KeySetError> {
        let secret = self.decode(&self.k.0, "k is not base64url without padding")?;
        if secret.len() < MIN_SECRET_BYTES {
            return Err(self.error("k is under 32 bytes"));
        }
        Ok(KeyMaterial::Secret(hmac::Key::new(hmac::HMAC_SHA256, &secret)))
    }

    fn ecdsa_key(&self) -> Result<KeyMaterial, KeySetError> {
        let x = self.decode(&self.x, "x is not base64url without padding")?;
        let y = self.decode(&self.y, "y is not base64url without padding")?;
        if x.len() != COORDINATE_BYTES || y.len() != COORDINATE_BYTES {
            return Err(self.error("x and y are not 32 bytes each"));
        }
        let point = [&[UNCOMPRESSED_POINT][..], &x, &y].concat();
        let algorithm = &signature::ECDSA_P256_SHA256_FIXED;
        Ok(KeyMaterial::Public(signature::UnparsedPublicKey::new(algorithm, point)))
    }

    fn ed25519_key(&self) -> Result<KeyMaterial, KeySetError> {
        let public = self.decode(&self.x, "x is not base64url without padding")?;
        if public.len() != COORDINATE_BYTES {
            return Err(self.error("x is not 32 bytes"));
        }
        if self.d.0.is_empty() {
            let key = signature::UnparsedPublicKey::new(&signature::ED25519, public.to_vec());
            return Ok(KeyMaterial::Public(key));
        }
        let seed = self.decode(&self.d.0, "d is not base64url without padding")?;
        let pair = signature::Ed25519KeyPair::from_seed_and_public_key(&seed, &public);
        pair.map(KeyMaterial::KeyPair).map_err(|_| self.error("d and x are not a key pair"))
    }

    fn decode(&self, text: &str, reason: &'static str) -> Result<Zeroizing<Vec<u8>>, KeySetError> {
        decode_base64url(text).ok_or_else(|| self.error(reason))
    }

    fn error(&self, reason: &'static str) -> KeySetError {
        KeySetError::Key(self.kid.clone(), reason)
    }
}

/// The keys of a set by their ids, and the revoked keys and tokens.
#[derive(Debug, Default)]
pub struct KeySet {
    keys: BTreeMap<String, Key>,
    revoked_keys: BTreeSet<String>,
    revoked_tokens: BTreeSet<String>,
}

impl KeySet {
    /// Parses a key set. One unusable key rejects the whole set.
    pub fn parse(text: &[u8]) -> Result<Self, KeySetError> {
        if text.len() > MAX_BYTES {
            return Err(KeySetError::TooLong);
        }
        let set: JsonKeySet = serde_json::from_slice(text).map_err(|error| {
            // The library's message may quote a secret, so only the position is reported.
            KeySetError::Malformed(format!("invalid at line {}, column {}", error.line(), error.column()))
        })?;
        if set.keys.len() > MAX_KEYS {
            return Err(KeySetError::TooLong);
        }
        let (revoked_keys, revoked_tokens) = (set.revoked_keys, set.revoked_tokens);
        let mut keys = BTreeMap::new();
        for jwk in set.keys {
            let key = jwk.into_key()?;
            if let Some(duplicate) = keys.insert(key.id.clone(), key) {
                return Err(KeySetError::Key(duplicate.id, "two keys have this id"));
            }
        }
        Ok(Self { keys, revoked_keys, revoked_tokens })
    }

    /// Returns the key with this id. `None` if it does not exist or is revoked.
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.keys.get(id).filter(|_| !self.revoked_keys.contains(id))
    }

    /// Returns whether the key with the id `key`, or the token with the id `token`, is revoked.
    pub fn is_revoked(&self, key: &str, token: Option<&str>) -> bool {
        self.revoked_keys.contains(key) || token.is_some_and(|token| self.revoked_tokens.contains(token))
    }

    /// Returns all keys that are not revoked.
    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        self.keys.values().filter(|key| !self.revoked_keys.contains(&key.id))
    }

    /// Returns the key to sign with at this time (Unix seconds): of the valid keys that may sign, the one
    /// that stays valid longest. `None` if there is no such key.
    pub fn signing_key(&self, unix_seconds: u64) -> Option<&Key> {
        self.iter()
            .filter(|key| key.can_sign && key.is_valid_at(unix_seconds))
            .max_by_key(|key| (key.valid_until, key.valid_from))
    }
}

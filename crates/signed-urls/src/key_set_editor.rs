//! Edits the text of a key set for operators: adds a key, or rotates to a new one. Everything else stays as
//! written.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Map, Value, json};
use zeroize::Zeroizing;

use crate::keys::{Algorithm, KeySet, KeySetError};

/// Generates a key that signs and verifies; none for an algorithm that can't be generated.
pub fn new_key(id: &str, algorithm: Algorithm, from: u64, until: u64) -> Option<Value> {
    let mut secret = Zeroizing::new([0; 32]);
    SystemRandom::new().fill(&mut secret[..]).ok()?;
    let secret_text = Zeroizing::new(URL_SAFE_NO_PAD.encode(&secret[..]));
    let mut key = match algorithm {
        Algorithm::Hs256 => json!({"kid": id, "kty": "oct", "alg": "HS256", "k": *secret_text}),
        Algorithm::EdDsa => {
            let pair = Ed25519KeyPair::from_seed_unchecked(&secret[..]).ok()?;
            let public = URL_SAFE_NO_PAD.encode(pair.public_key());
            json!({"kid": id, "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": public, "d": *secret_text})
        }
        Algorithm::Es256 => return None,
    };
    key["key_ops"] = json!(["sign", "verify"]);
    key["nbf"] = json!(from);
    if until < u64::MAX {
        key["exp"] = json!(until);
    }
    Some(key)
}

fn parse_object(text: &[u8]) -> Result<Map<String, Value>, KeySetError> {
    match serde_json::from_slice(text) {
        Ok(Value::Object(set)) if set.get("keys").is_some_and(Value::is_array) => Ok(set),
        _ => Err(KeySetError::Malformed("no JSON object with a list of keys".to_string())),
    }
}

/// Adds a key to a set, or makes a set of it; an error where the result would not be accepted.
pub fn add_key(text: Option<&[u8]>, key: Value) -> Result<Zeroizing<String>, KeySetError> {
    let mut set = match text {
        Some(text) => parse_object(text)?,
        None => Map::from_iter([("keys".to_string(), json!([]))]),
    };
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        keys.push(key);
    }
    finish(set)
}

/// Adds a key that signs from now on. Keys that signed with the same algorithm stop signing, and stay valid
/// for `overlap` seconds, so that what they signed is still accepted.
pub fn rotate(text: &[u8], key: Value, now: u64, overlap: u64) -> Result<Zeroizing<String>, KeySetError> {
    let mut set = parse_object(text)?;
    let until = now.saturating_add(overlap);
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        let signs_alike = |old: &&mut Value| {
            let can_sign =
                old["key_ops"].as_array().is_some_and(|operations| operations.contains(&json!("sign")));
            can_sign && old["alg"] == key["alg"] && old["exp"].as_u64().is_none_or(|exp| exp > now)
        };
        for old in keys.iter_mut().filter(signs_alike) {
            old["key_ops"] = json!(["verify"]);
            // A rotation never extends a key's stated validity.
            old["exp"] = json!(old["exp"].as_u64().unwrap_or(u64::MAX).min(until));
        }
        keys.push(key);
    }
    finish(set)
}

fn finish(set: Map<String, Value>) -> Result<Zeroizing<String>, KeySetError> {
    let text =
        serde_json::to_string_pretty(&set).map_err(|error| KeySetError::Malformed(error.to_string()))?;
    let text = Zeroizing::new(text + "\n");
    KeySet::parse(text.as_bytes())?;
    Ok(text)
}

#[cfg(test)]
#[path = "../tests/unit/key_set_editor.rs"]
mod tests;

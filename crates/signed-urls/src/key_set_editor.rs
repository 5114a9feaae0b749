//! Edits the text of a key set for operators: adds a key, or rotates to a new one. All other entries of the
//! set are kept.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Map, Value, json};
use zeroize::Zeroizing;

use crate::keys::{Algorithm, KeySet, KeySetError};

/// Generates a key that may sign and verify, valid from `from` until `until` (Unix seconds; `u64::MAX` for no
/// end). `None` if keys of this algorithm can't be generated here, or if the system provides no random
/// numbers.
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
        _ => Err(KeySetError::Malformed("not a JSON object with a list \"keys\"".to_string())),
    }
}

/// Adds a key to a set, or creates a set if `text` is `None`.
///
/// # Errors
///
/// The text is not a key set, or the resulting set would be rejected.
pub fn add_key(text: Option<&[u8]>, key: Value) -> Result<Zeroizing<String>, KeySetError> {
    let mut set = match text {
        Some(text) => parse_object(text)?,
        None => Map::from_iter([("keys".to_string(), json!([]))]),
    };
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        keys.push(key);
    }
    checked_text(set)
}

/// Adds a key that signs from now on (`now` is in Unix seconds). Keys that signed with the same algorithm may
/// no longer sign. They stay valid for at most `overlap` more seconds, so that tokens signed by them are
/// still accepted.
///
/// # Errors
///
/// The text is not a key set, or the resulting set would be rejected.
pub fn rotate(text: &[u8], key: Value, now: u64, overlap: u64) -> Result<Zeroizing<String>, KeySetError> {
    let mut set = parse_object(text)?;
    let until = now.saturating_add(overlap);
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        let is_replaced = |old: &&mut Value| {
            let can_sign =
                old["key_ops"].as_array().is_some_and(|operations| operations.contains(&json!("sign")));
            can_sign && old["alg"] == key["alg"] && old["exp"].as_u64().is_none_or(|exp| exp > now)
        };
        for old in keys.iter_mut().filter(is_replaced) {
            old["key_ops"] = json!(["verify"]);
            // A rotation never extends the validity period of an existing key.
            old["exp"] = json!(old["exp"].as_u64().unwrap_or(u64::MAX).min(until));
        }
        keys.push(key);
    }
    checked_text(set)
}

/// Formats a set, after checking that it would be accepted.
fn checked_text(set: Map<String, Value>) -> Result<Zeroizing<String>, KeySetError> {
    let text =
        serde_json::to_string_pretty(&set).map_err(|error| KeySetError::Malformed(error.to_string()))?;
    let text = Zeroizing::new(text + "\n");
    KeySet::parse(text.as_bytes())?;
    Ok(text)
}

#[cfg(test)]
#[path = "../tests/unit/key_set_editor.rs"]
mod tests;

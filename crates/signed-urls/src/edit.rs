//! Changes to the text of a key set, for operators: a new key, a rotation. What is there stays as it is
//! written.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Map, Value, json};
use zeroize::Zeroizing;

use crate::keys::{Algorithm, Fault, KeySet};

/// A key of one's own: it signs and checks.
pub fn new_key(id: &str, algorithm: Algorithm, from: u64, until: u64) -> Option<Value> {
    let mut secret = Zeroizing::new([0; 32]);
    SystemRandom::new().fill(&mut secret[..]).ok()?;
    let own = URL_SAFE_NO_PAD.encode(&secret[..]);
    let mut key = match algorithm {
        Algorithm::Hs256 => json!({"kid": id, "kty": "oct", "alg": "HS256", "k": own}),
        Algorithm::EdDsa => {
            let pair = Ed25519KeyPair::from_seed_unchecked(&secret[..]).ok()?;
            let public = URL_SAFE_NO_PAD.encode(pair.public_key());
            json!({"kid": id, "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": public, "d": own})
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

fn parsed(text: &[u8]) -> Result<Map<String, Value>, Fault> {
    let unreadable = || Fault::Unreadable("no JSON object with a list of keys".to_string());
    match serde_json::from_slice(text) {
        Ok(Value::Object(set)) if set.get("keys").is_some_and(Value::is_array) => Ok(set),
        _ => Err(unreadable()),
    }
}

/// The set with one more key; refused where the whole would not be read.
pub fn with_key(text: Option<&[u8]>, key: Value) -> Result<Zeroizing<String>, Fault> {
    let mut set = match text {
        Some(text) => parsed(text)?,
        None => Map::from_iter([("keys".to_string(), json!([]))]),
    };
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        keys.push(key);
    }
    whole(set)
}

/// The set with a new key that signs from now on; those that signed by the same algorithm hold for `overlap`
/// seconds more, so that what they signed is still taken, and sign no more.
pub fn rotated(text: &[u8], key: Value, now: u64, overlap: u64) -> Result<Zeroizing<String>, Fault> {
    let mut set = parsed(text)?;
    let until = now.saturating_add(overlap);
    if let Some(Value::Array(keys)) = set.get_mut("keys") {
        let own = |old: &&mut Value| {
            let signs = old["key_ops"].as_array().is_some_and(|deeds| deeds.contains(&json!("sign")));
            signs && old["alg"] == key["alg"] && old["exp"].as_u64().is_none_or(|exp| exp > now)
        };
        for old in keys.iter_mut().filter(own) {
            old["key_ops"] = json!(["verify"]);
            // Its owner may have said an earlier end: a rotation makes none later.
            old["exp"] = json!(old["exp"].as_u64().unwrap_or(u64::MAX).min(until));
        }
        keys.push(key);
    }
    whole(set)
}

fn whole(set: Map<String, Value>) -> Result<Zeroizing<String>, Fault> {
    let text = serde_json::to_string_pretty(&set).map_err(|error| Fault::Unreadable(error.to_string()))?;
    let text = Zeroizing::new(text + "\n");
    KeySet::read(text.as_bytes())?;
    Ok(text)
}

#[cfg(test)]
#[path = "../tests/unit/edit.rs"]
mod stories;

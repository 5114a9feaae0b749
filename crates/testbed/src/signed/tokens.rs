//! Generates keys and tokens with libraries that the router does not use.

use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use anyhow::Result;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use jsonwebtoken::{EncodingKey, Header};
use serde_json::{Value, json};
use sha2::Sha256;

/// The id of the key that is revoked after half of the requests.
pub(super) const OLD_KEY: &str = "old";
/// The id of the key that stays valid.
pub(super) const NEW_KEY: &str = "new";
/// The id of a token that is revoked from the start.
pub(super) const REVOKED_TOKEN: &str = "stolen";

/// Derives the secret of a key from its id.
fn secret(key: &str) -> [u8; 32] {
    let mut secret = [0x5a; 32];
    secret.iter_mut().zip(key.bytes()).for_each(|(byte, other)| *byte ^= other);
    secret
}

/// Returns a token with these fields and their HMAC.
pub(super) fn hmac_token(key: &str, fields: &str) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret(key)).expect("HMAC accepts keys of any length");
    mac.update(fields.as_bytes());
    let digits: String = mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{fields}~hmac={digits}")
}

/// Returns a JSON Web Token with these claims.
pub(super) fn json_web_token(key: &str, claims: &Value) -> String {
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some(key.to_string());
    jsonwebtoken::encode(&header, claims, &EncodingKey::from_secret(&secret(key)))
        .expect("the claims can be signed")
}

/// Replaces the key set file. Only its owner can read the file.
pub(super) fn write_key_set(path: &Path, revoke_old_key: bool) -> Result<()> {
    let new = path.with_extension("new");
    let _ = std::fs::remove_file(&new);
    let mut file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&new)?;
    file.write_all(key_set(revoke_old_key).to_string().as_bytes())?;
    std::fs::rename(new, path)?;
    Ok(())
}

fn key_set(revoke_old_key: bool) -> Value {
    let mut set =
        json!({"keys": [key_entry(OLD_KEY), key_entry(NEW_KEY)], "revoked_tokens": [REVOKED_TOKEN]});
    set["keys"][1]["key_ops"] = json!(["sign"]);
    if revoke_old_key {
        set["revoked_keys"] = json!([OLD_KEY]);
    }
    set
}

fn key_entry(id: &str) -> Value {
    json!({"kid": id, "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode(secret(id))})
}

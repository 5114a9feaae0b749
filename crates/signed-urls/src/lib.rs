//! Signed URLs and tokens as content networks use them: formats, keys, claims and a verification cache.
//! Nothing here does I/O or reads a clock.
//!
//! A token is verified in four steps, each of which bounds the cost of the next: its size, its signature by a
//! key of the set, its claims, and the time and scope of the request. The result is an authorization for the
//! routing engine.

pub mod claims;
pub mod clock;
pub mod hmac_format;
pub mod key_set_editor;
pub mod keys;
pub mod normalize;
pub mod playback;
pub mod uri_signing;
pub mod url_prefix;
pub mod verification_cache;

use claims::{Claims, TokenError, VerificationContext};
use keys::KeySet;

/// A token format.
pub trait TokenFormat {
    /// The format's name in the configuration.
    fn name(&self) -> &'static str;
    /// Its configuration, which the result of a verification may depend on.
    fn parameters(&self) -> &[String] {
        &[]
    }
    /// Parses a token and verifies its signature. Time, client and scope are checked by the claims.
    fn verify(&self, token: &str, keys: &KeySet, context: &VerificationContext)
    -> Result<Claims, TokenError>;
}

/// Checks on each use that neither key nor token is revoked and the key is still valid.
pub fn check_key(claims: &Claims, keys: &KeySet, now: claims::VerificationTime) -> Result<(), TokenError> {
    if keys.is_revoked(&claims.key, claims.id.as_deref()) {
        return Err(TokenError::Revoked);
    }
    let key = keys.key(&claims.key).ok_or(TokenError::UnknownKey)?;
    // The key's owner stated its validity: clock skew does not extend it.
    if key.is_valid_at(now.unix_ms / 1000) { Ok(()) } else { Err(TokenError::KeyNotValid) }
}

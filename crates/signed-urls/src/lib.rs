//! Signed URLs and tokens as used by content delivery networks: token formats, keys, claims and a
//! verification cache. The crate does no I/O and does not read the clock.
//!
//! A token is verified in four steps, each of which bounds the cost of the next: the token's size, its
//! signature by a key of the set, its claims, and finally whether they cover the time and the scope of the
//! request. The result is an authorization for the routing engine.

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
    /// Returns the format's name in the configuration.
    fn name(&self) -> &'static str;
    /// Returns the format's configuration, on which the result of a verification may depend.
    fn parameters(&self) -> &[String] {
        &[]
    }
    /// Parses a token and verifies its signature. It does not check time, client and scope; see
    /// [`Claims::authorize`].
    fn verify(&self, token: &str, keys: &KeySet, context: &VerificationContext)
    -> Result<Claims, TokenError>;
}

/// Checks that neither the key nor the token is revoked, and that the key is valid at this time. Must be
/// called for each use of a token, also if its claims are cached.
pub fn check_key(claims: &Claims, keys: &KeySet, now: claims::VerificationTime) -> Result<(), TokenError> {
    if keys.is_revoked(&claims.key, claims.id.as_deref()) {
        return Err(TokenError::Revoked);
    }
    let key = keys.key(&claims.key).ok_or(TokenError::UnknownKey)?;
    // The validity period is stated by the key's owner, so the tolerated clock skew does not extend it.
    if key.is_valid_at(now.unix_ms / 1000) { Ok(()) } else { Err(TokenError::KeyNotValid) }
}

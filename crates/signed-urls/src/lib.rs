//! Signed URLs and tokens as content networks use them: their formats, keys, and whether a request may pass.
//! Nothing here does I/O or reads a clock.
//!
//! A token goes through four steps, each of which bounds what the next may cost: its size, its signature by a
//! key of the set, its claims, and time and scope of the request. What comes out is a fact for the decision
//! module.

pub mod claims;
pub mod clock;
pub mod edit;
pub mod hmac_form;
pub mod keys;
pub mod normal;
pub mod playback;
pub mod prefix;
pub mod uri_signing;
pub mod verification_cache;

use claims::{Asked, Claims, Refusal};
use keys::KeySet;

/// One form of tokens.
pub trait Format {
    fn name(&self) -> &'static str;
    /// What it is set up with, beside its name: what it says of a token may hang on these.
    fn terms(&self) -> &[String] {
        &[]
    }
    /// What a token says, once it is read and its signature holds; time, client and scope are judged by the
    /// claims.
    fn check(&self, token: &str, keys: &KeySet, asked: &Asked) -> Result<Claims, Refusal>;
}

/// Whether what the key signed may still be used: revocation and the key's own time, on each use.
pub fn holds(claims: &Claims, keys: &KeySet, now: claims::Now) -> Result<(), Refusal> {
    if keys.is_revoked(&claims.key, claims.id.as_deref()) {
        return Err(Refusal::Revoked);
    }
    let key = keys.key(&claims.key).ok_or(Refusal::UnknownKey)?;
    // The owner of a key said when it ends: no skew of ours widens that.
    if key.holds_at(now.unix_ms / 1000) { Ok(()) } else { Err(Refusal::KeyTime) }
}

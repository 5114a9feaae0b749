//! The URL prefix token format, `URLPrefix=..&Expires=..&KeyName=..&Signature=..`. The signature is an
//! Ed25519 signature of the text in front of it.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE;

use crate::TokenFormat;
use crate::claims::{Claims, Scope, TokenError, VerificationContext};
use crate::keys::{Algorithm, Key, KeySet};

/// The maximum size of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// The URL prefix format.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrlPrefixFormat;

impl UrlPrefixFormat {
    /// Signs a URL prefix. `expires` is in Unix seconds. `None` if the key is not an Ed25519 key that may
    /// sign.
    ///
    /// The prefix should end with a slash. Otherwise the token also covers all paths that merely start with
    /// the same characters.
    pub fn sign(&self, key: &Key, prefix: &str, expires: u64) -> Option<String> {
        let prefix = URL_SAFE.encode(prefix);
        let text = format!("URLPrefix={prefix}&Expires={expires}&KeyName={}", key.id);
        let signature = key.sign(text.as_bytes()).filter(|_| key.algorithm == Algorithm::EdDsa)?;
        Some(format!("{text}&Signature={}", URL_SAFE.encode(signature)))
    }
}

impl TokenFormat for UrlPrefixFormat {
    fn name(&self) -> &'static str {
        "prefix"
    }

    fn verify(&self, token: &str, keys: &KeySet, _: &VerificationContext) -> Result<Claims, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let malformed = TokenError::Malformed("not URLPrefix, Expires, KeyName and Signature, in this order");
        let (text, signature) = token.split_once("&Signature=").ok_or(malformed)?;
        let mut fields = text.split('&');
        let mut field = |name: &str| fields.next()?.strip_prefix(name)?.strip_prefix('=');
        let (Some(prefix), Some(expires), Some(key)) =
            (field("URLPrefix"), field("Expires"), field("KeyName"))
        else {
            return Err(malformed);
        };
        if fields.next().is_some() {
            return Err(malformed);
        }
        let signature =
            URL_SAFE.decode(signature).map_err(|_| TokenError::Malformed("a signature that is no base64"))?;
        let key = keys.key(key).ok_or(TokenError::UnknownKey)?;
        if key.algorithm != Algorithm::EdDsa {
            return Err(TokenError::AlgorithmMismatch);
        }
        if !key.verifies(text.as_bytes(), &signature) {
            return Err(TokenError::InvalidSignature);
        }
        let is_decimal = expires.len() <= 12 && expires.bytes().all(|byte| byte.is_ascii_digit());
        let expires = expires
            .parse()
            .ok()
            .filter(|_| is_decimal)
            .ok_or(TokenError::Malformed("an end that is no number"))?;
        let prefix = URL_SAFE.decode(prefix).ok().and_then(|bytes| String::from_utf8(bytes).ok());
        let prefix = prefix.ok_or(TokenError::Malformed("a prefix that is no base64 of text"))?;
        // Without a slash after the host, the prefix would cover all hosts that start with the same
        // characters.
        if !prefix.split_once("://").is_some_and(|(_, rest)| rest.contains('/')) {
            return Err(TokenError::Malformed("a prefix without a path"));
        }
        Ok(Claims {
            key: key.id.clone(),
            not_before: None,
            expires: Some(expires),
            scope: Scope::UrlPrefix(prefix),
            client: None,
            id: None,
            renewal: None,
        })
    }
}

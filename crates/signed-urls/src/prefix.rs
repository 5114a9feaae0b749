//! The Ed25519 prefix signature: `URLPrefix=..&Expires=..&KeyName=..&Signature=..`, over the text before the
//! signature.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE;

use crate::Format;
use crate::claims::{Asked, Claims, Refusal, Scope};
use crate::keys::{Algorithm, Key, KeySet};

const LONGEST: usize = 4 << 10;

/// For a prefix of URLs, until a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixSignature;

impl PrefixSignature {
    /// Signs for all URLs that begin so; it should end with a slash, or names that begin alike are let in
    /// too.
    pub fn sign(&self, key: &Key, prefix: &str, expires: u64) -> Option<String> {
        let prefix = URL_SAFE.encode(prefix);
        let text = format!("URLPrefix={prefix}&Expires={expires}&KeyName={}", key.id);
        let signature = key.sign(text.as_bytes()).filter(|_| key.algorithm == Algorithm::EdDsa)?;
        Some(format!("{text}&Signature={}", URL_SAFE.encode(signature)))
    }
}

impl Format for PrefixSignature {
    fn name(&self) -> &'static str {
        "prefix"
    }

    fn check(&self, token: &str, keys: &KeySet, _: &Asked) -> Result<Claims, Refusal> {
        if token.len() > LONGEST {
            return Err(Refusal::Long);
        }
        let order = Refusal::Unreadable("not URLPrefix, Expires, KeyName and Signature, in this order");
        let (text, signature) = token.split_once("&Signature=").ok_or(order)?;
        let mut fields = text.split('&');
        let mut field = |name: &str| fields.next()?.strip_prefix(name)?.strip_prefix('=');
        let (Some(prefix), Some(expires), Some(key)) =
            (field("URLPrefix"), field("Expires"), field("KeyName"))
        else {
            return Err(order);
        };
        if fields.next().is_some() {
            return Err(order);
        }
        let signature =
            URL_SAFE.decode(signature).map_err(|_| Refusal::Unreadable("a signature that is no base64"))?;
        let key = keys.key(key).ok_or(Refusal::UnknownKey)?;
        if key.algorithm != Algorithm::EdDsa {
            return Err(Refusal::Algorithm);
        }
        if !key.checks(text.as_bytes(), &signature) {
            return Err(Refusal::Signature);
        }
        let plain = expires.len() <= 12 && expires.bytes().all(|byte| byte.is_ascii_digit());
        let expires =
            expires.parse().ok().filter(|_| plain).ok_or(Refusal::Unreadable("an end that is no number"))?;
        let prefix = URL_SAFE.decode(prefix).ok().and_then(|bytes| String::from_utf8(bytes).ok());
        let prefix = prefix.ok_or(Refusal::Unreadable("a prefix that is no base64 of text"))?;
        // Without a slash behind its host, a prefix would let in every host that begins alike.
        if !prefix.split_once("://").is_some_and(|(_, rest)| rest.contains('/')) {
            return Err(Refusal::Unreadable("a prefix without a path"));
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

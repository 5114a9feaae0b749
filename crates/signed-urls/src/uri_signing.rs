//! URI Signing for CDN Interconnection (RFC 9246): a JSON Web Token in `URISigningPackage`.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use regex::RegexBuilder;
use serde::{Deserialize, Serialize};

use crate::TokenFormat;
use crate::claims::{Claims, ClientNetwork, Renewal, Scope, TokenError, VerificationContext};
use crate::keys::{Key, KeySet};

/// The maximum size of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 8 << 10;
/// The maximum size of a regular expression's text, in bytes.
const MAX_EXPRESSION_BYTES: usize = 1 << 10;
/// The maximum size of a compiled regular expression, in bytes.
const MAX_COMPILED_EXPRESSION_BYTES: usize = 256 << 10;

/// The URI signing format.
#[derive(Clone, Debug, Default)]
pub struct UriSigningFormat {
    /// The audience that a token's `aud` claim must contain, if the token has this claim. `None` accepts any.
    pub audience: Option<String>,
}

#[derive(Deserialize)]
struct Header {
    alg: String,
    kid: String,
    #[serde(default)]
    crit: Vec<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Audience {
    One(String),
    Many(Vec<String>),
}

/// The claims, with their names from RFC 9246. A token is rejected if a claim occurs twice. Unknown claims
/// are ignored unless they are marked as critical.
#[derive(Deserialize)]
struct Payload {
    cdniv: Option<u64>,
    cdnicrit: Option<String>,
    cdniip: Option<String>,
    cdniuc: String,
    cdniets: Option<u64>,
    cdnistt: Option<u8>,
    cdnistd: Option<u32>,
    exp: Option<u64>,
    nbf: Option<u64>,
    jti: Option<String>,
    aud: Option<Audience>,
}

/// The supported version of the claims (`cdniv`).
const CLAIMS_VERSION: u64 = 1;

/// The claims that may be marked as critical (`cdnicrit`).
const KNOWN_CLAIMS: [&str; 12] = [
    "cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd", "exp", "nbf", "iat", "jti",
    "aud",
];

/// The claims to sign, with their names from RFC 9246.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UriSigningClaims {
    /// The URI container, which states the covered URLs.
    pub cdniuc: String,
    /// The time at which the token expires, in Unix seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exp: Option<u64>,
    /// The time from which the token is valid, in Unix seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nbf: Option<u64>,
    /// The id of the token itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jti: Option<String>,
    /// The audience of the token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub aud: Option<String>,
    /// The client network that may use the token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdniip: Option<String>,
    /// The lifetime of a renewed token, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdniets: Option<u64>,
    /// How a renewed token is sent: 0 for no renewal, 1 for a cookie, 2 for the query.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdnistt: Option<u8>,
    /// The number of path segments that a renewed token covers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdnistd: Option<u32>,
}

fn decode_part(text: &str) -> Result<Vec<u8>, TokenError> {
    URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed("a part that is no base64url"))
}

impl UriSigningFormat {
    /// Signs the claims. `None` if the key may not sign.
    pub fn sign(&self, key: &Key, claims: &UriSigningClaims) -> Option<String> {
        #[derive(Serialize)]
        struct SignedHeader<'a> {
            alg: &'a str,
            kid: &'a str,
        }
        let head = serde_json::to_vec(&SignedHeader { alg: key.algorithm.name(), kid: &key.id }).ok()?;
        let body = serde_json::to_vec(claims).ok()?;
        let text = format!("{}.{}", URL_SAFE_NO_PAD.encode(head), URL_SAFE_NO_PAD.encode(body));
        let signature = key.sign(text.as_bytes())?;
        Some(format!("{text}.{}", URL_SAFE_NO_PAD.encode(signature)))
    }

    /// Returns the container (`cdniuc`) that covers only this URL.
    pub fn hash_container(url: &str) -> String {
        let hash = ring::digest::digest(&ring::digest::SHA256, url.as_bytes());
        format!("hash:sha-256;{}", URL_SAFE_NO_PAD.encode(hash))
    }
}

fn parse_scope(container: &str) -> Result<Scope, TokenError> {
    if let Some(expression) = container.strip_prefix("regex:") {
        if expression.len() > MAX_EXPRESSION_BYTES {
            return Err(TokenError::TooLong);
        }
        // Anchored on both sides, so that the expression must match the whole URL.
        let built = RegexBuilder::new(&format!("^(?:{expression})$"))
            .size_limit(MAX_COMPILED_EXPRESSION_BYTES)
            .build();
        return built.map(Scope::Expression).map_err(|_| TokenError::Malformed("an expression that is none"));
    }
    let hash = container.strip_prefix("hash:").and_then(|hash| hash.strip_prefix("sha-256;"));
    let hash = hash.ok_or(TokenError::Malformed("a container of no known form"))?;
    let hash =
        decode_part(hash)?.try_into().map_err(|_| TokenError::Malformed("a hash that is not 32 bytes"))?;
    Ok(Scope::Hash(hash))
}

impl TokenFormat for UriSigningFormat {
    fn name(&self) -> &'static str {
        "uri-signing"
    }

    fn parameters(&self) -> &[String] {
        self.audience.as_slice()
    }

    fn verify(&self, token: &str, keys: &KeySet, _: &VerificationContext) -> Result<Claims, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let (key, body) = verify_signature(token, keys)?;
        // The claims are parsed only after the signature has been verified.
        let payload: Payload = serde_json::from_slice(&body)
            .map_err(|_| TokenError::Malformed("claims that are missing, twice or of the wrong kind"))?;
        payload.check_critical()?;
        if let (Some(ours), Some(theirs)) = (&self.audience, &payload.aud)
            && !theirs.includes(ours)
        {
            return Err(TokenError::AudienceMismatch);
        }
        let malformed_address = TokenError::Malformed("an address that is none, or sealed");
        let client = match &payload.cdniip {
            Some(text) => Some(ClientNetwork::parse(text).ok_or(malformed_address)?),
            None => None,
        };
        Ok(Claims {
            key: key.id.clone(),
            not_before: payload.nbf,
            expires: payload.exp,
            renewal: payload.renewal()?,
            scope: parse_scope(&payload.cdniuc)?,
            client,
            id: payload.jti,
        })
    }
}

/// Verifies the signature of a token. Returns its key and its decoded payload.
fn verify_signature<'k>(token: &str, keys: &'k KeySet) -> Result<(&'k Key, Vec<u8>), TokenError> {
    let mut parts = token.split('.');
    let (Some(header), Some(body), Some(signature), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(TokenError::Malformed("not three parts"));
    };
    let signed = &token.as_bytes()[..header.len() + 1 + body.len()];
    let header: Header = serde_json::from_slice(&decode_part(header)?)
        .map_err(|_| TokenError::Malformed("a header without alg and kid"))?;
    let key = keys.key(&header.kid).ok_or(TokenError::UnknownKey)?;
    // The key determines the algorithm. If the token could choose it, a forged token could name HMAC and use
    // a public key as the secret.
    if header.alg != key.algorithm.name() {
        return Err(TokenError::AlgorithmMismatch);
    }
    if !key.verifies(signed, &decode_part(signature)?) {
        return Err(TokenError::InvalidSignature);
    }
    if !header.crit.is_empty() {
        return Err(TokenError::UnknownCriticalClaim);
    }
    Ok((key, decode_part(body)?))
}

impl Payload {
    /// Rejects unsupported critical claims, and unsupported versions of the claims.
    fn check_critical(&self) -> Result<(), TokenError> {
        let critical = self.cdnicrit.as_deref().unwrap_or_default();
        let unknown = critical.split(',').any(|claim| !claim.is_empty() && !KNOWN_CLAIMS.contains(&claim));
        let other_version = self.cdniv.is_some_and(|version| version != CLAIMS_VERSION);
        if unknown || other_version { Err(TokenError::UnknownCriticalClaim) } else { Ok(()) }
    }

    /// Returns how the token is renewed. `None` if it is not.
    fn renewal(&self) -> Result<Option<Renewal>, TokenError> {
        match (self.cdniets, self.cdnistt.unwrap_or(0)) {
            (_, 0) | (None, _) => Ok(None),
            (Some(lifetime_seconds), transport @ (1 | 2)) => {
                Ok(Some(Renewal { lifetime_seconds, transport, depth: self.cdnistd.unwrap_or(0) }))
            }
            _ => Err(TokenError::UnknownCriticalClaim),
        }
    }
}

impl Audience {
    fn includes(&self, audience: &String) -> bool {
        match self {
            Self::One(one) => one == audience,
            Self::Many(many) => many.contains(audience),
        }
    }
}

//! URI signing for CDN interconnection (RFC 9246): a JSON token in `URISigningPackage`.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use regex::RegexBuilder;
use serde::{Deserialize, Serialize};

use crate::Format;
use crate::claims::{Asked, Claims, Prefix, Refusal, Renewal, Scope};
use crate::keys::{Key, KeySet};

/// The longest token, the longest expression, and what one may take compiled.
const LONGEST: usize = 8 << 10;
const LONGEST_EXPRESSION: usize = 1 << 10;
const EXPRESSION_SIZE: usize = 256 << 10;

/// A token of one of our own forms of checks: for whom it has to be.
#[derive(Clone, Debug, Default)]
pub struct UriSigning {
    /// What `aud` has to name, where a token says for whom it is.
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

/// The claims as RFC 9246 names them. Given twice, one refuses the token; unknown ones count only where
/// critical.
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

const KNOWN: [&str; 12] = [
    "cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd", "exp", "nbf", "iat", "jti",
    "aud",
];

/// What is signed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Signed {
    pub cdniuc: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exp: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nbf: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jti: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub aud: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdniip: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdniets: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdnistt: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cdnistd: Option<u32>,
}

fn part(text: &str) -> Result<Vec<u8>, Refusal> {
    URL_SAFE_NO_PAD.decode(text).map_err(|_| Refusal::Unreadable("a part that is no base64url"))
}

impl UriSigning {
    pub fn sign(&self, key: &Key, signed: &Signed) -> Option<String> {
        #[derive(Serialize)]
        struct Head<'a> {
            alg: &'a str,
            kid: &'a str,
        }
        let head = serde_json::to_vec(&Head { alg: key.algorithm.name(), kid: &key.id }).ok()?;
        let body = serde_json::to_vec(signed).ok()?;
        let text = format!("{}.{}", URL_SAFE_NO_PAD.encode(head), URL_SAFE_NO_PAD.encode(body));
        let signature = key.sign(text.as_bytes())?;
        Some(format!("{text}.{}", URL_SAFE_NO_PAD.encode(signature)))
    }

    /// The container of a URL's hash: for one URL alone.
    pub fn hash_of(url: &str) -> String {
        let hash = ring::digest::digest(&ring::digest::SHA256, url.as_bytes());
        format!("hash:sha-256;{}", URL_SAFE_NO_PAD.encode(hash))
    }
}

fn scope(container: &str) -> Result<Scope, Refusal> {
    if let Some(expression) = container.strip_prefix("regex:") {
        if expression.len() > LONGEST_EXPRESSION {
            return Err(Refusal::Long);
        }
        // Of the whole URL: one that fits a part of it would let everything pass that holds that part.
        let built = RegexBuilder::new(&format!("^(?:{expression})$")).size_limit(EXPRESSION_SIZE).build();
        return built.map(Scope::Expression).map_err(|_| Refusal::Unreadable("an expression that is none"));
    }
    let hash = container.strip_prefix("hash:").and_then(|hash| hash.strip_prefix("sha-256;"));
    let hash = hash.ok_or(Refusal::Unreadable("a container of no known form"))?;
    let hash = part(hash)?.try_into().map_err(|_| Refusal::Unreadable("a hash that is not 32 bytes"))?;
    Ok(Scope::Hash(hash))
}

impl Format for UriSigning {
    fn name(&self) -> &'static str {
        "uri-signing"
    }

    fn terms(&self) -> &[String] {
        self.audience.as_slice()
    }

    fn check(&self, token: &str, keys: &KeySet, _: &Asked) -> Result<Claims, Refusal> {
        if token.len() > LONGEST {
            return Err(Refusal::Long);
        }
        let mut parts = token.split('.');
        let (Some(head), Some(body), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Refusal::Unreadable("not three parts"));
        };
        let header: Header = serde_json::from_slice(&part(head)?)
            .map_err(|_| Refusal::Unreadable("a header without alg and kid"))?;
        let key = keys.key(&header.kid).ok_or(Refusal::UnknownKey)?;
        // The algorithm is the key's: one that a token chooses may turn a public key into a secret.
        if header.alg != key.algorithm.name() {
            return Err(Refusal::Algorithm);
        }
        if !key.checks(&token.as_bytes()[..head.len() + 1 + body.len()], &part(signature)?) {
            return Err(Refusal::Signature);
        }
        if !header.crit.is_empty() {
            return Err(Refusal::Critical);
        }
        // Nothing of the claims is read before the signature holds.
        let payload: Payload = serde_json::from_slice(&part(body)?)
            .map_err(|_| Refusal::Unreadable("claims that are missing, twice or of the wrong kind"))?;
        let critical = payload.cdnicrit.as_deref().unwrap_or_default();
        if critical.split(',').any(|claim| !claim.is_empty() && !KNOWN.contains(&claim)) {
            return Err(Refusal::Critical);
        }
        if payload.cdniv.is_some_and(|version| version != 1) {
            return Err(Refusal::Critical);
        }
        if let (Some(ours), Some(theirs)) = (&self.audience, &payload.aud) {
            let named = match theirs {
                Audience::One(one) => one == ours,
                Audience::Many(many) => many.contains(ours),
            };
            if !named {
                return Err(Refusal::Audience);
            }
        }
        let client = match &payload.cdniip {
            Some(text) => {
                Some(Prefix::read(text).ok_or(Refusal::Unreadable("an address that is none, or sealed"))?)
            }
            None => None,
        };
        let renewal = match (payload.cdniets, payload.cdnistt.unwrap_or(0)) {
            (_, 0) | (None, _) => None,
            (Some(holds), transport @ (1 | 2)) => {
                Some(Renewal { holds, transport, depth: payload.cdnistd.unwrap_or(0) })
            }
            _ => return Err(Refusal::Critical),
        };
        Ok(Claims {
            key: key.id.clone(),
            not_before: payload.nbf,
            expires: payload.exp,
            scope: scope(&payload.cdniuc)?,
            client,
            id: payload.jti,
            renewal,
        })
    }
}

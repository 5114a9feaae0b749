//! Requests with signed URLs of every kind, each with the result that the router must come to.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::tokens::{OLD_KEY, REVOKED_TOKEN, hmac_token, json_web_token};
use crate::fleet::unix_ms;

/// The kinds of requests, by their names in the report.
pub(super) const KINDS: [&str; 14] = [
    "good",
    "good-token",
    "good-cookie",
    "re-encoded",
    "lapsed",
    "just-lapsed",
    "early",
    "forged",
    "foreign",
    "copied",
    "truncated",
    "elsewhere",
    "missing",
    "revoked",
];

/// The clock skew that the router tolerates by its configuration, in seconds.
pub(super) const SKEW: i64 = 2;

/// The paths that a valid token covers.
const VALID_PATHS: &str = "/v1/store/pages/*";

/// The result that a client must get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    Authorized,
    RetryLater,
    Denied,
}

impl Expected {
    /// The result that a status stands for.
    pub(super) fn from_status(status: u16) -> Option<Self> {
        match status {
            200 => Some(Self::Authorized),
            503 => Some(Self::RetryLater),
            403 => Some(Self::Denied),
            _ => None,
        }
    }

    /// The name in the report.
    pub(super) fn report_key(self) -> &'static str {
        match self {
            Self::Authorized => "Authorization",
            Self::RetryLater => "ComeBack",
            Self::Denied => "Refused",
        }
    }
}

/// How far clocks are off the testbed's own, in seconds.
#[derive(Clone, Copy)]
pub(super) struct ClockOffsets {
    /// The time that caches and signers agree on.
    pub(super) agreed: i64,
    /// The signers' time, against the agreed one.
    pub(super) signer: i64,
}

/// What is settled of a request before its path and client are drawn.
pub(super) struct Variant {
    pub(super) kind: &'static str,
    pub(super) key: &'static str,
    pub(super) old_key_revoked: bool,
    pub(super) offsets: ClockOffsets,
}

/// A request, and the result that it must get.
pub(super) struct SignedRequest {
    pub(super) target: String,
    /// Header lines, each with its line end.
    pub(super) headers: String,
    pub(super) expected: Expected,
}

/// When a token is valid, in Unix seconds.
#[derive(Clone, Copy)]
struct Validity {
    begins: i64,
    ends: i64,
}

/// A request to be signed.
struct Draft<'a> {
    variant: &'a Variant,
    /// The time that caches and signers agree on: the router has to judge by it, not by its own clock.
    now: i64,
    signed_at: i64,
    path: String,
    /// Makes each token different: one that many clients use is denied to all but a few.
    token_id: u64,
    /// Different for each request: the checks of one client are limited, and most of these tokens are bad.
    client: String,
}

impl Variant {
    /// Draws the rest of a request and signs it.
    pub(super) fn request(&self, random: &mut Pcg64Mcg) -> SignedRequest {
        let mut draft = self.draw(random);
        let mut headers = String::new();
        let (target, expected) = match self.kind {
            "good-cookie" => {
                let (token, expected) = draft.sign_json("t1");
                headers = format!("cookie: a=b; URISigningPackage={token}\r\n");
                (draft.path.clone(), expected)
            }
            "good-token" => draft.json_target("t1"),
            "revoked" => (draft.json_target(REVOKED_TOKEN).0, Expected::Denied),
            "good" | "lapsed" | "just-lapsed" | "early" => draft.hmac_target(draft.validity()),
            "re-encoded" => {
                draft.path = draft.path.replace("/pages/", "//%70ages/./").replace("/v1/", "/x/../v1/");
                draft.hmac_target(draft.validity())
            }
            "copied" => {
                draft.client = draft.client.replace("10.1.", "10.9.");
                (draft.tampered_target(random), Expected::Denied)
            }
            _ => (draft.tampered_target(random), Expected::Denied),
        };
        headers.push_str(&format!("x-envoy-external-address: {}\r\n", draft.client));
        SignedRequest { target, headers, expected }
    }

    fn draw(&self, random: &mut Pcg64Mcg) -> Draft<'_> {
        let now = unix_ms() as i64 / 1000 + self.offsets.agreed;
        let object = format!("{:016x}", random.random_range(0x1000..0x1040u64));
        let path = format!("/v1/store/pages/{object}/{}", random.random_range(0..4));
        let token_id = random.random();
        let client = format!("10.1.{}.{}", random.random::<u8>(), random.random::<u8>());
        Draft { variant: self, now, signed_at: now + self.offsets.signer, path, token_id, client }
    }
}

impl Draft<'_> {
    /// When the token of a request of this kind is valid.
    fn validity(&self) -> Validity {
        let signed_at = self.signed_at;
        match self.variant.kind {
            "lapsed" => Validity { begins: signed_at - 900, ends: signed_at - 600 },
            "just-lapsed" => Validity { begins: signed_at - 900, ends: signed_at - SKEW - 3 },
            "early" => Validity { begins: signed_at + 60, ends: signed_at + 600 },
            _ => Validity { begins: signed_at - 30, ends: signed_at + 600 },
        }
    }

    /// The result for a token that nobody tampered with. A signer that is off by more than the skew makes its
    /// tokens begin or end at other times, as it should.
    fn expected(&self, validity: Validity) -> Expected {
        if self.variant.old_key_revoked && self.variant.key == OLD_KEY {
            Expected::Denied
        } else if self.now + SKEW < validity.begins {
            Expected::RetryLater
        } else if self.now >= validity.ends + SKEW {
            Expected::Denied
        } else {
            Expected::Authorized
        }
    }

    fn fields(&self, validity: Validity, paths: &str) -> String {
        let Validity { begins, ends } = validity;
        format!("ip=10.1.0.0/16~st={begins}~exp={ends}~acl={paths}~data={}", self.token_id)
    }

    fn target_with(&self, token: &str) -> String {
        format!("{}?t={}", self.path, token.replace('=', "%3d"))
    }

    fn hmac_target(&self, validity: Validity) -> (String, Expected) {
        let token = hmac_token(self.variant.key, &self.fields(validity, VALID_PATHS));
        (self.target_with(&token), self.expected(validity))
    }

    fn sign_json(&self, id: &str) -> (String, Expected) {
        let validity = self.validity();
        let container = "regex:https://videos\\.example/v1/store/pages/.*";
        let claims = json!({"cdniuc": container, "exp": validity.ends, "nbf": validity.begins,
                            "jti": id, "cdniip": "10.1.0.0/16", "note": self.token_id});
        (json_web_token(self.variant.key, &claims), self.expected(validity))
    }

    fn json_target(&self, id: &str) -> (String, Expected) {
        let (token, expected) = self.sign_json(id);
        (format!("{}?URISigningPackage={token}", self.path), expected)
    }

    /// A target whose token is invalid for this request, or that has none.
    fn tampered_target(&self, random: &mut Pcg64Mcg) -> String {
        let key = self.variant.key;
        let fields = self.fields(self.validity(), VALID_PATHS);
        let token = match self.variant.kind {
            "forged" => hmac_token(key, &fields).replace("exp=", "exp=9"),
            "foreign" => hmac_token("stranger", &fields),
            "copied" => hmac_token(key, &fields),
            "truncated" => {
                let mut token = hmac_token(key, &fields);
                token.truncate(token.len() - random.random_range(1..40));
                token
            }
            "elsewhere" => hmac_token(key, &self.fields(self.validity(), "/v1/store/pages/ffff*")),
            _ => return self.path.clone(),
        };
        self.target_with(&token)
    }
}

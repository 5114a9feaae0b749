//! Generates requests with signed URLs of every kind, each with the result that the router must return.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::tokens::{OLD_KEY, REVOKED_TOKEN, hmac_token, json_web_token};
use crate::fleet::unix_ms;

/// The kinds of requests, as named in the report.
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

/// The clock skew that the router is configured to tolerate, in seconds.
pub(super) const SKEW: i64 = 2;

/// The paths that a valid token allows.
const VALID_PATHS: &str = "/v1/store/pages/*";

/// The result that a request must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    Authorized,
    RetryLater,
    Denied,
}

impl Expected {
    /// Returns the result that an HTTP status stands for; `None` if the status is none of the expected ones.
    pub(super) fn from_status(status: u16) -> Option<Self> {
        match status {
            200 => Some(Self::Authorized),
            503 => Some(Self::RetryLater),
            403 => Some(Self::Denied),
            _ => None,
        }
    }

    /// Returns the name of the result in the report.
    pub(super) fn report_key(self) -> &'static str {
        match self {
            Self::Authorized => "Authorization",
            Self::RetryLater => "ComeBack",
            Self::Denied => "Refused",
        }
    }
}

/// Clock offsets, in seconds.
#[derive(Clone, Copy)]
pub(super) struct ClockOffsets {
    /// Offset of the time that caches and signers agree on from the testbed's own clock.
    pub(super) agreed: i64,
    /// Offset of the signers' clocks from the agreed time.
    pub(super) signer: i64,
}

/// The properties of a request that are set before its path and client are drawn.
pub(super) struct Variant {
    pub(super) kind: &'static str,
    pub(super) key: &'static str,
    pub(super) old_key_revoked: bool,
    pub(super) offsets: ClockOffsets,
}

/// A request and the result that it must have.
pub(super) struct SignedRequest {
    pub(super) target: String,
    /// Header lines, each terminated by CRLF.
    pub(super) headers: String,
    pub(super) expected: Expected,
}

/// The period in which a token is valid, in Unix seconds.
#[derive(Clone, Copy)]
struct Validity {
    begins: i64,
    ends: i64,
}

/// A request before it is signed.
struct Draft<'a> {
    variant: &'a Variant,
    /// The time that caches and signers agree on, in Unix seconds. The router must check tokens against this
    /// time and not against its own clock.
    now: i64,
    /// The signer's time, in Unix seconds.
    signed_at: i64,
    path: String,
    /// Makes each token unique, because a token that many clients use is denied to all but a few of them.
    token_id: u64,
    /// Client address, drawn for each request, because the router limits the checks of one client and most of
    /// these tokens are invalid.
    client: String,
}

impl Variant {
    /// Draws the other properties of a request and signs it.
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

    /// Draws the path, token id and client of a request.
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
    /// Returns the validity period of the token, which depends on the kind of the request.
    fn validity(&self) -> Validity {
        let signed_at = self.signed_at;
        match self.variant.kind {
            "lapsed" => Validity { begins: signed_at - 900, ends: signed_at - 600 },
            "just-lapsed" => Validity { begins: signed_at - 900, ends: signed_at - SKEW - 3 },
            "early" => Validity { begins: signed_at + 60, ends: signed_at + 600 },
            _ => Validity { begins: signed_at - 30, ends: signed_at + 600 },
        }
    }

    /// Returns the result for a token that was not tampered with. If the signer's clock is off by more than
    /// the skew, its tokens begin or end at other times, and the expected result changes accordingly.
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

    /// Formats the fields of an HMAC token.
    fn fields(&self, validity: Validity, paths: &str) -> String {
        let Validity { begins, ends } = validity;
        format!("ip=10.1.0.0/16~st={begins}~exp={ends}~acl={paths}~data={}", self.token_id)
    }

    /// Appends an HMAC token to the path.
    fn target_with(&self, token: &str) -> String {
        format!("{}?t={}", self.path, token.replace('=', "%3d"))
    }

    /// Returns a target with an HMAC token, and the expected result.
    fn hmac_target(&self, validity: Validity) -> (String, Expected) {
        let token = hmac_token(self.variant.key, &self.fields(validity, VALID_PATHS));
        (self.target_with(&token), self.expected(validity))
    }

    /// Returns a JSON Web Token with this token id, and the expected result.
    fn sign_json(&self, id: &str) -> (String, Expected) {
        let validity = self.validity();
        let container = "regex:https://videos\\.example/v1/store/pages/.*";
        let claims = json!({"cdniuc": container, "exp": validity.ends, "nbf": validity.begins,
                            "jti": id, "cdniip": "10.1.0.0/16", "note": self.token_id});
        (json_web_token(self.variant.key, &claims), self.expected(validity))
    }

    /// Returns a target with a JSON Web Token, and the expected result.
    fn json_target(&self, id: &str) -> (String, Expected) {
        let (token, expected) = self.sign_json(id);
        (format!("{}?URISigningPackage={token}", self.path), expected)
    }

    /// Returns a target whose token is invalid for this request or missing.
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

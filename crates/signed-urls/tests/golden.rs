//! Golden files of signed URLs: a key set that only this test uses, and tokens of each format signed with it.
//! Each line of `tests/golden/tokens.txt` has a name, a tab and the token. Signing is deterministic in every
//! format (HMAC and Ed25519), so the test signs each token again and compares it. It also verifies each
//! recorded token.
//!
//! To record the tokens again:
//!
//! ```sh
//! cargo test -p tindoor-signed-urls --test golden -- --ignored record
//! ```

use std::fs;
use std::net::IpAddr;
use std::path::PathBuf;

use tindoor_signed_urls::claims::{Claims, TokenError, VerificationContext, VerificationTime};
use tindoor_signed_urls::hmac_format::{HmacFields, HmacFormat};
use tindoor_signed_urls::keys::{Key, KeySet};
use tindoor_signed_urls::normalize::{self, Target};
use tindoor_signed_urls::playback::{Playback, PlaybackLimits};
use tindoor_signed_urls::uri_signing::{UriSigningClaims, UriSigningFormat};
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::{TokenFormat, check_key};

/// The time at which tokens are verified, in Unix seconds.
const NOW: u64 = 1_700_000_000;
/// The time at which tokens expire, in Unix seconds.
const EXPIRES: u64 = NOW + 3600;
const BASE: &str = "https://videos.example";
const PATH: &str = "/lessons/3/video.mp4";

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn keys() -> KeySet {
    KeySet::parse(&fs::read(file("keys.json")).unwrap()).unwrap()
}

fn target() -> Target {
    normalize::normalize(PATH).unwrap()
}

fn request(target: &Target) -> VerificationContext<'_> {
    VerificationContext { base_url: BASE, target, client: IpAddr::from([10, 1, 2, 3]) }
}

fn at(unix: u64) -> VerificationTime {
    VerificationTime { unix_ms: unix * 1000, skew_ms: 0 }
}

fn hmac_format() -> HmacFormat {
    HmacFormat { keys: vec!["hmac-key".into()] }
}

fn uri_signing() -> UriSigningFormat {
    UriSigningFormat { audience: Some("edge".into()) }
}

/// Returns the format of a token by its name.
fn format_of(name: &str) -> Box<dyn TokenFormat> {
    match name {
        _ if name.starts_with("hmac") => Box::new(hmac_format()),
        _ if name.starts_with("uri-signing") => Box::new(uri_signing()),
        _ if name.starts_with("url-prefix") => Box::new(UrlPrefixFormat),
        _ => panic!("{name}: unknown format"),
    }
}

fn hmac_for_one_path(key: &Key) -> Option<String> {
    hmac_format().sign(key, &HmacFields { expires: EXPIRES, ..HmacFields::default() }, PATH)
}

fn hmac_for_patterns(key: &Key) -> Option<String> {
    let fields = HmacFields {
        not_before: Some(NOW - 60),
        expires: EXPIRES,
        patterns: vec!["/lessons/*".into(), "/maps/?".into()],
        client: Some("10.1.0.0/16".into()),
        id: Some("token-1".into()),
        data: Some("student".into()),
    };
    hmac_format().sign(key, &fields, PATH)
}

fn uri_claims() -> UriSigningClaims {
    UriSigningClaims {
        cdniuc: "regex:https://videos\\.example/lessons/[0-9]+/.*".into(),
        exp: Some(EXPIRES),
        nbf: Some(NOW - 60),
        jti: Some("token-2".into()),
        aud: Some("edge".into()),
        cdniip: Some("10.1.2.3".into()),
        ..UriSigningClaims::default()
    }
}

fn url_tokens() -> Vec<(&'static str, String)> {
    let keys = keys();
    let [hmac, ed25519] = ["hmac-key", "ed25519-key"].map(|id| keys.key(id).unwrap());
    let tokens = [
        ("hmac-one-path", hmac_for_one_path(hmac)),
        ("hmac-patterns", hmac_for_patterns(hmac)),
        ("uri-signing-hs256", uri_signing().sign(hmac, &uri_claims())),
        ("uri-signing-eddsa", uri_signing().sign(ed25519, &uri_claims())),
        ("url-prefix-ed25519", UrlPrefixFormat.sign(ed25519, "https://videos.example/lessons/", EXPIRES)),
    ];
    tokens.map(|(name, token)| (name, token.unwrap())).to_vec()
}

/// Returns the claims of a token after verifying its signature, key, time and scope.
fn verify(name: &str, token: &str, now: VerificationTime) -> Result<Claims, TokenError> {
    let (keys, target) = (keys(), target());
    let claims = format_of(name).verify(token, &keys, &request(&target))?;
    check_key(&claims, &keys, now)?;
    claims.authorize(&request(&target), now)?;
    Ok(claims)
}

/// Returns the first and the second renewal token of a playback that starts with the first signed URL.
fn renewal_tokens() -> Vec<(&'static str, String)> {
    let (keys, target) = (keys(), target());
    let (name, token) = url_tokens().swap_remove(0);
    let claims = verify(name, &token, at(NOW)).unwrap();
    let first = Playback::start(&claims, &request(&target), at(NOW), &PlaybackLimits::DEFAULT).unwrap();
    let next = first.renew(at(NOW + 10), &PlaybackLimits::DEFAULT).unwrap();
    vec![
        ("session-first", first.sign(&keys, at(NOW)).unwrap()),
        ("session-next", next.sign(&keys, at(NOW + 10)).unwrap()),
    ]
}

fn tokens_file() -> String {
    let line = |(name, token): (&str, String)| format!("{name}\t{token}\n");
    url_tokens().into_iter().chain(renewal_tokens()).map(line).collect()
}

fn recorded_tokens() -> Vec<(String, String)> {
    let text = fs::read_to_string(file("tokens.txt")).unwrap();
    let line = |line: &str| line.split_once('\t').map(|(name, token)| (name.to_string(), token.to_string()));
    text.lines().map(|text| line(text).unwrap()).collect()
}

#[test]
fn tokens_are_signed_as_recorded() {
    assert_eq!(tokens_file(), fs::read_to_string(file("tokens.txt")).unwrap());
}

#[test]
fn recorded_url_tokens_are_accepted_until_they_expire() {
    let url_tokens = recorded_tokens().into_iter().filter(|(name, _)| !name.starts_with("session"));
    let mut verified = 0;
    for (name, token) in url_tokens {
        let claims = verify(&name, &token, at(NOW)).unwrap();
        assert_eq!(claims.expires, Some(EXPIRES), "{name}");
        assert_eq!(verify(&name, &token, at(EXPIRES)).unwrap_err(), TokenError::Expired(0), "{name}");
        verified += 1;
    }
    assert_eq!(verified, 5);
}

#[test]
fn recorded_renewal_tokens_are_accepted() {
    let (keys, target) = (keys(), target());
    let renewals = recorded_tokens().into_iter().filter(|(name, _)| name.starts_with("session"));
    let mut verified = 0;
    for (name, token) in renewals {
        let playback = Playback::verify(&token, &keys, &request(&target), at(NOW + 10)).unwrap();
        assert_eq!(playback.path(), "/lessons/3/", "{name}");
        verified += 1;
    }
    assert_eq!(verified, 2);
}

#[test]
fn recorded_keys_are_read() {
    let keys = keys();
    let described: Vec<String> = keys.iter().map(|key| format!("{key:?} signs {}", key.can_sign)).collect();
    assert_eq!(
        described,
        [
            "Key(\"ed25519-key\", EdDSA, 0 to 18446744073709551615) signs true",
            "Key(\"ed25519-public-key\", EdDSA, 0 to 18446744073709551615) signs false",
            "Key(\"hmac-key\", HS256, 1600000000 to 1800000000) signs true",
            "Key(\"p256-public-key\", ES256, 0 to 1900000000) signs false",
        ]
    );
    assert!(keys.key("revoked-key").is_none() && keys.is_revoked("hmac-key", Some("revoked-token")));
}

#[test]
#[ignore = "replaces the golden file"]
fn record() {
    fs::write(file("tokens.txt"), tokens_file()).unwrap();
}

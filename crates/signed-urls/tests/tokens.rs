//! Each token format compared with an independent library, and the rejection of tampered, malformed, expired
//! or revoked tokens.

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use jsonwebtoken::{EncodingKey, Header};
use proptest::prelude::*;
use serde_json::{Value, json};
use sha2::Sha256;
use tindoor_signed_urls::claims::{
    ClientNetwork, TokenError, VerificationContext, VerificationTime, glob_matches,
};
use tindoor_signed_urls::clock::ClockEstimator;
use tindoor_signed_urls::hmac_format::{HmacFields, HmacFormat};
use tindoor_signed_urls::keys::{KeySet, KeySetError};
use tindoor_signed_urls::normalize::{self, Target};
use tindoor_signed_urls::uri_signing::{UriSigningClaims, UriSigningFormat};
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::verification_cache::{Limits, VerificationCache, VerificationError};
use tindoor_signed_urls::{TokenFormat, check_key};

const SECRET: [u8; 32] = [7; 32];
const BASE: &str = "https://videos.example";
/// The Ed25519 key pair of RFC 8032, section 7.1, test 1.
const SEED: &str = "nWGxne_9WmC6hEr0kuwsxERJxWl7MmkZcDusAxyuf2A";
const PUBLIC: &str = "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo";

fn key_set(more: Value) -> Value {
    let mut set = json!({"keys": [
        {"kid": "hmac-key", "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode(SECRET),
         "key_ops": ["sign"]},
        {"kid": "ed25519-key", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC, "d": SEED,
         "key_ops": ["sign"]}
    ]});
    set.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    set
}

fn keys() -> KeySet {
    KeySet::parse(key_set(json!({})).to_string().as_bytes()).unwrap()
}

fn target(path: &str) -> Target {
    normalize::normalize(path).unwrap()
}

fn context<'a>(target: &'a Target) -> VerificationContext<'a> {
    VerificationContext { base_url: BASE, target, client: IpAddr::from([10, 1, 2, 3]) }
}

fn at(unix: u64) -> VerificationTime {
    VerificationTime { unix_ms: unix * 1000, skew_ms: 0 }
}

fn jwt(claims: &Value) -> String {
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("hmac-key".into());
    jsonwebtoken::encode(&header, claims, &EncodingKey::from_secret(&SECRET)).unwrap()
}

/// Verifies and authorizes a request, as a router without a cache would do.
fn check(
    format: &dyn TokenFormat,
    token: &str,
    path: &str,
    now: VerificationTime,
) -> Result<u64, TokenError> {
    let (keys, target) = (keys(), target(path));
    let claims = format.verify(token, &keys, &context(&target))?;
    check_key(&claims, &keys, now)?;
    claims.authorize(&context(&target), now)
}

#[test]
fn paths_are_normalized_and_unsafe_paths_are_rejected() {
    for (text, path) in [
        ("/a/b", "/a/b"),
        ("/a//b/", "/a/b/"),
        ("/a/./b/../c", "/a/c"),
        ("/%61/%7Eb", "/a/~b"),
        ("/a%20b", "/a%20b"),
        ("/a/b/..", "/a/"),
        ("/%2e%2e%2fa", ""),
        ("/a/%2e%2e/b", "/b"),
        ("/a%2fb", ""),
        ("/a\\b", ""),
        ("/../a", ""),
        ("/a%zz", ""),
        ("/a%0d", ""),
        ("/a#b", ""),
        ("a/b", ""),
        ("/%ff", ""),
        ("/%252e%252e/b", "/%252e%252e/b"),
        ("/a%2cb,c%3a", "/a%2Cb,c%3A"),
        ("/%c0%af", ""),
    ] {
        assert_eq!(normalize::normalize(text).map(|target| target.path).unwrap_or_default(), path, "{text}");
    }
    let duplicate_key = normalize::normalize("/a?x=1&y=2&x=3");
    assert_eq!(
        duplicate_key,
        Err(normalize::NormalizeError::DuplicateKey),
        "it is ambiguous which value is served"
    );
    let mut target = target("/a?b=%41+%2b&token=exp%3D2~x&c&=");
    assert_eq!(target.remove_query_value("token").as_deref(), Some("exp=2~x"));
    assert_eq!(target.to_text(), "/a?b=A+%2B&c", "an encoded plus sign is not the same as a plain one");
}

#[test]
fn the_hmac_format_agrees_with_another_library_for_patterns_and_for_one_path() {
    let format = HmacFormat { keys: vec!["hmac-key".into()] };
    let sign = |text: &str, signed: &str| {
        let mut mac = Hmac::<Sha256>::new_from_slice(&SECRET).unwrap();
        mac.update(signed.as_bytes());
        let digits: String = mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{text}~hmac={digits}")
    };
    let patterns = "ip=10.1.2.0/24~st=100~exp=200~acl=/lessons/*!/maps/?~id=7";
    let token = sign(patterns, patterns);
    assert_eq!(check(&format, &token, "/lessons/3/video", at(150)), Ok(200_000));
    assert_eq!(check(&format, &token, "/maps/a", at(150)), Ok(200_000));
    assert_eq!(check(&format, &token, "/other", at(150)), Err(TokenError::PathMismatch));
    assert_eq!(check(&format, &token, "/maps/a", at(99)), Err(TokenError::NotYetValid(1000)));
    assert_eq!(check(&format, &token, "/maps/a", at(200)), Err(TokenError::Expired(0)));
    let one = sign("exp=200", "exp=200~url=/lessons/3");
    assert_eq!(check(&format, &one, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&format, &one, "/lessons/4", at(150)), Err(TokenError::InvalidSignature));
    let fields = HmacFields { expires: 200, ..HmacFields::default() };
    let keys = keys();
    assert_eq!(format.sign(keys.key("hmac-key").unwrap(), &fields, "/lessons/3"), Some(one));
    assert_eq!(
        format.sign(keys.key("ed25519-key").unwrap(), &fields, "/lessons/3"),
        None,
        "the key has another algorithm"
    );
    for malformed in
        ["exp=200~exp=300", "exp=200~x=1", "st=1", "exp=-1", "exp=2 00", "acl=/*", "exp=200~ip=10.0.0.0/33"]
    {
        let signed = sign(malformed, malformed);
        assert!(matches!(check(&format, &signed, "/a", at(1)), Err(TokenError::Malformed(_))), "{malformed}");
    }
}

#[test]
fn uri_signing_agrees_with_another_library() {
    let format = UriSigningFormat { audience: Some("branch".into()) };
    let container = "regex:https://videos\\.example/lessons/[0-9]+(\\?.*)?";
    let claims = json!({"cdniuc": container, "exp": 200, "nbf": 100, "jti": "t1", "aud": ["x", "branch"], "iss": "s",
                        "iat": 90, "cdniip": "10.1.0.0/16", "cdniv": 1, "note": "unknown and not critical"});
    let token = jwt(&claims);
    assert_eq!(check(&format, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&format, &token, "/lessons/3?part=4", at(150)), Ok(200_000));
    assert_eq!(
        check(&format, &token, "/lessons/3/more", at(150)),
        Err(TokenError::PathMismatch),
        "the expression must match the whole URL"
    );
    assert_eq!(
        check(&format, &token, "/x?https://videos.example/lessons/3", at(150)),
        Err(TokenError::PathMismatch)
    );
    let hash = UriSigningFormat::hash_container("https://videos.example/lessons/3");
    assert_eq!(check(&format, &jwt(&json!({"cdniuc": hash})), "/lessons/3", at(1)), Ok(u64::MAX));
    assert_eq!(
        check(&format, &jwt(&json!({"cdniuc": hash})), "/lessons/4", at(1)),
        Err(TokenError::PathMismatch)
    );
    let check_with = |change: Value| {
        let mut changed = claims.clone();
        changed.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        check(&format, &jwt(&changed), "/lessons/3", at(150))
    };
    assert_eq!(check_with(json!({"cdnicrit": "note"})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(check_with(json!({"cdniv": 2})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(check_with(json!({"cdnistt": 3, "cdniets": 5})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(check_with(json!({"aud": "elsewhere"})), Err(TokenError::AudienceMismatch));
    assert_eq!(check_with(json!({"cdniip": "10.2.0.0/16"})), Err(TokenError::ClientMismatch));
    for kind in [
        json!({"cdniuc": "prefix:/a"}),
        json!({"cdniuc": "regex:("}),
        json!({"exp": "200"}),
        json!({"cdniip": "a.b.c.d.e"}),
    ] {
        assert!(matches!(check_with(kind.clone()), Err(TokenError::Malformed(_))), "{kind}");
    }
    let huge = format!("regex:(a{{1000}}){{{}}}", 1000);
    assert!(check_with(json!({"cdniuc": huge})).is_err(), "the compiled expression is over the size limit");
}

#[test]
fn a_token_can_neither_choose_its_algorithm_nor_mix_parts_of_other_tokens() {
    let format = UriSigningFormat::default();
    let parts = |header: Value, claims: Value| {
        let [head, body] = [header, claims].map(|part| URL_SAFE_NO_PAD.encode(part.to_string()));
        format!("{head}.{body}")
    };
    let claims = json!({"cdniuc": "regex:.*"});
    let none = parts(json!({"alg": "none", "kid": "hmac-key"}), claims.clone()) + ".";
    assert_eq!(check(&format, &none, "/a", at(1)), Err(TokenError::AlgorithmMismatch));
    // A forged token that is signed with HMAC, with the public key as the secret.
    let forged = parts(json!({"alg": "HS256", "kid": "ed25519-key"}), claims.clone());
    let mut mac = Hmac::<Sha256>::new_from_slice(&URL_SAFE_NO_PAD.decode(PUBLIC).unwrap()).unwrap();
    mac.update(forged.as_bytes());
    let forged = format!("{forged}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&format, &forged, "/a", at(1)), Err(TokenError::AlgorithmMismatch));
    let foreign = parts(json!({"alg": "HS256", "kid": "unknown"}), claims.clone()) + ".AAAA";
    assert_eq!(check(&format, &foreign, "/a", at(1)), Err(TokenError::UnknownKey));
    let signed = UriSigningClaims { cdniuc: "regex:.*".into(), ..UriSigningClaims::default() };
    let keys = keys();
    for id in ["hmac-key", "ed25519-key"] {
        let token = format.sign(keys.key(id).unwrap(), &signed).unwrap();
        assert_eq!(check(&format, &token, "/a", at(1)), Ok(u64::MAX), "{id}");
        let other = jwt(&json!({"cdniuc": "regex:.*", "jti": "2"}));
        let body = other.split('.').nth(1).unwrap();
        let mut mixed: Vec<&str> = token.split('.').collect();
        mixed[1] = body;
        assert_eq!(check(&format, &mixed.join("."), "/a", at(1)), Err(TokenError::InvalidSignature), "{id}");
    }
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("hmac-key".into());
    let critical = parts(json!({"alg": "HS256", "kid": "hmac-key", "crit": ["b64"]}), claims);
    let mut mac = Hmac::<Sha256>::new_from_slice(&SECRET).unwrap();
    mac.update(critical.as_bytes());
    let critical = format!("{critical}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&format, &critical, "/a", at(1)), Err(TokenError::UnknownCriticalClaim));
}

#[test]
fn a_prefix_token_covers_only_paths_with_its_prefix_on_its_host() {
    let (format, keys) = (UrlPrefixFormat, keys());
    let key = keys.key("ed25519-key").unwrap();
    let token = format.sign(key, "https://videos.example/lessons/", 200).unwrap();
    assert_eq!(check(&format, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&format, &token, "/lessonsets/3", at(150)), Err(TokenError::PathMismatch));
    assert_eq!(check(&format, &token, "/lessons/../maps", at(150)), Err(TokenError::PathMismatch));
    let wide = format.sign(key, "https://videos.example", 200).unwrap();
    assert!(
        matches!(check(&format, &wide, "/a", at(150)), Err(TokenError::Malformed(_))),
        "the prefix would cover all hosts that start with the same characters"
    );
    let tampered = token.replace("Expires=200", "Expires=900");
    assert_eq!(check(&format, &tampered, "/lessons/3", at(300)), Err(TokenError::InvalidSignature));
    assert_eq!(format.sign(keys.key("hmac-key").unwrap(), "https://videos.example/", 200), None);
}

#[test]
fn an_unusable_key_rejects_the_set_with_an_error_that_names_the_key_but_not_its_secret() {
    let secret = URL_SAFE_NO_PAD.encode([9; 16]);
    let error_with = |key: Value| {
        let mut set = key_set(json!({}));
        set["keys"].as_array_mut().unwrap().push(key);
        KeySet::parse(set.to_string().as_bytes()).unwrap_err()
    };
    let short = error_with(json!({"kid": "short", "kty": "oct", "alg": "HS256", "k": secret}));
    assert_eq!(short, KeySetError::Key("short".into(), "k is under 32 bytes"));
    assert!(!short.to_string().contains(&secret));
    let twice = error_with(
        json!({"kid": "ed25519-key", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC}),
    );
    assert_eq!(twice, KeySetError::Key("ed25519-key".into(), "two keys have this id"));
    let mixed = error_with(json!({"kid": "m", "kty": "oct", "alg": "EdDSA", "k": secret}));
    assert_eq!(mixed, KeySetError::Key("m".into(), "kty, crv and alg do not match, or are not supported"));
    let pair =
        error_with(json!({"kid": "p", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": SEED, "d": SEED}));
    assert_eq!(pair, KeySetError::Key("p".into(), "d and x are not a key pair"));
    let none = error_with(json!({"kid": "n", "kty": "oct", "alg": "none", "k": secret}));
    assert!(matches!(&none, KeySetError::Malformed(text) if !text.contains(&secret)));
    let past = error_with(
        json!({"kid": "e", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC, "nbf": 5, "exp": 5}),
    );
    assert_eq!(past, KeySetError::Key("e".into(), "exp is not after nbf"));
}

#[test]
fn revoked_tokens_and_keys_outside_their_validity_are_rejected() {
    let text = key_set(json!({"revoked_tokens": ["t1"], "revoked_keys": ["ed25519-key"]}));
    let keys = KeySet::parse(text.to_string().as_bytes()).unwrap();
    let (format, target) = (UriSigningFormat::default(), target("/a"));
    let token = |id: &str| jwt(&json!({"cdniuc": "regex:.*", "jti": id}));
    let check_now = |token: &str| check_key(&format.verify(token, &keys, &context(&target))?, &keys, at(1));
    assert_eq!(check_now(&token("t2")), Ok(()));
    assert_eq!(check_now(&token("t1")), Err(TokenError::Revoked));
    assert!(keys.key("ed25519-key").is_none() && keys.iter().count() == 1);
    let mut timed = key_set(json!({}));
    timed["keys"][0]["nbf"] = json!(100);
    timed["keys"][0]["exp"] = json!(200);
    let keys = KeySet::parse(timed.to_string().as_bytes()).unwrap();
    let claims = format.verify(&token("t2"), &keys, &context(&target)).unwrap();
    assert_eq!(check_key(&claims, &keys, at(150)), Ok(()));
    let skewed = VerificationTime { unix_ms: 200_000, skew_ms: 10_000 };
    assert_eq!(
        check_key(&claims, &keys, skewed),
        Err(TokenError::KeyNotValid),
        "the tolerated skew does not extend a key's validity"
    );
    assert_eq!(
        keys.signing_key(150).map(|key| key.id.as_str()),
        Some("ed25519-key"),
        "the key that stays valid longest"
    );
}

#[test]
fn a_token_is_accepted_within_the_tolerated_clock_skew() {
    let format = UriSigningFormat::default();
    let token = jwt(&json!({"cdniuc": "regex:.*", "nbf": 100, "exp": 200}));
    let now = |unix: u64, skew_ms| VerificationTime { unix_ms: unix * 1000, skew_ms };
    assert_eq!(check(&format, &token, "/a", now(209, 10_000)), Ok(210_000));
    assert_eq!(check(&format, &token, "/a", now(210, 10_000)), Err(TokenError::Expired(10_000)));
    assert_eq!(check(&format, &token, "/a", now(90, 10_000)), Ok(210_000));
    assert_eq!(check(&format, &token, "/a", now(89, 10_000)), Err(TokenError::NotYetValid(1000)));
    assert_eq!(TokenError::NotYetValid(1000).retry_after_ms(), Some(1000));
}

#[test]
fn the_clock_estimate_needs_three_sources_and_outvotes_a_wrong_one() {
    let mut clock = ClockEstimator::new(15_000);
    clock.record(1, 1_000_000, 1_010_000);
    clock.record(2, 1_000_000, 1_010_020);
    assert_eq!(clock.estimate(), None, "with two sources, a wrong one can't be outvoted");
    clock.record(3, 1_000_000 + 3_600_000, 1_010_000);
    let estimate = clock.estimate().unwrap();
    assert_eq!((estimate.offset_ms, estimate.sources), (-10_000, 3));
    assert_eq!(
        clock.now(2_000_000, 500),
        VerificationTime { unix_ms: 1_990_000, skew_ms: 500 },
        "the tolerated skew is unchanged"
    );
    // A delayed sample is ignored, as the same source has an earlier one with a shorter delay.
    clock.record(1, 1_000_000, 1_019_000);
    assert_eq!(clock.estimate().unwrap().offset_ms, -10_000);
    for source in 4..10 {
        clock.record(source, 90_000_000, 1_000_000);
    }
    assert_eq!(clock.estimate(), None, "the median is over the largest plausible offset");
    for source in 0..10_000 {
        clock.record(source, 1, 1);
    }
    assert!(clock.estimate().is_none_or(|estimate| estimate.sources <= 64));
}

#[test]
fn a_cached_token_is_rejected_once_it_has_expired_or_is_revoked() {
    let (format, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits { entries: 8, ..Limits::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "exp": 200, "jti": "t1"}));
    for _ in 0..5 {
        assert!(cache.verify(&format, &keys, &token, &context(&target), at(150)).is_ok());
    }
    assert_eq!((cache.checks, cache.hits), (1, 4));
    let expired = cache.verify(&format, &keys, &token, &context(&target), at(200)).unwrap_err();
    assert_eq!(expired, VerificationError::Token(TokenError::Expired(0)));
    let text = key_set(json!({"revoked_tokens": ["t1"]}));
    let revoked = KeySet::parse(text.to_string().as_bytes()).unwrap();
    let rejected = cache.verify(&format, &revoked, &token, &context(&target), at(150)).unwrap_err();
    assert_eq!(
        rejected,
        VerificationError::Token(TokenError::Revoked),
        "a cached result does not outlive the revocation"
    );
    for nth in 0..1000 {
        let _ = cache.verify(&format, &keys, &format!("{nth}"), &context(&target), at(150));
    }
    assert!(cache.entry_count() <= 8);
}

#[test]
fn a_flood_of_invalid_tokens_only_limits_the_client_that_sends_it() {
    let (format, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits::default(), (1, 2));
    let invalid = |nth: u32| jwt(&json!({"cdniuc": "regex:.*"})) + &format!("{nth}");
    let from = |last| VerificationContext { client: IpAddr::from([10, 0, 0, last]), ..context(&target) };
    for nth in 0..500 {
        let _ = cache.verify(&format, &keys, &invalid(nth), &from(1), at(150));
    }
    assert_eq!(cache.checks, 50, "a failed verification takes four tokens of the burst of 200");
    let limited = cache.verify(&format, &keys, &invalid(999), &from(1), at(150)).unwrap_err();
    assert!(matches!(limited, VerificationError::RateLimited(wait) if (1..=100).contains(&wait)));
    let good = jwt(&json!({"cdniuc": "regex:.*"}));
    assert!(cache.verify(&format, &keys, &good, &from(2), at(150)).is_ok());
    assert!(
        cache.verify(&format, &keys, &good, &from(1), at(150)).is_ok(),
        "a cached result takes nothing from the budget"
    );
}

#[test]
fn cached_results_are_kept_apart_by_format_configuration() {
    let (keys, target) = (keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits::default(), (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "aud": "branch"}));
    for (audience, passes) in [("branch", true), ("other", false), ("branch", true)] {
        let format = UriSigningFormat { audience: Some(audience.into()) };
        let result = cache.verify(&format, &keys, &token, &context(&target), at(1));
        assert_eq!(result.is_ok(), passes, "{audience}");
    }
}

#[test]
fn a_shared_token_serves_a_limited_number_of_clients() {
    let (format, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits { clients_per_token: 3, ..Limits::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "cdniip": "10.0.0.0/16"}));
    let mut from = |third, last, unix| {
        let context = VerificationContext { client: IpAddr::from([10, 0, third, last]), ..context(&target) };
        cache.verify(&format, &keys, &token, &context, at(unix)).map(drop)
    };
    for last in 1..=3 {
        assert_eq!(from(0, last, 150), Ok(()));
    }
    assert_eq!(from(0, 4, 150), Err(VerificationError::Token(TokenError::TooManyClients)));
    assert_eq!(from(0, 1, 150), Ok(()), "the first clients can still use the token");
    assert_eq!(from(0, 4, 211), Ok(()), "the clients are counted only while the token is cached");
}

#[test]
fn client_networks_and_glob_patterns_match() {
    let contains = |prefix: &str, address: &str| {
        ClientNetwork::parse(prefix).unwrap().contains(address.parse().unwrap())
    };
    assert!(
        contains("10.0.0.0/8", "10.9.9.9")
            && !contains("10.0.0.0/8", "11.0.0.1")
            && contains("0.0.0.0/0", "1.2.3.4")
    );
    assert!(contains("2001:db8::/32", "2001:db8::1") && !contains("2001:db8::/32", "2001:db9::1"));
    assert!(contains("10.1.2.3", "::ffff:10.1.2.3"), "the same client on a dual-stack socket");
    for bad in ["10.0.0.0/33", "10.0.0/8", "::/129", "1.2.3.4/+8", ""] {
        assert_eq!(ClientNetwork::parse(bad), None, "{bad}");
    }
    assert!(
        glob_matches("/a/*", "/a/b/c")
            && glob_matches("*", "")
            && !glob_matches("/a/?", "/a/")
            && !glob_matches("/a", "/a/b")
    );
    // A backtracking matcher would need exponential time for this pattern.
    assert!(!glob_matches(&"*a".repeat(40), &"b".repeat(2000)));
}

proptest! {
    /// Normalizing a normal form does not change it, and a normal form has no dot segments.
    #[test]
    fn normalization_is_idempotent(text in "/[a-c./%2-6eEfF?&=~+ ]{0,30}") {
        if let Ok(first) = normalize::normalize(&text) {
            let second = normalize::normalize(&first.to_text());
            prop_assert_eq!(second.as_ref(), Ok(&first), "{}", first.to_text());
            prop_assert!(!first.path.split('/').any(|part| part == "." || part == ".."));
        }
    }

    /// A token with one flipped bit is rejected.
    #[test]
    fn a_tampered_token_is_rejected(at_byte in 0usize..200, bit in 0u8..8, which in 0usize..3) {
        let keys = keys();
        let target = target("/lessons/3");
        let hmac = HmacFormat { keys: vec!["hmac-key".into()] };
        let fields = HmacFields { expires: 200, patterns: vec!["/lessons/*".into()], ..HmacFields::default() };
        let signed = UriSigningClaims { cdniuc: "regex:.*".into(), exp: Some(200), ..UriSigningClaims::default() };
        let uri = UriSigningFormat::default();
        let tokens: [(&dyn TokenFormat, String); 3] = [
            (&hmac, hmac.sign(keys.key("hmac-key").unwrap(), &fields, "").unwrap()),
            (&uri, uri.sign(keys.key("ed25519-key").unwrap(), &signed).unwrap()),
            (
                &UrlPrefixFormat,
                UrlPrefixFormat.sign(keys.key("ed25519-key").unwrap(), "https://videos.example/", 200).unwrap(),
            ),
        ];
        let (format, token) = &tokens[which];
        prop_assert!(format.verify(token, &keys, &context(&target)).is_ok());
        let mut bytes = token.clone().into_bytes();
        let nth = at_byte % bytes.len();
        bytes[nth] ^= 1 << bit;
        if let Ok(tampered) = String::from_utf8(bytes) {
            // Hex digits are equal in upper and lower case. Changes of unused padding or trailing bits must
            // be rejected.
            if !tampered.eq_ignore_ascii_case(token) {
                prop_assert!(format.verify(&tampered, &keys, &context(&target)).is_err(), "{tampered}");
            }
        }
    }

    /// Arbitrary text is rejected by every format without a panic.
    #[test]
    fn arbitrary_text_is_rejected(text in "\\PC{0,120}") {
        let (keys, target) = (keys(), target("/a"));
        let hmac = HmacFormat { keys: vec!["hmac-key".into()] };
        for format in [&hmac as &dyn TokenFormat, &UriSigningFormat::default(), &UrlPrefixFormat] {
            prop_assert!(format.verify(&text, &keys, &context(&target)).is_err());
        }
    }
}

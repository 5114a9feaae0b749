//! Each form against an independent library, and each way in which a token may be bent.

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
/// RFC 8032, section 7.1, test 1.
const SEED: &str = "nWGxne_9WmC6hEr0kuwsxERJxWl7MmkZcDusAxyuf2A";
const PUBLIC: &str = "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo";

fn set(more: Value) -> Value {
    let mut set = json!({"keys": [
        {"kid": "school", "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode(SECRET), "key_ops": ["sign"]},
        {"kid": "hall", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC, "d": SEED, "key_ops": ["sign"]}
    ]});
    set.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    set
}

fn keys() -> KeySet {
    KeySet::parse(set(json!({})).to_string().as_bytes()).unwrap()
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
    header.kid = Some("school".into());
    jsonwebtoken::encode(&header, claims, &EncodingKey::from_secret(&SECRET)).unwrap()
}

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
fn one_spelling_of_a_path_is_checked_and_served() {
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
    let twice = normalize::normalize("/a?x=1&y=2&x=3");
    assert_eq!(twice, Err(normalize::NormalizeError::DuplicateKey), "which of the two would be served?");
    let mut target = target("/a?b=%41+%2b&token=exp%3D2~x&c&=");
    assert_eq!(target.remove_query_value("token").as_deref(), Some("exp=2~x"));
    assert_eq!(
        target.to_text(),
        "/a?b=A+%2B&c",
        "a plus sign that was encoded is another than one that was not"
    );
}

#[test]
fn the_hmac_form_agrees_with_another_library_for_patterns_and_for_one_path() {
    let form = HmacFormat { keys: vec!["school".into()] };
    let sign = |text: &str, signed: &str| {
        let mut mac = Hmac::<Sha256>::new_from_slice(&SECRET).unwrap();
        mac.update(signed.as_bytes());
        let digits: String = mac.finalize().into_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{text}~hmac={digits}")
    };
    let patterns = "ip=10.1.2.0/24~st=100~exp=200~acl=/lessons/*!/maps/?~id=7";
    let token = sign(patterns, patterns);
    assert_eq!(check(&form, &token, "/lessons/3/video", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/maps/a", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/other", at(150)), Err(TokenError::PathMismatch));
    assert_eq!(check(&form, &token, "/maps/a", at(99)), Err(TokenError::NotYetValid(1000)));
    assert_eq!(check(&form, &token, "/maps/a", at(200)), Err(TokenError::Expired(0)));
    let one = sign("exp=200", "exp=200~url=/lessons/3");
    assert_eq!(check(&form, &one, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &one, "/lessons/4", at(150)), Err(TokenError::InvalidSignature));
    let fields = HmacFields { expires: 200, ..HmacFields::default() };
    let keys = keys();
    assert_eq!(form.sign(keys.key("school").unwrap(), &fields, "/lessons/3"), Some(one));
    assert_eq!(form.sign(keys.key("hall").unwrap(), &fields, "/lessons/3"), None, "another algorithm's key");
    for bent in
        ["exp=200~exp=300", "exp=200~x=1", "st=1", "exp=-1", "exp=2 00", "acl=/*", "exp=200~ip=10.0.0.0/33"]
    {
        let signed = sign(bent, bent);
        assert!(matches!(check(&form, &signed, "/a", at(1)), Err(TokenError::Malformed(_))), "{bent}");
    }
}

#[test]
fn uri_signing_agrees_with_another_library() {
    let form = UriSigningFormat { audience: Some("branch".into()) };
    let container = "regex:https://videos\\.example/lessons/[0-9]+(\\?.*)?";
    let claims = json!({"cdniuc": container, "exp": 200, "nbf": 100, "jti": "t1", "aud": ["x", "branch"], "iss": "s",
                        "iat": 90, "cdniip": "10.1.0.0/16", "cdniv": 1, "note": "unknown and not critical"});
    let token = jwt(&claims);
    assert_eq!(check(&form, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/lessons/3?part=4", at(150)), Ok(200_000));
    assert_eq!(
        check(&form, &token, "/lessons/3/more", at(150)),
        Err(TokenError::PathMismatch),
        "it has to fit the whole"
    );
    assert_eq!(
        check(&form, &token, "/x?https://videos.example/lessons/3", at(150)),
        Err(TokenError::PathMismatch)
    );
    let hash = UriSigningFormat::hash_container("https://videos.example/lessons/3");
    assert_eq!(check(&form, &jwt(&json!({"cdniuc": hash})), "/lessons/3", at(1)), Ok(u64::MAX));
    assert_eq!(
        check(&form, &jwt(&json!({"cdniuc": hash})), "/lessons/4", at(1)),
        Err(TokenError::PathMismatch)
    );
    let bent = |change: Value| {
        let mut bent = claims.clone();
        bent.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        check(&form, &jwt(&bent), "/lessons/3", at(150))
    };
    assert_eq!(bent(json!({"cdnicrit": "note"})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(bent(json!({"cdniv": 2})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(bent(json!({"cdnistt": 3, "cdniets": 5})), Err(TokenError::UnknownCriticalClaim));
    assert_eq!(bent(json!({"aud": "elsewhere"})), Err(TokenError::AudienceMismatch));
    assert_eq!(bent(json!({"cdniip": "10.2.0.0/16"})), Err(TokenError::ClientMismatch));
    for kind in [
        json!({"cdniuc": "prefix:/a"}),
        json!({"cdniuc": "regex:("}),
        json!({"exp": "200"}),
        json!({"cdniip": "a.b.c.d.e"}),
    ] {
        assert!(matches!(bent(kind.clone()), Err(TokenError::Malformed(_))), "{kind}");
    }
    let huge = format!("regex:(a{{1000}}){{{}}}", 1000);
    assert!(bent(json!({"cdniuc": huge})).is_err(), "an expression that would take all memory");
}

#[test]
fn the_algorithm_is_the_keys_and_no_part_can_be_exchanged() {
    let form = UriSigningFormat::default();
    let parts = |header: Value, claims: Value| {
        let [head, body] = [header, claims].map(|part| URL_SAFE_NO_PAD.encode(part.to_string()));
        format!("{head}.{body}")
    };
    let claims = json!({"cdniuc": "regex:.*"});
    let none = parts(json!({"alg": "none", "kid": "school"}), claims.clone()) + ".";
    assert_eq!(check(&form, &none, "/a", at(1)), Err(TokenError::AlgorithmMismatch));
    // The public key taken for a secret: signed with what everybody knows.
    let forged = parts(json!({"alg": "HS256", "kid": "hall"}), claims.clone());
    let mut mac = Hmac::<Sha256>::new_from_slice(&URL_SAFE_NO_PAD.decode(PUBLIC).unwrap()).unwrap();
    mac.update(forged.as_bytes());
    let forged = format!("{forged}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&form, &forged, "/a", at(1)), Err(TokenError::AlgorithmMismatch));
    let foreign = parts(json!({"alg": "HS256", "kid": "stranger"}), claims.clone()) + ".AAAA";
    assert_eq!(check(&form, &foreign, "/a", at(1)), Err(TokenError::UnknownKey));
    let signed = UriSigningClaims { cdniuc: "regex:.*".into(), ..UriSigningClaims::default() };
    let keys = keys();
    for id in ["school", "hall"] {
        let token = form.sign(keys.key(id).unwrap(), &signed).unwrap();
        assert_eq!(check(&form, &token, "/a", at(1)), Ok(u64::MAX), "{id}");
        let other = jwt(&json!({"cdniuc": "regex:.*", "jti": "2"}));
        let body = other.split('.').nth(1).unwrap();
        let mut mixed: Vec<&str> = token.split('.').collect();
        mixed[1] = body;
        assert_eq!(check(&form, &mixed.join("."), "/a", at(1)), Err(TokenError::InvalidSignature), "{id}");
    }
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("school".into());
    let critical = parts(json!({"alg": "HS256", "kid": "school", "crit": ["b64"]}), claims);
    let mut mac = Hmac::<Sha256>::new_from_slice(&SECRET).unwrap();
    mac.update(critical.as_bytes());
    let critical = format!("{critical}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&form, &critical, "/a", at(1)), Err(TokenError::UnknownCriticalClaim));
}

#[test]
fn a_prefix_signature_is_for_what_begins_so_on_its_host_alone() {
    let (form, keys) = (UrlPrefixFormat, keys());
    let key = keys.key("hall").unwrap();
    let token = form.sign(key, "https://videos.example/lessons/", 200).unwrap();
    assert_eq!(check(&form, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/lessonsets/3", at(150)), Err(TokenError::PathMismatch));
    assert_eq!(check(&form, &token, "/lessons/../maps", at(150)), Err(TokenError::PathMismatch));
    let wide = form.sign(key, "https://videos.example", 200).unwrap();
    assert!(
        matches!(check(&form, &wide, "/a", at(150)), Err(TokenError::Malformed(_))),
        "any host that begins alike"
    );
    let bent = token.replace("Expires=200", "Expires=900");
    assert_eq!(check(&form, &bent, "/lessons/3", at(300)), Err(TokenError::InvalidSignature));
    assert_eq!(form.sign(keys.key("school").unwrap(), "https://videos.example/", 200), None);
}

#[test]
fn a_key_set_is_taken_whole_or_not_at_all_and_names_the_key_without_its_secret() {
    let secret = URL_SAFE_NO_PAD.encode([9; 16]);
    let with = |key: Value| {
        let mut set = set(json!({}));
        set["keys"].as_array_mut().unwrap().push(key);
        KeySet::parse(set.to_string().as_bytes()).unwrap_err()
    };
    let short = with(json!({"kid": "short", "kty": "oct", "alg": "HS256", "k": secret}));
    assert_eq!(short, KeySetError::Key("short".into(), "k is under 32 bytes"));
    assert!(!short.to_string().contains(&secret));
    let twice = with(json!({"kid": "hall", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC}));
    assert_eq!(twice, KeySetError::Key("hall".into(), "two keys have this id"));
    let mixed = with(json!({"kid": "m", "kty": "oct", "alg": "EdDSA", "k": secret}));
    assert_eq!(mixed, KeySetError::Key("m".into(), "kty, crv and alg do not go together"));
    let pair =
        with(json!({"kid": "p", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": SEED, "d": SEED}));
    assert_eq!(pair, KeySetError::Key("p".into(), "d and x are no pair"));
    let none = with(json!({"kid": "n", "kty": "oct", "alg": "none", "k": secret}));
    assert!(matches!(&none, KeySetError::Malformed(words) if !words.contains(&secret)));
    let past = with(
        json!({"kid": "e", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC, "nbf": 5, "exp": 5}),
    );
    assert_eq!(past, KeySetError::Key("e".into(), "it ends before it begins"));
}

#[test]
fn revoked_and_rotated_keys_hold_no_more_whatever_was_known() {
    let text = set(json!({"revoked_tokens": ["t1"], "revoked_keys": ["hall"]}));
    let keys = KeySet::parse(text.to_string().as_bytes()).unwrap();
    let (form, target) = (UriSigningFormat::default(), target("/a"));
    let token = |id: &str| jwt(&json!({"cdniuc": "regex:.*", "jti": id}));
    let hold = |token: &str| check_key(&form.verify(token, &keys, &context(&target))?, &keys, at(1));
    assert_eq!(hold(&token("t2")), Ok(()));
    assert_eq!(hold(&token("t1")), Err(TokenError::Revoked));
    assert!(keys.key("hall").is_none() && keys.iter().count() == 1);
    let mut timed = set(json!({}));
    timed["keys"][0]["nbf"] = json!(100);
    timed["keys"][0]["exp"] = json!(200);
    let keys = KeySet::parse(timed.to_string().as_bytes()).unwrap();
    let claims = form.verify(&token("t2"), &keys, &context(&target)).unwrap();
    assert_eq!(check_key(&claims, &keys, at(150)), Ok(()));
    let skewed = VerificationTime { unix_ms: 200_000, skew_ms: 10_000 };
    assert_eq!(
        check_key(&claims, &keys, skewed),
        Err(TokenError::KeyNotValid),
        "no skew widens what the owner said"
    );
    assert_eq!(
        keys.signing_key(150).map(|key| key.id.as_str()),
        Some("hall"),
        "the one that holds for longest"
    );
}

#[test]
fn a_box_ten_seconds_fast_lets_pass_what_the_stated_skew_allows_and_no_more() {
    let form = UriSigningFormat::default();
    let token = jwt(&json!({"cdniuc": "regex:.*", "nbf": 100, "exp": 200}));
    let now = |unix: u64, skew_ms| VerificationTime { unix_ms: unix * 1000, skew_ms };
    assert_eq!(check(&form, &token, "/a", now(209, 10_000)), Ok(210_000));
    assert_eq!(check(&form, &token, "/a", now(210, 10_000)), Err(TokenError::Expired(10_000)));
    assert_eq!(check(&form, &token, "/a", now(90, 10_000)), Ok(210_000));
    assert_eq!(check(&form, &token, "/a", now(89, 10_000)), Err(TokenError::NotYetValid(1000)));
    assert_eq!(TokenError::NotYetValid(1000).retry_after_ms(), Some(1000));
}

#[test]
fn the_clocks_estimate_needs_three_parties_and_follows_no_liar() {
    let mut clock = ClockEstimator::new(15_000);
    clock.record(1, 1_000_000, 1_010_000);
    clock.record(2, 1_000_000, 1_010_020);
    assert_eq!(clock.estimate(), None, "one of two may lie");
    clock.record(3, 1_000_000 + 3_600_000, 1_010_000);
    let estimate = clock.estimate().unwrap();
    assert_eq!((estimate.offset_ms, estimate.sources), (-10_000, 3));
    assert_eq!(
        clock.now(2_000_000, 500),
        VerificationTime { unix_ms: 1_990_000, skew_ms: 500 },
        "the skew stays"
    );
    // A word that was long on its way is outdone by one that was quick.
    clock.record(1, 1_000_000, 1_019_000);
    assert_eq!(clock.estimate().unwrap().offset_ms, -10_000);
    for participant in 4..10 {
        clock.record(participant, 90_000_000, 1_000_000);
    }
    assert_eq!(clock.estimate(), None, "beyond belief");
    for participant in 0..10_000 {
        clock.record(participant, 1, 1);
    }
    assert!(clock.estimate().is_none_or(|estimate| estimate.sources <= 64));
}

#[test]
fn a_verdict_is_known_until_its_token_its_key_or_its_revocation_ends_it() {
    let (form, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits { entries: 8, ..Limits::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "exp": 200, "jti": "t1"}));
    for _ in 0..5 {
        assert!(cache.verify(&form, &keys, &token, &context(&target), at(150)).is_ok());
    }
    assert_eq!((cache.checks, cache.hits), (1, 4));
    let lapsed = cache.verify(&form, &keys, &token, &context(&target), at(200)).unwrap_err();
    assert_eq!(lapsed, VerificationError::Token(TokenError::Expired(0)));
    let text = set(json!({"revoked_tokens": ["t1"]}));
    let revoked = KeySet::parse(text.to_string().as_bytes()).unwrap();
    let gone = cache.verify(&form, &revoked, &token, &context(&target), at(150)).unwrap_err();
    assert_eq!(
        gone,
        VerificationError::Token(TokenError::Revoked),
        "a known verdict does not outlive the revocation"
    );
    for nth in 0..1000 {
        let _ = cache.verify(&form, &keys, &format!("{nth}"), &context(&target), at(150));
    }
    assert!(cache.entry_count() <= 8);
}

#[test]
fn a_flood_of_bad_tokens_costs_its_own_client_alone() {
    let (form, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits::default(), (1, 2));
    let bad = |nth: u32| jwt(&json!({"cdniuc": "regex:.*"})) + &format!("{nth}");
    let from = |last| VerificationContext { client: IpAddr::from([10, 0, 0, last]), ..context(&target) };
    for nth in 0..500 {
        let _ = cache.verify(&form, &keys, &bad(nth), &from(1), at(150));
    }
    assert_eq!(cache.checks, 50, "a refused signature counts as four");
    let refused = cache.verify(&form, &keys, &bad(999), &from(1), at(150)).unwrap_err();
    assert!(matches!(refused, VerificationError::RateLimited(wait) if (1..=100).contains(&wait)));
    let good = jwt(&json!({"cdniuc": "regex:.*"}));
    assert!(cache.verify(&form, &keys, &good, &from(2), at(150)).is_ok());
    assert!(cache.verify(&form, &keys, &good, &from(1), at(150)).is_ok(), "what is known costs nothing");
}

#[test]
fn what_one_form_said_of_a_token_does_not_pass_for_anothers_word() {
    let (keys, target) = (keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits::default(), (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "aud": "branch"}));
    for (audience, passes) in [("branch", true), ("other", false), ("branch", true)] {
        let form = UriSigningFormat { audience: Some(audience.into()) };
        let said = cache.verify(&form, &keys, &token, &context(&target), at(1));
        assert_eq!(said.is_ok(), passes, "{audience}");
    }
}

#[test]
fn a_link_that_is_passed_round_serves_a_few_and_those_go_on() {
    let (form, keys, target) = (UriSigningFormat::default(), keys(), target("/a"));
    let mut cache = VerificationCache::new(Limits { clients_per_token: 3, ..Limits::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "cdniip": "10.0.0.0/16"}));
    let mut from = |third, last, unix| {
        let context = VerificationContext { client: IpAddr::from([10, 0, third, last]), ..context(&target) };
        cache.verify(&form, &keys, &token, &context, at(unix)).map(drop)
    };
    for last in 1..=3 {
        assert_eq!(from(0, last, 150), Ok(()));
    }
    assert_eq!(from(0, 4, 150), Err(VerificationError::Token(TokenError::TooManyClients)));
    assert_eq!(from(0, 1, 150), Ok(()), "who was first goes on");
    assert_eq!(from(0, 4, 211), Ok(()), "counted for as long as the verdict is known");
}

#[test]
fn addresses_and_patterns_fit_what_they_say() {
    let contains = |prefix: &str, address: &str| {
        ClientNetwork::parse(prefix).unwrap().contains(address.parse().unwrap())
    };
    assert!(
        contains("10.0.0.0/8", "10.9.9.9")
            && !contains("10.0.0.0/8", "11.0.0.1")
            && contains("0.0.0.0/0", "1.2.3.4")
    );
    assert!(contains("2001:db8::/32", "2001:db8::1") && !contains("2001:db8::/32", "2001:db9::1"));
    assert!(contains("10.1.2.3", "::ffff:10.1.2.3"), "the same client on a socket of both kinds");
    for bad in ["10.0.0.0/33", "10.0.0/8", "::/129", "1.2.3.4/+8", ""] {
        assert_eq!(ClientNetwork::parse(bad), None, "{bad}");
    }
    assert!(
        glob_matches("/a/*", "/a/b/c")
            && glob_matches("*", "")
            && !glob_matches("/a/?", "/a/")
            && !glob_matches("/a", "/a/b")
    );
    // An expression that would try everything again and again.
    assert!(!glob_matches(&"*a".repeat(40), &"b".repeat(2000)));
}

proptest! {
    /// The normal form of a normal form is itself, and no dot segment is left.
    #[test]
    fn a_normal_form_is_its_own(text in "/[a-c./%2-6eEfF?&=~+ ]{0,30}") {
        if let Ok(first) = normalize::normalize(&text) {
            let again = normalize::normalize(&first.to_text());
            prop_assert_eq!(again.as_ref(), Ok(&first), "{}", first.to_text());
            prop_assert!(!first.path.split('/').any(|part| part == "." || part == ".."));
        }
    }

    /// No byte that counts can be changed in an accepted token.
    #[test]
    fn no_changed_token_passes(at_byte in 0usize..200, bit in 0u8..8, which in 0usize..3) {
        let keys = keys();
        let target = target("/lessons/3");
        let hmac = HmacFormat { keys: vec!["school".into()] };
        let fields = HmacFields { expires: 200, patterns: vec!["/lessons/*".into()], ..HmacFields::default() };
        let signed = UriSigningClaims { cdniuc: "regex:.*".into(), exp: Some(200), ..UriSigningClaims::default() };
        let uri = UriSigningFormat::default();
        let tokens: [(&dyn TokenFormat, String); 3] = [
            (&hmac, hmac.sign(keys.key("school").unwrap(), &fields, "").unwrap()),
            (&uri, uri.sign(keys.key("hall").unwrap(), &signed).unwrap()),
            (&UrlPrefixFormat, UrlPrefixFormat.sign(keys.key("hall").unwrap(), "https://videos.example/", 200).unwrap()),
        ];
        let (format, token) = &tokens[which];
        prop_assert!(format.verify(token, &keys, &context(&target)).is_ok());
        let mut bytes = token.clone().into_bytes();
        let nth = at_byte % bytes.len();
        bytes[nth] ^= 1 << bit;
        if let Ok(bent) = String::from_utf8(bytes) {
            // Hex digits count alike in both cases; a padding or trailing bit that is not used must be
            // refused.
            if !bent.eq_ignore_ascii_case(token) {
                prop_assert!(format.verify(&bent, &keys, &context(&target)).is_err(), "{bent}");
            }
        }
    }

    /// Whatever comes is read or refused.
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,120}") {
        let (keys, target) = (keys(), target("/a"));
        let hmac = HmacFormat { keys: vec!["school".into()] };
        for format in [&hmac as &dyn TokenFormat, &UriSigningFormat::default(), &UrlPrefixFormat] {
            prop_assert!(format.verify(&text, &keys, &context(&target)).is_err());
        }
    }
}

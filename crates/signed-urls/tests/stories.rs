//! Each form against an independent library, and each way in which a token may be bent.

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use jsonwebtoken::{EncodingKey, Header};
use proptest::prelude::*;
use serde_json::{Value, json};
use sha2::Sha256;
use tindoor_signed_urls::claims::{Asked, Now, Prefix, Refusal, fits};
use tindoor_signed_urls::clock::Clock;
use tindoor_signed_urls::hmac_form::{Fields, HmacForm};
use tindoor_signed_urls::keys::{Fault, KeySet};
use tindoor_signed_urls::normal::{self, Target};
use tindoor_signed_urls::prefix::PrefixSignature;
use tindoor_signed_urls::uri_signing::{Signed, UriSigning};
use tindoor_signed_urls::verification_cache::{Bounds, Refused, VerificationCache};
use tindoor_signed_urls::{Format, holds};

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
    KeySet::read(set(json!({})).to_string().as_bytes()).unwrap()
}

fn target(path: &str) -> Target {
    normal::target(path).unwrap()
}

fn asked<'a>(target: &'a Target) -> Asked<'a> {
    Asked { base: BASE, target, client: IpAddr::from([10, 1, 2, 3]) }
}

fn at(unix: u64) -> Now {
    Now { unix_ms: unix * 1000, skew_ms: 0 }
}

fn jwt(claims: &Value) -> String {
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("school".into());
    jsonwebtoken::encode(&header, claims, &EncodingKey::from_secret(&SECRET)).unwrap()
}

fn check(format: &dyn Format, token: &str, path: &str, now: Now) -> Result<u64, Refusal> {
    let (keys, target) = (keys(), target(path));
    let claims = format.check(token, &keys, &asked(&target))?;
    holds(&claims, &keys, now)?;
    claims.judge(&asked(&target), now)
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
        assert_eq!(normal::target(text).map(|target| target.path).unwrap_or_default(), path, "{text}");
    }
    let twice = normal::target("/a?x=1&y=2&x=3");
    assert_eq!(twice, Err(normal::Fault::Twice), "which of the two would be served?");
    let mut target = target("/a?b=%41+%2b&token=exp%3D2~x&c&=");
    assert_eq!(target.take("token").as_deref(), Some("exp=2~x"));
    assert_eq!(
        target.text(),
        "/a?b=A+%2B&c",
        "a plus sign that was encoded is another than one that was not"
    );
}

#[test]
fn the_hmac_form_agrees_with_another_library_for_patterns_and_for_one_path() {
    let form = HmacForm { keys: vec!["school".into()] };
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
    assert_eq!(check(&form, &token, "/other", at(150)), Err(Refusal::Scope));
    assert_eq!(check(&form, &token, "/maps/a", at(99)), Err(Refusal::Early(1000)));
    assert_eq!(check(&form, &token, "/maps/a", at(200)), Err(Refusal::Lapsed(0)));
    let one = sign("exp=200", "exp=200~url=/lessons/3");
    assert_eq!(check(&form, &one, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &one, "/lessons/4", at(150)), Err(Refusal::Signature));
    let fields = Fields { expires: 200, ..Fields::default() };
    let keys = keys();
    assert_eq!(form.sign(keys.key("school").unwrap(), &fields, "/lessons/3"), Some(one));
    assert_eq!(form.sign(keys.key("hall").unwrap(), &fields, "/lessons/3"), None, "another algorithm's key");
    for bent in
        ["exp=200~exp=300", "exp=200~x=1", "st=1", "exp=-1", "exp=2 00", "acl=/*", "exp=200~ip=10.0.0.0/33"]
    {
        let signed = sign(bent, bent);
        assert!(matches!(check(&form, &signed, "/a", at(1)), Err(Refusal::Unreadable(_))), "{bent}");
    }
}

#[test]
fn uri_signing_agrees_with_another_library() {
    let form = UriSigning { audience: Some("branch".into()) };
    let container = "regex:https://videos\\.example/lessons/[0-9]+(\\?.*)?";
    let claims = json!({"cdniuc": container, "exp": 200, "nbf": 100, "jti": "t1", "aud": ["x", "branch"], "iss": "s",
                        "iat": 90, "cdniip": "10.1.0.0/16", "cdniv": 1, "note": "unknown and not critical"});
    let token = jwt(&claims);
    assert_eq!(check(&form, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/lessons/3?part=4", at(150)), Ok(200_000));
    assert_eq!(
        check(&form, &token, "/lessons/3/more", at(150)),
        Err(Refusal::Scope),
        "it has to fit the whole"
    );
    assert_eq!(check(&form, &token, "/x?https://videos.example/lessons/3", at(150)), Err(Refusal::Scope));
    let hash = UriSigning::hash_of("https://videos.example/lessons/3");
    assert_eq!(check(&form, &jwt(&json!({"cdniuc": hash})), "/lessons/3", at(1)), Ok(u64::MAX));
    assert_eq!(check(&form, &jwt(&json!({"cdniuc": hash})), "/lessons/4", at(1)), Err(Refusal::Scope));
    let bent = |change: Value| {
        let mut bent = claims.clone();
        bent.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        check(&form, &jwt(&bent), "/lessons/3", at(150))
    };
    assert_eq!(bent(json!({"cdnicrit": "note"})), Err(Refusal::Critical));
    assert_eq!(bent(json!({"cdniv": 2})), Err(Refusal::Critical));
    assert_eq!(bent(json!({"cdnistt": 3, "cdniets": 5})), Err(Refusal::Critical));
    assert_eq!(bent(json!({"aud": "elsewhere"})), Err(Refusal::Audience));
    assert_eq!(bent(json!({"cdniip": "10.2.0.0/16"})), Err(Refusal::Client));
    for kind in [
        json!({"cdniuc": "prefix:/a"}),
        json!({"cdniuc": "regex:("}),
        json!({"exp": "200"}),
        json!({"cdniip": "a.b.c.d.e"}),
    ] {
        assert!(matches!(bent(kind.clone()), Err(Refusal::Unreadable(_))), "{kind}");
    }
    let huge = format!("regex:(a{{1000}}){{{}}}", 1000);
    assert!(bent(json!({"cdniuc": huge})).is_err(), "an expression that would take all memory");
}

#[test]
fn the_algorithm_is_the_keys_and_no_part_can_be_exchanged() {
    let form = UriSigning::default();
    let parts = |header: Value, claims: Value| {
        let [head, body] = [header, claims].map(|part| URL_SAFE_NO_PAD.encode(part.to_string()));
        format!("{head}.{body}")
    };
    let claims = json!({"cdniuc": "regex:.*"});
    let none = parts(json!({"alg": "none", "kid": "school"}), claims.clone()) + ".";
    assert_eq!(check(&form, &none, "/a", at(1)), Err(Refusal::Algorithm));
    // The public key taken for a secret: signed with what everybody knows.
    let forged = parts(json!({"alg": "HS256", "kid": "hall"}), claims.clone());
    let mut mac = Hmac::<Sha256>::new_from_slice(&URL_SAFE_NO_PAD.decode(PUBLIC).unwrap()).unwrap();
    mac.update(forged.as_bytes());
    let forged = format!("{forged}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&form, &forged, "/a", at(1)), Err(Refusal::Algorithm));
    let foreign = parts(json!({"alg": "HS256", "kid": "stranger"}), claims.clone()) + ".AAAA";
    assert_eq!(check(&form, &foreign, "/a", at(1)), Err(Refusal::UnknownKey));
    let signed = Signed { cdniuc: "regex:.*".into(), ..Signed::default() };
    let keys = keys();
    for id in ["school", "hall"] {
        let token = form.sign(keys.key(id).unwrap(), &signed).unwrap();
        assert_eq!(check(&form, &token, "/a", at(1)), Ok(u64::MAX), "{id}");
        let other = jwt(&json!({"cdniuc": "regex:.*", "jti": "2"}));
        let body = other.split('.').nth(1).unwrap();
        let mut mixed: Vec<&str> = token.split('.').collect();
        mixed[1] = body;
        assert_eq!(check(&form, &mixed.join("."), "/a", at(1)), Err(Refusal::Signature), "{id}");
    }
    let mut header = Header::new(jsonwebtoken::Algorithm::HS256);
    header.kid = Some("school".into());
    let critical = parts(json!({"alg": "HS256", "kid": "school", "crit": ["b64"]}), claims);
    let mut mac = Hmac::<Sha256>::new_from_slice(&SECRET).unwrap();
    mac.update(critical.as_bytes());
    let critical = format!("{critical}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()));
    assert_eq!(check(&form, &critical, "/a", at(1)), Err(Refusal::Critical));
}

#[test]
fn a_prefix_signature_is_for_what_begins_so_on_its_host_alone() {
    let (form, keys) = (PrefixSignature, keys());
    let key = keys.key("hall").unwrap();
    let token = form.sign(key, "https://videos.example/lessons/", 200).unwrap();
    assert_eq!(check(&form, &token, "/lessons/3", at(150)), Ok(200_000));
    assert_eq!(check(&form, &token, "/lessonsets/3", at(150)), Err(Refusal::Scope));
    assert_eq!(check(&form, &token, "/lessons/../maps", at(150)), Err(Refusal::Scope));
    let wide = form.sign(key, "https://videos.example", 200).unwrap();
    assert!(
        matches!(check(&form, &wide, "/a", at(150)), Err(Refusal::Unreadable(_))),
        "any host that begins alike"
    );
    let bent = token.replace("Expires=200", "Expires=900");
    assert_eq!(check(&form, &bent, "/lessons/3", at(300)), Err(Refusal::Signature));
    assert_eq!(form.sign(keys.key("school").unwrap(), "https://videos.example/", 200), None);
}

#[test]
fn a_key_set_is_taken_whole_or_not_at_all_and_names_the_key_without_its_secret() {
    let secret = URL_SAFE_NO_PAD.encode([9; 16]);
    let with = |key: Value| {
        let mut set = set(json!({}));
        set["keys"].as_array_mut().unwrap().push(key);
        KeySet::read(set.to_string().as_bytes()).unwrap_err()
    };
    let short = with(json!({"kid": "short", "kty": "oct", "alg": "HS256", "k": secret}));
    assert_eq!(short, Fault::Key("short".into(), "k is under 32 bytes"));
    assert!(!short.to_string().contains(&secret));
    let twice = with(json!({"kid": "hall", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC}));
    assert_eq!(twice, Fault::Key("hall".into(), "two keys have this id"));
    let mixed = with(json!({"kid": "m", "kty": "oct", "alg": "EdDSA", "k": secret}));
    assert_eq!(mixed, Fault::Key("m".into(), "kty, crv and alg do not go together"));
    let pair =
        with(json!({"kid": "p", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": SEED, "d": SEED}));
    assert_eq!(pair, Fault::Key("p".into(), "d and x are no pair"));
    let none = with(json!({"kid": "n", "kty": "oct", "alg": "none", "k": secret}));
    assert!(matches!(&none, Fault::Unreadable(words) if !words.contains(&secret)));
    let past = with(
        json!({"kid": "e", "kty": "OKP", "crv": "Ed25519", "alg": "EdDSA", "x": PUBLIC, "nbf": 5, "exp": 5}),
    );
    assert_eq!(past, Fault::Key("e".into(), "it ends before it begins"));
}

#[test]
fn revoked_and_rotated_keys_hold_no_more_whatever_was_known() {
    let text = set(json!({"revoked_tokens": ["t1"], "revoked_keys": ["hall"]}));
    let keys = KeySet::read(text.to_string().as_bytes()).unwrap();
    let (form, target) = (UriSigning::default(), target("/a"));
    let token = |id: &str| jwt(&json!({"cdniuc": "regex:.*", "jti": id}));
    let hold = |token: &str| holds(&form.check(token, &keys, &asked(&target))?, &keys, at(1));
    assert_eq!(hold(&token("t2")), Ok(()));
    assert_eq!(hold(&token("t1")), Err(Refusal::Revoked));
    assert!(keys.key("hall").is_none() && keys.iter().count() == 1);
    let mut timed = set(json!({}));
    timed["keys"][0]["nbf"] = json!(100);
    timed["keys"][0]["exp"] = json!(200);
    let keys = KeySet::read(timed.to_string().as_bytes()).unwrap();
    let claims = form.check(&token("t2"), &keys, &asked(&target)).unwrap();
    assert_eq!(holds(&claims, &keys, at(150)), Ok(()));
    let skewed = Now { unix_ms: 200_000, skew_ms: 10_000 };
    assert_eq!(holds(&claims, &keys, skewed), Err(Refusal::KeyTime), "no skew widens what the owner said");
    assert_eq!(keys.signer(150).map(|key| key.id.as_str()), Some("hall"), "the one that holds for longest");
}

#[test]
fn a_box_ten_seconds_fast_lets_pass_what_the_stated_skew_allows_and_no_more() {
    let form = UriSigning::default();
    let token = jwt(&json!({"cdniuc": "regex:.*", "nbf": 100, "exp": 200}));
    let now = |unix: u64, skew_ms| Now { unix_ms: unix * 1000, skew_ms };
    assert_eq!(check(&form, &token, "/a", now(209, 10_000)), Ok(210_000));
    assert_eq!(check(&form, &token, "/a", now(210, 10_000)), Err(Refusal::Lapsed(10_000)));
    assert_eq!(check(&form, &token, "/a", now(90, 10_000)), Ok(210_000));
    assert_eq!(check(&form, &token, "/a", now(89, 10_000)), Err(Refusal::Early(1000)));
    assert_eq!(Refusal::Early(1000).come_back_ms(), Some(1000));
}

#[test]
fn the_clocks_estimate_needs_three_parties_and_follows_no_liar() {
    let mut clock = Clock::new(15_000);
    clock.said(1, 1_000_000, 1_010_000);
    clock.said(2, 1_000_000, 1_010_020);
    assert_eq!(clock.estimate(), None, "one of two may lie");
    clock.said(3, 1_000_000 + 3_600_000, 1_010_000);
    let estimate = clock.estimate().unwrap();
    assert_eq!((estimate.offset_ms, estimate.parties), (-10_000, 3));
    assert_eq!(clock.now(2_000_000, 500), Now { unix_ms: 1_990_000, skew_ms: 500 }, "the skew stays");
    // A word that was long on its way is outdone by one that was quick.
    clock.said(1, 1_000_000, 1_019_000);
    assert_eq!(clock.estimate().unwrap().offset_ms, -10_000);
    for participant in 4..10 {
        clock.said(participant, 90_000_000, 1_000_000);
    }
    assert_eq!(clock.estimate(), None, "beyond belief");
    for participant in 0..10_000 {
        clock.said(participant, 1, 1);
    }
    assert!(clock.estimate().is_none_or(|estimate| estimate.parties <= 64));
}

#[test]
fn a_verdict_is_known_until_its_token_its_key_or_its_revocation_ends_it() {
    let (form, keys, target) = (UriSigning::default(), keys(), target("/a"));
    let mut verdicts = VerificationCache::new(Bounds { verdicts: 8, ..Bounds::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "exp": 200, "jti": "t1"}));
    for _ in 0..5 {
        assert!(verdicts.check(&form, &keys, &token, &asked(&target), at(150)).is_ok());
    }
    assert_eq!((verdicts.checks, verdicts.hits), (1, 4));
    let lapsed = verdicts.check(&form, &keys, &token, &asked(&target), at(200)).unwrap_err();
    assert_eq!(lapsed, Refused::Token(Refusal::Lapsed(0)));
    let text = set(json!({"revoked_tokens": ["t1"]}));
    let revoked = KeySet::read(text.to_string().as_bytes()).unwrap();
    let gone = verdicts.check(&form, &revoked, &token, &asked(&target), at(150)).unwrap_err();
    assert_eq!(gone, Refused::Token(Refusal::Revoked), "a known verdict does not outlive the revocation");
    for nth in 0..1000 {
        let _ = verdicts.check(&form, &keys, &format!("{nth}"), &asked(&target), at(150));
    }
    assert!(verdicts.known() <= 8);
}

#[test]
fn a_flood_of_bad_tokens_costs_its_own_client_alone() {
    let (form, keys, target) = (UriSigning::default(), keys(), target("/a"));
    let mut verdicts = VerificationCache::new(Bounds::default(), (1, 2));
    let bad = |nth: u32| jwt(&json!({"cdniuc": "regex:.*"})) + &format!("{nth}");
    let from = |last| Asked { client: IpAddr::from([10, 0, 0, last]), ..asked(&target) };
    for nth in 0..500 {
        let _ = verdicts.check(&form, &keys, &bad(nth), &from(1), at(150));
    }
    assert_eq!(verdicts.checks, 50, "a refused signature counts as four");
    let refused = verdicts.check(&form, &keys, &bad(999), &from(1), at(150)).unwrap_err();
    assert!(matches!(refused, Refused::Costs(wait) if (1..=100).contains(&wait)));
    let good = jwt(&json!({"cdniuc": "regex:.*"}));
    assert!(verdicts.check(&form, &keys, &good, &from(2), at(150)).is_ok());
    assert!(verdicts.check(&form, &keys, &good, &from(1), at(150)).is_ok(), "what is known costs nothing");
}

#[test]
fn what_one_form_said_of_a_token_does_not_pass_for_anothers_word() {
    let (keys, target) = (keys(), target("/a"));
    let mut verdicts = VerificationCache::new(Bounds::default(), (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "aud": "branch"}));
    for (audience, passes) in [("branch", true), ("other", false), ("branch", true)] {
        let form = UriSigning { audience: Some(audience.into()) };
        let said = verdicts.check(&form, &keys, &token, &asked(&target), at(1));
        assert_eq!(said.is_ok(), passes, "{audience}");
    }
}

#[test]
fn a_link_that_is_passed_round_serves_a_few_and_those_go_on() {
    let (form, keys, target) = (UriSigning::default(), keys(), target("/a"));
    let mut verdicts = VerificationCache::new(Bounds { addresses: 3, ..Bounds::default() }, (1, 2));
    let token = jwt(&json!({"cdniuc": "regex:.*", "cdniip": "10.0.0.0/16"}));
    let mut from = |third, last, unix| {
        let asked = Asked { client: IpAddr::from([10, 0, third, last]), ..asked(&target) };
        verdicts.check(&form, &keys, &token, &asked, at(unix)).map(drop)
    };
    for last in 1..=3 {
        assert_eq!(from(0, last, 150), Ok(()));
    }
    assert_eq!(from(0, 4, 150), Err(Refused::Token(Refusal::Shared)));
    assert_eq!(from(0, 1, 150), Ok(()), "who was first goes on");
    assert_eq!(from(0, 4, 211), Ok(()), "counted for as long as the verdict is known");
}

#[test]
fn addresses_and_patterns_fit_what_they_say() {
    let holds = |prefix: &str, address: &str| Prefix::read(prefix).unwrap().holds(address.parse().unwrap());
    assert!(
        holds("10.0.0.0/8", "10.9.9.9") && !holds("10.0.0.0/8", "11.0.0.1") && holds("0.0.0.0/0", "1.2.3.4")
    );
    assert!(holds("2001:db8::/32", "2001:db8::1") && !holds("2001:db8::/32", "2001:db9::1"));
    assert!(holds("10.1.2.3", "::ffff:10.1.2.3"), "the same client on a socket of both kinds");
    for bad in ["10.0.0.0/33", "10.0.0/8", "::/129", "1.2.3.4/+8", ""] {
        assert_eq!(Prefix::read(bad), None, "{bad}");
    }
    assert!(fits("/a/*", "/a/b/c") && fits("*", "") && !fits("/a/?", "/a/") && !fits("/a", "/a/b"));
    // An expression that would try everything again and again.
    assert!(!fits(&"*a".repeat(40), &"b".repeat(2000)));
}

proptest! {
    /// The normal form of a normal form is itself, and no dot segment is left.
    #[test]
    fn a_normal_form_is_its_own(text in "/[a-c./%2-6eEfF?&=~+ ]{0,30}") {
        if let Ok(first) = normal::target(&text) {
            let again = normal::target(&first.text());
            prop_assert_eq!(again.as_ref(), Ok(&first), "{}", first.text());
            prop_assert!(!first.path.split('/').any(|part| part == "." || part == ".."));
        }
    }

    /// No byte that counts can be changed in an accepted token.
    #[test]
    fn no_changed_token_passes(at_byte in 0usize..200, bit in 0u8..8, which in 0usize..3) {
        let keys = keys();
        let target = target("/lessons/3");
        let hmac = HmacForm { keys: vec!["school".into()] };
        let fields = Fields { expires: 200, patterns: vec!["/lessons/*".into()], ..Fields::default() };
        let signed = Signed { cdniuc: "regex:.*".into(), exp: Some(200), ..Signed::default() };
        let uri = UriSigning::default();
        let tokens: [(&dyn Format, String); 3] = [
            (&hmac, hmac.sign(keys.key("school").unwrap(), &fields, "").unwrap()),
            (&uri, uri.sign(keys.key("hall").unwrap(), &signed).unwrap()),
            (&PrefixSignature, PrefixSignature.sign(keys.key("hall").unwrap(), "https://videos.example/", 200).unwrap()),
        ];
        let (format, token) = &tokens[which];
        prop_assert!(format.check(token, &keys, &asked(&target)).is_ok());
        let mut bytes = token.clone().into_bytes();
        let nth = at_byte % bytes.len();
        bytes[nth] ^= 1 << bit;
        if let Ok(bent) = String::from_utf8(bytes) {
            // Hex digits count alike in both cases; a padding or trailing bit that is not used must be
            // refused.
            if !bent.eq_ignore_ascii_case(token) {
                prop_assert!(format.check(&bent, &keys, &asked(&target)).is_err(), "{bent}");
            }
        }
    }

    /// Whatever comes is read or refused.
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,120}") {
        let (keys, target) = (keys(), target("/a"));
        let hmac = HmacForm { keys: vec!["school".into()] };
        for format in [&hmac as &dyn Format, &UriSigning::default(), &PrefixSignature] {
            prop_assert!(format.check(&text, &keys, &asked(&target)).is_err());
        }
    }
}

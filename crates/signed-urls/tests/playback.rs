//! Playbacks that continue after their signed URL has expired: for which requests and clients, and until
//! when.

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde_json::{Value, json};
use tindoor_signed_urls::claims::{Claims, Scope, TokenError, VerificationContext, VerificationTime};
use tindoor_signed_urls::keys::KeySet;
use tindoor_signed_urls::normalize::{self, Target};
use tindoor_signed_urls::playback::{Playback, PlaybackLimits};

const LIMITS: PlaybackLimits =
    PlaybackLimits { renewal_seconds: 60, max_seconds: 3600, grace_seconds: 300, max_renewals: 1000 };

fn keys(change: Value) -> KeySet {
    let key = |id, byte| {
        let secret = URL_SAFE_NO_PAD.encode([byte; 32]);
        json!({"kid": id, "kty": "oct", "alg": "HS256", "k": secret, "key_ops": ["sign"], "exp": 90_000})
    };
    let mut set = json!({"keys": [key("a", 1), key("b", 2)]});
    set.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
    KeySet::parse(set.to_string().as_bytes()).unwrap()
}

fn claims(expires: u64) -> Claims {
    let (key, id) = ("url-key".to_string(), Some("t1".to_string()));
    let (not_before, client, renewal) = (None, None, None);
    let scope = Scope::Path("/v".into());
    Claims { key, not_before, expires: Some(expires), scope, client, id, renewal }
}

fn part(nth: u32) -> Target {
    normalize::normalize(&format!("/v1/store/video/7f3a9c21e0b4d655/{nth}")).unwrap()
}

fn context(target: &Target) -> VerificationContext<'_> {
    VerificationContext { base_url: "https://videos.example", target, client: IpAddr::from([10, 1, 2, 3]) }
}

fn at(unix: u64) -> VerificationTime {
    VerificationTime { unix_ms: unix * 1000, skew_ms: 0 }
}

/// Starts a playback at `started_at` and requests a part every `interval` seconds until a request is
/// rejected. Returns the time and the error of the rejection; `TokenError::Missing` if there is no further
/// renewal. Times are in Unix seconds.
fn play_until_rejected(
    started_at: u64,
    interval: u64,
    url_expires: u64,
    limits: &PlaybackLimits,
) -> (u64, TokenError) {
    let keys = keys(json!({}));
    let first = part(0);
    let mut playback =
        Playback::start(&claims(url_expires), &context(&first), at(started_at), limits).unwrap();
    for nth in 1.. {
        let (now, target) = (at(started_at + u64::from(nth) * interval), part(nth));
        let token = playback.sign(&keys, now).unwrap();
        match Playback::verify(&token, &keys, &context(&target), now) {
            Ok(verified) => match verified.renew(now, limits) {
                Some(next) => playback = next,
                None => return (now.unix_ms / 1000, TokenError::Missing),
            },
            Err(error) => return (now.unix_ms / 1000, error),
        }
    }
    unreachable!()
}

#[test]
fn a_playback_started_in_time_continues_after_its_url_expires_up_to_the_limits() {
    let (end, error) = play_until_rejected(1000, 10, 1200, &LIMITS);
    assert_eq!((end, error), (1500, TokenError::Expired(0)), "300 s after the URL expired at 1200");
    assert_eq!(
        play_until_rejected(1000, 10, 90_000, &LIMITS),
        (4600, TokenError::Expired(0)),
        "the maximum duration is 3600 s"
    );
    let few_renewals = PlaybackLimits { max_renewals: 5, ..LIMITS };
    assert_eq!(
        play_until_rejected(1000, 10, 1200, &few_renewals),
        (1060, TokenError::Missing),
        "the sixth renewal is over the limit"
    );
}

#[test]
fn a_pause_longer_than_a_renewals_lifetime_ends_the_playback() {
    assert_eq!(
        play_until_rejected(1000, 59, 1200, &LIMITS),
        (1531, TokenError::Expired(31_000)),
        "renewed eight times, until the playback ends at 1500"
    );
    assert_eq!(play_until_rejected(1000, 61, 1200, &LIMITS), (1061, TokenError::Expired(1000)));
}

#[test]
fn a_renewal_covers_seeks_within_its_object_but_no_other_client_or_object() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&claims(1200), &context(&first), at(1000), &LIMITS).unwrap();
    let token = playback.sign(&keys, at(1000)).unwrap();
    let seek = part(900);
    assert!(Playback::verify(&token, &keys, &context(&seek), at(1001)).is_ok());
    let copied = VerificationContext { client: IpAddr::from([10, 1, 2, 4]), ..context(&seek) };
    assert_eq!(Playback::verify(&token, &keys, &copied, at(1001)), Err(TokenError::ClientMismatch));
    let other = normalize::normalize("/v1/store/video/00000000000000aa/0").unwrap();
    assert_eq!(Playback::verify(&token, &keys, &context(&other), at(1001)), Err(TokenError::PathMismatch));
    let below = normalize::normalize("/v1/store/video/7f3a9c21e0b4d655/0/1").unwrap();
    assert_eq!(Playback::verify(&token, &keys, &context(&below), at(1001)), Err(TokenError::PathMismatch));
}

#[test]
fn another_router_accepts_a_renewal_until_its_url_or_key_is_revoked() {
    let (old, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&claims(1200), &context(&first), at(1000), &LIMITS).unwrap();
    let token = playback.sign(&old, at(1000)).unwrap();
    assert!(
        Playback::verify(&token, &keys(json!({})), &context(&first), at(1001)).is_ok(),
        "a second key set with the same keys, without shared state"
    );
    let verify_with = |change| Playback::verify(&token, &keys(change), &context(&first), at(1001));
    assert_eq!(verify_with(json!({"revoked_tokens": ["t1"]})), Err(TokenError::Revoked));
    assert_eq!(verify_with(json!({"revoked_keys": ["url-key"]})), Err(TokenError::Revoked));
    assert!(matches!(verify_with(json!({"revoked_keys": ["a", "b"]})), Err(TokenError::UnknownKey)));
}

#[test]
fn a_clock_ten_seconds_fast_does_not_extend_a_playback() {
    let (keys, first) = (keys(json!({})), part(0));
    let fast = VerificationTime { unix_ms: 1_010_000, skew_ms: 10_000 };
    let playback = Playback::start(&claims(1200), &context(&first), fast, &LIMITS).unwrap();
    let last = VerificationTime { unix_ms: 1_495_000, skew_ms: 0 };
    let renewed = playback.renew(last, &LIMITS).unwrap();
    assert_eq!(
        renewed.remaining_seconds(last),
        5,
        "until 300 s after the URL expires, whatever the clock said when the playback started"
    );
    let token = renewed.sign(&keys, last).unwrap();
    let check = |unix_ms, skew_ms| {
        Playback::verify(&token, &keys, &context(&first), VerificationTime { unix_ms, skew_ms })
    };
    assert!(check(1_509_000, 10_000).is_ok(), "a router whose clock is ten seconds fast still accepts it");
    assert_eq!(check(1_510_000, 10_000), Err(TokenError::Expired(10_000)));
}

#[test]
fn a_renewal_requires_a_signing_key_and_a_url_that_expires() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&claims(1200), &context(&first), at(1000), &LIMITS).unwrap();
    let token = playback.sign(&keys, at(1000)).unwrap();
    // The same secrets, but the keys may only verify.
    let mut set = json!({"keys": []});
    for (id, byte) in [("a", 1u8), ("b", 2)] {
        let key = json!({"kid": id, "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode([byte; 32])});
        set["keys"].as_array_mut().unwrap().push(key);
    }
    let verifying_keys = KeySet::parse(set.to_string().as_bytes()).unwrap();
    assert_eq!(playback.sign(&verifying_keys, at(1000)), None);
    assert_eq!(
        Playback::verify(&token, &verifying_keys, &context(&first), at(1001)),
        Err(TokenError::InvalidSignature)
    );
    let malformed = token.replace('.', "..");
    assert!(matches!(
        Playback::verify(&malformed, &keys, &context(&first), at(1001)),
        Err(TokenError::Malformed(_))
    ));
    let without_expiry = Claims { expires: None, ..claims(0) };
    assert!(
        Playback::start(&without_expiry, &context(&first), at(1000), &LIMITS).is_none(),
        "a URL that never expires needs no renewals"
    );
}

//! A video across the end of its link: what goes on, for whom, and until when.

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

fn link(expires: u64) -> Claims {
    let (key, id) = ("school".to_string(), Some("t1".to_string()));
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

/// The renewals of a playback that asks each so many seconds from a moment on, until it is refused.
fn play(from: u64, every: u64, ends: u64, bounds: &PlaybackLimits) -> (u64, TokenError) {
    let keys = keys(json!({}));
    let first = part(0);
    let mut playback = Playback::start(&link(ends), &context(&first), at(from), bounds).unwrap();
    for nth in 1.. {
        let (now, target) = (at(from + u64::from(nth) * every), part(nth));
        let token = playback.sign(&keys, now).unwrap();
        match Playback::verify(&token, &keys, &context(&target), now) {
            Ok(held) => match held.renew(now, bounds) {
                Some(next) => playback = next,
                None => return (now.unix_ms / 1000, TokenError::Missing),
            },
            Err(refusal) => return (now.unix_ms / 1000, refusal),
        }
    }
    unreachable!()
}

#[test]
fn a_video_that_began_in_time_goes_on_past_its_link_to_the_stated_end_and_no_further() {
    let (end, refusal) = play(1000, 10, 1200, &LIMITS);
    assert_eq!((end, refusal), (1500, TokenError::Expired(0)), "300 s past the link's end at 1200");
    assert_eq!(
        play(1000, 10, 90_000, &LIMITS),
        (4600, TokenError::Expired(0)),
        "nor longer than the longest"
    );
    let short = PlaybackLimits { max_renewals: 5, ..LIMITS };
    assert_eq!(
        play(1000, 10, 1200, &short),
        (1060, TokenError::Missing),
        "nor with more renewals than the chain has"
    );
}

#[test]
fn a_pause_over_what_a_renewal_holds_ends_it() {
    assert_eq!(
        play(1000, 59, 1200, &LIMITS),
        (1531, TokenError::Expired(31_000)),
        "eight times on, to the end"
    );
    assert_eq!(play(1000, 61, 1200, &LIMITS), (1061, TokenError::Expired(1000)));
}

#[test]
fn a_seek_within_the_object_passes_and_a_copy_to_another_client_or_object_does_not() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&link(1200), &context(&first), at(1000), &LIMITS).unwrap();
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
fn another_router_of_the_branch_and_one_with_rotated_keys_take_it_and_a_revoked_link_ends_it() {
    let (old, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&link(1200), &context(&first), at(1000), &LIMITS).unwrap();
    let token = playback.sign(&old, at(1000)).unwrap();
    assert!(
        Playback::verify(&token, &keys(json!({})), &context(&first), at(1001)).is_ok(),
        "no shared state"
    );
    let revoked = |change| Playback::verify(&token, &keys(change), &context(&first), at(1001));
    assert_eq!(revoked(json!({"revoked_tokens": ["t1"]})), Err(TokenError::Revoked));
    assert_eq!(revoked(json!({"revoked_keys": ["school"]})), Err(TokenError::Revoked));
    assert!(matches!(revoked(json!({"revoked_keys": ["a", "b"]})), Err(TokenError::UnknownKey)));
}

#[test]
fn a_clock_ten_seconds_fast_moves_no_stated_end() {
    let (keys, first) = (keys(json!({})), part(0));
    let fast = VerificationTime { unix_ms: 1_010_000, skew_ms: 10_000 };
    let playback = Playback::start(&link(1200), &context(&first), fast, &LIMITS).unwrap();
    let last = VerificationTime { unix_ms: 1_495_000, skew_ms: 0 };
    let late = playback.renew(last, &LIMITS).unwrap();
    assert_eq!(
        late.remaining_seconds(last),
        5,
        "to the link's end and 300 s, whatever the clock said at its begin"
    );
    let token = late.sign(&keys, last).unwrap();
    let check = |unix_ms, skew_ms| {
        Playback::verify(&token, &keys, &context(&first), VerificationTime { unix_ms, skew_ms })
    };
    assert!(check(1_509_000, 10_000).is_ok(), "a router that is ten seconds fast still takes it");
    assert_eq!(check(1_510_000, 10_000), Err(TokenError::Expired(10_000)));
}

#[test]
fn nobody_without_a_signing_key_makes_a_renewal_and_a_link_is_none() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::start(&link(1200), &context(&first), at(1000), &LIMITS).unwrap();
    let token = playback.sign(&keys, at(1000)).unwrap();
    // The same secrets, held only to check.
    let mut set = json!({"keys": []});
    for (id, byte) in [("a", 1u8), ("b", 2)] {
        let key = json!({"kid": id, "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode([byte; 32])});
        set["keys"].as_array_mut().unwrap().push(key);
    }
    let checkers = KeySet::parse(set.to_string().as_bytes()).unwrap();
    assert_eq!(playback.sign(&checkers, at(1000)), None);
    assert_eq!(
        Playback::verify(&token, &checkers, &context(&first), at(1001)),
        Err(TokenError::InvalidSignature)
    );
    let bent = token.replace('.', "..");
    assert!(matches!(
        Playback::verify(&bent, &keys, &context(&first), at(1001)),
        Err(TokenError::Malformed(_))
    ));
    let endless = Claims { expires: None, ..link(0) };
    assert!(
        Playback::start(&endless, &context(&first), at(1000), &LIMITS).is_none(),
        "there is no class to outlive"
    );
}

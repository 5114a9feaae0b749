//! A video across the end of its link: what goes on, for whom, and until when.

use std::net::IpAddr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde_json::{Value, json};
use tindoor_signed_urls::claims::{Asked, Claims, Now, Refusal, Scope};
use tindoor_signed_urls::keys::KeySet;
use tindoor_signed_urls::normal::{self, Target};
use tindoor_signed_urls::playback::{Bounds, Playback};

const BOUNDS: Bounds = Bounds { holds: 60, longest: 3600, after_end: 300, chain: 1000 };

fn keys(change: Value) -> KeySet {
    let key = |id, byte| {
        let secret = URL_SAFE_NO_PAD.encode([byte; 32]);
        json!({"kid": id, "kty": "oct", "alg": "HS256", "k": secret, "key_ops": ["sign"], "exp": 90_000})
    };
    let mut set = json!({"keys": [key("a", 1), key("b", 2)]});
    set.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
    KeySet::read(set.to_string().as_bytes()).unwrap()
}

fn link(expires: u64) -> Claims {
    let (key, id) = ("school".to_string(), Some("t1".to_string()));
    let (not_before, client, renewal) = (None, None, None);
    let scope = Scope::Path("/v".into());
    Claims { key, not_before, expires: Some(expires), scope, client, id, renewal }
}

fn part(nth: u32) -> Target {
    normal::target(&format!("/v1/store/video/7f3a9c21e0b4d655/{nth}")).unwrap()
}

fn asked(target: &Target) -> Asked<'_> {
    Asked { base: "https://videos.example", target, client: IpAddr::from([10, 1, 2, 3]) }
}

fn at(unix: u64) -> Now {
    Now { unix_ms: unix * 1000, skew_ms: 0 }
}

/// The renewals of a playback that asks each so many seconds from a moment on, until it is refused.
fn play(from: u64, every: u64, ends: u64, bounds: &Bounds) -> (u64, Refusal) {
    let keys = keys(json!({}));
    let first = part(0);
    let mut playback = Playback::begin(&link(ends), &asked(&first), at(from), bounds).unwrap();
    for nth in 1.. {
        let (now, target) = (at(from + u64::from(nth) * every), part(nth));
        let token = playback.sign(&keys, now).unwrap();
        match Playback::check(&token, &keys, &asked(&target), now) {
            Ok(held) => match held.next(now, bounds) {
                Some(next) => playback = next,
                None => return (now.unix_ms / 1000, Refusal::Missing),
            },
            Err(refusal) => return (now.unix_ms / 1000, refusal),
        }
    }
    unreachable!()
}

#[test]
fn a_video_that_began_in_time_goes_on_past_its_link_to_the_stated_end_and_no_further() {
    let (end, refusal) = play(1000, 10, 1200, &BOUNDS);
    assert_eq!((end, refusal), (1500, Refusal::Lapsed(0)), "300 s past the link's end at 1200");
    assert_eq!(play(1000, 10, 90_000, &BOUNDS), (4600, Refusal::Lapsed(0)), "nor longer than the longest");
    let short = Bounds { chain: 5, ..BOUNDS };
    assert_eq!(
        play(1000, 10, 1200, &short),
        (1060, Refusal::Missing),
        "nor with more renewals than the chain has"
    );
}

#[test]
fn a_pause_over_what_a_renewal_holds_ends_it() {
    assert_eq!(play(1000, 59, 1200, &BOUNDS), (1531, Refusal::Lapsed(31_000)), "eight times on, to the end");
    assert_eq!(play(1000, 61, 1200, &BOUNDS), (1061, Refusal::Lapsed(1000)));
}

#[test]
fn a_seek_within_the_object_passes_and_a_copy_to_another_client_or_object_does_not() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::begin(&link(1200), &asked(&first), at(1000), &BOUNDS).unwrap();
    let token = playback.sign(&keys, at(1000)).unwrap();
    let seek = part(900);
    assert!(Playback::check(&token, &keys, &asked(&seek), at(1001)).is_ok());
    let copied = Asked { client: IpAddr::from([10, 1, 2, 4]), ..asked(&seek) };
    assert_eq!(Playback::check(&token, &keys, &copied, at(1001)), Err(Refusal::Client));
    let other = normal::target("/v1/store/video/00000000000000aa/0").unwrap();
    assert_eq!(Playback::check(&token, &keys, &asked(&other), at(1001)), Err(Refusal::Scope));
    let below = normal::target("/v1/store/video/7f3a9c21e0b4d655/0/1").unwrap();
    assert_eq!(Playback::check(&token, &keys, &asked(&below), at(1001)), Err(Refusal::Scope));
}

#[test]
fn another_router_of_the_branch_and_one_with_rotated_keys_take_it_and_a_revoked_link_ends_it() {
    let (old, first) = (keys(json!({})), part(0));
    let playback = Playback::begin(&link(1200), &asked(&first), at(1000), &BOUNDS).unwrap();
    let token = playback.sign(&old, at(1000)).unwrap();
    assert!(Playback::check(&token, &keys(json!({})), &asked(&first), at(1001)).is_ok(), "no shared state");
    let revoked = |change| Playback::check(&token, &keys(change), &asked(&first), at(1001));
    assert_eq!(revoked(json!({"revoked_tokens": ["t1"]})), Err(Refusal::Revoked));
    assert_eq!(revoked(json!({"revoked_keys": ["school"]})), Err(Refusal::Revoked));
    assert!(matches!(revoked(json!({"revoked_keys": ["a", "b"]})), Err(Refusal::UnknownKey)));
}

#[test]
fn a_clock_ten_seconds_fast_moves_no_stated_end() {
    let (keys, first) = (keys(json!({})), part(0));
    let fast = Now { unix_ms: 1_010_000, skew_ms: 10_000 };
    let playback = Playback::begin(&link(1200), &asked(&first), fast, &BOUNDS).unwrap();
    let last = Now { unix_ms: 1_495_000, skew_ms: 0 };
    let late = playback.next(last, &BOUNDS).unwrap();
    assert_eq!(late.holds(last), 5, "to the link's end and 300 s, whatever the clock said at its begin");
    let token = late.sign(&keys, last).unwrap();
    let check = |unix_ms, skew_ms| Playback::check(&token, &keys, &asked(&first), Now { unix_ms, skew_ms });
    assert!(check(1_509_000, 10_000).is_ok(), "a router that is ten seconds fast still takes it");
    assert_eq!(check(1_510_000, 10_000), Err(Refusal::Lapsed(10_000)));
}

#[test]
fn nobody_without_a_signing_key_makes_a_renewal_and_a_link_is_none() {
    let (keys, first) = (keys(json!({})), part(0));
    let playback = Playback::begin(&link(1200), &asked(&first), at(1000), &BOUNDS).unwrap();
    let token = playback.sign(&keys, at(1000)).unwrap();
    // The same secrets, held only to check.
    let mut set = json!({"keys": []});
    for (id, byte) in [("a", 1u8), ("b", 2)] {
        let key = json!({"kid": id, "kty": "oct", "alg": "HS256", "k": URL_SAFE_NO_PAD.encode([byte; 32])});
        set["keys"].as_array_mut().unwrap().push(key);
    }
    let checkers = KeySet::read(set.to_string().as_bytes()).unwrap();
    assert_eq!(playback.sign(&checkers, at(1000)), None);
    assert_eq!(Playback::check(&token, &checkers, &asked(&first), at(1001)), Err(Refusal::Signature));
    let bent = token.replace('.', "..");
    assert!(matches!(Playback::check(&bent, &keys, &asked(&first), at(1001)), Err(Refusal::Unreadable(_))));
    let endless = Claims { expires: None, ..link(0) };
    assert!(
        Playback::begin(&endless, &asked(&first), at(1000), &BOUNDS).is_none(),
        "there is no class to outlive"
    );
}

//! What a check takes by form and algorithm, with and without a known verdict, against the bare signature.

use std::hint::black_box;
use std::net::IpAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor_signed_urls::claims::{Asked, Now};
use tindoor_signed_urls::edit::{new_key, with_key};
use tindoor_signed_urls::hmac_form::{Fields, HmacForm};
use tindoor_signed_urls::keys::{Algorithm, KeySet};
use tindoor_signed_urls::playback::{Bounds as PlaybackBounds, Playback};
use tindoor_signed_urls::prefix::PrefixSignature;
use tindoor_signed_urls::uri_signing::{Signed, UriSigning};
use tindoor_signed_urls::verification_cache::{Bounds, VerificationCache};
use tindoor_signed_urls::{Format, normal};

fn bench(criterion: &mut Criterion) {
    let one = with_key(None, new_key("h", Algorithm::Hs256, 0, u64::MAX).unwrap()).unwrap();
    let two = with_key(Some(one.as_bytes()), new_key("e", Algorithm::EdDsa, 0, u64::MAX).unwrap()).unwrap();
    let keys = KeySet::read(two.as_bytes()).unwrap();
    let (hmac_key, ed_key) = (keys.key("h").unwrap(), keys.key("e").unwrap());
    let target = normal::target("/v1/store/video/7f3a9c21e0b4d655/12").unwrap();
    let asked =
        Asked { base: "https://videos.example", target: &target, client: IpAddr::from([10, 1, 2, 3]) };
    let now = Now { unix_ms: 1_000_000, skew_ms: 2000 };
    let hmac = HmacForm { keys: vec!["h".into()] };
    let patterns = vec!["/v1/store/video/*".to_string()];
    let fields = Fields { expires: 5000, patterns, client: Some("10.1.0.0/16".into()), ..Fields::default() };
    let uri = UriSigning::default();
    let expression = "regex:https://videos\\.example/v1/store/video/.*";
    let hashed = UriSigning::hash_of("https://videos.example/v1/store/video/7f3a9c21e0b4d655/12");
    let signed = |cdniuc: &str| Signed { cdniuc: cdniuc.into(), exp: Some(5000), ..Signed::default() };
    let prefix = PrefixSignature;
    let cases: [(&str, &dyn Format, String); 5] = [
        ("hmac form, HS256", &hmac, hmac.sign(hmac_key, &fields, "").unwrap()),
        ("uri signing by hash, HS256", &uri, uri.sign(hmac_key, &signed(&hashed)).unwrap()),
        ("uri signing by hash, EdDSA", &uri, uri.sign(ed_key, &signed(&hashed)).unwrap()),
        ("uri signing by expression, EdDSA", &uri, uri.sign(ed_key, &signed(expression)).unwrap()),
        ("prefix, EdDSA", &prefix, prefix.sign(ed_key, "https://videos.example/v1/", 5000).unwrap()),
    ];
    let message = [7; 200];
    for key in [hmac_key, ed_key] {
        let signature = key.sign(&message).unwrap();
        criterion.bench_function(&format!("bare {}", key.algorithm.name()), |bencher| {
            bencher.iter(|| black_box(key.checks(black_box(&message), &signature)));
        });
    }
    for (name, format, token) in &cases {
        criterion.bench_function(&format!("anew: {name}"), |bencher| {
            bencher
                .iter(|| format.check(black_box(token), &keys, &asked).unwrap().judge(&asked, now).unwrap());
        });
        let mut verdicts = VerificationCache::new(Bounds::default(), (1, 2));
        criterion.bench_function(&format!("known: {name}"), |bencher| {
            bencher.iter(|| verdicts.check(*format, &keys, black_box(token), &asked, now).unwrap().until);
        });
    }
    let claims = hmac.check(&cases[0].2, &keys, &asked).unwrap();
    let playback = Playback::begin(&claims, &asked, now, &PlaybackBounds::default()).unwrap();
    let token = playback.sign(&keys, now).unwrap();
    criterion.bench_function("a renewal checked", |bencher| {
        bencher.iter(|| Playback::check(black_box(&token), &keys, &asked, now).unwrap());
    });
    criterion
        .bench_function("a renewal signed", |bencher| bencher.iter(|| playback.sign(&keys, now).unwrap()));
    criterion.bench_function("a normal form", |bencher| {
        bencher.iter(|| normal::target(black_box("/v1/store/video/7f3a9c21e0b4d655/12?a=%41&b=c")).unwrap());
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

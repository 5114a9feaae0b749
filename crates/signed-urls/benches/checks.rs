//! What a check takes by form and algorithm, with and without a known verdict, against the bare signature.

#![allow(missing_docs, reason = "criterion_group! makes an undocumented function")]

use std::hint::black_box;
use std::net::IpAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor_signed_urls::claims::{VerificationContext, VerificationTime};
use tindoor_signed_urls::hmac_format::{HmacFields, HmacFormat};
use tindoor_signed_urls::key_set_editor::{add_key, new_key};
use tindoor_signed_urls::keys::{Algorithm, KeySet};
use tindoor_signed_urls::playback::{Playback, PlaybackLimits};
use tindoor_signed_urls::uri_signing::{UriSigningClaims, UriSigningFormat};
use tindoor_signed_urls::url_prefix::UrlPrefixFormat;
use tindoor_signed_urls::verification_cache::{Limits, VerificationCache};
use tindoor_signed_urls::{TokenFormat, normalize};

fn bench(criterion: &mut Criterion) {
    let one = add_key(None, new_key("h", Algorithm::Hs256, 0, u64::MAX).unwrap()).unwrap();
    let two = add_key(Some(one.as_bytes()), new_key("e", Algorithm::EdDsa, 0, u64::MAX).unwrap()).unwrap();
    let keys = KeySet::parse(two.as_bytes()).unwrap();
    let (hmac_key, ed_key) = (keys.key("h").unwrap(), keys.key("e").unwrap());
    let target = normalize::normalize("/v1/store/video/7f3a9c21e0b4d655/12").unwrap();
    let context = VerificationContext {
        base_url: "https://videos.example",
        target: &target,
        client: IpAddr::from([10, 1, 2, 3]),
    };
    let now = VerificationTime { unix_ms: 1_000_000, skew_ms: 2000 };
    let hmac = HmacFormat { keys: vec!["h".into()] };
    let patterns = vec!["/v1/store/video/*".to_string()];
    let fields =
        HmacFields { expires: 5000, patterns, client: Some("10.1.0.0/16".into()), ..HmacFields::default() };
    let uri = UriSigningFormat::default();
    let expression = "regex:https://videos\\.example/v1/store/video/.*";
    let hashed =
        UriSigningFormat::hash_container("https://videos.example/v1/store/video/7f3a9c21e0b4d655/12");
    let signed = |cdniuc: &str| UriSigningClaims {
        cdniuc: cdniuc.into(),
        exp: Some(5000),
        ..UriSigningClaims::default()
    };
    let prefix = UrlPrefixFormat;
    let cases: [(&str, &dyn TokenFormat, String); 5] = [
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
            bencher.iter(|| black_box(key.verifies(black_box(&message), &signature)));
        });
    }
    for (name, format, token) in &cases {
        criterion.bench_function(&format!("anew: {name}"), |bencher| {
            bencher.iter(|| {
                format.verify(black_box(token), &keys, &context).unwrap().authorize(&context, now).unwrap()
            });
        });
        let mut cache = VerificationCache::new(Limits::default(), (1, 2));
        criterion.bench_function(&format!("known: {name}"), |bencher| {
            bencher
                .iter(|| cache.verify(*format, &keys, black_box(token), &context, now).unwrap().expires_ms);
        });
    }
    let claims = hmac.verify(&cases[0].2, &keys, &context).unwrap();
    let playback = Playback::start(&claims, &context, now, &PlaybackLimits::DEFAULT).unwrap();
    let token = playback.sign(&keys, now).unwrap();
    criterion.bench_function("a renewal checked", |bencher| {
        bencher.iter(|| Playback::verify(black_box(&token), &keys, &context, now).unwrap());
    });
    criterion
        .bench_function("a renewal signed", |bencher| bencher.iter(|| playback.sign(&keys, now).unwrap()));
    criterion.bench_function("a normal form", |bencher| {
        bencher.iter(|| {
            normalize::normalize(black_box("/v1/store/video/7f3a9c21e0b4d655/12?a=%41&b=c")).unwrap()
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

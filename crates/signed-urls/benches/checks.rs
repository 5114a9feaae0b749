//! Duration of a verification by token format and algorithm, with and without a cached result, compared with
//! that of the signature check alone.

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
    let hmac_set = add_key(None, new_key("h", Algorithm::Hs256, 0, u64::MAX).unwrap()).unwrap();
    let key_set =
        add_key(Some(hmac_set.as_bytes()), new_key("e", Algorithm::EdDsa, 0, u64::MAX).unwrap()).unwrap();
    let keys = KeySet::parse(key_set.as_bytes()).unwrap();
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
    let hash_container =
        UriSigningFormat::hash_container("https://videos.example/v1/store/video/7f3a9c21e0b4d655/12");
    let uri_claims = |cdniuc: &str| UriSigningClaims {
        cdniuc: cdniuc.into(),
        exp: Some(5000),
        ..UriSigningClaims::default()
    };
    let prefix = UrlPrefixFormat;
    let cases: [(&str, &dyn TokenFormat, String); 5] = [
        ("HMAC format, HS256", &hmac, hmac.sign(hmac_key, &fields, "").unwrap()),
        ("URI signing by hash, HS256", &uri, uri.sign(hmac_key, &uri_claims(&hash_container)).unwrap()),
        ("URI signing by hash, EdDSA", &uri, uri.sign(ed_key, &uri_claims(&hash_container)).unwrap()),
        ("URI signing by expression, EdDSA", &uri, uri.sign(ed_key, &uri_claims(expression)).unwrap()),
        ("URL prefix, EdDSA", &prefix, prefix.sign(ed_key, "https://videos.example/v1/", 5000).unwrap()),
    ];
    let message = [7; 200];
    for key in [hmac_key, ed_key] {
        let signature = key.sign(&message).unwrap();
        criterion.bench_function(&format!("signature alone: {}", key.algorithm.name()), |bencher| {
            bencher.iter(|| black_box(key.verifies(black_box(&message), &signature)));
        });
    }
    for (name, format, token) in &cases {
        criterion.bench_function(&format!("uncached: {name}"), |bencher| {
            bencher.iter(|| {
                format.verify(black_box(token), &keys, &context).unwrap().authorize(&context, now).unwrap()
            });
        });
        let mut cache = VerificationCache::new(Limits::default(), (1, 2));
        criterion.bench_function(&format!("cached: {name}"), |bencher| {
            bencher
                .iter(|| cache.verify(*format, &keys, black_box(token), &context, now).unwrap().expires_ms);
        });
    }
    let claims = hmac.verify(&cases[0].2, &keys, &context).unwrap();
    let playback = Playback::start(&claims, &context, now, &PlaybackLimits::DEFAULT).unwrap();
    let token = playback.sign(&keys, now).unwrap();
    criterion.bench_function("verify a renewal", |bencher| {
        bencher.iter(|| Playback::verify(black_box(&token), &keys, &context, now).unwrap());
    });
    criterion.bench_function("sign a renewal", |bencher| bencher.iter(|| playback.sign(&keys, now).unwrap()));
    criterion.bench_function("normalize a URL", |bencher| {
        bencher.iter(|| {
            normalize::normalize(black_box("/v1/store/video/7f3a9c21e0b4d655/12?a=%41&b=c")).unwrap()
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);

//! Signed links on the external processor: every kind of token gets what an independent oracle says, and each
//! guard is seen to be needed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use serde_json::json;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::signed::{self, Plan};
use tindoor_testbed::stand_in::*;

fn experiment(signer_off: i64, without: Option<&str>) -> Figures {
    let (router_off, without) = (None, without.map(str::to_string));
    signed::run(&Plan { seed: 4, requests: 640, signer_off, router_off, without }).unwrap()
}

#[test]
fn every_token_gets_what_the_oracle_says_also_with_signers_ten_seconds_off() {
    for signer_off in [0, 10, -10] {
        let figures = experiment(signer_off, None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(figures.done > 0 && figures.rejected > 0 && figures.failed > 0, "{}", figures.table());
    }
}

#[test]
fn without_the_check_of_links_refused_clients_reach_caches() {
    let figures = experiment(0, Some("links"));
    assert!(figures.more["refused_reached_a_cache"].as_u64() > Some(0), "{}", figures.table());
}

#[test]
fn without_reading_the_keys_again_a_revoked_key_lives_on() {
    let figures = experiment(0, Some("revoked"));
    assert!(figures.more["other_than_must"].as_u64() > Some(0), "{}", figures.table());
}

/// The exit code of `tindoor check`, and what it wrote to standard error.
fn check(configuration: &Path, fronts: &Path) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(program());
    let output = command.arg("check").arg(configuration).arg("--fronts").arg(fronts).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// The answer of the plain call to a request whose token has a wrong signature.
fn request_with_bad_signature(router: &Router) -> String {
    let mut stream = TcpStream::connect(router.front("call")).unwrap();
    let page =
        format!("GET /v1/store/pages/{OBJECT}/0?t=exp=9999999999~acl=*~hmac={} HTTP/1.1", "0".repeat(64));
    let head = format!("{page}\r\nx-ticket: 00000000000000d1\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn a_key_file_that_others_can_read_is_refused_at_the_start_and_a_bad_one_later_changes_nothing() {
    let (cache, log) = (Cache::start(|_| Behavior::Respond(served(b"x"))), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Hang);
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let configuration = configuration(log.address, members);
    let folder = std::env::temp_dir().join(format!("tindoor-signed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let [named, fronts, keys] = ["c.json", "f.json", "keys.json"].map(|name| folder.join(name));
    let secret = "A".repeat(43);
    let set = json!({"keys": [{"kid": "a", "kty": "oct", "alg": "HS256", "k": secret}]}).to_string();
    let allow = |mode| std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(mode)).unwrap();
    std::fs::write(&keys, &set).unwrap();
    allow(0o644);
    let told = json!({"call": {"listen": "127.0.0.1:0"}, "links": {
        "keys": keys, "base": "https://videos.example", "skew_ms": 2000, "offerings": ["pages"],
        "forms": [{"form": "hmac", "from": {"query": "t"}, "keys": ["a"]}]}});
    std::fs::write(&named, configuration.to_string()).unwrap();
    std::fs::write(&fronts, told.to_string()).unwrap();
    let start = || check(&named, &fronts);
    let (code, said) = start();
    assert!(
        code == Some(1) && said.contains("accessible to other users") && said.contains("keys.json"),
        "{said}"
    );
    allow(0o600);
    assert_eq!(start().0, Some(0));

    let router =
        Router::start_with(&configuration, &StartOptions { fronts: Some(told), ..StartOptions::default() });
    let ask = || request_with_bad_signature(&router);
    let refused = ask();
    assert!(
        refused.starts_with("HTTP/1.1 403") && refused.contains("the signature is not the key's"),
        "{refused}"
    );
    std::fs::write(
        &keys,
        "{\"keys\": [{\"kid\": \"a\", \"kty\": \"oct\", \"alg\": \"HS256\", \"k\": \"short\"}]}",
    )
    .unwrap();
    router.reread_files();
    let line =
        router.log.wait("the reload", |log| log.iter().find(|l| l.contains("keys not read again")).cloned());
    assert!(
        line.contains("\"a\"") && !line.contains("short\""),
        "it names the key and not its secret: {line}"
    );
    assert!(ask().starts_with("HTTP/1.1 403"));
    assert_eq!(cache.count(), 0, "a refused view reaches no cache");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_video_goes_on_past_its_link_for_its_own_client_alone() {
    let figures = experiment(0, None);
    let videos = &figures.more["videos_as_they_must_of_all"];
    for kind in ["goes on", "goes on without its link", "lapsed without a renewal", "copied renewal"] {
        assert!(videos[kind][1].as_u64() > Some(0) && videos[kind][0] == videos[kind][1], "{videos}");
    }
}

#[test]
fn an_operator_makes_rotates_and_lists_keys_and_signs_checks_and_explains_links() {
    let folder = std::env::temp_dir().join(format!("tindoor-operate-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let keys = folder.join("keys.json").display().to_string();
    let run = |line: &[&str]| {
        let output = std::process::Command::new(program()).args(line).output().unwrap();
        let said = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        (output.status.success(), said.trim().to_string())
    };
    assert!(run(&["keys", "new", &keys, "autumn"]).0);
    assert!(run(&["keys", "new", &keys, "hall", "--algorithm", "eddsa", "--days", "30"]).0);
    let mode = std::fs::metadata(&keys).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let url = "https://videos.example/lessons/3";
    let sign = |form: &str, key: &str, url: &str| {
        let (good, token) =
            run(&["link", "sign", &keys, url, "--form", form, "--key", key, "--seconds", "600"]);
        assert!(good, "{token}");
        token
    };
    let check =
        |form: &str, url: &str, token: &str| run(&["link", "check", &keys, url, "--form", form, token]);
    for (form, key, signed) in [
        ("hmac", "autumn", url),
        ("hmac", "autumn", "https://videos.example/lessons/*"),
        ("uri-signing", "autumn", url),
        ("uri-signing", "hall", url),
        ("prefix", "hall", "https://videos.example/lessons/"),
    ] {
        let token = sign(form, key, signed);
        let (good, said) = check(form, url, &token);
        assert!(good && said.contains(&format!("by the key {key}")), "{form}: {said}");
        let (good, said) = check(form, "https://videos.example/exams/3", &token);
        assert!(!good, "{form}: {said}");
        assert!(run(&["link", "explain", &token]).1.contains("not checked"));
    }
    let before = sign("hmac", "autumn", url);
    assert!(run(&["keys", "rotate", &keys, "winter", "--overlap", "3600"]).0);
    let (good, list) = run(&["keys", "list", &keys]);
    assert!(
        good && list.contains("autumn\tHS256\tchecks") && list.contains("winter\tHS256\tsigns"),
        "{list}"
    );
    assert!(check("hmac", url, &before).0, "what was signed lives on for the overlap");
    assert!(!run(&["keys", "new", &keys, "winter"]).0, "an id names one key");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_router_whose_clock_is_ten_seconds_off_judges_by_what_the_caches_agree_on() {
    for off in [-10, 10] {
        let (signer_off, router_off, without) = (0, Some(off), None);
        let figures = signed::run(&Plan { seed: 5, requests: 640, signer_off, router_off, without }).unwrap();
        assert_eq!(figures.rules_broken, 0, "{off}: {}", figures.table());
    }
    let (signer_off, router_off, without) = (0, Some(10), Some("clock".to_string()));
    let figures = signed::run(&Plan { seed: 5, requests: 640, signer_off, router_off, without }).unwrap();
    assert!(figures.more["other_than_must"].as_u64() > Some(0), "{}", figures.table());
}

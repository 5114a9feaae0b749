//! Signed URLs on the external processor: every kind of token gets the result of an independent oracle, and
//! disabling a safety check has a visible effect.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use serde_json::json;
use tindoor_testbed::figures::Figures;
use tindoor_testbed::signed::{self, Plan};
use tindoor_testbed::stand_in::*;

/// Runs 640 requests whose signers' clock is off by `signer_off` seconds, with the check `without` disabled.
fn run_experiment(signer_off: i64, without: Option<&str>) -> Figures {
    let (router_off, without) = (None, without.map(str::to_string));
    signed::run(&Plan { seed: 4, requests: 640, signer_off, router_off, without }).unwrap()
}

#[test]
fn every_token_gets_the_result_of_the_oracle_even_if_signers_are_ten_seconds_off() {
    for signer_off in [0, 10, -10] {
        let figures = run_experiment(signer_off, None);
        assert_eq!(figures.rules_broken, 0, "{}", figures.table());
        assert!(figures.done > 0 && figures.rejected > 0 && figures.failed > 0, "{}", figures.table());
    }
}

#[test]
fn without_the_token_check_refused_clients_reach_caches() {
    let figures = run_experiment(0, Some("links"));
    assert!(figures.more["refused_reached_a_cache"].as_u64() > Some(0), "{}", figures.table());
}

#[test]
fn without_reloading_the_keys_a_revoked_key_is_still_accepted() {
    let figures = run_experiment(0, Some("revoked"));
    assert!(figures.more["other_than_must"].as_u64() > Some(0), "{}", figures.table());
}

/// Returns the exit code of `tindoor check` and its output on standard error.
fn check(configuration: &Path, fronts: &Path) -> (Option<i32>, String) {
    let mut command = std::process::Command::new(program());
    let output = command.arg("check").arg(configuration).arg("--fronts").arg(fronts).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// Sends a request whose token has an invalid signature to the plain HTTP front, and returns the answer.
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
fn a_key_file_accessible_to_others_is_rejected_and_an_invalid_reload_keeps_the_old_keys() {
    let (cache, change_stream) = (Cache::start(|_| Behavior::Respond(served(b"x"))), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Hang);
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let configuration = configuration(change_stream.address, members);
    let folder = std::env::temp_dir().join(format!("tindoor-signed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let [configuration_path, fronts_path, key_path] =
        ["c.json", "f.json", "keys.json"].map(|name| folder.join(name));
    let key_set =
        |secret: &str| json!({"keys": [{"kid": "a", "kty": "oct", "alg": "HS256", "k": secret}]}).to_string();
    let set_mode = |mode| std::fs::set_permissions(&key_path, std::fs::Permissions::from_mode(mode)).unwrap();
    std::fs::write(&key_path, key_set(&"A".repeat(43))).unwrap();
    set_mode(0o644);
    let fronts = json!({"call": {"listen": "127.0.0.1:0"}, "links": {
        "keys": key_path, "base": "https://videos.example", "skew_ms": 2000, "offerings": ["pages"],
        "forms": [{"form": "hmac", "from": {"query": "t"}, "keys": ["a"]}]}});
    std::fs::write(&configuration_path, configuration.to_string()).unwrap();
    std::fs::write(&fronts_path, fronts.to_string()).unwrap();
    let run_check = || check(&configuration_path, &fronts_path);
    let (code, stderr) = run_check();
    let names_problem = stderr.contains("accessible to other users") && stderr.contains("keys.json");
    assert!(code == Some(1) && names_problem, "{stderr}");
    set_mode(0o600);
    assert_eq!(run_check().0, Some(0));

    let router =
        Router::start_with(&configuration, &StartOptions { fronts: Some(fronts), ..StartOptions::default() });
    let send_request = || request_with_bad_signature(&router);
    let refused = send_request();
    assert!(
        refused.starts_with("HTTP/1.1 403") && refused.contains("the signature is not the key's"),
        "{refused}"
    );
    std::fs::write(&key_path, key_set("short")).unwrap();
    router.reread_files();
    let line =
        router.log.wait("the reload", |log| log.iter().find(|l| l.contains("keys not read again")).cloned());
    assert!(
        line.contains("\"a\"") && !line.contains("short\""),
        "expected the key's id and not its secret: {line}"
    );
    assert!(send_request().starts_with("HTTP/1.1 403"));
    assert_eq!(cache.count(), 0, "a refused request must not reach a cache");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_playback_continues_after_its_url_expires_for_its_own_client_only() {
    let figures = run_experiment(0, None);
    let playbacks = &figures.more["videos_as_they_must_of_all"];
    for kind in ["goes on", "goes on without its link", "lapsed without a renewal", "copied renewal"] {
        let (as_expected, all) = (&playbacks[kind][0], &playbacks[kind][1]);
        assert!(all.as_u64() > Some(0) && as_expected == all, "{playbacks}");
    }
}

#[test]
fn operator_commands_create_rotate_and_list_keys_and_sign_check_and_explain_urls() {
    let folder = std::env::temp_dir().join(format!("tindoor-operate-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let keys = folder.join("keys.json").display().to_string();
    let run = |arguments: &[&str]| {
        let output = std::process::Command::new(program()).args(arguments).output().unwrap();
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        (output.status.success(), text.trim().to_string())
    };
    assert!(run(&["keys", "new", &keys, "autumn"]).0);
    assert!(run(&["keys", "new", &keys, "hall", "--algorithm", "eddsa", "--days", "30"]).0);
    let mode = std::fs::metadata(&keys).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let url = "https://videos.example/lessons/3";
    let sign = |form: &str, key: &str, url: &str| {
        let (succeeded, token) =
            run(&["link", "sign", &keys, url, "--form", form, "--key", key, "--seconds", "600"]);
        assert!(succeeded, "{token}");
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
        let (succeeded, text) = check(form, url, &token);
        assert!(succeeded && text.contains(&format!("by the key {key}")), "{form}: {text}");
        let (succeeded, text) = check(form, "https://videos.example/exams/3", &token);
        assert!(!succeeded, "{form}: {text}");
        assert!(run(&["link", "explain", &token]).1.contains("not checked"));
    }
    let before = sign("hmac", "autumn", url);
    assert!(run(&["keys", "rotate", &keys, "winter", "--overlap", "3600"]).0);
    let (succeeded, list) = run(&["keys", "list", &keys]);
    assert!(
        succeeded && list.contains("autumn\tHS256\tchecks") && list.contains("winter\tHS256\tsigns"),
        "{list}"
    );
    assert!(
        check("hmac", url, &before).0,
        "a token signed with the retired key is accepted during the overlap"
    );
    assert!(!run(&["keys", "new", &keys, "winter"]).0, "the id of a key must be unique");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_router_whose_clock_is_ten_seconds_off_verifies_tokens_by_the_clocks_of_the_caches() {
    for offset in [-10, 10] {
        let (signer_off, router_off, without) = (0, Some(offset), None);
        let figures = signed::run(&Plan { seed: 5, requests: 640, signer_off, router_off, without }).unwrap();
        assert_eq!(figures.rules_broken, 0, "{offset}: {}", figures.table());
    }
    let (signer_off, router_off, without) = (0, Some(10), Some("clock".to_string()));
    let figures = signed::run(&Plan { seed: 5, requests: 640, signer_off, router_off, without }).unwrap();
    assert!(figures.more["other_than_must"].as_u64() > Some(0), "{}", figures.table());
}

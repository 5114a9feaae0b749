//! Compares with the recorded files in `tests/golden/` which configuration files `tindoor check` accepts, and
//! which line and key its error names for each rejected file. The wording of the errors is not recorded.
//!
//! To regenerate the recorded files:
//!
//! ```sh
//! cargo test -p tindoor-router --test golden_configuration -- --ignored record
//! ```

#[path = "../../testbed/tests/support/golden.rs"]
mod golden;

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

use golden::Recording;
use serde_json::{Value, json};
use tindoor_testbed::stand_in::{configuration, endpoint_entry, program};

fn recordings() -> Vec<Recording> {
    vec![("configuration.txt", checked_configurations()), ("fronts.txt", checked_fronts())]
}

#[test]
fn files_are_accepted_and_rejected_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded files"]
fn record() {
    golden::record(&recordings());
}

/// A temporary file, removed on drop.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(kind: &str, text: &str) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("tindoor-golden-{kind}-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs `check` on these files. Returns its output if it accepts them, and otherwise the line and key that
/// the error names after the path of the invalid file.
fn check(configuration: &str, fronts: Option<&str>) -> String {
    let configuration = TemporaryFile::new("configuration", configuration);
    let fronts = fronts.map(|text| TemporaryFile::new("fronts", text));
    let mut command = Command::new(program());
    command.arg("check").arg(&configuration.0).env_remove("PROXY_CONFIG");
    if let Some(fronts) = &fronts {
        command.arg("--fronts").arg(&fronts.0);
    }
    let output = command.output().unwrap();
    if output.status.success() {
        return String::from_utf8(output.stdout).unwrap().trim().to_string();
    }
    let text = String::from_utf8(output.stderr).unwrap();
    let paths = [Some(&configuration), fronts.as_ref()].into_iter().flatten();
    let message = paths.fold(text, |text, file| text.replace(&*file.0.to_string_lossy(), "FILE"));
    let (_, message) =
        message.split_once("FILE").unwrap_or_else(|| panic!("the error names no file: {message}"));
    format!("rejected, {}", line_and_key(message.trim_start_matches(": ").trim()))
}

/// Returns the line and the key at the start of an error message.
fn line_and_key(message: &str) -> String {
    let (line, rest) = match message.split_once(": ") {
        Some((line, rest)) if line.starts_with("line ") => (line, rest),
        _ => ("no line", message),
    };
    let key = rest.split(": ").find(|part| !part.contains(' ')).unwrap_or("none");
    format!("{line}, key {key}")
}

/// A configuration with every key and one endpoint of each kind, whose change stream is unreachable.
fn complete_configuration() -> Value {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let members = ["cache", "parent", "origin"].map(|kind| endpoint_entry(kind, unreachable, kind, "active"));
    configuration(unreachable, members.to_vec())
}

/// The text of the complete configuration with this value at this JSON pointer. A null value removes the key.
fn configuration_with(pointer: &str, value: &Value) -> String {
    let mut configuration = complete_configuration();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = configuration.pointer_mut(parent).unwrap();
    match (parent.as_object_mut(), value) {
        (Some(object), Value::Null) => drop(object.remove(key)),
        (Some(object), value) => drop(object.insert(key.to_string(), value.clone())),
        (None, value) => parent[key.parse::<usize>().unwrap()] = value.clone(),
    }
    format!("{configuration:#}")
}

/// The values to try at each JSON pointer. A null value removes the key.
fn values_by_pointer() -> Vec<(&'static str, Vec<Value>)> {
    let numbers = |values: &[i64]| values.iter().map(|value| json!(value)).collect::<Vec<_>>();
    let mut values_by_pointer = vec![
        ("/name", vec![Value::Null, json!(""), json!(1), json!("another")]),
        ("/listen", vec![Value::Null, json!("nowhere"), json!("127.0.0.1"), json!("[::1]:0")]),
        ("/changelog", vec![Value::Null, json!("nowhere"), json!("localhost:1"), json!("[::1]:1")]),
        (
            "/seed",
            vec![Value::Null, json!("xyz"), json!(""), json!(7), json!("0"), json!("11112222333344445")],
        ),
        ("/limits", vec![Value::Null, json!([]), json!({}), json!(1)]),
        ("/limits/sockets", numbers(&[3, 63, 64, 1 << 20, (1 << 20) + 1, -1])),
        ("/limits/memory_mb", numbers(&[31, 32, 1 << 20, (1 << 20) + 1])),
        ("/limits/memory_mb", vec![json!("much"), Value::Null, json!(64.5)]),
        ("/limits/cores", vec![Value::Null, json!("many")]),
        ("/known", vec![Value::Null, json!([])]),
        ("/known/seq", vec![Value::Null, json!(-1), json!("1"), json!(0)]),
        ("/known/results", vec![Value::Null, json!({}), json!([])]),
        ("/known/results/0", vec![json!({"seq": "one"}), json!(1), json!({"seq": 1})]),
        ("/known/results/0/fleet/members/1/phase", vec![Value::Null, json!("asleep"), json!(1)]),
        ("/settings", vec![Value::Null, json!([]), json!({})]),
        ("/settings/zone", vec![Value::Null, json!(7), json!(-1), json!("central")]),
        ("/settings/zones", vec![Value::Null, json!([]), json!("central"), json!([1])]),
        ("/settings/flavors", vec![Value::Null, json!([]), json!(["cache", 1])]),
        ("/settings/request_classes", vec![Value::Null, json!([]), json!({})]),
        ("/settings/rules", vec![Value::Null, json!([])]),
        ("/settings/rules/drain_grace", vec![Value::Null, json!(-1), json!(0), json!("long")]),
        ("/settings/rules/warm_within", vec![Value::Null, json!(-1), json!(0), json!(3_600_000_001u64)]),
        ("/settings/limits", vec![Value::Null, json!([]), json!({})]),
        ("/settings/limits/connect_timeout", numbers(&[0, 999, 1000, 3_600_000_000, 3_600_000_001])),
        ("/settings/limits/conn_idle", numbers(&[0, 999, 1000, 3_600_000_000, 3_600_000_001])),
        ("/settings/limits/open_cap", numbers(&[0, 1, 1 << 20, (1 << 20) + 1])),
        ("/settings/family_info", vec![Value::Null, json!([]), json!({})]),
        ("/settings/family_info/heed_within", vec![Value::Null, json!(-1), json!("long")]),
        ("/another_key", vec![json!(1)]),
    ];
    values_by_pointer.extend([
        ("/settings/request_classes/1", vec![json!(1), json!({})]),
        ("/settings/request_classes/1/name", vec![Value::Null, json!(""), json!(1), json!("pages")]),
        ("/settings/request_classes/1/effect", vec![Value::Null, json!("odd"), json!(1)]),
        ("/settings/request_classes/1/deadline", vec![Value::Null, json!(0), json!(-1), json!("long")]),
        ("/settings/request_classes/2/objective", vec![Value::Null, json!(0), json!(-1)]),
        ("/settings/request_classes/2/window", vec![Value::Null, json!(-1), json!("long")]),
    ]);
    values_by_pointer
}

/// The result of `check` for each sample configuration, one per line.
fn checked_configurations() -> String {
    let mut out = format!("whole: {}\n", check(&format!("{:#}", complete_configuration()), None));
    out += &format!("whole, in one line: {}\n", check(&complete_configuration().to_string(), None));
    for text in ["{ no", "", "[]", "1", "{}", "null"] {
        out += &format!("{text:?}: {}\n", check(text, None));
    }
    for (pointer, values) in values_by_pointer() {
        for value in values {
            let result = check(&configuration_with(pointer, &value), None);
            out += &format!("{pointer} = {value}: {result}\n");
        }
    }
    out
}

/// The result of `check` for each sample fronts file, one per line.
fn checked_fronts() -> String {
    let front = json!({"listen": "127.0.0.1:0"});
    let headers = |headers: Value| json!({"listen": "127.0.0.1:0", "headers": headers});
    let fleet = json!({"name": "f", "listen": "127.0.0.1:0"});
    let mut out = String::new();
    let samples = [
        json!({}),
        json!({"external_processing": front}),
        json!({"call": front}),
        json!({"external_processing": front, "call": front}),
        json!({"external_processing": headers(json!({"ticket": "x-id", "group": "x-bucket"}))}),
        json!({"external_processing": headers(json!({"nonesuch": "x"}))}),
        json!({"external_processing": headers(json!({"ticket": 1}))}),
        json!({"external_processing": {}}),
        json!({"external_processing": {"listen": "nowhere"}}),
        json!({"call": {"listen": "127.0.0.1:0", "more": 1}}),
        json!({"call": null}),
        json!({"nonesuch": 1}),
        json!({"fleet": fleet}),
        json!({"fleet": {"name": "f"}}),
        json!({"fleet": {"listen": "127.0.0.1:0"}}),
        json!({"fleet": {"name": "f", "listen": "127.0.0.1:0", "seeds": ["nowhere"]}}),
        json!({"fleet": {"name": "f", "listen": "127.0.0.1:0", "lease_ms": "long"}}),
        json!({"links": {}}),
        json!([]),
        json!(1),
    ];
    for sample in samples {
        out += &format!(
            "{sample}: {}\n",
            check(&complete_configuration().to_string(), Some(&format!("{sample:#}")))
        );
    }
    for text in ["{ no", "", "{} {}"] {
        out += &format!("{text:?}: {}\n", check(&complete_configuration().to_string(), Some(text)));
    }
    out
}

#[test]
fn every_header_can_be_renamed_by_its_documented_key() {
    let keys = ["path", "ticket", "request", "patience", "timeout", "mark", "group", "repeat", "attempt"];
    for key in keys {
        for front in ["external_processing", "call"] {
            let fronts = json!({front: {"listen": "127.0.0.1:0", "headers": {key: "x-other"}}});
            assert_eq!(
                check(&complete_configuration().to_string(), Some(&fronts.to_string())),
                "ok",
                "{front}: {key}"
            );
        }
    }
}

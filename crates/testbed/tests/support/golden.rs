//! Comparing text with recorded files under `tests/golden/` of the crate whose test includes this module.

use std::fs;
use std::path::{Path, PathBuf};

/// A file's name and its text.
pub type Recording = (&'static str, String);

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Panics where a file is not the same byte for byte; names the file and its first line that differs.
pub fn compare(recordings: &[Recording]) {
    let differences: Vec<String> = recordings.iter().filter_map(difference).collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

fn difference((name, text): &Recording) -> Option<String> {
    let recorded = fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"));
    if recorded == *text {
        return None;
    }
    let (mut old, mut new) = (recorded.split('\n'), text.split('\n'));
    for line in 1.. {
        let (old, new) = (old.next(), new.next());
        if old != new {
            let shown = |line: Option<&str>| line.unwrap_or("(the end)").to_string();
            return Some(format!("{name}:{line}\n  recorded: {}\n  now:      {}", shown(old), shown(new)));
        }
    }
    None
}

/// Writes the files anew.
pub fn record(recordings: &[Recording]) {
    for (name, text) in recordings {
        fs::create_dir_all(path("")).unwrap();
        fs::write(path(name), text).unwrap();
    }
}

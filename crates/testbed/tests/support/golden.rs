//! Compares text with recorded files under `tests/golden/` of the crate whose test includes this module.

use std::fs;
use std::path::{Path, PathBuf};

/// The name of a recorded file and its expected text.
pub type Recording = (&'static str, String);

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Compares the recordings with the recorded files byte for byte.
///
/// # Panics
///
/// Panics if a file cannot be read or differs. The message names each such file and its first line that
/// differs.
pub fn compare(recordings: &[Recording]) {
    let differences: Vec<String> = recordings.iter().filter_map(difference).collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Returns the first difference between a recording and its file, or `None` if they are equal.
fn difference((name, text): &Recording) -> Option<String> {
    let recorded = fs::read_to_string(path(name))
        .unwrap_or_else(|error| panic!("cannot read the recorded file {name}: {error}"));
    if recorded == *text {
        return None;
    }
    let (mut old, mut new) = (recorded.split('\n'), text.split('\n'));
    for line in 1.. {
        let (old, new) = (old.next(), new.next());
        if old != new {
            let shown = |line: Option<&str>| line.unwrap_or("(end of file)").to_string();
            return Some(format!("{name}:{line}\n  recorded: {}\n  now:      {}", shown(old), shown(new)));
        }
    }
    None
}

/// Overwrites the recorded files with the recordings.
pub fn record(recordings: &[Recording]) {
    for (name, text) in recordings {
        fs::create_dir_all(path("")).unwrap();
        fs::write(path(name), text).unwrap();
    }
}

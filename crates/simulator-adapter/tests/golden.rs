//! Replays recorded input through the built binary and compares its output byte for byte.
//!
//! `golden/NAME.in` holds batches as the simulator writes them, `golden/NAME.out` the replies recorded from
//! the version that was known to be right. The test knows bytes only, none of the project's own types.
//!
//! The files were recorded by [`recorder`], a small simulated fleet that reacts to the actions that come
//! back. To record them anew, which is right only where behaviour is meant to change:
//!
//! ```text
//! cargo test -p tindoor-simulator-adapter --test golden -- --ignored --nocapture record
//! ```

mod recorder;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The binary under test; the one place that names it.
const BINARY: &str = env!("CARGO_BIN_EXE_tindoor-benchlink");

/// Where the recorded files lie.
fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// What the binary writes for that input.
fn replay(input: Vec<u8>) -> Vec<u8> {
    let mut child =
        Command::new(BINARY).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("binary starts");
    let mut stdin = child.stdin.take().expect("input is piped");
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("binary ends");
    writer.join().expect("input is written");
    assert!(output.status.success(), "binary failed: {}", output.status);
    output.stdout
}

/// Where two outputs first differ: the index of the batch, the offset in its reply and in the file.
fn first_difference(expected: &[u8], actual: &[u8]) -> Option<(usize, usize, usize)> {
    let common = expected.iter().zip(actual).take_while(|(a, b)| a == b).count();
    if common == expected.len() && common == actual.len() {
        return None;
    }
    let (mut batch, mut start) = (0, 0);
    while let Some(length) = expected[start..].first_chunk() {
        let end = start + 4 + u32::from_le_bytes(*length) as usize;
        if common < end {
            break;
        }
        (batch, start) = (batch + 1, end);
    }
    Some((batch, common - start, common))
}

#[test]
fn recorded_input_gives_the_recorded_output() {
    let mut differences = Vec::new();
    for name in recorder::names() {
        let read = |ending: &str| {
            let path = directory().join(format!("{name}.{ending}"));
            std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
        };
        let (expected, actual) = (read("out"), replay(read("in")));
        if let Some((batch, offset, place)) = first_difference(&expected, &actual) {
            let (wanted, got) = (expected.len(), actual.len());
            differences.push(format!(
                "{name}: batch {batch}, offset {offset} of its reply (byte {place} of the file; \
                 {wanted} bytes recorded, {got} now)"
            ));
        }
    }
    assert!(differences.is_empty(), "output differs\n{}", differences.join("\n"));
}

#[test]
fn no_recorded_file_is_left_out() {
    let mut found: Vec<String> = std::fs::read_dir(directory())
        .expect("directory of recorded files")
        .map(|entry| entry.expect("entry").file_name().into_string().expect("plain file name"))
        .collect();
    found.sort();
    let mut expected: Vec<String> =
        recorder::names().iter().flat_map(|name| [format!("{name}.in"), format!("{name}.out")]).collect();
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn a_difference_is_found_in_its_batch() {
    let two = [[2, 0, 0, 0, 7, 8], [2, 0, 0, 0, 9, 9]].concat();
    let mut other = two.clone();
    other[11] = 1;
    assert_eq!(first_difference(&two, &two), None);
    assert_eq!(first_difference(&two, &other), Some((1, 5, 11)));
    assert_eq!(first_difference(&two, &two[..6]), Some((1, 0, 6)), "cut short");
    assert_eq!(first_difference(&two[..6], &two), Some((1, 0, 6)), "too long");
}

#[test]
#[ignore = "writes the recorded files anew"]
fn record() {
    recorder::record_all(BINARY, &directory());
}

//! Replays recorded input through the built binary and compares its output byte for byte.
//!
//! `golden/NAME.in` holds batches as the simulator writes them. `golden/NAME.out` holds the replies, recorded
//! from a version that was known to be correct. The test compares bytes and uses none of the project's types.
//!
//! The files were recorded by [`recorder`], a small simulated fleet that reacts to the binary's actions.
//! Record them again only if a change of behaviour is intended:
//!
//! ```text
//! cargo test -p tindoor-simulator-adapter --test golden -- --ignored --nocapture record
//! ```

mod recorder;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The path of the binary under test, which is named only here.
const BINARY: &str = env!("CARGO_BIN_EXE_tindoor-benchlink");

/// Returns the directory of the recorded files.
fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// Runs the binary on this input and returns its output.
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

/// Returns where two outputs first differ: the index of the batch, the offset in bytes in its reply, and the
/// offset in the file. Returns `None` if the outputs are equal.
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
        if let Some((batch, offset, file_offset)) = first_difference(&expected, &actual) {
            let (expected_size, actual_size) = (expected.len(), actual.len());
            differences.push(format!(
                "{name}: batch {batch}, offset {offset} in its reply (offset {file_offset} in the file; \
                 expected {expected_size} bytes, got {actual_size})"
            ));
        }
    }
    assert!(differences.is_empty(), "output differs from the recorded output\n{}", differences.join("\n"));
}

#[test]
fn every_scenario_has_its_files_and_no_other_file_exists() {
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
fn first_difference_gives_the_batch_and_both_offsets() {
    let expected = [[2, 0, 0, 0, 7, 8], [2, 0, 0, 0, 9, 9]].concat();
    let mut changed = expected.clone();
    changed[11] = 1;
    assert_eq!(first_difference(&expected, &expected), None);
    assert_eq!(first_difference(&expected, &changed), Some((1, 5, 11)));
    assert_eq!(first_difference(&expected, &expected[..6]), Some((1, 0, 6)), "cut short");
    assert_eq!(first_difference(&expected[..6], &expected), Some((1, 0, 6)), "too long");
}

#[test]
#[ignore = "overwrites the recorded files"]
fn record() {
    recorder::record_all(BINARY, &directory());
}

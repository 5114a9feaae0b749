//! Runs the binary on hand-encoded frames and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"zone": 1, "unknown": [1], "rules": {"drain_grace": 500000},
 "family": "edge", "family_info": {"root_kind": 2, "second_tier_kind": 1, "bypass_allowed": true},
 "limits": {"most_tries": 4, "retry_after": true, "max_retry_after": 400000},
 "request_classes": [{"deadline": 5000000, "objective": 300000, "effect": "read_like"}]}"#;

/// Encodes an event record: its code, the length of its fields and the fields.
fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_le_bytes(), &body].concat()
}

/// Encodes a batch of records. The clock is in microseconds.
fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let (size, count) = (body.len() as u32 + 4, records.len() as u32);
    [&clock.to_le_bytes()[..], &size.to_le_bytes(), &count.to_le_bytes(), &body].concat()
}

fn instance_started(instance: u32, settings: &str) -> Vec<u8> {
    let size = (settings.len() as u32).to_le_bytes();
    record(1, &[&instance.to_le_bytes(), &[7; 8], &size, settings.as_bytes()])
}

/// The IPv4 address and port of the cache.
const CACHE: [u8; 6] = [10, 18, 74, 7, 0x93, 0x1f];

/// A full list update with one cache in zone 1, and a parent and the origin in zone 0.
fn endpoint_list(instance: u32, state: u8) -> Vec<u8> {
    let entry = |address: &[u8; 6], zone: u8, kind: u8| {
        [&[state][..], address, &[0; 8], &[zone], &1f32.to_le_bytes(), &[kind], &[0; 2]].concat()
    };
    let entries = [entry(&CACHE, 1, 0), entry(&[9; 6], 0, 1), entry(&[8; 6], 0, 2)].concat();
    record(2, &[&instance.to_le_bytes(), &[0], &[1; 8], &3u32.to_le_bytes(), &entries])
}

fn request_received(instance: u32, request: u64) -> Vec<u8> {
    let (part, group) = (2f32.to_le_bytes(), 11f32.to_le_bytes());
    let (time_remaining, object) = (1_000_000u32.to_le_bytes(), 77u64.to_le_bytes());
    let request = request.to_le_bytes();
    record(
        3,
        &[
            &instance.to_le_bytes(),
            &request,
            &part,
            &time_remaining,
            &[0; 2],
            &group,
            &[0; 4],
            &object,
            &[0; 4],
        ],
    )
}

fn attempt_ended(instance: u32, request: u64, status: u8) -> Vec<u8> {
    let (request, instance) = (request.to_le_bytes(), instance.to_le_bytes());
    record(5, &[&instance, &request, &[1, 0, 0, 0], &[1], &[0; 8], &CACHE, &[status], &[0; 2], &[1], &[0; 4]])
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tindoor-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_vec();
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

/// The codes and bodies of the actions in each reply.
fn replies(output: &Output) -> Vec<Vec<(u8, Vec<u8>)>> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let (mut bytes, mut replies) = (&output.stdout[..], Vec::new());
    let size = |bytes: &[u8]| u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    while !bytes.is_empty() {
        let (mut reply, rest) = bytes[4..].split_at(size(bytes));
        let mut actions = Vec::new();
        while !reply.is_empty() {
            let end = 5 + size(&reply[1..]);
            actions.push((reply[0], reply[5..end].to_vec()));
            reply = &reply[end..];
        }
        replies.push(actions);
        bytes = rest;
    }
    replies
}

#[test]
fn a_request_is_sent_to_its_cache_and_late_events_and_empty_batches_are_accepted() {
    let stopped = record(10, &[&3u32.to_le_bytes()]);
    let abandoned = record(6, &[&3u32.to_le_bytes(), &500u64.to_le_bytes()]);
    let purge = record(11, &[&3u32.to_le_bytes(), &[0; 8], &11u16.to_le_bytes(), &1000u32.to_le_bytes()]);
    let input = [
        batch(5, &[]),
        batch(10, &[instance_started(3, SETTINGS), endpoint_list(3, 1)]),
        [batch(20, &[]), batch(30, &[request_received(3, 500)])].concat(),
        batch(40, &[attempt_ended(3, 500, 10), attempt_ended(3, 500, 10), abandoned]),
        batch(
            5000,
            &[
                stopped,
                instance_started(3, SETTINGS),
                endpoint_list(3, 1),
                endpoint_list(3, 1),
                purge,
                request_received(3, 501),
            ],
        ),
    ];
    let replies = replies(&run(&input.concat()));
    assert_eq!(replies.len(), 6);
    let after_purge = replies[5].iter().find(|action| action.0 == 7).unwrap();
    assert_eq!(after_purge.1[18..22], 1000u32.to_le_bytes(), "maximum age of a copy after the purge");
    let sent = replies[3].iter().find(|action| action.0 == 7).unwrap();
    let mut expected =
        [&3u32.to_le_bytes()[..], &500u64.to_le_bytes(), &CACHE, &[0; 4], &[9; 6], &[1]].concat();
    expected.extend_from_slice(&sent.1[29..33]);
    expected.push(1);
    assert_eq!(sent.1, expected);
}

#[test]
fn an_instance_restarted_within_a_batch_keeps_no_state() {
    let stopped = record(10, &[&3u32.to_le_bytes()]);
    let batches = [
        batch(10, &[instance_started(3, SETTINGS), endpoint_list(3, 1), instance_started(4, SETTINGS)]),
        batch(
            20,
            &[
                request_received(3, 1),
                stopped,
                instance_started(3, SETTINGS),
                request_received(3, 2),
                request_received(4, 3),
            ],
        ),
    ];
    let replies = replies(&run(&batches.concat()));
    let codes: Vec<u8> = replies[1].iter().map(|action| action.0).filter(|code| *code != 8).collect();
    assert_eq!(codes, [7, 9, 9], "the first incarnation sends; routers without endpoints reject");
}

#[test]
fn malformed_input_gives_a_one_line_error() {
    let truncate = |bytes: Vec<u8>, size: usize| bytes[..bytes.len() - size].to_vec();
    let start = [instance_started(3, SETTINGS), endpoint_list(3, 1)];
    let after_start = |record: Vec<u8>| batch(10, &[&start[..], &[record]].concat());
    let mut huge = batch(10, &[]);
    huge[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    // Claims more entries than it has.
    let mut truncated_list = endpoint_list(3, 1);
    truncated_list[18] = 200;
    let cases = [
        (truncate(batch(10, &start), 3), "batch cut short"),
        (batch(10, &start)[..9].to_vec(), "header cut short"),
        (huge, "batch cut short"),
        (after_start(attempt_ended(3, 1, 99)), "record 2: Done: unknown attempt status 99"),
        (after_start(record(3, &[&3u32.to_le_bytes()])), "record 2: Ingress: too short"),
        (after_start(truncated_list), "record 2: DirectoryUpdate: too short"),
        (after_start(request_received(8, 1)), "record 2: Ingress: instance 8 is not running"),
        (after_start(record(99, &[])), "record 2: unknown event code 99"),
        (batch(10, &[instance_started(3, "{")]), "record 0: Spawn: settings: not JSON"),
        (
            batch(10, &[instance_started(3, "{}")]),
            "record 0: Spawn: settings: request_classes is missing or not a list",
        ),
        (
            batch(10, &[instance_started(3, r#"{"request_classes": []}"#)]),
            "settings: zone is missing or not a number",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains(expected) && message.lines().count() == 1, "{expected}: {message}");
        assert_eq!(output.status.code(), Some(1), "{expected}");
    }
}

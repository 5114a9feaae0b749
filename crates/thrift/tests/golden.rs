//! Compares the bytes of every answer to a client, and the parsed requests, with the recorded files in
//! `tests/golden/`.
//!
//! To record the files again: `cargo test -p tindoor-thrift --test golden -- --ignored record`

#[path = "../../testbed/tests/support/golden.rs"]
mod golden;

use bytes::{Bytes, BytesMut};
use golden::Recording;
use tindoor_thrift::*;

fn recordings() -> Vec<Recording> {
    vec![("answers.txt", answers()), ("requests.txt", requests()), ("frames.txt", frames())]
}

#[test]
fn answers_and_requests_are_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded files"]
fn record() {
    golden::record(&recordings());
}

fn section(title: &str, text: &str) -> String {
    format!("{title}\n    {text}\n")
}

/// Formats the three parts of an answer.
fn parts(title: &str, reply: Reply) -> String {
    let whole = [&reply.head[..], &reply.body, &reply.tail].concat();
    assert_eq!(whole.len(), reply.size());
    let [head, body, tail] = [&reply.head, &reply.body, &reply.tail].map(|part| part.escape_ascii());
    section(title, &format!("{head}|{body}|{tail}"))
}

fn answers() -> String {
    let body = |text: &'static str| Bytes::from_static(text.as_bytes());
    let pause = [("pause", "250")];
    let reason = [("reason", "tag")];
    let two_fields = [("reason", "patience"), ("more", "")];
    let exception = |kind| application_exception(6, kind, "what is wrong");
    [
        parts("answer, good", answer("call", 1, Answer { body: body("object"), fields: &[], good: true })),
        parts(
            "answer, not good",
            answer("call", 2, Answer { body: body("object"), fields: &[], good: false }),
        ),
        parts(
            "answer without body",
            answer("call", 3, Answer { body: Bytes::new(), fields: &[], good: true }),
        ),
        parts(
            "answer with one field",
            answer("call", i32::MAX, Answer { body: body("x"), fields: &[("valid", "1")], good: true }),
        ),
        parts(
            "answer with two fields",
            answer("call", -1, Answer { body: body("x"), fields: &two_fields, good: true }),
        ),
        parts("health, good", answer("health", 4, Answer { body: Bytes::new(), fields: &[], good: true })),
        parts(
            "health, not good",
            answer("health", 4, Answer { body: Bytes::new(), fields: &[], good: false }),
        ),
        parts("try later without pause", try_later(5, &[])),
        parts("try later with pause", try_later(5, &pause)),
        parts("aborted without fields", aborted(i32::MIN, &[])),
        parts("aborted with one field", aborted(6, &reason)),
        parts("aborted with two fields", aborted(6, &two_fields)),
        parts("unknown method", exception(ApplicationExceptionKind::UnknownMethod)),
        parts("bad sequence number", exception(ApplicationExceptionKind::BadSequenceId)),
        parts("protocol error", exception(ApplicationExceptionKind::ProtocolError)),
    ]
    .concat()
}

/// The names of the fields that a request may have. `Fields` can only be looked up by name.
const FIELD_NAMES: [&str; 9] =
    ["route", "trace", "patience", "entity", "chunk", "tag", "nonce", "known", "redo"];

fn quoted(bytes: &[u8]) -> String {
    format!("\"{}\"", bytes.escape_ascii())
}

fn fields_text(fields: &Fields) -> String {
    let found = FIELD_NAMES.iter().filter_map(|name| Some((name, fields.get(name)?)));
    let texts: Vec<String> = found.map(|(name, value)| format!("{name}={}", quoted(value))).collect();
    format!("[{}]", texts.join(" "))
}

/// Formats an error. The text of an unreadable frame is only logged, and not compared.
fn error_text(error: &ParseError) -> String {
    match error {
        ParseError::Unreadable(_) => "unreadable".to_string(),
        ParseError::UnknownMethod { sequence_id } => format!("unknown method, sequence number {sequence_id}"),
        ParseError::BadArguments { sequence_id, reason } => {
            format!("bad arguments, sequence number {sequence_id}: {reason}")
        }
    }
}

fn message_text(message: &Message) -> String {
    match message {
        Message::Call { sequence_id, fields, body } => {
            format!("call {sequence_id}, fields {}, body {}", fields_text(fields), quoted(body))
        }
        Message::Cancel { sequence_id } => format!("cancel {sequence_id}"),
        Message::Health { sequence_id } => format!("health {sequence_id}"),
    }
}

fn write_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

/// Encodes a message in the strict binary protocol.
fn message(kind: u8, method: &str, sequence_id: i32, arguments: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    write_text(&mut out, method.as_bytes());
    out.extend(sequence_id.to_be_bytes());
    out.extend(arguments);
    out
}

/// Encodes the argument with the fields.
fn field_map(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        write_text(&mut out, name.as_bytes());
        write_text(&mut out, value.as_bytes());
    }
    out
}

/// Encodes the argument with the body.
fn body_argument(body: &[u8]) -> Vec<u8> {
    let mut out = vec![11, 0, 2];
    write_text(&mut out, body);
    out
}

const FIELDS: &[(&str, &str)] = &[
    ("route", "saves"),
    ("trace", "9b1f03aa5c7e2d41"),
    ("patience", "3000"),
    ("entity", "7f3a9c21e0b4d655"),
    ("chunk", "3"),
    ("tag", "17"),
    ("nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    ("known", "4be0c1927d55a6f3"),
    ("redo", "1"),
];

/// Encodes an unknown argument of each type, which a reader must skip.
fn unknown_arguments() -> Vec<u8> {
    let scalars: [&[u8]; 7] = [
        &[2, 0, 9, 1],
        &[3, 0, 10, 7],
        &[6, 0, 11, 0, 1],
        &[8, 0, 12, 0, 0, 0, 1],
        &[10, 0, 13, 0, 0, 0, 0, 0, 0, 0, 1],
        &[4, 0, 14, 0, 0, 0, 0, 0, 0, 0, 1],
        &[11, 0, 15, 0, 0, 0, 1, b'x'],
    ];
    let nested: [&[u8]; 4] = [
        &[12, 0, 16, 2, 0, 1, 1, 0],
        &[13, 0, 17, 8, 2, 0, 0, 0, 1, 0, 0, 0, 5, 1],
        &[14, 0, 18, 3, 0, 0, 0, 2, 1, 2],
        &[15, 0, 19, 6, 0, 0, 0, 1, 0, 1],
    ];
    [scalars.concat(), nested.concat()].concat()
}

fn many_fields(count: usize) -> Vec<u8> {
    let names: Vec<String> = (0..count).map(|index| format!("field-{index}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    field_map(&fields)
}

/// Valid messages, and a message for each kind of error.
fn sample_messages() -> Vec<(&'static str, Vec<u8>)> {
    [sample_calls(), incomplete_messages(), other_messages()].concat()
}

fn call(arguments: &[&[u8]]) -> Vec<u8> {
    message(1, "call", 41, &arguments.concat())
}

fn complete_call() -> Vec<u8> {
    call(&[&field_map(FIELDS), &body_argument(b"the body\0\xff"), &[0]])
}

fn sample_calls() -> Vec<(&'static str, Vec<u8>)> {
    let (fields, body) = (field_map(FIELDS), body_argument(b"the body\0\xff"));
    let whole = complete_call();
    let nested = |depth: usize| [[12, 0, 9].repeat(depth), vec![0; depth + 1]].concat();
    vec![
        ("a call", whole.clone()),
        ("a call, body first", call(&[&body, &fields, &[0]])),
        ("a call without fields", call(&[&body, &[0]])),
        ("a call without body", call(&[&fields, &[0]])),
        ("a call without arguments", call(&[&[0]])),
        ("a call with an empty map of numbers", call(&[&[13, 0, 1, 8, 8, 0, 0, 0, 0, 0]])),
        ("a call with other arguments", call(&[&unknown_arguments(), &fields, &body, &[0]])),
        ("a call with the lowest sequence number", message(1, "call", i32::MIN, &[0])),
        ("a call with other flags in its version", [&[0x80, 1, 0xff, 1][..], &whole[4..]].concat()),
        ("64 fields", call(&[&many_fields(64), &[0]])),
        ("65 fields", call(&[&many_fields(65), &[0]])),
        ("a field twice", call(&[&field_map(&[("tag", "1"), ("tag", "1")]), &[0]])),
        ("fields twice", call(&[&fields, &fields, &[0]])),
        ("body twice", call(&[&body, &body, &[0]])),
        ("fields of another type", call(&[&[11, 0, 1, 0, 0, 0, 0, 0]])),
        ("body of another type", call(&[&[8, 0, 2, 0, 0, 0, 0, 0]])),
        ("a map of numbers", call(&[&[13, 0, 1, 8, 8, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1, 0]])),
        ("a negative count of fields", call(&[&[13, 0, 1, 11, 11, 0xff, 0xff, 0xff, 0xff]])),
        ("a count of fields over what is there", call(&[&[13, 0, 1, 11, 11, 0x7f, 0xff, 0xff, 0xff]])),
        ("a body of negative length", call(&[&[11, 0, 2, 0xff, 0xff, 0xff, 0xff]])),
        ("an unknown type", call(&[&[99, 0, 9, 0]])),
        ("nested 16 deep", call(&[&nested(16)])),
        ("nested 17 deep", call(&[&nested(17)])),
        ("nested 18 deep", call(&[&nested(18)])),
        ("bytes behind the end", call(&[&fields, &body, &[0, 0]])),
    ]
}

/// Truncated messages, and messages of another protocol.
fn incomplete_messages() -> Vec<(&'static str, Vec<u8>)> {
    let whole = complete_call();
    let cut = |size: usize| whole[..size].to_vec();
    vec![
        ("cut in the version", cut(3)),
        ("cut in the name", cut(10)),
        ("cut in the sequence number", cut(14)),
        ("cut behind the sequence number", cut(16)),
        ("cut in the fields", cut(60)),
        ("cut before the last byte", cut(whole.len() - 1)),
        ("nothing", Vec::new()),
        ("not the strict protocol", vec![0, 0, 0, 4, b'c', b'a', b'l', b'l', 1, 0, 0, 0, 1, 0]),
        ("another version", [&[0x80, 2, 0, 1][..], &whole[4..]].concat()),
        ("a name of negative length", vec![0x80, 1, 0, 1, 0xff, 0xff, 0xff, 0xff]),
    ]
}

fn other_messages() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("health", message(1, "health", 5, &[0])),
        ("health with an argument", message(1, "health", 5, &[2, 0, 1, 1, 0])),
        ("health cut short", message(1, "health", 5, &[2, 0, 1])),
        ("cancel", message(4, "cancel", 9, &[8, 0, 1, 0, 0, 0, 41, 0])),
        ("cancel with another argument", message(4, "cancel", 9, &[2, 0, 7, 1, 8, 0, 1, 0, 0, 0, 41, 0])),
        ("cancel of nothing", message(4, "cancel", 9, &[0])),
        ("cancel of another type", message(4, "cancel", 9, &[11, 0, 1, 0, 0, 0, 0, 0])),
        ("cancel as a call", message(1, "cancel", 9, &[8, 0, 1, 0, 0, 0, 41, 0])),
        ("an unknown method", message(1, "nonesuch", 6, &[0])),
        ("an unknown method one-way", message(4, "nonesuch", 6, &[0])),
        ("a call one-way", message(4, "call", 6, &[0])),
        ("a reply", message(2, "call", 6, &[0])),
        ("an exception", message(3, "call", 6, &[0])),
        ("a name in capitals", message(1, "CALL", 6, &[0])),
    ]
}

/// Formats the bytes as text. For empty and for long messages, only the length is shown.
fn bytes_text(bytes: &[u8]) -> String {
    match bytes.len() {
        1..=400 => bytes.escape_ascii().to_string(),
        length => format!("({length} bytes)"),
    }
}

fn requests() -> String {
    let dump = |(title, bytes): (&str, Vec<u8>)| {
        let shown = bytes_text(&bytes);
        let read = parse(bytes.into());
        let read = read.as_ref().map_or_else(error_text, message_text);
        section(title, &format!("{shown}\n    {read}"))
    };
    sample_messages().into_iter().map(dump).collect()
}

/// Formats the frame that is taken from the front of these bytes with a limit of 10 bytes, and the remaining
/// bytes.
fn taken(title: &str, bytes: &[u8]) -> String {
    let mut read = BytesMut::from(bytes);
    let frame = match take_frame(&mut read, 10) {
        Ok(Some(frame)) => format!("frame {}", quoted(&frame)),
        Ok(None) => "not whole yet".to_string(),
        Err(error) => error_text(&error),
    };
    section(title, &format!("{frame}, left {}", quoted(&read)))
}

fn frames() -> String {
    [
        taken("nothing", b""),
        taken("half a length", b"\0\0\0"),
        taken("a length alone", b"\0\0\0\x03"),
        taken("half a frame", b"\0\0\0\x03ab"),
        taken("a frame", b"\0\0\0\x03abc"),
        taken("a frame and a half", b"\0\0\0\x03abc\0\0\0\x02d"),
        taken("an empty frame", b"\0\0\0\0abc"),
        taken("a frame at the limit", b"\0\0\0\x0a0123456789"),
        taken("a frame over the limit", b"\0\0\0\x0b0123456789a"),
        taken("a negative length", b"\xff\xff\xff\xff"),
    ]
    .concat()
}

//! Parsing of complete, truncated and corrupted messages from clients.

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor_thrift::*;

fn write_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn message(kind: u8, method: &str, sequence_id: i32, arguments: &[u8]) -> Bytes {
    let mut out = vec![0x80, 1, 0, kind];
    write_text(&mut out, method.as_bytes());
    out.extend(sequence_id.to_be_bytes());
    out.extend(arguments);
    out.into()
}

fn call() -> Bytes {
    let mut out = vec![13, 0, 1, 11, 11, 0, 0, 0, 2];
    ["route", "pages", "chunk", "3"].iter().for_each(|word| write_text(&mut out, word.as_bytes()));
    out.extend([11, 0, 2]);
    write_text(&mut out, b"body");
    // An unknown field: a list of structs.
    out.extend([15, 0, 9, 12, 0, 0, 0, 1, 8, 0, 1, 0, 0, 0, 5, 0, 0]);
    message(1, "call", 7, &out)
}

#[test]
fn a_call_is_parsed_as_slices_of_its_frame() {
    let frame = call();
    let Ok(Message::Call { sequence_id: 7, fields, body }) = parse(frame.clone()) else { panic!() };
    assert_eq!((&body[..], &fields.get("chunk").unwrap()[..]), (&b"body"[..], &b"3"[..]));
    assert!(frame.as_ptr_range().contains(&body.as_ptr()));
    assert!(fields.get("tag").is_none());
}

#[test]
fn duplicate_or_trailing_arguments_are_rejected() {
    let fields = |names: &[&str]| {
        let mut out = vec![13, 0, 1, 11, 11];
        out.extend((names.len() as u32).to_be_bytes());
        names.iter().for_each(|name| {
            write_text(&mut out, name.as_bytes());
            write_text(&mut out, b"x");
        });
        out
    };
    let many: Vec<String> = (0..65).map(|i| i.to_string()).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let ok = |arguments: Vec<u8>| parse(message(1, "call", 7, &arguments)).is_ok();
    assert!(ok([fields(&["a", "b"]), vec![0]].concat()));
    assert!(!ok([fields(&["a", "a"]), vec![0]].concat()), "duplicate name");
    assert!(!ok([fields(&["a"]), fields(&["b"]), vec![0]].concat()), "duplicate fields argument");
    assert!(!ok([fields(&many), vec![0]].concat()), "too many fields");
    assert!(!ok([fields(&["a"]), vec![0, 0]].concat()), "bytes after the end");
    assert!(!ok(vec![8, 0, 2, 0, 0, 0, 1, 0]), "the body is a number");
}

#[test]
fn a_truncated_call_is_an_error() {
    let whole = call();
    for end in 0..whole.len() {
        match parse(whole.slice(..end)) {
            Err(ParseError::Unreadable(_)) if end < 16 => {}
            Err(ParseError::BadArguments { sequence_id: 7, .. }) if end >= 16 => {}
            other => panic!("cut at {end}: {other:?}"),
        }
    }
}

#[test]
fn corrupted_bytes_never_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..20_000 {
        let mut bytes = call().to_vec();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
        if let Ok(Message::Call { body, .. }) = parse(bytes.clone().into()) {
            assert!(body.len() <= bytes.len());
        }
    }
}

#[test]
fn oversized_counts_and_deep_nesting_are_rejected() {
    // A map with 2^31 - 1 entries, deep nesting, a list with 2^31 - 1 entries, and a negative length.
    let huge_map = message(1, "call", 1, &[13, 0, 1, 11, 11, 0x7f, 255, 255, 255]);
    let deep_nesting = message(1, "call", 1, &[12, 0, 9].repeat(100_000));
    let huge_list = message(1, "call", 1, &[15, 0, 9, 12, 0x7f, 255, 255, 255]);
    let negative_length = message(1, "call", 1, &[11, 0, 2, 255, 255, 255, 255]);
    for frame in [huge_map, deep_nesting, huge_list, negative_length] {
        assert!(matches!(parse(frame), Err(ParseError::BadArguments { sequence_id: 1, .. })));
    }
}

#[test]
fn only_complete_frames_within_the_limit_are_returned() {
    let mut read = BytesMut::new();
    let frames = [[&[0, 0, 0, 3][..], b"one"].concat(), [&[0, 0, 0, 0][..], b""].concat()].concat();
    let mut returned = Vec::new();
    for byte in frames {
        read.extend_from_slice(&[byte]);
        returned.extend(take_frame(&mut read, 10).unwrap());
    }
    assert_eq!(returned, [&b"one"[..], b""]);
    for head in [[0, 0, 0, 11], [255, 255, 255, 255]] {
        assert!(take_frame(&mut BytesMut::from(&head[..]), 10).is_err());
    }
}

#[test]
fn messages_other_than_calls_are_recognized() {
    assert_eq!(
        parse(message(4, "cancel", 0, &[8, 0, 1, 0, 0, 0, 9, 0])),
        Ok(Message::Cancel { sequence_id: 9 })
    );
    assert_eq!(parse(message(1, "health", 3, &[2, 0, 1, 1, 0])), Ok(Message::Health { sequence_id: 3 }));
    assert_eq!(parse(message(1, "other", 4, &[0])), Err(ParseError::UnknownMethod { sequence_id: 4 }));
    assert!(matches!(parse(message(2, "call", 4, &[0])), Err(ParseError::Unreadable(_))));
    assert!(matches!(parse(Bytes::from_static(&[0, 0, 0, 4, 99])), Err(ParseError::Unreadable(_))));
}

#[test]
fn an_answer_states_its_own_length() {
    let reply = answer(
        "call",
        9,
        Answer { body: Bytes::from_static(b"body"), fields: &[("valid", "1")], good: true },
    );
    let stated = u32::from_be_bytes(reply.head[..4].try_into().unwrap()) as usize;
    assert_eq!(stated + 4, reply.size());
    assert!(reply.head.ends_with(&[0, 0, 0, 4]));
}

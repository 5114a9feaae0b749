//! Parsing of complete, truncated and corrupted response heads, and the encoding of request heads.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor_http::*;

const WHOLE: &[u8] = b"HTTP/1.1 503 Full\r\nx-shed: 1\r\nX-Remark:  jammed \r\nContent-Length: 12\r\n\
    Connection: close\r\n\r\nbody";

fn parse(text: &str) -> Result<Option<ResponseHead>, ParseError> {
    parse_response_head(text.as_bytes(), 1000, 100)
}

#[test]
fn a_head_is_parsed_without_its_body() {
    let found = parse_response_head(WHOLE, 1000, 100).unwrap().unwrap();
    let remark = Some("jammed".to_string());
    let head_length = WHOLE.len() - 4;
    let expected = ResponseHead {
        head_length,
        status: 503,
        body_length: 12,
        rejected: true,
        remark,
        closes_connection: true,
    };
    assert_eq!(found, expected);
}

#[test]
fn a_truncated_head_is_incomplete() {
    for end in 0..WHOLE.len() - 4 {
        assert_eq!(parse_response_head(&WHOLE[..end], 1000, 100), Ok(None), "cut at {end}");
    }
}

#[test]
fn corrupted_bytes_never_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..20_000 {
        let mut bytes = WHOLE.to_vec();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
        if let Ok(Some(head)) = parse_response_head(&bytes, 1000, 100) {
            assert!(head.body_length <= 100 && head.head_length <= bytes.len());
        }
    }
}

#[test]
fn interim_responses_are_recognized() {
    let interim = b"HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\n";
    let found = parse_response_head(&[interim, WHOLE].concat(), 1000, 100).unwrap().unwrap();
    assert!(found.is_interim());
    assert_eq!(
        (found.head_length, found.body_length),
        (interim.len(), 0),
        "an interim response has no body, regardless of its Content-Length"
    );
    for end in 0..interim.len() {
        assert_eq!(parse_response_head(&interim[..end], 1000, 100), Ok(None), "cut at {end}");
    }
    assert!(!parse_response_head(WHOLE, 1000, 100).unwrap().unwrap().is_interim());
}

#[test]
fn ambiguous_lengths_are_rejected() {
    for lines in [
        "",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert_eq!(
            parse(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n")),
            Err(ParseError::InvalidLength),
            "{lines}"
        );
    }
    assert_eq!(parse("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"), Err(ParseError::BodyTooLong));
    assert_eq!(parse("HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n").unwrap().unwrap().body_length, 0);
}

#[test]
fn malformed_heads_are_rejected() {
    assert_eq!(parse("HTTP/1.0 200 OK\r\n\r\n"), Err(ParseError::InvalidStatusLine));
    assert_eq!(parse("HTTP/1.1 2000 OK\r\n\r\n"), Err(ParseError::InvalidStatusLine));
    assert_eq!(parse("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), Err(ParseError::InvalidHeader));
    assert_eq!(parse(&"a".repeat(1001)), Err(ParseError::HeadTooLong));
    let long = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "a".repeat(1000));
    assert_eq!(parse(&long), Err(ParseError::HeadTooLong));
}

#[test]
fn a_request_head_holds_exactly_the_fields_that_are_set() {
    let plain = EndpointRequest {
        class: "pages",
        object: "00ff",
        part: "3",
        correlation_id: "t",
        timeout_ms: 900,
        ..EndpointRequest::default()
    };
    let head = "GET /v1/store/pages/00ff/3 HTTP/1.1\r\nHost: cache\r\nX-Ticket: t\r\nX-Max-Ms: 900\r\n";
    assert_eq!(plain.encode_head(), format!("{head}\r\n"));
    let full = EndpointRequest {
        idempotency_key: Some("n"),
        fill_source: Some("s-1"),
        retention_rank: 1,
        max_age_ms: Some(5),
        join_fill: true,
        only_if_cached: true,
        client_tag: Some("k"),
        body_length: 2,
        ..plain
    };
    let more = "X-Nonce: n\r\nX-Source: s-1\r\nX-Client-Tag: k\r\nX-Tier: 1\r\nX-Accept-Age: 5\r\nX-Mode: j+h\r\n\
        Content-Length: 2\r\n\r\n";
    assert_eq!(full.encode_head(), format!("{head}{more}"));
}

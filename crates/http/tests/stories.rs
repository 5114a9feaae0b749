//! What a cache may answer, whole, cut and damaged, and what it is asked.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor_http::*;

const WHOLE: &[u8] = b"HTTP/1.1 503 Full\r\nx-shed: 1\r\nX-Remark:  jammed \r\nContent-Length: 12\r\n\
    Connection: close\r\n\r\nbody";

fn read(text: &str) -> Result<Option<Head>, Fault> {
    head(text.as_bytes(), 1000, 100)
}

#[test]
fn a_head_is_read_and_its_body_left() {
    let found = head(WHOLE, 1000, 100).unwrap().unwrap();
    let remark = Some("jammed".to_string());
    let size = WHOLE.len() - 4;
    assert_eq!(found, Head { size, status: 503, length: 12, shed: true, remark, closes: true });
}

#[test]
fn a_head_cut_at_any_byte_is_waited_for() {
    for end in 0..WHOLE.len() - 4 {
        assert_eq!(head(&WHOLE[..end], 1000, 100), Ok(None), "cut at {end}");
    }
}

#[test]
fn changed_bytes_are_read_or_refused_but_never_a_panic() {
    let mut chance = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..20_000 {
        let mut bytes = WHOLE.to_vec();
        for _ in 0..chance.random_range(1..4) {
            let at = chance.random_range(0..bytes.len());
            bytes[at] = chance.random();
        }
        if let Ok(Some(head)) = head(&bytes, 1000, 100) {
            assert!(head.length <= 100 && head.size <= bytes.len());
        }
    }
}

#[test]
fn what_may_come_before_an_answer_is_told_from_it() {
    let interim = b"HTTP/1.1 103 Early\r\nContent-Length: 7\r\n\r\n";
    let found = head(&[interim, WHOLE].concat(), 1000, 100).unwrap().unwrap();
    assert!(found.is_interim());
    assert_eq!((found.size, found.length), (interim.len(), 0), "it has no body, whatever it says");
    for end in 0..interim.len() {
        assert_eq!(head(&interim[..end], 1000, 100), Ok(None), "cut at {end}");
    }
    assert!(!head(WHOLE, 1000, 100).unwrap().unwrap().is_interim());
}

#[test]
fn lengths_that_leave_the_end_open_are_refused() {
    for lines in [
        "",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert_eq!(read(&format!("HTTP/1.1 200 OK\r\n{lines}\r\n")), Err(Fault::Length), "{lines}");
    }
    assert_eq!(read("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"), Err(Fault::LongBody));
    assert_eq!(read("HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n").unwrap().unwrap().length, 0);
}

#[test]
fn what_is_no_head_is_refused() {
    assert_eq!(read("HTTP/1.0 200 OK\r\n\r\n"), Err(Fault::Status));
    assert_eq!(read("HTTP/1.1 2000 OK\r\n\r\n"), Err(Fault::Status));
    assert_eq!(read("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), Err(Fault::Header));
    assert_eq!(read(&"a".repeat(1001)), Err(Fault::LongHead));
    let long = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "a".repeat(1000));
    assert_eq!(read(&long), Err(Fault::LongHead));
}

#[test]
fn a_request_names_what_is_asked_and_nothing_else() {
    let plain = Ask {
        class: "pages",
        object: "00ff",
        part: "3",
        correlation_id: "t",
        wait_ms: 900,
        ..Ask::default()
    };
    let head = "GET /v1/store/pages/00ff/3 HTTP/1.1\r\nHost: cache\r\nX-Ticket: t\r\nX-Max-Ms: 900\r\n";
    assert_eq!(plain.head(), format!("{head}\r\n"));
    let full = Ask {
        nonce: Some("n"),
        source: Some("s-1"),
        retention_rank: 1,
        max_age_ms: Some(5),
        join_fill: true,
        only_if_cached: true,
        client_tag: Some("k"),
        body: 2,
        ..plain
    };
    let more = "X-Nonce: n\r\nX-Source: s-1\r\nX-Client-Tag: k\r\nX-Tier: 1\r\nX-Accept-Age: 5\r\nX-Mode: j+h\r\n\
        Content-Length: 2\r\n\r\n";
    assert_eq!(full.head(), format!("{head}{more}"));
}

//! Which connections may begin a request while requests or memory run out.

use super::*;

/// Nothing is in use.
const IDLE: Usage =
    Usage { max_requests: 80, requests: 0, max_bytes: 1_000_000, free_bytes: 1_000_000, request_bytes: 1000 };

#[test]
fn one_connection_may_hold_three_quarters_of_the_requests() {
    assert!(Usage { requests: 59, ..IDLE }.admits(59));
    assert!(!Usage { requests: 60, ..IDLE }.admits(60));
    assert!(Usage { requests: 60, ..IDLE }.admits(9));
    assert!(!Usage { requests: 79, ..IDLE }.admits(10));
    assert!(!Usage { requests: 80, ..IDLE }.admits(0));
}

#[test]
fn one_connection_may_hold_three_quarters_of_the_memory() {
    let usage = Usage { max_requests: 10_000, ..IDLE };
    assert!(Usage { free_bytes: 251_000, ..usage }.admits(749));
    assert!(!Usage { free_bytes: 250_000, ..usage }.admits(750));
    assert!(Usage { free_bytes: 1000, ..usage }.admits(124));
    assert!(!Usage { free_bytes: 1000, ..usage }.admits(125));
    assert!(!Usage { free_bytes: 999, ..usage }.admits(0));
}

// Guards against a limit so small that an eighth of it is no request at all.
#[test]
fn a_limit_of_one_request_admits_one() {
    assert!(Usage { max_requests: 1, ..IDLE }.admits(0));
    assert!(!Usage { max_requests: 1, requests: 1, ..IDLE }.admits(0));
}

//! The bounds that follow from the configured memory and descriptors, as `docs/capacity.md` states them.

use super::*;

fn limits(memory_mb: u64) -> Limits {
    Limits::new(LimitInputs { memory_mb, descriptors: 1024, ..LimitInputs::default() })
}

#[test]
fn the_memory_of_peers_follows_from_the_configured_memory() {
    let (small, large) = (limits(32).memory, limits(192).memory);
    assert_eq!([small.max_complete_bytes, large.max_complete_bytes], [16_000_000, 96_000_000]);
    assert_eq!([small.max_incoming_bytes, large.max_incoming_bytes], [4_000_000, 24_000_000]);
}

#[test]
fn the_stores_of_external_requests_follow_from_the_configured_memory() {
    let (small, large) = (limits(32).external, limits(192).external);
    assert_eq!([small.max_idempotency_keys, large.max_idempotency_keys], [27_777, 131_072]);
    assert_eq!([small.max_finished_requests, large.max_finished_requests], [17_857, 107_142]);
}

#[test]
fn the_remembered_runs_of_clients_follow_from_the_configured_memory() {
    assert_eq!([32, 192].map(|memory_mb| limits(memory_mb).client.max_recent_runs), [15_625, 93_750]);
}

#[test]
fn the_unwritten_replies_of_a_client_follow_from_memory_and_descriptors() {
    assert_eq!(
        [32, 192, 1024].map(|memory_mb| limits(memory_mb).client.max_unwritten_replies),
        [11, 68, 128]
    );
}

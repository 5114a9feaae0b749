//! When the watch requests the stream again, and when it continues after a fault of the stream.

use tindoor_discovery::{Progress, WatchError, WatchPosition};

fn event(sequence: u64) -> Vec<u8> {
    format!("{{\"seq\":{sequence}}}").into_bytes()
}

#[test]
fn events_are_applied_once_and_in_order() {
    let mut position = WatchPosition::after(4);
    assert!(matches!(position.accept_line(&event(5)), Ok(Progress::Event(event)) if event.sequence == 5));
    assert!(matches!(position.accept_line(&event(5)), Ok(Progress::UpToDate)));
    assert!(matches!(position.accept_line(b"5"), Ok(Progress::UpToDate)));
    assert_eq!(position.sequence, 5);
}

#[test]
fn missing_events_are_requested_again_once() {
    let mut position = WatchPosition::after(4);
    assert!(matches!(position.accept_line(&event(7)), Err(WatchError::Gap(7))));
    assert_eq!(position.sequence, 4);
    position.reconnected();
    assert!(matches!(position.accept_line(&event(7)), Ok(Progress::Event(_))));
    assert_eq!(position.sequence, 7);
}

#[test]
fn a_heartbeat_that_names_a_missing_event_causes_one_reconnect() {
    let mut position = WatchPosition::after(4);
    assert!(matches!(position.accept_line(b"6"), Err(WatchError::MissingEvents(6))));
    position.reconnected();
    assert!(matches!(position.accept_line(b"6"), Ok(Progress::UpToDate)));
}

#[test]
fn an_unparsed_line_is_requested_again_once_and_may_replace_an_event() {
    let mut position = WatchPosition::after(4);
    assert!(matches!(position.accept_line(b"{"), Err(WatchError::UnparsedLine(_))));
    position.reconnected();
    assert!(matches!(position.accept_line(b"{"), Ok(Progress::Skipped(_))));
    // The skipped line may have been event 5.
    assert!(matches!(position.accept_line(&event(6)), Ok(Progress::Event(_))));
    assert!(matches!(position.accept_line(&event(8)), Err(WatchError::Gap(8))));
}

//! The account of incomplete messages, and the order in which they are evicted.

use std::time::Duration;

use futures_lite::future::poll_once;

use super::*;

/// An account in which messages of 1002 bytes may stay.
const MAX_BYTES: usize = 1336;

const SENDER: Sender = Sender { listener: "test", address: None };

fn message(account: &Rc<IncomingMessages>, bytes: usize, standing: Standing) -> IncomingMessage {
    let message = IncomingMessage::new(account, SENDER);
    message.append(&vec![7; bytes], None);
    let _ = message.hold(standing);
    // The next message has been incomplete for less time.
    std::thread::sleep(Duration::from_millis(1));
    message
}

#[test]
fn the_oldest_message_of_an_unproven_sender_is_evicted_first() {
    let account = IncomingMessages::new(MAX_BYTES);
    let proven = message(&account, 400, Standing::Proven);
    let older = message(&account, 300, Standing::Unproven);
    let newer = message(&account, 300, Standing::Unproven);
    assert!(!older.is_evicted() && !newer.is_evicted(), "all fit");
    let third = message(&account, 200, Standing::Unproven);
    assert_eq!(
        [&proven, &older, &newer, &third].map(IncomingMessage::is_evicted),
        [false, true, false, false]
    );
    assert!(older.is_empty(), "its bytes are dropped at once");
    assert_eq!(older.hold(Standing::Unproven), Err(Evicted));
    assert!(async_io::block_on(poll_once(older.evicted())).is_some());
    assert_eq!(account.used_bytes(), 900);
}

#[test]
fn a_message_that_is_taken_or_dropped_is_no_longer_charged() {
    let account = IncomingMessages::new(MAX_BYTES);
    let taken = message(&account, 600, Standing::Unproven);
    let dropped = message(&account, 400, Standing::Unproven);
    assert_eq!(taken.take().len(), 600);
    assert_eq!(account.used_bytes(), 400);
    drop(dropped);
    assert_eq!(account.used_bytes(), 0);
    assert_eq!(taken.hold(Standing::Unproven), Ok(()));
    assert_eq!(account.used_bytes(), 0, "an empty buffer holds nothing");
}

#[test]
fn a_message_larger_than_the_account_evicts_itself() {
    let account = IncomingMessages::new(MAX_BYTES);
    let usual = message(&account, 100, Standing::Proven);
    let large = message(&account, 1003, Standing::Unproven);
    assert!(large.is_evicted() && !usual.is_evicted());
    assert_eq!(account.used_bytes(), 100);
}

#[test]
fn a_buffer_grows_to_the_size_of_its_message_at_most() {
    let account = IncomingMessages::new(1 << 20);
    let message = IncomingMessage::new(&account, SENDER);
    for _ in 0..3 {
        message.append(&[7; 1000], Some(3500));
    }
    message.append(&[7; 100], Some(3500));
    assert_eq!(message.buffer().capacity(), 3500);
}

/// Returns a message of which only the task is charged.
fn stream(account: &Rc<IncomingMessages>, standing: Standing) -> IncomingMessage {
    let mut stream = IncomingMessage::new(account, SENDER);
    stream.set_task_bytes(260);
    let _ = stream.hold(standing);
    stream
}

#[test]
fn the_task_of_an_evicted_message_is_charged_until_it_ends() {
    let account = IncomingMessages::new(MAX_BYTES);
    let mut streams: Vec<_> = (0..4).map(|_| stream(&account, Standing::Unproven)).collect();
    assert_eq!(account.used_bytes(), 1040);
    assert!(streams[0].is_evicted() && !streams[3].is_evicted());
    assert!(stream(&account, Standing::Unproven).is_evicted(), "there is room once a task has ended");
    let proven = stream(&account, Standing::Proven);
    assert!(!proven.is_evicted(), "a part is kept for senders of complete messages");
    assert_eq!(account.used_bytes(), 1300);
    streams.clear();
    assert_eq!(account.used_bytes(), 260);
}

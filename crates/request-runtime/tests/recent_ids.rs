//! Ids are remembered for their time, and at most a number of them.

use std::time::{Duration, Instant};

use tindoor_request_runtime::RecentIds;

const RETENTION: Duration = Duration::from_secs(60);

#[test]
fn an_id_is_remembered_for_the_retention_and_then_forgotten() {
    let (mut ids, start) = (RecentIds::new(RETENTION, 10), Instant::now());
    ids.remember(start, 7);
    ids.remember(start + Duration::from_secs(30), 8);
    assert!(ids.contains(start + RETENTION - Duration::from_millis(1), 7));
    assert!(!ids.contains(start + RETENTION, 7));
    assert!(ids.contains(start + RETENTION, 8));
    assert!(!ids.contains(start + RETENTION * 2, 8));
    assert!(ids.is_empty(), "nothing grows with time");
}

#[test]
fn the_oldest_id_is_forgotten_for_a_further_one() {
    let (mut ids, start) = (RecentIds::new(RETENTION, 3), Instant::now());
    (1..=4).for_each(|id| ids.remember(start, id));
    assert_eq!([1, 2, 3, 4].map(|id| ids.contains(start, id)), [false, true, true, true]);
    ids.remember(start, 4);
    assert_eq!(ids.len(), 3, "an id that is remembered takes no further place");
    let mut none = RecentIds::new(RETENTION, 0);
    none.remember(start, 1);
    assert!(!none.contains(start, 1));
}

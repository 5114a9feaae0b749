//! Short stories of leases, lists and clocks, one for each failure met or to be stood.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use tindoor::time::{Moment, Span};
use tindoor_membership::{
    ClockSync, Confirmation, FailureDetector, Incarnation, Interval, Lease, Member, MemberList, Timings,
};

const TERMS: Timings = Timings {
    lease: Span::millis(2000),
    quorum_loss_grace: Span::millis(20_000),
    clock_bound: Span::millis(50),
    heartbeat_interval: Span::millis(250),
    drift_ppm: 200,
};

fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + ms * 1000)
}

fn word(index: u64, ms: u64) -> Confirmation {
    Confirmation { index, at: at(ms) }
}

fn listed(no: u64) -> Member {
    Member { name: format!("n{no}"), address: format!("a{no}"), replica_id: Some(no), location: 0 }
}

#[test]
fn a_lease_ends_a_lease_after_the_word() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(at(0)), "nothing was said yet");
    lease.confirm_by_quorum(&TERMS, 7, word(7, 0));
    assert!(lease.is_valid(at(1990)) && !lease.is_valid(at(2000)), "less what clocks may drift");
    lease.confirm_by_quorum(&TERMS, 7, word(6, 500));
    assert!(lease.is_valid(at(2400)), "a word for less than is known here is as good");
}

#[test]
fn a_word_for_more_than_is_known_here_gives_no_lease_before_it_is_known() {
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TERMS, 7, word(8, 0));
    assert!(!lease.is_valid(at(1)));
    let all = [Incarnation(1)];
    lease.renew(&TERMS, word(8, 100), true, all.iter(), Incarnation(1));
    assert!(lease.is_valid(at(1900)), "now it is known");
}

#[test]
fn more_than_half_of_the_list_go_on_without_voters_until_the_hold_out() {
    let all: Vec<Incarnation> = (1..=5).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TERMS, 3, word(3, 0));
    let mut reckon = |ms: u64, peers: &[u64], open: bool| {
        peers.iter().for_each(|peer| lease.confirm_by_peer(Incarnation(*peer), word(3, ms)));
        lease.renew(&TERMS, word(3, ms), open, all.iter(), Incarnation(1));
        lease.is_valid(at(ms + 1900))
    };
    assert!(!reckon(1000, &[2], true), "two of five are not more than half");
    assert!(reckon(1500, &[2, 3], true));
    assert!(!reckon(3000, &[2, 3], false), "nobody vouches while a change waits for its decision");
    assert!(reckon(3000, &[2, 3], true));
    assert!(!reckon(18_500, &[2, 3], true), "the hold-out ends it");
}

#[test]
fn peers_at_another_index_vouch_for_nothing() {
    let all: Vec<Incarnation> = (1..=3).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TERMS, 3, word(3, 0));
    lease.confirm_by_peer(Incarnation(2), word(4, 1500));
    lease.confirm_by_peer(Incarnation(3), word(4, 1500));
    lease.renew(&TERMS, word(3, 1500), true, all.iter(), Incarnation(1));
    assert!(!lease.is_valid(at(2000)), "they know something that is not known here");
}

#[test]
fn no_list_that_may_still_be_held_is_passed_over() {
    let mut member_list = MemberList::new((1..=3).map(|no| (Incarnation(no), listed(no))).collect());
    (4..=10).for_each(|no| member_list.add(no, Incarnation(no), listed(no), None));
    // Two of the first three are cut off and hold the first list: more than half of it.
    let knows = |start: Incarnation| ![Incarnation(1), Incarnation(2)].contains(&start);
    assert_eq!(
        member_list.rule_out_uninformed_majority(20, knows),
        Err(4),
        "eight of ten know, but only one of the first three"
    );
    member_list.discard_superseded(4);
    assert_eq!(
        member_list.rule_out_uninformed_majority(20, knows),
        Ok(()),
        "nobody holds that list any more, and two of four are not more than half"
    );
    assert_eq!(member_list.rule_out_uninformed_majority(20, |start| start.0 > 6), Err(20), "six of ten are");
}

#[test]
fn one_that_is_proved_to_have_ended_holds_no_list() {
    let first = || MemberList::new((1..=3).map(|no| (Incarnation(no), listed(no))).collect());
    let mut member_list = first();
    member_list.add(4, Incarnation(11), listed(1), Some(Incarnation(1)));
    member_list.add(5, Incarnation(12), listed(2), None);
    assert_eq!(member_list.members().len(), 3);
    assert_eq!(member_list.rule_out_uninformed_majority(20, |start| start.0 == 3 || start.0 > 10), Ok(()));
    let mut silent = first();
    silent.add(4, Incarnation(11), listed(1), None);
    silent.add(5, Incarnation(12), listed(2), None);
    assert!(
        silent.rule_out_uninformed_majority(20, |start| start.0 == 3 || start.0 > 10).is_err(),
        "silence is not death"
    );
}

/// Three voters' clocks, read from a router whose own is `off` behind theirs, by round trips of 2 ms. The second
/// one's has `jumped`. Each giver tells of all.
fn read(clocks: &mut ClockSync, ms: u64, by: u64, off: i64, jumped: i64) {
    let jump = |clock| if clock == 2 { jumped } else { 0 };
    let theirs = |ms: u64| (1_000_000_000 + ms * 1000) as i64 + off + jump(by);
    let offset = |clock| jump(clock) - jump(by);
    let offsets =
        [1, 2, 3].map(|clock| (Incarnation(clock), Interval { low: offset(clock), high: offset(clock) }));
    clocks.record_exchange(&TERMS, Incarnation(by), [at(ms), at(ms + 2)], theirs(ms + 1), &offsets);
}

fn agreed() -> BTreeMap<Incarnation, i64> {
    (1..=3).map(|voter| (Incarnation(voter), 0)).collect()
}

#[test]
fn round_trips_bound_the_time_and_age_widens_it() {
    let mut clocks = ClockSync::new(Incarnation(9));
    for ms in [0, 250, 500] {
        (1..=3).for_each(|by| read(&mut clocks, ms, by, 777_000, 0));
    }
    let soon = clocks.fleet_time(&TERMS, &agreed(), at(502)).expect("three clocks meet");
    let truth = 1_000_502_000 + 777_000;
    assert!((soon.low..=soon.high).contains(&truth) && soon.error_bound() <= Span::millis(2), "{soon:?}");
    let later = clocks.fleet_time(&TERMS, &agreed(), at(100_502)).expect("they still do");
    assert!(later.error_bound() > Span::millis(39), "100 s at 400 millionths: {later:?}");
}

#[test]
fn one_clock_that_jumps_is_outvoted() {
    let mut clocks = ClockSync::new(Incarnation(9));
    for ms in (0..3000).step_by(250) {
        let jumped = if ms >= 1000 { 900_000 } else { 0 };
        (1..=3).for_each(|by| read(&mut clocks, ms, by, 0, jumped));
        if ms > 250 {
            let time = clocks.fleet_time(&TERMS, &agreed(), at(ms + 2)).expect("two of three meet");
            assert!(
                (time.midpoint() - 1_000_000_000 - (ms as i64 + 2) * 1000).abs() <= 2_000,
                "{ms}: {time:?}"
            );
        }
    }
    assert!(clocks.untrusted_since().is_none(), "its own clock is not to blame");
    let strays =
        clocks.deviation_of(&TERMS, &agreed(), Incarnation(2), at(3000)).expect("it is over the bound");
    assert!((strays - 900_000).abs() < 5_000);
}

/// Met in simulated days: a voter whose clock had jumped by less than its late answers could tell met the others with
/// its own clock, which it reads exactly, and took the moment of a change to be a little later than it was.
#[test]
fn a_clock_that_is_off_by_less_than_the_others_can_be_read_is_not_believed() {
    for voters in 2..=3 {
        let mut clocks = ClockSync::new(Incarnation(1));
        let agreed: BTreeMap<Incarnation, i64> = (1..=voters).map(|voter| (Incarnation(voter), 0)).collect();
        // Its own is 100 ms behind, and others' answers take 300 ms.
        for ms in [0, 400, 800] {
            for by in 2..=voters {
                let theirs = (1_000_000_000 + (ms + 150) * 1000 + 100_000) as i64;
                let own = [(Incarnation(by), Interval { low: 0, high: 0 })];
                clocks.record_exchange(&TERMS, Incarnation(by), [at(ms), at(ms + 300)], theirs, &own);
            }
        }
        let time = clocks.fleet_time(&TERMS, &agreed, at(1100)).expect("they meet");
        let truth = 1_001_100_000 + 100_000;
        assert!((time.low..=time.high).contains(&truth), "{voters}: {time:?}");
    }
}

#[test]
fn a_router_whose_own_clock_jumps_finds_out_at_the_second_answer() {
    let mut clocks = ClockSync::new(Incarnation(9));
    for ms in [0, 250, 500] {
        (1..=3).for_each(|by| read(&mut clocks, ms, by, 0, 0));
    }
    // All others are suddenly ahead alike: it was the own one that fell behind.
    let behind = 1_000_000;
    read(&mut clocks, 750, 1, behind, 0);
    assert!(clocks.untrusted_since().is_none(), "one giver alone may be the one that jumped");
    read(&mut clocks, 760, 2, behind, 0);
    assert!(clocks.untrusted_since().is_some() && clocks.fleet_time(&TERMS, &agreed(), at(770)).is_none());
    for ms in [1000, 1250, 1500] {
        (1..=3).for_each(|by| read(&mut clocks, ms, by, behind, 0));
    }
    assert!(
        clocks.untrusted_since().is_none() && clocks.fleet_time(&TERMS, &agreed(), at(1503)).is_some(),
        "settled again"
    );
}

#[test]
fn silence_is_measured_by_what_is_usual() {
    let mut failure_detector = FailureDetector::default();
    assert_eq!(failure_detector.suspicion(Incarnation(1), at(0), TERMS.heartbeat_interval), None);
    (0..10).for_each(|nth| failure_detector.record_heartbeat(Incarnation(1), at(nth * 1000)));
    let usual = failure_detector
        .suspicion(Incarnation(1), at(12_000), TERMS.heartbeat_interval)
        .expect("it was heard");
    assert!(
        (2.9..3.1).contains(&usual),
        "one that always takes a second is not suspect after three: {usual}"
    );
}

#[test]
fn terms_that_can_not_stand_beside_each_other_are_named() {
    assert_eq!(TERMS.check(), Ok(()));
    let short = Timings { lease: Span::millis(500), ..TERMS };
    assert!(short.check().unwrap_err().starts_with("lease_ms"));
    let loose = Timings { drift_ppm: 9_999, lease: Span::millis(20_000), ..TERMS };
    assert!(loose.check().unwrap_err().starts_with("drift_ppm"));
}

proptest! {
    /// Whoever may still hold any of the lists, and can find more than half of it that know nothing, is seen.
    #[test]
    fn two_majorities_of_a_list_that_is_held_always_meet(
        steps in prop::collection::vec((0u64..8, any::<bool>()), 1..24),
        knowing in prop::collection::btree_set(0u64..40, 0..40),
    ) {
        let mut member_list = MemberList::default();
        let mut lists: Vec<BTreeSet<Incarnation>> = Vec::new();
        for (nth, (name, comes)) in steps.iter().enumerate() {
            let start = Incarnation(nth as u64);
            match (comes, member_list.find_by_name(&format!("n{name}"))) {
                (false, Some(known)) => member_list.remove(nth as u64 + 1, known, false),
                _ => member_list.add(nth as u64 + 1, start, listed(*name), None),
            }
            lists.push(member_list.members().keys().copied().collect());
        }
        let knows = |start: Incarnation| knowing.contains(&start.0);
        let live_on_each_other = lists.iter().any(|list| {
            2 * list.iter().filter(|start| !knows(**start)).count() > list.len()
        });
        prop_assert_eq!(member_list.rule_out_uninformed_majority(100, knows).is_ok(), !live_on_each_other);
    }
}

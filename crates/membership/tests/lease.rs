//! Tests of leases.

mod support;

use support::{TIMINGS, at};
use tindoor_membership::{Confirmation, Incarnation, Lease};

fn confirmation(index: u64, ms: u64) -> Confirmation {
    Confirmation { index, at: at(ms) }
}

#[test]
fn a_lease_expires_a_lease_after_the_confirmation() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(at(0)), "nothing was confirmed yet");
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(7, 0));
    assert!(lease.is_valid(at(1990)) && !lease.is_valid(at(2000)), "less what clocks may drift");
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(6, 500));
    assert!(lease.is_valid(at(2400)), "a confirmation of an earlier index is as good");
}

#[test]
fn a_confirmation_of_an_index_that_is_not_reached_gives_no_lease_until_it_is() {
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(8, 0));
    assert!(!lease.is_valid(at(1)));
    let all = [Incarnation(1)];
    lease.renew(&TIMINGS, confirmation(8, 100), true, all.iter(), Incarnation(1));
    assert!(lease.is_valid(at(1900)), "now it is reached");
}

#[test]
fn a_majority_of_the_members_renews_leases_without_voters_until_the_grace_is_over() {
    let all: Vec<Incarnation> = (1..=5).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 3, confirmation(3, 0));
    let mut renews = |ms: u64, peers: &[u64], confirms_index: bool| {
        for peer in peers {
            lease.confirm_by_peer(Incarnation(*peer), confirmation(3, ms));
        }
        lease.renew(&TIMINGS, confirmation(3, ms), confirms_index, all.iter(), Incarnation(1));
        lease.is_valid(at(ms + 1900))
    };
    assert!(!renews(1000, &[2], true), "two of five are no majority");
    assert!(renews(1500, &[2, 3], true));
    assert!(!renews(3000, &[2, 3], false), "nobody confirms while a change waits for its decision");
    assert!(renews(3000, &[2, 3], true));
    assert!(!renews(18_500, &[2, 3], true), "the grace is over");
}

#[test]
fn peers_at_another_index_renew_no_lease() {
    let all: Vec<Incarnation> = (1..=3).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 3, confirmation(3, 0));
    lease.confirm_by_peer(Incarnation(2), confirmation(4, 1500));
    lease.confirm_by_peer(Incarnation(3), confirmation(4, 1500));
    lease.renew(&TIMINGS, confirmation(3, 1500), true, all.iter(), Incarnation(1));
    assert!(!lease.is_valid(at(2000)), "they know something that is not known here");
}

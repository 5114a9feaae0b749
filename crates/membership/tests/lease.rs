//! Tests of leases.

mod support;

use support::{TIMINGS, at};
use tindoor_membership::{Confirmation, Incarnation, Lease};

fn confirmation(index: u64, ms: u64) -> Confirmation {
    Confirmation { index, at: at(ms) }
}

#[test]
fn a_lease_expires_one_lease_length_after_its_confirmation() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(at(0)), "nothing was confirmed yet");
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(7, 0));
    assert!(
        lease.is_valid(at(1990)) && !lease.is_valid(at(2000)),
        "the lease of 2 s is shortened by the possible clock drift"
    );
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(6, 500));
    assert!(lease.is_valid(at(2400)), "a confirmation of an earlier index extends the lease as well");
}

#[test]
fn a_confirmation_of_an_index_gives_no_lease_until_the_router_reaches_it() {
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 7, confirmation(8, 0));
    assert!(!lease.is_valid(at(1)));
    let all = [Incarnation(1)];
    lease.renew(&TIMINGS, confirmation(8, 100), true, all.iter(), Incarnation(1));
    assert!(lease.is_valid(at(1900)), "the router has reached the confirmed index");
}

#[test]
fn a_majority_of_the_members_renews_leases_without_a_quorum_until_the_grace_ends() {
    let all: Vec<Incarnation> = (1..=5).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 3, confirmation(3, 0));
    let mut renews_lease = |ms: u64, peers: &[u64], confirms_index: bool| {
        for peer in peers {
            lease.confirm_by_peer(Incarnation(*peer), confirmation(3, ms));
        }
        lease.renew(&TIMINGS, confirmation(3, ms), confirms_index, all.iter(), Incarnation(1));
        lease.is_valid(at(ms + 1900))
    };
    assert!(!renews_lease(1000, &[2], true), "two of five are no majority");
    assert!(renews_lease(1500, &[2, 3], true));
    assert!(!renews_lease(3000, &[2, 3], false), "no lease is renewed while a change waits for its decision");
    assert!(renews_lease(3000, &[2, 3], true));
    assert!(!renews_lease(18_500, &[2, 3], true), "the grace ends at 20 s, within the next lease");
}

#[test]
fn confirmations_by_peers_of_another_index_renew_no_lease() {
    let all: Vec<Incarnation> = (1..=3).map(Incarnation).collect();
    let mut lease = Lease::default();
    lease.confirm_by_quorum(&TIMINGS, 3, confirmation(3, 0));
    lease.confirm_by_peer(Incarnation(2), confirmation(4, 1500));
    lease.confirm_by_peer(Incarnation(3), confirmation(4, 1500));
    lease.renew(&TIMINGS, confirmation(3, 1500), true, all.iter(), Incarnation(1));
    assert!(!lease.is_valid(at(2000)), "the peers know an entry that this router does not know");
}

//! Model checking of leases and member lists, for two to four routers of a fleet, a replicated log, one
//! change and its rollback. The replication of the log itself is left to the `raft` library and not modelled.
//! Any router may stall or be cut off at any point, because no action is forced to happen; responses may be
//! old; a leader may be lost with an uncommitted decision.

use std::collections::{BTreeMap, BTreeSet};

use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Confirmation, Incarnation, Lease, Member, MemberList, Timings};

/// The timings of the model, in which one tick is a second.
const TIMINGS: Timings = Timings {
    lease: Span::millis(2000),
    quorum_loss_grace: Span::millis(4000),
    clock_bound: Span::millis(1),
    heartbeat_interval: Span::millis(500),
    drift_ppm: 0,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Propose,
    /// The decision of the last proposed change, with its activation time in seconds.
    Decide(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    /// The number of log entries that the router has applied.
    index: usize,
    lease: Lease,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    /// The current time, in seconds.
    now: u64,
    /// The committed entries.
    log: Vec<Entry>,
    /// The activation time of a decision that is not yet committed, in seconds.
    uncommitted: Option<u64>,
    /// When the last change was proposed, in seconds.
    proposed: u64,
    /// The routers that are known to be informed of the change.
    informed: BTreeSet<u64>,
    routers: Vec<Router>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    /// The router applies the whole log, and a quorum of the voters confirms its index.
    ConfirmByQuorum(usize),
    /// The first router receives the log entries and the confirmations of the second one.
    ConfirmByPeer(usize, usize),
    /// A router reports to the leader that it is informed of the change.
    CheckPolicy(usize),
    /// The leader proposes a change.
    Propose,
    Decide,
    Commit,
    LoseLeader,
}

/// The protocol, complete or with one rule disabled.
struct Protocol {
    routers: u64,
    /// The time at which the model ends, in seconds.
    end: u64,
    /// The leader decides only once the silent routers can no longer renew their leases.
    waits_for_silent: bool,
    /// The leader requests no confirmation while its decision is uncommitted.
    pauses_confirmations: bool,
    /// The leader activates a change one lease after deciding it.
    activates_ahead: bool,
    /// No router confirms its index while a change waits for its decision.
    confirms_only_decided: bool,
}

const COMPLETE: Protocol = Protocol {
    routers: 3,
    end: 7,
    waits_for_silent: true,
    pauses_confirmations: true,
    activates_ahead: true,
    confirms_only_decided: true,
};

/// The moment `second` seconds after the start of the model.
fn at(second: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + second * 1_000_000)
}

fn has_no_undecided_change(log: &[Entry]) -> bool {
    !matches!(log.last(), Some(Entry::Propose))
}

/// The number of changes that are activated by `now`, counting those in the log and an uncommitted one.
fn generation(log: &[Entry], uncommitted: Option<u64>, now: u64) -> usize {
    let decided = log.iter().filter_map(|entry| match entry {
        Entry::Decide(at) => Some(*at),
        Entry::Propose => None,
    });
    decided.chain(uncommitted).filter(|at| *at <= now).count()
}

impl Protocol {
    fn may_decide(&self, fleet: &Fleet) -> bool {
        let member = |router| Member {
            name: format!("{router}"),
            address: String::new(),
            replica_id: None,
            location: 0,
        };
        let member_list = MemberList::new(
            (0..self.routers).map(|router| (Incarnation(router), member(router))).collect::<BTreeMap<_, _>>(),
        );
        let no_uninformed_majority =
            member_list.rule_out_uninformed_majority(10, |member| fleet.informed.contains(&member.0)).is_ok();
        !self.waits_for_silent
            || no_uninformed_majority
            || at(fleet.now).since(at(fleet.proposed)) > TIMINGS.quorum_loss_grace
    }

    fn confirm_by_quorum(&self, fleet: &mut Fleet, id: usize) {
        let is_paused = self.pauses_confirmations && fleet.uncommitted.is_some();
        let (index, at) = (fleet.log.len() as u64, at(fleet.now));
        let router = &mut fleet.routers[id];
        router.index = fleet.log.len();
        if !is_paused {
            router.lease.confirm_by_quorum(&TIMINGS, index, Confirmation { index, at });
        }
    }

    fn confirm_by_peer(&self, fleet: &mut Fleet, id: usize, other: usize) {
        let now = at(fleet.now);
        let Router { index, lease } = fleet.routers[other].clone();
        let confirms = !self.confirms_only_decided || has_no_undecided_change(&fleet.log[..index]);
        let known = fleet.log[..index.max(fleet.routers[id].index)].to_vec();
        let router = &mut fleet.routers[id];
        router.index = known.len();
        if let Some(confirmation) = lease.latest_quorum_confirmation() {
            router.lease.confirm_by_quorum(&TIMINGS, router.index as u64, confirmation);
        }
        if confirms {
            let index = index as u64;
            router.lease.confirm_by_peer(Incarnation(other as u64), Confirmation { index, at: now });
            for (peer, at) in lease.peer_confirmations(index, 8) {
                router.lease.confirm_by_peer(peer, Confirmation { index, at });
            }
        }
        let own = Confirmation { index: router.index as u64, at: now };
        let all: Vec<Incarnation> = (0..self.routers).map(Incarnation).collect();
        let confirms_own = !self.confirms_only_decided || has_no_undecided_change(&known);
        router.lease.renew(&TIMINGS, own, confirms_own, all.iter(), Incarnation(id as u64));
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let mut routers = vec![Router::default(); self.routers as usize];
        // A quorum has just confirmed all leases.
        routers.iter_mut().for_each(|router| {
            router.lease.confirm_by_quorum(&TIMINGS, 0, Confirmation { index: 0, at: at(0) });
        });
        let (log, informed) = (Vec::new(), BTreeSet::new());
        vec![Fleet { now: 0, log, uncommitted: None, proposed: 0, informed, routers }]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        if fleet.now < self.end {
            actions.push(Action::Tick);
        }
        for router in 0..fleet.routers.len() {
            actions.push(Action::ConfirmByQuorum(router));
            actions.extend(
                (0..fleet.routers.len())
                    .filter(|other| *other != router)
                    .map(|other| Action::ConfirmByPeer(router, other)),
            );
            if !has_no_undecided_change(&fleet.log[..fleet.routers[router].index]) {
                actions.push(Action::CheckPolicy(router));
            }
        }
        let changes = fleet.log.iter().filter(|entry| **entry == Entry::Propose).count();
        // The second change is the rollback. It is proposed once the first change is activated.
        let all_activated =
            has_no_undecided_change(&fleet.log) && generation(&fleet.log, None, fleet.now) == changes;
        if all_activated && changes < 2 {
            actions.push(Action::Propose);
        }
        match fleet.uncommitted {
            Some(_) => actions.extend([Action::Commit, Action::LoseLeader]),
            None if !has_no_undecided_change(&fleet.log) && self.may_decide(fleet) => {
                actions.push(Action::Decide);
            }
            None => {}
        }
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = last.clone();
        let now = fleet.now;
        match action {
            Action::Tick => fleet.now += 1,
            Action::ConfirmByQuorum(id) => self.confirm_by_quorum(&mut fleet, id),
            Action::ConfirmByPeer(id, other) => self.confirm_by_peer(&mut fleet, id, other),
            Action::CheckPolicy(id) => drop(fleet.informed.insert(id as u64)),
            Action::Propose => {
                fleet.log.push(Entry::Propose);
                fleet.informed.clear();
                fleet.proposed = now;
            }
            // The lease is two seconds, that is two ticks of the model.
            Action::Decide => fleet.uncommitted = Some(now + if self.activates_ahead { 2 } else { 0 }),
            Action::Commit => {
                let at = fleet.uncommitted.take()?;
                fleet.log.push(Entry::Decide(at));
            }
            Action::LoseLeader => {
                // The next leader does not know which routers are informed until they report it again.
                fleet.uncommitted = None;
                fleet.informed.clear();
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "no router with a valid lease decides requests by a replaced policy",
            |_, fleet: &Fleet| {
                let in_force = generation(&fleet.log, fleet.uncommitted, fleet.now);
                fleet.routers.iter().all(|router| {
                    let used = generation(&fleet.log[..router.index], None, fleet.now);
                    !router.lease.is_valid(at(fleet.now)) || used >= in_force
                })
            },
        )]
    }
}

const PROPERTY: &str = "no router with a valid lease decides requests by a replaced policy";

#[test]
fn no_router_with_a_valid_lease_decides_requests_by_a_replaced_policy() {
    // Checks all states within a small depth, then follows longer random walks up to a number of states.
    let checked = COMPLETE.checker().threads(2).target_max_depth(6).spawn_bfs().join();
    checked.assert_no_discovery(PROPERTY);
    random_walks(COMPLETE, 1, 400_000).assert_no_discovery(PROPERTY);
    // With an even number of members, exactly half of them can be silent.
    for routers in [2, 4] {
        random_walks(Protocol { routers, ..COMPLETE }, 1, 400_000).assert_no_discovery(PROPERTY);
    }
}

/// The state after these actions, starting from the initial state.
fn state_after(actions: &[Action]) -> Fleet {
    let first = COMPLETE.init_states().remove(0);
    actions.iter().fold(first, |fleet, action| {
        let mut allowed = Vec::new();
        COMPLETE.actions(&fleet, &mut allowed);
        assert!(allowed.contains(action), "{action:?} is not allowed at {fleet:?}");
        COMPLETE.next_state(&fleet, action.clone()).expect("it is allowed")
    })
}

#[test]
fn a_change_is_activated_and_a_fleet_without_voters_serves_until_the_grace_ends() {
    use Action::*;
    let quorum = [ConfirmByQuorum(0), ConfirmByQuorum(1), ConfirmByQuorum(2)];
    let actions = [
        &[Propose][..],
        &quorum,
        &[CheckPolicy(0), CheckPolicy(1), Decide, Commit],
        &quorum,
        &[Tick, Tick],
        &quorum,
    ]
    .concat();
    let fleet = state_after(&actions);
    let is_activated = |router: &Router| {
        router.lease.is_valid(at(fleet.now)) && generation(&fleet.log[..router.index], None, fleet.now) == 1
    };
    assert!(fleet.routers.iter().all(is_activated), "{fleet:?}");
    let peers = [Tick, ConfirmByPeer(0, 1), ConfirmByPeer(1, 0), ConfirmByPeer(2, 0)];
    let fleet = state_after(&[&peers[..], &peers, &peers].concat());
    assert!(fleet.routers.iter().all(|router| router.lease.is_valid(at(fleet.now))), "{fleet:?}");
    let fleet = state_after(&[&peers[..], &peers, &peers, &peers].concat());
    assert!(
        !fleet.routers.iter().any(|router| router.lease.is_valid(at(fleet.now))),
        "no lease is valid after the grace"
    );
}

/// Checks random walks of at most 48 actions, until `states` states were visited or the property is violated.
fn random_walks(protocol: Protocol, seed: u64, states: usize) -> impl Checker<Protocol> {
    let checked = protocol.checker().threads(2).target_state_count(states).target_max_depth(48);
    checked
        .finish_when(HasDiscoveries::AnyOf([PROPERTY].into()))
        .spawn_simulation(seed, UniformChooser)
        .join()
}

#[test]
fn each_rule_of_the_protocol_is_needed() {
    let assert_needed = |protocol: Protocol, rule: &str| {
        let found = random_walks(protocol, 7, 4_000_000).discovery(PROPERTY).is_some();
        assert!(found, "disabling the rule must lead to a violation, but none was found: {rule}");
    };
    assert_needed(
        Protocol { activates_ahead: false, ..COMPLETE },
        "a change is activated one lease after its decision",
    );
    assert_needed(
        Protocol { pauses_confirmations: false, ..COMPLETE },
        "the leader requests no confirmation while a decision is uncommitted",
    );
    assert_needed(
        Protocol { confirms_only_decided: false, ..COMPLETE },
        "no router confirms an index with an undecided change",
    );
    assert_needed(
        Protocol { waits_for_silent: false, ..COMPLETE },
        "the leader waits until a silent majority can no longer renew its leases",
    );
}

//! Leases and lists under a model checker: two to four routers of a fleet, an agreed log that voters keep (its agreement
//! is the `raft` library's matter), one change and its undo. Anybody may stand still or be cut off at any point, as
//! nothing has to happen; answers may be old; a leader may be lost with a decision on its way.

use std::collections::{BTreeMap, BTreeSet};

use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Confirmation, Incarnation, Lease, Member, MemberList, Timings};

/// One tick of the model is a second.
const TERMS: Timings = Timings {
    lease: Span::millis(2000),
    quorum_loss_grace: Span::millis(4000),
    clock_bound: Span::millis(1),
    heartbeat_interval: Span::millis(500),
    drift_ppm: 0,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Propose,
    /// From that second on.
    Decide(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    /// How much of the log it knows.
    index: usize,
    lease: Lease,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: u64,
    log: Vec<Entry>,
    /// A decision that is proposed and not yet agreed, and when the change was first seen.
    on_its_way: Option<u64>,
    proposed: u64,
    /// Who is known to know of the change.
    answered: BTreeSet<u64>,
    routers: Vec<Router>,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick,
    AskVoters(usize),
    AskPeer(usize, usize),
    Answer(usize),
    Propose,
    Decide,
    Agree,
    LeaderLost,
}

/// The protocol, whole or with one rule taken out.
struct Play {
    routers: u64,
    until: u64,
    /// The leader waits until the silent can't go on.
    waits: bool,
    /// It asks for no word while its decision is on its way.
    quiet: bool,
    /// It decides a lease ahead.
    ahead: bool,
    /// Nobody vouches while a change waits for its decision.
    open: bool,
}

const WHOLE: Play = Play { routers: 3, until: 7, waits: true, quiet: true, ahead: true, open: true };

fn at(second: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + second * 1_000_000)
}

fn open(log: &[Entry]) -> bool {
    !matches!(log.last(), Some(Entry::Propose))
}

/// How many changes hold then, of those that are known or `more`.
fn generation(log: &[Entry], more: Option<u64>, now: u64) -> usize {
    let decided = log.iter().filter_map(|entry| match entry {
        Entry::Decide(at) => Some(*at),
        Entry::Propose => None,
    });
    decided.chain(more).filter(|at| *at <= now).count()
}

impl Play {
    fn may_decide(&self, fleet: &Fleet) -> bool {
        let listed =
            |no| Member { name: format!("{no}"), address: String::new(), replica_id: None, location: 0 };
        let member_list = MemberList::new(
            (0..self.routers).map(|no| (Incarnation(no), listed(no))).collect::<BTreeMap<_, _>>(),
        );
        let most =
            member_list.rule_out_uninformed_majority(10, |start| fleet.answered.contains(&start.0)).is_ok();
        !self.waits || most || at(fleet.now).since(at(fleet.proposed)) > TERMS.quorum_loss_grace
    }
}

impl Model for Play {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut routers = vec![Router::default(); self.routers as usize];
        // All have just heard the voters.
        routers.iter_mut().for_each(|router| {
            router.lease.confirm_by_quorum(&TERMS, 0, Confirmation { index: 0, at: at(0) })
        });
        let (log, answered) = (Vec::new(), BTreeSet::new());
        vec![Fleet { now: 0, log, on_its_way: None, proposed: 0, answered, routers }]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        if fleet.now < self.until {
            acts.push(Act::Tick);
        }
        for no in 0..fleet.routers.len() {
            acts.push(Act::AskVoters(no));
            acts.extend(
                (0..fleet.routers.len()).filter(|other| *other != no).map(|other| Act::AskPeer(no, other)),
            );
            if !open(&fleet.log[..fleet.routers[no].index]) {
                acts.push(Act::Answer(no));
            }
        }
        let changes = fleet.log.iter().filter(|entry| **entry == Entry::Propose).count();
        // The second change, the undo, begins once the first holds.
        let settled = open(&fleet.log) && generation(&fleet.log, None, fleet.now) == changes;
        if settled && changes < 2 {
            acts.push(Act::Propose);
        }
        match fleet.on_its_way {
            Some(_) => acts.extend([Act::Agree, Act::LeaderLost]),
            None if !open(&fleet.log) && self.may_decide(fleet) => acts.push(Act::Decide),
            None => {}
        }
    }

    fn next_state(&self, last: &Fleet, act: Act) -> Option<Fleet> {
        let mut fleet = last.clone();
        let now = fleet.now;
        match act {
            Act::Tick => fleet.now += 1,
            Act::AskVoters(no) => {
                let (index, quiet) = (fleet.log.len(), self.quiet && fleet.on_its_way.is_some());
                let router = &mut fleet.routers[no];
                router.index = index;
                if !quiet {
                    router.lease.confirm_by_quorum(
                        &TERMS,
                        index as u64,
                        Confirmation { index: index as u64, at: at(now) },
                    );
                }
            }
            Act::AskPeer(no, other) => {
                let Router { index, lease } = fleet.routers[other].clone();
                let vouches = !self.open || open(&fleet.log[..index]);
                let known = fleet.log[..index.max(fleet.routers[no].index)].to_vec();
                let router = &mut fleet.routers[no];
                router.index = known.len();
                if let Some(word) = lease.latest_quorum_confirmation() {
                    router.lease.confirm_by_quorum(&TERMS, router.index as u64, word);
                }
                if vouches {
                    let index = index as u64;
                    router
                        .lease
                        .confirm_by_peer(Incarnation(other as u64), Confirmation { index, at: at(now) });
                    for (peer, at) in lease.peer_confirmations(index, 8) {
                        router.lease.confirm_by_peer(peer, Confirmation { index, at });
                    }
                }
                let own = Confirmation { index: router.index as u64, at: at(now) };
                let all: Vec<Incarnation> = (0..self.routers).map(Incarnation).collect();
                let open = !self.open || open(&known);
                router.lease.renew(&TERMS, own, open, all.iter(), Incarnation(no as u64));
            }
            Act::Answer(no) => drop(fleet.answered.insert(no as u64)),
            Act::Propose => {
                fleet.log.push(Entry::Propose);
                fleet.answered.clear();
                fleet.proposed = now;
            }
            // The lease is a second longer than what is reckoned with at whole seconds.
            Act::Decide => fleet.on_its_way = Some(now + if self.ahead { 2 } else { 0 }),
            Act::Agree => {
                let moment = fleet.on_its_way.take()?;
                fleet.log.push(Entry::Decide(moment));
            }
            Act::LeaderLost => {
                // The next one has to hear from all again.
                fleet.on_its_way = None;
                fleet.answered.clear();
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "no view is decided by a policy that another has replaced",
            |_, fleet: &Fleet| {
                let must = generation(&fleet.log, fleet.on_its_way, fleet.now);
                fleet.routers.iter().all(|router| {
                    let goes_by = generation(&fleet.log[..router.index], None, fleet.now);
                    !router.lease.is_valid(at(fleet.now)) || goes_by >= must
                })
            },
        )]
    }
}

const BROKEN: &str = "no view is decided by a policy that another has replaced";

#[test]
fn no_request_is_decided_by_a_policy_that_another_has_replaced() {
    // All that can happen in so many steps; and longer ways by lot, until so many states were seen.
    let checked = WHOLE.checker().threads(2).target_max_depth(6).spawn_bfs().join();
    checked.assert_no_discovery(BROKEN);
    walks(WHOLE, 1, 400_000).assert_no_discovery(BROKEN);
    // Where half can be silent, too.
    for routers in [2, 4] {
        walks(Play { routers, ..WHOLE }, 1, 400_000).assert_no_discovery(BROKEN);
    }
}

/// Where these lead.
fn after(acts: &[Act]) -> Fleet {
    let first = WHOLE.init_states().remove(0);
    acts.iter().fold(first, |fleet, act| {
        let mut allowed = Vec::new();
        WHOLE.actions(&fleet, &mut allowed);
        assert!(allowed.contains(act), "{act:?} is not allowed at {fleet:?}");
        WHOLE.next_state(&fleet, act.clone()).expect("it is allowed")
    })
}

#[test]
fn a_change_comes_to_hold_and_a_fleet_without_voters_goes_on() {
    use Act::*;
    let ask = [AskVoters(0), AskVoters(1), AskVoters(2)];
    let acts =
        [&[Propose][..], &ask, &[Answer(0), Answer(1), Decide, Agree], &ask, &[Tick, Tick], &ask].concat();
    let fleet = after(&acts);
    let holds = |router: &Router| {
        router.lease.is_valid(at(fleet.now)) && generation(&fleet.log[..router.index], None, fleet.now) == 1
    };
    assert!(fleet.routers.iter().all(holds), "{fleet:?}");
    let peers = [Tick, AskPeer(0, 1), AskPeer(1, 0), AskPeer(2, 0)];
    let fleet = after(&[&peers[..], &peers, &peers].concat());
    assert!(fleet.routers.iter().all(|router| router.lease.is_valid(at(fleet.now))), "{fleet:?}");
    let fleet = after(&[&peers[..], &peers, &peers, &peers].concat());
    assert!(!fleet.routers.iter().any(|router| router.lease.is_valid(at(fleet.now))), "the hold-out is over");
}

fn walks(play: Play, seed: u64, states: usize) -> impl Checker<Play> {
    let checked = play.checker().threads(2).target_state_count(states).target_max_depth(48);
    checked.finish_when(HasDiscoveries::AnyOf([BROKEN].into())).spawn_simulation(seed, UniformChooser).join()
}

#[test]
fn each_rule_is_needed() {
    let needed = |play: Play, what: &str| {
        let found = walks(play, 7, 4_000_000).discovery(BROKEN).is_some();
        assert!(found, "{what}");
    };
    needed(Play { ahead: false, ..WHOLE }, "a decision must lie a lease ahead");
    needed(Play { quiet: false, ..WHOLE }, "no word while a decision is on its way");
    needed(Play { open: false, ..WHOLE }, "nobody vouches while a change waits");
    needed(Play { waits: false, ..WHOLE }, "the leader waits for more than half");
}

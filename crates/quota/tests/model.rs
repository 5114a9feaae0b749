//! Two routers and one budget under a model checker: messages lost, doubled and out of order, a router that stands still at
//! any point as nothing has to happen, a leader deposed that does not know it, demand that comes and goes.

use std::hash::{Hash, Hasher};

use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{
    BudgetKey, BudgetLimit, Guards, Kind, Participant, Plan, Quota, QuotaGrant, QuotaRequest, UNIT,
};

const LINE: BudgetKey = BudgetKey { budget: 1, of: 0 };
const TICK_MS: u64 = 250;

fn whole() -> BudgetLimit {
    let floor = Quota { rate: UNIT, burst: UNIT };
    BudgetLimit { kind: Kind::Rate, quota: Quota::rate(100.0, 20.0), floor, routers: 2, lag: Span::ZERO }
}

fn at(tick: u64) -> Moment {
    Moment::at_micros(10_000_000 + tick * TICK_MS * 1000)
}

/// A router, compared by all that it holds.
#[derive(Clone, Debug)]
struct Router(Participant);

impl Router {
    fn all(&self) -> String {
        format!("{:?}", self.0)
    }
}

impl PartialEq for Router {
    fn eq(&self, other: &Self) -> bool {
        self.all() == other.all()
    }
}

impl Hash for Router {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.all().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    QuotaRequest(QuotaRequest),
    QuotaGrant(QuotaGrant),
}

#[derive(Clone, Debug, PartialEq)]
struct Fleet {
    now: u64,
    routers: [Router; 2],
    /// Who wants much.
    wants: [bool; 2],
    /// Who leads, and in which term.
    leader: usize,
    term: u64,
    /// The leader before it does not know that it is none any more.
    unaware: bool,
    /// Where to, and what.
    net: Vec<(usize, Message)>,
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.now, &self.routers, self.wants, self.leader, self.term, self.unaware).hash(hasher);
        format!("{:?}", self.net).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick,
    /// One beat of a router: it asks, or leads on.
    Beat(usize),
    Turn(usize),
    Deliver(usize),
    /// Delivered, and it will come once more.
    Double(usize),
    Lose(usize),
    Elect,
    Learn,
}

/// What is played, with all rules or without one.
struct Play(Guards);

impl Model for Play {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let router = |no: u64| {
            let terms = Timings {
                lease: Span::millis(1000),
                quorum_loss_grace: Span::secs(6.0),
                clock_bound: Span::millis(1),
                heartbeat_interval: Span::millis(250),
                drift_ppm: 0,
            };
            let mut participant = Participant::new(Incarnation(no), terms, self.0, 1);
            participant.plan(at(0), Plan { any: [(LINE.budget, whole())].into(), ..Plan::default() }, None);
            participant.floors(at(0), true);
            Router(participant)
        };
        let routers = [router(1), router(2)];
        vec![Fleet { now: 0, routers, wants: [true; 2], leader: 0, term: 1, unaware: false, net: Vec::new() }]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        acts.extend([Act::Tick, Act::Beat(0), Act::Beat(1), Act::Turn(0), Act::Turn(1)]);
        if fleet.unaware {
            acts.push(Act::Learn)
        } else {
            acts.push(Act::Elect)
        }
        let some = 0..fleet.net.len();
        acts.extend(some.flat_map(|nth| [Act::Deliver(nth), Act::Double(nth), Act::Lose(nth)]));
    }

    fn next_state(&self, fleet: &Fleet, act: Act) -> Option<Fleet> {
        let mut fleet = fleet.clone();
        let now = at(fleet.now);
        match act {
            Act::Tick => fleet.now += 1,
            Act::Turn(no) => fleet.wants[no] = !fleet.wants[no],
            Act::Elect => {
                (fleet.leader, fleet.term, fleet.unaware) = (1 - fleet.leader, fleet.term + 1, true);
            }
            Act::Learn => {
                fleet.unaware = false;
                fleet.routers[1 - fleet.leader].0.follows();
            }
            Act::Beat(no) => {
                let Router(participant) = &mut fleet.routers[no];
                (0..if fleet.wants[no] { 60 } else { 0 }).for_each(|_| participant.refused(now, &[LINE]));
                match no == fleet.leader {
                    // A majority has just confirmed it.
                    true => participant.leads(now, fleet.term, Some(now)),
                    // None confirms one that was deposed.
                    false if fleet.unaware => participant.leads(now, fleet.term - 1, None),
                    false => {
                        let want = participant.ask(now)?;
                        fleet.net.push((fleet.leader, Message::QuotaRequest(want)));
                    }
                }
            }
            Act::Deliver(nth) | Act::Double(nth) | Act::Lose(nth) => {
                let (to, message) = fleet.net[nth].clone();
                if !matches!(act, Act::Double(_)) {
                    fleet.net.remove(nth);
                }
                let Router(participant) = &mut fleet.routers[to];
                match message {
                    _ if matches!(act, Act::Lose(_)) => {}
                    Message::QuotaRequest(want) => {
                        let lend = participant.asked(now, Incarnation(2 - to as u64), want);
                        fleet.net.extend(lend.map(|lend| (1 - to, Message::QuotaGrant(lend))));
                    }
                    Message::QuotaGrant(lend) => participant.lent(now, lend),
                }
            }
        }
        Some(fleet).filter(|fleet| fleet.net.len() <= 3)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(OVER, |_, fleet: &Fleet| might(fleet).within(whole().quota))]
    }
}

const OVER: &str = "no more might be spent than the whole";

/// All that both might spend now.
fn might(fleet: &Fleet) -> Quota {
    let of = |Router(participant): &Router| {
        let shares = participant.clone().might_spend(at(fleet.now));
        shares.iter().fold(Quota::NONE, |sum, (_, quota)| sum.plus(*quota))
    };
    fleet.routers.iter().map(of).fold(Quota::NONE, Quota::plus)
}

fn walks(guards: Guards, seed: u64, states: usize) -> impl Checker<Play> {
    let checked = Play(guards).checker().threads(2).target_state_count(states).target_max_depth(80);
    checked.finish_when(HasDiscoveries::AnyOf([OVER].into())).spawn_simulation(seed, UniformChooser).join()
}

#[test]
fn no_more_might_be_spent_than_the_whole() {
    let all = Play(Guards::default()).checker().threads(2).target_max_depth(5).spawn_bfs().join();
    all.assert_no_discovery(OVER);
    walks(Guards::default(), 1, 60_000).assert_no_discovery(OVER);
}

/// Where these lead.
fn after(acts: &[Act]) -> Fleet {
    let play = Play(Guards::default());
    let first = play.init_states().remove(0);
    acts.iter().fold(first, |fleet, act| play.next_state(&fleet, act.clone()).expect("it is allowed"))
}

#[test]
fn the_model_lends_to_both() {
    use Act::*;
    let round = [Beat(0), Beat(1), Deliver(0), Deliver(0), Tick];
    let fleet = after(&[&round[..]; 12].concat());
    let Router(participant) = &fleet.routers[1];
    let quota = participant.clone().might_spend(at(fleet.now))[0].1;
    assert!(quota.rate > 40 * UNIT && might(&fleet).rate > 90 * UNIT, "{quota:?}");
}

/// What comes back before it is lent again is too rare for walks by chance: a story and simulated days have it.
#[test]
fn each_rule_is_needed() {
    let whole = Guards::default();
    let without = [
        ("lapse", Guards { lapse: false, ..whole }),
        ("epoch", Guards { epoch: false, ..whole }),
        ("wakes", Guards { wakes: false, ..whole }),
        ("floor", Guards { floor: false, ..whole }),
    ];
    for (name, guards) in without {
        let found = walks(guards, 7, 400_000).discovery(OVER).is_some();
        assert!(found, "without {name} nothing was found");
    }
}

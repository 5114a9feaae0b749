//! Two routers and one budget under a model checker: messages lost, doubled and out of order, a router that stands still at
//! any point as nothing has to happen, a leader deposed that does not know it, demand that comes and goes.

use std::hash::{Hash, Hasher};

use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Start, Terms};
use tindoor_quota::{Guards, Kind, Lend, Line, Party, Plan, Share, UNIT, Want, Whole};

const LINE: Line = Line { budget: 1, of: 0 };
const TICK_MS: u64 = 250;

fn whole() -> Whole {
    let floor = Share { flow: UNIT, stock: UNIT };
    Whole { kind: Kind::Rate, share: Share::rate(100.0, 20.0), floor, routers: 2, lag: Span::ZERO }
}

fn at(tick: u64) -> Moment {
    Moment::at_micros(10_000_000 + tick * TICK_MS * 1000)
}

/// A router, compared by all that it holds.
#[derive(Clone, Debug)]
struct Router(Party);

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
    Want(Want),
    Lend(Lend),
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
            let terms = Terms {
                lease: Span::millis(1000),
                hold_out: Span::secs(6.0),
                bound: Span::millis(1),
                beat: Span::millis(250),
                drift_ppm: 0,
            };
            let mut party = Party::new(Start(no), terms, self.0, 1);
            party.plan(at(0), Plan { any: [(LINE.budget, whole())].into(), ..Plan::default() }, None);
            party.floors(at(0), true);
            Router(party)
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
                let Router(party) = &mut fleet.routers[no];
                (0..if fleet.wants[no] { 60 } else { 0 }).for_each(|_| party.refused(now, &[LINE]));
                match no == fleet.leader {
                    // A majority has just confirmed it.
                    true => party.leads(now, fleet.term, Some(now)),
                    // None confirms one that was deposed.
                    false if fleet.unaware => party.leads(now, fleet.term - 1, None),
                    false => {
                        let want = party.ask(now)?;
                        fleet.net.push((fleet.leader, Message::Want(want)));
                    }
                }
            }
            Act::Deliver(nth) | Act::Double(nth) | Act::Lose(nth) => {
                let (to, message) = fleet.net[nth].clone();
                if !matches!(act, Act::Double(_)) {
                    fleet.net.remove(nth);
                }
                let Router(party) = &mut fleet.routers[to];
                match message {
                    _ if matches!(act, Act::Lose(_)) => {}
                    Message::Want(want) => {
                        let lend = party.asked(now, Start(2 - to as u64), want);
                        fleet.net.extend(lend.map(|lend| (1 - to, Message::Lend(lend))));
                    }
                    Message::Lend(lend) => party.lent(now, lend),
                }
            }
        }
        Some(fleet).filter(|fleet| fleet.net.len() <= 3)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(OVER, |_, fleet: &Fleet| might(fleet).within(whole().share))]
    }
}

const OVER: &str = "no more might be spent than the whole";

/// All that both might spend now.
fn might(fleet: &Fleet) -> Share {
    let of = |Router(party): &Router| {
        let shares = party.clone().might_spend(at(fleet.now));
        shares.iter().fold(Share::NONE, |sum, (_, share)| sum.plus(*share))
    };
    fleet.routers.iter().map(of).fold(Share::NONE, Share::plus)
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
    let Router(party) = &fleet.routers[1];
    let share = party.clone().might_spend(at(fleet.now))[0].1;
    assert!(share.flow > 40 * UNIT && might(&fleet).flow > 90 * UNIT, "{share:?}");
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

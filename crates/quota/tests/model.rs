//! Model checking of the division of one budget between two routers. Messages may be lost, duplicated and
//! reordered; a router may be suspended at any point; a deposed leader may not yet know that it was deposed;
//! and demand starts and stops.

use std::hash::{Hash, Hasher};

use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{
    BudgetKey, BudgetKind, BudgetLimit, BudgetPlan, Participant, Quota, QuotaGrant, QuotaRequest,
    SafetyChecks, UNIT,
};

const KEY: BudgetKey = BudgetKey { budget: 1, scope: 0 };
const TICK_MS: u64 = 250;

fn limit() -> BudgetLimit {
    let guaranteed = Quota { rate: UNIT, burst: UNIT };
    BudgetLimit {
        kind: BudgetKind::Rate,
        total: Quota::rate(100.0, 20.0),
        guaranteed,
        max_routers: 2,
        release_lag: Span::ZERO,
    }
}

fn at(tick: u64) -> Moment {
    Moment::at_micros(10_000_000 + tick * TICK_MS * 1000)
}

/// A router, compared and hashed by its whole state.
#[derive(Clone, Debug)]
struct Router(Participant);

impl Router {
    fn state(&self) -> String {
        format!("{:?}", self.0)
    }
}

impl PartialEq for Router {
    fn eq(&self, other: &Self) -> bool {
        self.state() == other.state()
    }
}

impl Hash for Router {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Message {
    QuotaRequest(QuotaRequest),
    QuotaGrant(QuotaGrant),
}

#[derive(Clone, Debug, PartialEq)]
struct Fleet {
    /// The current time, in ticks of [`TICK_MS`].
    now: u64,
    routers: [Router; 2],
    /// Whether each router has demand; if so, it is refused 60 units per heartbeat.
    demanding: [bool; 2],
    /// The index of the leading router.
    leader: usize,
    /// The leader's term.
    term: u64,
    /// Whether the deposed leader does not know yet that it was deposed.
    unaware: bool,
    /// Messages in flight, with the indices of their receivers.
    network: Vec<(usize, Message)>,
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.now, &self.routers, self.demanding, self.leader, self.term, self.unaware).hash(hasher);
        format!("{:?}", self.network).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    /// One heartbeat of a router. The leader is confirmed; the other router sends a request for quota.
    Heartbeat(usize),
    ToggleDemand(usize),
    Deliver(usize),
    /// Delivers a message and keeps a copy in flight.
    Duplicate(usize),
    Lose(usize),
    Elect,
    /// The deposed leader learns that it was deposed.
    LearnOfElection,
}

/// The model, with all safety checks or with one of them disabled.
struct Division(SafetyChecks);

impl Model for Division {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let router = |id: u64| {
            let timings = Timings {
                lease: Span::millis(1000),
                quorum_loss_grace: Span::secs(6.0),
                clock_bound: Span::millis(1),
                heartbeat_interval: Span::millis(250),
                drift_ppm: 0,
            };
            let mut participant = Participant::new(Incarnation(id), timings, self.0, 1);
            participant.set_plan(
                at(0),
                BudgetPlan { by_budget: [(KEY.budget, limit())].into(), ..BudgetPlan::default() },
                None,
            );
            participant.set_owns_guaranteed(at(0), true);
            Router(participant)
        };
        let routers = [router(1), router(2)];
        vec![Fleet {
            now: 0,
            routers,
            demanding: [true; 2],
            leader: 0,
            term: 1,
            unaware: false,
            network: Vec::new(),
        }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        steps.extend([
            Step::Tick,
            Step::Heartbeat(0),
            Step::Heartbeat(1),
            Step::ToggleDemand(0),
            Step::ToggleDemand(1),
        ]);
        if fleet.unaware {
            steps.push(Step::LearnOfElection);
        } else {
            steps.push(Step::Elect);
        }
        let messages = 0..fleet.network.len();
        steps.extend(
            messages.flat_map(|index| [Step::Deliver(index), Step::Duplicate(index), Step::Lose(index)]),
        );
    }

    fn next_state(&self, fleet: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = fleet.clone();
        let now = at(fleet.now);
        match step {
            Step::Tick => fleet.now += 1,
            Step::ToggleDemand(id) => fleet.demanding[id] = !fleet.demanding[id],
            Step::Elect => {
                (fleet.leader, fleet.term, fleet.unaware) = (1 - fleet.leader, fleet.term + 1, true);
            }
            Step::LearnOfElection => {
                fleet.unaware = false;
                fleet.routers[1 - fleet.leader].0.follow();
            }
            Step::Heartbeat(id) => {
                let Router(participant) = &mut fleet.routers[id];
                (0..if fleet.demanding[id] { 60 } else { 0 })
                    .for_each(|_| participant.record_refusal(now, &[KEY]));
                match id == fleet.leader {
                    // A majority has just confirmed this leader.
                    true => participant.lead(now, fleet.term, Some(now)),
                    // No majority confirms a deposed leader.
                    false if fleet.unaware => participant.lead(now, fleet.term - 1, None),
                    false => {
                        let request = participant.next_request(now)?;
                        fleet.network.push((fleet.leader, Message::QuotaRequest(request)));
                    }
                }
            }
            Step::Deliver(index) | Step::Duplicate(index) | Step::Lose(index) => {
                let (to, message) = fleet.network[index].clone();
                if !matches!(step, Step::Duplicate(_)) {
                    fleet.network.remove(index);
                }
                let Router(participant) = &mut fleet.routers[to];
                match message {
                    _ if matches!(step, Step::Lose(_)) => {}
                    Message::QuotaRequest(request) => {
                        let answer = participant.grant_request(now, Incarnation(2 - to as u64), request);
                        fleet.network.extend(answer.map(|answer| (1 - to, Message::QuotaGrant(answer))));
                    }
                    Message::QuotaGrant(answer) => participant.accept_grant(now, answer),
                }
            }
        }
        Some(fleet).filter(|fleet| fleet.network.len() <= 3)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(WITHIN_TOTAL, |_, fleet: &Fleet| {
            max_spendable_by_both(fleet).within(limit().total)
        })]
    }
}

const WITHIN_TOTAL: &str = "both routers together can't spend more than the total";

/// All quota that both routers together might still spend.
fn max_spendable_by_both(fleet: &Fleet) -> Quota {
    let of_router = |Router(participant): &Router| {
        let spendable = participant.clone().max_spendable(at(fleet.now));
        spendable.iter().fold(Quota::NONE, |sum, (_, quota)| sum.plus(*quota))
    };
    fleet.routers.iter().map(of_router).fold(Quota::NONE, Quota::plus)
}

fn random_walks(checks: SafetyChecks, seed: u64, states: usize) -> impl Checker<Division> {
    let checked = Division(checks).checker().threads(2).target_state_count(states).target_max_depth(80);
    checked
        .finish_when(HasDiscoveries::AnyOf([WITHIN_TOTAL].into()))
        .spawn_simulation(seed, UniformChooser)
        .join()
}

#[test]
fn both_routers_together_never_spend_more_than_the_total() {
    let all = Division(SafetyChecks::default()).checker().threads(2).target_max_depth(5).spawn_bfs().join();
    all.assert_no_discovery(WITHIN_TOTAL);
    random_walks(SafetyChecks::default(), 1, 60_000).assert_no_discovery(WITHIN_TOTAL);
}

/// The state after these steps, starting from the initial state.
fn state_after(steps: &[Step]) -> Fleet {
    let model = Division(SafetyChecks::default());
    let first = model.init_states().remove(0);
    steps
        .iter()
        .fold(first, |fleet, step| model.next_state(&fleet, step.clone()).expect("the step is possible"))
}

#[test]
fn the_model_grants_quota_to_both_routers() {
    use Step::*;
    let round = [Heartbeat(0), Heartbeat(1), Deliver(0), Deliver(0), Tick];
    let fleet = state_after(&[&round[..]; 12].concat());
    let Router(participant) = &fleet.routers[1];
    let quota = participant.clone().max_spendable(at(fleet.now))[0].1;
    assert!(quota.rate > 40 * UNIT && max_spendable_by_both(&fleet).rate > 90 * UNIT, "{quota:?}");
}

/// Disabling a safety check leads to a violation of the total. `count_until_returned` is not tested here,
/// because the violation is too rare for random walks; `tests/division.rs` and simulated days cover it.
#[test]
fn each_safety_check_is_needed() {
    let all = SafetyChecks::default();
    let without = [
        ("count_until_expired", SafetyChecks { count_until_expired: false, ..all }),
        ("wait_for_predecessor", SafetyChecks { wait_for_predecessor: false, ..all }),
        ("stop_at_expiry", SafetyChecks { stop_at_expiry: false, ..all }),
        ("reserve_guaranteed", SafetyChecks { reserve_guaranteed: false, ..all }),
    ];
    for (name, checks) in without {
        let found = random_walks(checks, 7, 400_000).discovery(WITHIN_TOTAL).is_some();
        assert!(found, "disabling {name} must lead to a violation of the total, but none was found");
    }
}

//! Tests of single nodes: admission of members, quota grants, objections that make a router unavailable, and
//! status requests of a router without a fleet.

use tindoor::time::{Moment, Span};
use tindoor_consensus::{
    Action, Command, Envelope, Limits, LocalIdentity, Message, Node, NodeConfig, Objection, SafetyChecks,
    UnavailableReason,
};
use tindoor_membership::{Incarnation, Member, Timings};
use tindoor_policy::Policy;
use tindoor_policy::budgets::Budget;
use tindoor_quota::{KeyDemand, Quota, QuotaGrant, QuotaRequest};

fn timings() -> Timings {
    Timings {
        lease: Span::millis(1000),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    }
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(10_000_000 + ms * 1000)
}

fn start_node(number: u64, replica_id: Option<u64>, seeds: &[&str]) -> Node {
    let identity = LocalIdentity {
        incarnation: Incarnation(number),
        name: format!("n{}", number - 1),
        address: format!("a{}", number - 1),
        location: 0,
        replica_id,
        predecessor: None,
    };
    let config = NodeConfig {
        fleet: "f".into(),
        identity,
        timings: timings(),
        limits: Limits::default(),
        checks: SafetyChecks::default(),
        seeds: seeds.iter().map(ToString::to_string).collect(),
        stored: None,
        random_seed: 7,
    };
    Node::start(config, at(0)).unwrap()
}

/// The only member of a fleet, with the messages that it has sent.
struct SingleMember {
    node: Node,
    /// The current time, in milliseconds after the start.
    now_ms: u64,
    /// Sent messages, with the addresses of their recipients.
    sent: Vec<(String, Message)>,
}

impl SingleMember {
    /// Bootstraps a fleet whose policy allows `max_members` members.
    fn bootstrap(max_members: f64) -> Self {
        let mut single = Self { node: start_node(1, Some(1), &[]), now_ms: 0, sent: Vec::new() };
        let keys = [
            ("budget.routers_most", max_members),
            ("budget.origin_fills.per_s", 100.0),
            ("budget.origin_fills.burst", 40.0),
        ];
        let policy = Policy::default().with(keys.map(|(key, number)| (key.to_string(), number)));
        single.node.bootstrap(at(0), policy).unwrap();
        single
    }

    /// Bootstraps a fleet and runs it until the member has been the leader for a while and accepts requests.
    fn ready(max_members: f64) -> Self {
        let mut single = Self::bootstrap(max_members);
        single.run_for(3000);
        assert!(single.node.is_leader() && single.node.active_policy(at(3000)).is_ok());
        single
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 20;
            self.node.tick(at(self.now_ms));
            self.handle_actions();
        }
    }

    /// Performs all actions. Writes complete immediately, and there are no objections to any policy.
    fn handle_actions(&mut self) {
        while !self.node.is_quiet() {
            for action in self.node.take_actions() {
                match action {
                    Action::Write(write) => self.node.write_completed(at(self.now_ms), write.number),
                    Action::CheckPolicy(version) => {
                        self.node.policy_checked(at(self.now_ms), version.generation, None);
                    }
                    Action::Send { address, envelope } => self.sent.push((address, envelope.message)),
                    Action::Transition(_) | Action::LeadershipChanged(_) => {}
                }
            }
        }
    }

    fn receive(&mut self, sender: u64, sender_address: &str, message: Message) {
        let (fleet, sender_address) = ("f".to_string(), sender_address.to_string());
        let envelope = Envelope { fleet, sender: Incarnation(sender), sender_address, message };
        self.node.receive(at(self.now_ms), envelope);
        self.handle_actions();
    }

    fn join(&mut self, incarnation: u64, name: &str) {
        let address = format!("a{incarnation}");
        let member = Member { name: name.into(), address: address.clone(), replica_id: None, location: 0 };
        let command = Command::Join { incarnation: Incarnation(incarnation), member, predecessor: None };
        self.receive(incarnation, &address, Message::Command { hops: 0, command });
        self.run_for(500);
    }

    /// Returns the quota that is granted to a process that demands the whole budget. `None` if none is
    /// granted.
    fn grant(&mut self, requester: u64, address: &str, nonce: u64) -> Option<Quota> {
        self.sent.clear();
        let key = Budget::OriginFills.key(0);
        let whole_budget = Quota::rate(100.0, 40.0);
        let key_demands =
            vec![KeyDemand { key, demand: whole_budget, weight: 1, holdings: Quota::NONE, lender_term: 0 }];
        self.receive(requester, address, Message::QuotaRequest(QuotaRequest { nonce, demands: key_demands }));
        let granted = self.sent.iter().find_map(|(_, message)| match message {
            Message::QuotaGrant(QuotaGrant { grants, .. }) => Some(grants[0].quota),
            _ => None,
        });
        granted.filter(|quota| *quota != Quota::NONE)
    }

    fn members(&self) -> Vec<(u64, String)> {
        let members = self.node.agreed().members.members().iter();
        members.map(|(incarnation, member)| (incarnation.0, member.name.clone())).collect()
    }
}

#[test]
fn a_process_that_is_not_a_member_is_granted_no_quota_and_reserves_none() {
    let mut single = SingleMember::ready(4.0);
    single.join(2, "n1");
    assert_eq!(single.grant(9, "a2", 1), None, "an earlier process at the address of a member");
    let granted = single.grant(2, "a2", 1).expect("a member is granted quota");
    assert!(granted.rate > 80_000, "all but the guaranteed minimums, as no other demands any: {granted:?}");
}

#[test]
fn the_guaranteed_minimums_limit_the_number_of_members_but_a_member_may_restart() {
    let mut single = SingleMember::ready(2.0);
    single.join(2, "n1");
    single.join(3, "n2");
    assert_eq!(single.members(), [(1, "n0".into()), (2, "n1".into())]);
    single.join(4, "n1");
    assert_eq!(single.members(), [(1, "n0".into()), (4, "n1".into())]);
}

#[test]
fn a_process_has_no_guaranteed_minimum_while_its_predecessor_may_still_spend_it() {
    let mut single = SingleMember::bootstrap(4.0);
    let key = Budget::OriginFills.key(0);
    let mut waiting_steps = 0;
    loop {
        single.run_for(20);
        let now = at(single.now_ms);
        let is_available = single.node.active_policy(now).is_ok();
        single.node.quota().record_refusal(now, &[key]);
        let spendable = single.node.quota().max_spendable(now);
        let spendable = spendable.iter().find(|known| known.0 == key).map_or(Quota::NONE, |known| known.1);
        if spendable != Quota::NONE {
            break;
        }
        waiting_steps += u64::from(is_available);
        assert!(single.now_ms < 10_000, "no guaranteed minimum within 10 s");
    }
    assert!(waiting_steps * 20 >= 1000, "minimum only {} ms after accepting requests", waiting_steps * 20);
}

/// Guards against a router that becomes unavailable because of a temporary objection. In a fleet of five
/// processes with all faults injected, a router with two requests in flight first learned of a policy that
/// allows one after the policy was decided. The router then stayed unavailable for as long as that policy was
/// in force.
#[test]
fn only_a_permanent_objection_makes_a_router_unavailable() {
    let mut single = SingleMember::ready(4.0);
    let now = at(single.now_ms);
    let objection = |permanent| Some(Objection { reason: "two requests are in flight".into(), permanent });
    single.node.policy_checked(now, 1, objection(false));
    assert!(single.node.active_policy(now).is_ok());
    single.node.policy_checked(now, 1, objection(true));
    assert_eq!(single.node.active_policy(now).err(), Some(UnavailableReason::PolicyNotApplicable));
}

/// Guards against seeds that never find their fleet again. In a simulation, all seeds had restarted at once
/// and sent status requests only to each other, while the rest of the fleet sent requests to them.
#[test]
fn a_router_without_a_fleet_requests_status_from_a_requester_that_has_one() {
    let mut node = start_node(2, None, &["a2"]);
    let status_requests = |node: &mut Node, fleet| {
        let message = Message::StatusRequest { nonce: 1, fleet, index: 9, wants_peer_confirmations: false };
        let (sender, sender_address) = (Incarnation(3), "a3".to_string());
        node.receive(at(1), Envelope { fleet: "f".into(), sender, sender_address, message });
        let is_request = |action: &Action| {
            matches!(action, Action::Send { address, envelope }
                if address == "a3" && matches!(envelope.message, Message::StatusRequest { .. }))
        };
        node.take_actions().into_iter().filter(is_request).count()
    };
    assert_eq!(status_requests(&mut node, 0), 0, "a requester without a fleet is not asked");
    assert_eq!(status_requests(&mut node, 77), 1);
}

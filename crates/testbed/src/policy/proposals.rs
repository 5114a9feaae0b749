//! Proposes policy changes. Depending on the faults, some are derived from an old generation, some must be
//! rejected by routers, and some make requests fail.

use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::version::PolicyVersion;
use crate::cluster::{Cluster, isolate};

/// The interval at which the outcomes of proposals are polled.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The pause before another router is chosen if the chosen one cannot be stranded.
const STRAND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A policy change, as recorded by its proposer.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The proposed version.
    pub version: PolicyVersion,
    /// When it was proposed.
    pub proposed_at: Instant,
    /// The token that identifies the proposal.
    token: u64,
    /// Whether the outcome is known.
    has_ended: bool,
}

/// The effect of a proposal, besides setting its version.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Harmless,
    /// At least one router must reject the proposal, because more requests are in flight there than the
    /// proposal allows.
    Rejected,
    /// Requests of one location fail while the version is in force.
    FailsRequests,
}

/// Proposes changes until the plan's time is over.
pub struct Proposer<'a> {
    cluster: &'a Cluster,
    random: Pcg64Mcg,
    end: Instant,
    proposals: Vec<Proposal>,
    /// The first generation that was observed in force.
    oldest_generation: Option<u64>,
}

impl<'a> Proposer<'a> {
    /// Creates a proposer that proposes changes for the plan's time from now on.
    pub fn new(cluster: &'a Cluster) -> Self {
        Self {
            cluster,
            random: Pcg64Mcg::seed_from_u64(cluster.plan.seed ^ 0x0090_11c7),
            end: Instant::now() + Duration::from_secs(cluster.plan.seconds),
            proposals: Vec::new(),
            oldest_generation: None,
        }
    }

    /// Proposes changes until the time is over. Returns the changes that routers accepted as proposals.
    pub fn run(mut self) -> Vec<Proposal> {
        while Instant::now() < self.end {
            let stranded = self.maybe_strand_router();
            self.propose_round(stranded);
            self.await_next_round(stranded.is_some());
            if stranded.is_some() {
                self.cluster.relay.change_faults(|faults| faults.severed.clear());
            }
        }
        self.proposals
    }

    /// Isolates a router if the fault `strand` is injected, and returns its index. If other faults are
    /// injected as well, this is done only in some rounds, because it waits until a change is possible.
    fn maybe_strand_router(&mut self) -> Option<usize> {
        let cluster = self.cluster;
        let strands =
            cluster.has_fault("strand") && (cluster.faults.len() == 1 || self.random.random_bool(0.3));
        if strands { self.strand_router() } else { None }
    }

    /// Waits until no change is pending or on probation, isolates a router that is not the leader, and
    /// returns its index. Returns `None` if the time is over before that.
    fn strand_router(&mut self) -> Option<usize> {
        while Instant::now() < self.end {
            let router = self.random.random_range(0..self.cluster.nodes.len());
            let status = self.cluster.control(router, &json!("status")).unwrap_or_default();
            let leader = &status["leader"];
            let can_change = status["under_way"].is_null() && status["on_probation"].is_null();
            if can_change && leader.is_string() && *leader != json!(self.cluster.peer_address(router)) {
                isolate(self.cluster, router);
                return Some(router);
            }
            thread::sleep(STRAND_RETRY_INTERVAL);
        }
        None
    }

    /// Proposes one change, or two competing changes if the fault `proposers` is injected. Competing changes
    /// are sometimes derived from a generation that is no longer in force.
    fn propose_round(&mut self, stranded: Option<usize>) {
        let competes = self.cluster.has_fault("proposers");
        let proposers = if competes { 2 } else { 1 };
        let mut base_generation = self.oldest_generation.filter(|_| competes && self.random.random_bool(0.4));
        for _ in 0..proposers {
            let router = self.draw_router(stranded);
            let policy = self.cluster.control(router, &json!("policy"));
            let in_force = policy.and_then(|policy| policy["generation"].as_u64());
            base_generation = base_generation.or(in_force);
            self.oldest_generation = self.oldest_generation.or(in_force);
            self.propose(router, base_generation);
        }
    }

    /// Draws the router at which to propose a change; never the stranded router.
    fn draw_router(&mut self, stranded: Option<usize>) -> usize {
        let routers = self.cluster.nodes.len();
        (self.random.random_range(1..routers.max(2)) + stranded.unwrap_or(0)) % routers
    }

    fn propose(&mut self, router: usize, base_generation: Option<u64>) {
        let version = PolicyVersion::proposed_after(self.proposals.len());
        let effect = self.draw_effect();
        let proposal = json!({"propose": {
            "changes": changes(version, effect),
            "from": base_generation,
            "by": format!("lab-{router}"),
            "note": version.number().to_string(),
        }});
        let proposed_at = Instant::now();
        let answer = self.cluster.control(router, &proposal);
        let Some(token) = answer.and_then(|answer| answer["token"].as_u64()) else { return };
        if effect == Effect::FailsRequests {
            self.cluster.fleet.lock().unwrap().fail_attempts(version.fresh_ms(), "1");
        }
        self.proposals.push(Proposal { version, proposed_at, token, has_ended: false });
    }

    fn draw_effect(&mut self) -> Effect {
        if !self.cluster.has_fault("badchange") {
            return Effect::Harmless;
        }
        if self.random.random_bool(0.2) {
            return Effect::Rejected;
        }
        if self.random.random_bool(0.25) {
            return Effect::FailsRequests;
        }
        Effect::Harmless
    }

    /// Polls outcomes until the next round. If a router is stranded, waits for longer than its lease.
    fn await_next_round(&mut self, has_stranded: bool) {
        let mut next = Instant::now() + Duration::from_millis(self.random.random_range(1500..4500));
        if has_stranded {
            next = next.max(Instant::now() + Duration::from_millis(3 * self.cluster.plan.lease));
        }
        while Instant::now() < next.min(self.end) {
            self.poll_outcomes();
            thread::sleep(OUTCOME_POLL_INTERVAL);
        }
    }

    /// Queries the outcomes of the proposals that are not known to have ended.
    fn poll_outcomes(&mut self) {
        let cluster = self.cluster;
        let Some(router) = (0..cluster.nodes.len()).find(|router| cluster.is_running(*router)) else {
            return;
        };
        for proposal in self.proposals.iter_mut().filter(|proposal| !proposal.has_ended) {
            let outcome = cluster.control(router, &json!({"end": {"token": proposal.token}}));
            proposal.has_ended = outcome.is_some_and(|outcome| !outcome.is_null());
        }
    }
}

/// Returns the settings that a proposal changes.
fn changes(version: PolicyVersion, effect: Effect) -> Value {
    let mut changes = json!({
        "offering.pages.fresh_ms": version.fresh_ms(),
        "longest_come_back_ms": version.max_retry_after_ms(),
    });
    if effect == Effect::Rejected {
        changes["limit.open_views"] = json!(1);
    }
    changes
}

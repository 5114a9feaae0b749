//! Lowers and raises the fill rate, and determines which rate was in force at a time.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::BUDGET_GENERATION;
use crate::cluster::Cluster;

/// The interval at which the rate changer checks what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two proposals of a fill rate.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2500);

/// A proposed fill rate.
#[derive(Clone, Copy, Debug)]
pub struct RateChange {
    /// Fills per second.
    per_second: f64,
    proposed_at: Instant,
    /// When the change was first known to be activated. `None` if its activation is not known.
    activated_at: Option<Instant>,
}

impl RateChange {
    /// Returns the time from which on the audit applies this rate. A rate lower than the previous one applies
    /// from when it was known to be activated, a higher rate from when it was proposed.
    fn applies_from(&self, previous_per_second: f64) -> Option<Instant> {
        if self.per_second < previous_per_second { self.activated_at } else { Some(self.proposed_at) }
    }
}

/// Proposes policy changes at a router, with a number as the note of the proposal. Returns the token of the
/// proposal, or `None` if the router did not accept it.
pub fn propose(cluster: &Cluster, router: usize, number: usize, changes: &Value) -> Option<u64> {
    let proposal =
        json!({"propose": {"changes": changes, "from": null, "by": "lab", "note": number.to_string()}});
    cluster.control(router, &proposal)?["token"].as_u64()
}

/// A change whose outcome is not known yet.
struct PendingChange {
    /// The position among all changes, which is the note of the proposal.
    number: usize,
    token: u64,
}

/// While faults are injected, proposes fill rates if the plan has the fault `lower`, and starts another
/// router if it has the fault `join`.
pub struct RateChanger<'a> {
    cluster: &'a Cluster,
    started_at: Instant,
    /// All changes; the first one is the initial rate.
    changes: Vec<RateChange>,
    pending: Vec<PendingChange>,
    next_change: Instant,
    has_joined: bool,
}

impl<'a> RateChanger<'a> {
    /// Creates a rate changer for a run that started at `started_at`.
    pub fn new(cluster: &'a Cluster, started_at: Instant) -> Self {
        let per_second = cluster.plan.fills[0];
        let initial = RateChange { per_second, proposed_at: started_at, activated_at: Some(started_at) };
        Self {
            cluster,
            started_at,
            changes: vec![initial],
            pending: Vec::new(),
            next_change: started_at,
            has_joined: false,
        }
    }

    /// Proposes rates until the plan's time is over. Returns all rates, starting with the initial rate.
    pub fn run(mut self) -> Vec<RateChange> {
        let length = Duration::from_secs(self.cluster.plan.seconds);
        let end = self.started_at + length;
        while Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
            self.cluster.find_leader();
            if self.cluster.has_fault("join") && self.started_at.elapsed() * 3 > length {
                self.join_last_router();
            }
            let Some(router) = self.running_router() else { continue };
            self.poll_outcomes(router);
            if self.cluster.has_fault("lower") && Instant::now() >= self.next_change {
                self.propose_rate(router);
            }
        }
        self.changes
    }

    fn running_router(&self) -> Option<usize> {
        (0..self.cluster.nodes.len()).find(|router| self.cluster.is_running(*router))
    }

    /// Starts the last router once, unless it is running already.
    fn join_last_router(&mut self) {
        let last = self.cluster.nodes.len() - 1;
        if !self.has_joined && !self.cluster.is_running(last) {
            self.cluster.start_node(last, None);
        }
        self.has_joined = true;
    }

    /// Proposes half of the plan's rate and the plan's full rate in turn.
    fn propose_rate(&mut self, router: usize) {
        let (number, proposed_at) = (self.changes.len(), Instant::now());
        let planned = self.cluster.plan.fills[0];
        let per_second = if number % 2 == 1 { planned / 2.0 } else { planned };
        let changes = json!({"budget.origin_fills.per_s": per_second});
        let Some(token) = propose(self.cluster, router, number, &changes) else { return };
        self.changes.push(RateChange { per_second, proposed_at, activated_at: None });
        self.pending.push(PendingChange { number, token });
        self.next_change = proposed_at + CHANGE_INTERVAL;
    }

    /// Queries a router for the outcomes of the pending changes.
    fn poll_outcomes(&mut self, router: usize) {
        let (cluster, changes) = (self.cluster, &mut self.changes);
        self.pending.retain(|pending| {
            let answer = cluster.control(router, &json!({"end": {"token": pending.token}}));
            let Some(outcome) = answer.filter(|outcome| !outcome.is_null()) else { return true };
            let is_activated = outcome["end"] == json!("TookHold");
            changes[pending.number].activated_at = is_activated.then(Instant::now);
            false
        });
    }
}

/// The rates that were activated, in order.
pub struct RateHistory {
    /// The activated rates; the first one is the initial rate.
    activated: Vec<RateChange>,
}

impl RateHistory {
    /// Fetches the histories of all routers, and returns which of the proposed changes were activated
    /// according to the longest history.
    pub fn fetch(cluster: &Cluster, changes: &[RateChange]) -> Self {
        let histories =
            (0..cluster.nodes.len()).filter_map(|router| cluster.control(router, &json!("history")));
        let longest = histories.max_by_key(|history| history.as_array().map_or(0, Vec::len));
        let mut history = Self { activated: vec![changes[0]] };
        for proposal in longest.unwrap_or_default().as_array().into_iter().flatten() {
            let is_rate_change = proposal["generation"].as_u64() > Some(BUDGET_GENERATION);
            if proposal["end"] == json!("TookHold") && is_rate_change {
                history.add(proposal, changes);
            }
        }
        history
    }

    fn add(&mut self, proposal: &Value, changes: &[RateChange]) {
        let number = proposal["note"].as_str().and_then(|note| note.parse::<usize>().ok());
        let change = number.and_then(|number| changes.get(number)).copied();
        self.activated.push(change.unwrap_or_else(|| self.revert_change()));
    }

    /// Returns the change that a revert makes, whose proposal has no number: it restores the rate before the
    /// last one. The restored rate applies from when it was originally proposed.
    fn revert_change(&self) -> RateChange {
        let previous = self.activated.len().saturating_sub(2);
        RateChange { activated_at: None, ..self.activated[previous] }
    }

    /// Returns the number of rates that were activated after the initial one.
    pub fn change_count(&self) -> usize {
        self.activated.len() - 1
    }

    /// Returns the rate that the audit applies at a time, in fills per second.
    pub fn at(&self, time: Instant) -> f64 {
        let mut per_second = self.activated[0].per_second;
        for pair in self.activated.windows(2) {
            let applies_from = pair[1].applies_from(pair[0].per_second);
            if applies_from.is_some_and(|from| time >= from) {
                per_second = pair[1].per_second;
            }
        }
        per_second
    }
}

//! Lowers and raises the rate of fills, and says which rate was in force when.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::BUDGET_GENERATION;
use crate::cluster::Cluster;

/// How often the experiment looks for what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long after a proposed rate the next one is proposed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2500);

/// A rate of fills that was proposed.
#[derive(Clone, Copy, Debug)]
pub struct RateChange {
    per_second: f64,
    proposed_at: Instant,
    /// When it was known to be activated.
    activated_at: Option<Instant>,
}

impl RateChange {
    /// From when on it counts, after the rate before. A lower rate counts from when it was known to be
    /// activated, a higher one from when it was proposed.
    fn counts_from(&self, former_per_second: f64) -> Option<Instant> {
        if self.per_second < former_per_second { self.activated_at } else { Some(self.proposed_at) }
    }
}

/// Proposes policy changes at a router, with a number as their note; returns the proposal's token.
pub fn propose(cluster: &Cluster, router: usize, number: usize, changes: &Value) -> Option<u64> {
    let proposal =
        json!({"propose": {"changes": changes, "from": null, "by": "lab", "note": number.to_string()}});
    cluster.control(router, &proposal)?["token"].as_u64()
}

/// A change whose outcome is not known yet.
struct PendingChange {
    /// Its position among all changes, which is its proposal's note.
    number: usize,
    token: u64,
}

/// While faults are injected: proposes rates, and starts a further router, where the plan has these faults.
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
    /// A changer for a run that started then.
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

    /// Proposes rates until the plan's time is over; returns all of them, from the initial one on.
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

    /// Starts the last router, once, unless it runs already.
    fn join_last_router(&mut self) {
        let last = self.cluster.nodes.len() - 1;
        if !self.has_joined && !self.cluster.is_running(last) {
            self.cluster.start_node(last, None);
        }
        self.has_joined = true;
    }

    /// Proposes half of the plan's rate and the whole of it in turn.
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

    /// Asks a router which of the pending changes have ended, and how.
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
    /// The activated ones of the proposed changes, as the longest history that a router states has them.
    pub fn ask(cluster: &Cluster, changes: &[RateChange]) -> Self {
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
        self.activated.push(change.unwrap_or_else(|| self.reverted()));
    }

    /// The change that a revert makes, which has no number: the rate before the last one is in force again.
    /// It counts from when that rate was proposed.
    fn reverted(&self) -> RateChange {
        let previous = self.activated.len().saturating_sub(2);
        RateChange { activated_at: None, ..self.activated[previous] }
    }

    /// How many rates were activated after the initial one.
    pub fn changes(&self) -> usize {
        self.activated.len() - 1
    }

    /// The rate that counts at that time.
    pub fn at(&self, time: Instant) -> f64 {
        let mut per_second = self.activated[0].per_second;
        for pair in self.activated.windows(2) {
            let counts_from = pair[1].counts_from(pair[0].per_second);
            if counts_from.is_some_and(|from| time >= from) {
                per_second = pair[1].per_second;
            }
        }
        per_second
    }
}

//! Reconstructs the order in which policy versions were activated, and when each was first observed.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::observations::Observation;
use super::version::PolicyVersion;
use crate::cluster::Cluster;

/// The proposals of a run, according to the history that the fleet reports.
pub struct ProposalHistory {
    /// The versions in the order of their activation, starting with the initial version.
    pub activated: Vec<PolicyVersion>,
    /// Proposals that were rejected or cancelled.
    pub rejected: u64,
    /// Activated proposals that reverted another one.
    pub reverted: u64,
    /// Activated proposals that were derived from a generation that was no longer in force. They overwrote
    /// changes that their proposer had not seen.
    pub overwritten: u64,
    /// The generation of the last activated proposal.
    generation: u64,
}

impl ProposalHistory {
    /// Fetches the histories of all routers and keeps the longest one.
    pub fn fetch(cluster: &Cluster) -> Self {
        let histories =
            (0..cluster.nodes.len()).filter_map(|router| cluster.control(router, &json!("history")));
        let longest = histories.max_by_key(|history| history.as_array().map_or(0, Vec::len));
        let mut history = Self {
            activated: vec![PolicyVersion::INITIAL],
            rejected: 0,
            reverted: 0,
            overwritten: 0,
            generation: 1,
        };
        for proposal in longest.unwrap_or_default().as_array().into_iter().flatten() {
            history.add(proposal);
        }
        history
    }

    fn add(&mut self, proposal: &Value) {
        let outcome = &proposal["end"];
        self.rejected += u64::from(outcome.get("Refused").is_some());
        self.rejected += u64::from(outcome.get("CalledOff").is_some());
        if *outcome == json!("TookHold") {
            self.add_activated(proposal);
        }
    }

    fn add_activated(&mut self, proposal: &Value) {
        self.overwritten += u64::from(proposal["made_from"].as_u64() != Some(self.generation));
        self.generation = proposal["generation"].as_u64().unwrap_or(self.generation);
        self.reverted += u64::from(!proposal["undoes"].is_null());
        let version = proposal["note"].as_str().and_then(PolicyVersion::parse);
        self.activated.push(version.unwrap_or_else(|| self.previous()));
    }

    /// Returns the version before the last one, which a revert restores.
    fn previous(&self) -> PolicyVersion {
        self.activated.iter().rev().nth(1).copied().unwrap_or(PolicyVersion::INITIAL)
    }

    /// Determines when each activation was first observed, and returns the timeline.
    pub fn into_timeline(self, observations: &[Observation], clock_tolerance: Duration) -> Timeline {
        let mut first_seen = vec![None; self.activated.len()];
        for position in 1..self.activated.len() {
            let window = ObservationWindow::of(&self.activated, &first_seen, position, clock_tolerance);
            let fitting = observations.iter().filter(|observation| window.contains(observation));
            first_seen[position] = fitting.map(|observation| observation.seen_at).min();
        }
        Timeline { activated: self.activated, first_seen, clock_tolerance }
    }
}

/// Selects the observations that can belong to one particular activation of a version. The same version may
/// have been in force before.
struct ObservationWindow {
    version: PolicyVersion,
    /// The time by which the earlier activation had been replaced: only requests that were sent later belong
    /// to this activation. `None` if the version was not in force before, or if its replacement was not
    /// observed.
    sent_after: Option<Instant>,
    /// The time by which all earlier activations had been observed: only later observations belong to this
    /// activation. `None` if the version was not in force before.
    seen_after: Option<Instant>,
}

impl ObservationWindow {
    fn of(
        activated: &[PolicyVersion],
        first_seen: &[Option<Instant>],
        position: usize,
        clock_tolerance: Duration,
    ) -> Self {
        let version = activated[position];
        let before = activated[..position].iter().rposition(|earlier| *earlier == version);
        let replaced_at =
            before.and_then(|before| first_seen[before + 1..position].iter().flatten().min().copied());
        let last_seen = first_seen[..position].iter().flatten().max().copied();
        Self {
            version,
            sent_after: replaced_at.map(|at| at + clock_tolerance),
            seen_after: last_seen.filter(|_| before.is_some()),
        }
    }

    fn contains(&self, observation: &Observation) -> bool {
        observation.version == self.version
            && self.sent_after.is_none_or(|earliest| observation.sent_at > earliest)
            && self.seen_after.is_none_or(|earliest| observation.seen_at > earliest)
    }
}

/// The activations of a run in order, and when each was first observed.
pub struct Timeline {
    /// The activated versions, starting with the initial version.
    pub activated: Vec<PolicyVersion>,
    /// When each activation was first observed. `None` for the initial version, and for activations that were
    /// never observed.
    pub first_seen: Vec<Option<Instant>>,
    /// The maximum difference between the clocks of two routers.
    clock_tolerance: Duration,
}

impl Timeline {
    /// Returns the positions in the timeline at which a version was activated.
    pub fn positions_of(&self, version: PolicyVersion) -> impl Iterator<Item = usize> {
        let activated = self.activated.iter().enumerate();
        activated.filter(move |(_, activated)| **activated == version).map(|(position, _)| position)
    }

    /// Returns whether an observed request can have been decided by the version activated at this position.
    pub fn fits(&self, position: usize, observation: &Observation) -> bool {
        let has_begun = self.first_seen[position].is_none_or(|first| observation.seen_at >= first);
        has_begun && self.ended_by(position).is_none_or(|end| observation.sent_at <= end)
    }

    /// Returns the time by which every router must have replaced the version activated at this position.
    /// `None` if no later activation was observed.
    pub fn ended_by(&self, position: usize) -> Option<Instant> {
        let replaced_at = self.first_seen[position + 1..].iter().flatten().min();
        replaced_at.map(|at| *at + self.clock_tolerance)
    }

    /// Returns when the first activation of a version was first observed.
    pub fn first_activation_of(&self, version: PolicyVersion) -> Option<Instant> {
        self.positions_of(version).next().and_then(|position| self.first_seen[position])
    }

    /// Returns the longest time from the first observation of a version that was later reverted to the first
    /// observation of the restored version.
    pub fn longest_revert(&self) -> Option<Duration> {
        let is_revert = |position: &usize| {
            let version = self.activated[*position];
            version == self.activated[*position - 2] && version != self.activated[*position - 1]
        };
        let reverts = (2..self.activated.len()).filter(is_revert);
        reverts.filter_map(|revert| Some(self.first_seen[revert]? - self.first_seen[revert - 1]?)).max()
    }
}

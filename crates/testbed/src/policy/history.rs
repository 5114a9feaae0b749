//! In which order versions were activated, and when each first showed.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::sightings::Sighting;
use super::version::PolicyVersion;
use crate::cluster::Cluster;

/// The proposals of a run, as the fleet's own history has them.
pub struct ProposalHistory {
    /// The versions in the order of their activation, from the initial one on.
    pub activated: Vec<PolicyVersion>,
    /// Proposals that were rejected or cancelled.
    pub rejected: u64,
    /// Activated proposals that reverted another.
    pub reverted: u64,
    /// Activated proposals that were derived from a generation no longer in force: they overwrote what their
    /// proposer never saw.
    pub overwritten: u64,
    generation: u64,
}

impl ProposalHistory {
    /// The longest history that a router states.
    pub fn ask(cluster: &Cluster) -> Self {
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

    /// The version before the last one, which a revert puts in force again.
    fn previous(&self) -> PolicyVersion {
        self.activated.iter().rev().nth(1).copied().unwrap_or(PolicyVersion::INITIAL)
    }

    /// When each version first showed.
    pub fn first_seen(self, sightings: &[Sighting], clock_tolerance: Duration) -> Timeline {
        let mut first_seen = vec![None; self.activated.len()];
        for position in 1..self.activated.len() {
            let window = SightingWindow::of(&self.activated, &first_seen, position, clock_tolerance);
            let fitting = sightings.iter().filter(|sighting| window.contains(sighting));
            first_seen[position] = fitting.map(|sighting| sighting.seen_at).min();
        }
        Timeline { activated: self.activated, first_seen, clock_tolerance }
    }
}

/// Which sightings can be of one activation of a version, which may have been in force before.
struct SightingWindow {
    version: PolicyVersion,
    /// If it was in force before, it was replaced by then: only what was sent later counts.
    sent_after: Option<Instant>,
    /// If it was in force before, all activations since were seen by then.
    seen_after: Option<Instant>,
}

impl SightingWindow {
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

    fn contains(&self, sighting: &Sighting) -> bool {
        sighting.version == self.version
            && self.sent_after.is_none_or(|earliest| sighting.sent_at > earliest)
            && self.seen_after.is_none_or(|earliest| sighting.seen_at > earliest)
    }
}

/// The activations of a run, in order, with when each was first seen.
pub struct Timeline {
    /// The activated versions, from the initial one on.
    pub activated: Vec<PolicyVersion>,
    /// When each first showed; none for the initial one, and for one that no request showed.
    pub first_seen: Vec<Option<Instant>>,
    clock_tolerance: Duration,
}

impl Timeline {
    /// The positions at which a version was activated.
    pub fn positions_of(&self, version: PolicyVersion) -> impl Iterator<Item = usize> {
        let activated = self.activated.iter().enumerate();
        activated.filter(move |(_, of)| **of == version).map(|(position, _)| position)
    }

    /// Whether a request may have been decided by the version activated at this position.
    pub fn fits(&self, position: usize, sighting: &Sighting) -> bool {
        let has_begun = self.first_seen[position].is_none_or(|first| sighting.seen_at >= first);
        has_begun && self.ended_by(position).is_none_or(|end| sighting.sent_at <= end)
    }

    /// By when a router had to have replaced the version activated at this position; none where no later one
    /// showed.
    pub fn ended_by(&self, position: usize) -> Option<Instant> {
        let replaced_at = self.first_seen[position + 1..].iter().flatten().min();
        replaced_at.map(|at| *at + self.clock_tolerance)
    }

    /// When the version's first activation was first seen.
    pub fn first_activation_of(&self, version: PolicyVersion) -> Option<Instant> {
        self.positions_of(version).next().and_then(|position| self.first_seen[position])
    }

    /// The longest time from the first request under a version that was reverted to the first under the one
    /// before.
    pub fn longest_revert(&self) -> Option<Duration> {
        let is_revert = |position: &usize| {
            let version = self.activated[*position];
            version == self.activated[*position - 2] && version != self.activated[*position - 1]
        };
        let reverts = (2..self.activated.len()).filter(is_revert);
        reverts.filter_map(|revert| Some(self.first_seen[revert]? - self.first_seen[revert - 1]?)).max()
    }
}

//! Applies committed entries and snapshots to the replicated state.

use tindoor::time::Moment;
use tindoor_policy::{AgreedState, LogEntry, Transition};

use super::Node;
use super::activation::ObservedDecision;
use super::members::Directory;
use crate::actions::Action;

impl Node {
    /// Applies the next log entry, whether it comes from the local replica or from a peer. Ignores an entry
    /// whose index is not the next one.
    pub(super) fn apply_entry(&mut self, now: Moment, index: u64, entry: LogEntry) {
        if index != self.agreed.index + 1 {
            return;
        }
        if matches!(
            entry,
            LogEntry::Join { .. } | LogEntry::Leave { .. } | LogEntry::Propose(_) | LogEntry::Decide { .. }
        ) {
            self.first_observed.insert(index, now);
        }
        self.push_recent_entry(&entry);
        let changes_voters = matches!(entry, LogEntry::Voters { .. });
        let changes_members = matches!(entry, LogEntry::Join { .. } | LogEntry::Leave { .. });
        let decided = if let LogEntry::Decide { generation, .. } = &entry { Some(*generation) } else { None };
        // Counts the join as a heartbeat, because some member has just heard from the joining process.
        // Otherwise a process that returns after a long absence would be removed again within a heartbeat,
        // because it would appear to have been silent since this leader was elected.
        if let LogEntry::Join { incarnation, .. } = &entry {
            self.failure_detector.record_heartbeat(*incarnation, now);
        }
        for transition in self.agreed.apply(index, entry) {
            self.handle_transition(now, transition);
        }
        if changes_members || changes_voters {
            self.directory = Directory::new(&self.agreed);
        }
        self.allow_another_decision(decided);
        if let Some(replica) = &mut self.replica {
            replica.compact(index, changes_voters, &self.agreed);
        }
    }

    /// Appends an entry to the recent entries, which are sent to peers that lag behind.
    fn push_recent_entry(&mut self, entry: &LogEntry) {
        if self.recent_entries.len() == self.limits.recent_entries {
            self.recent_entries.pop_front();
        }
        self.recent_entries.push_back(postcard::to_stdvec(entry).expect("plain values can be encoded"));
    }

    fn handle_transition(&mut self, now: Moment, transition: Transition) {
        match &transition {
            Transition::Proposed(generation) => self.request_policy_check(*generation),
            Transition::Decided(generation, _) => {
                let from_generation = self.agreed.generation();
                self.observed_decision =
                    Some(ObservedDecision { at: now, from_generation, to_generation: *generation });
            }
            _ => {}
        }
        self.actions.push(Action::Transition(transition));
    }

    /// Allows the leader to propose another decision if the one just applied had no effect. A decision that
    /// has no effect when it is committed has none at any router.
    fn allow_another_decision(&mut self, decided: Option<u64>) {
        if decided.is_some()
            && !self.agreed.has_decided_change()
            && let Some(leadership) = &mut self.leadership
        {
            leadership.decision_proposed.take_if(|generation| Some(*generation) == decided);
        }
    }

    /// Asks the owner to check the policy of the staged change, if it is of the given generation.
    fn request_policy_check(&mut self, generation: u64) {
        let staged = self.agreed.staged.as_ref();
        if let Some(staged) = staged.filter(|staged| staged.version.generation == generation) {
            self.actions.push(Action::CheckPolicy(staged.version.clone()));
        }
    }

    /// Installs an encoded replicated state from another router. Ignores it if it can't be decoded.
    pub(super) fn install_snapshot(&mut self, now: Moment, bytes: &[u8]) {
        if let Ok(agreed) = postcard::from_bytes::<AgreedState>(bytes) {
            self.install_state(now, agreed);
        }
    }

    /// Installs a replicated state of the same fleet, if its index is higher than that of the state known
    /// here.
    pub fn install_state(&mut self, now: Moment, mut agreed: AgreedState) {
        let is_same_fleet = self.agreed.fleet == 0 || self.agreed.fleet == agreed.fleet;
        if !is_same_fleet || agreed.fleet == 0 || agreed.index <= self.agreed.index {
            return;
        }
        agreed.checks_base_generation = self.checks.compare_generation;
        let before = self.agreed.generation();
        self.agreed = agreed;
        self.recent_entries.clear();
        self.directory = Directory::new(&self.agreed);
        self.observe_installed_state(now);
        if self.agreed.generation() != before {
            self.actions.push(Action::Transition(Transition::Activated(self.agreed.generation())));
        }
        if let Some(version) = self.agreed.in_force.clone() {
            self.actions.push(Action::CheckPolicy(version));
        }
        if let Some(staged) = &self.agreed.staged {
            self.actions.push(Action::CheckPolicy(staged.version.clone()));
        }
    }

    /// Records the entries behind the installed state as first observed now, because it is not known when
    /// they were committed.
    pub(super) fn observe_installed_state(&mut self, now: Moment) {
        self.first_observed.clear();
        self.first_observed.extend(self.agreed.members.oldest_superseded().map(|index| (index, now)));
        self.first_observed.insert(self.agreed.index, now);
        let Some(staged) = &self.agreed.staged else { return };
        self.first_observed.insert(staged.index, now);
        // The decision of the staged change is recorded as well. Otherwise a fleet that has lost the clocks
        // by which the decision was made would wait forever for the activation.
        let (from_generation, to_generation) = (self.agreed.generation(), staged.version.generation);
        let is_observed = self.observed_decision.is_some_and(|observed| {
            (observed.from_generation, observed.to_generation) == (from_generation, to_generation)
        });
        if staged.is_decided() && !is_observed {
            self.observed_decision = Some(ObservedDecision { at: now, from_generation, to_generation });
        }
    }

    /// Returns the earliest known time at which the entry at `index` was certainly committed. `None` if no
    /// such time is known.
    pub(super) fn observed_at(&self, index: u64) -> Option<Moment> {
        self.first_observed.range(index..).next().map(|(_, at)| *at)
    }
}

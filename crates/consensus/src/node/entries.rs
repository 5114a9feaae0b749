//! Applies committed entries and snapshots to the replicated state.

use tindoor::time::Moment;
use tindoor_policy::{AgreedState, LogEntry, Transition};

use super::Node;
use super::activation::ObservedDecision;
use super::members::Directory;
use crate::actions::Action;

impl Node {
    /// Applies the next entry, whether from the own replica or from a peer.
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
        self.keep_recent(&entry);
        let changes_voters = matches!(entry, LogEntry::Voters { .. });
        let changes_members = matches!(entry, LogEntry::Join { .. } | LogEntry::Leave { .. });
        let decided = if let LogEntry::Decide { generation, .. } = &entry { Some(*generation) } else { None };
        // Some member has just heard from who joins. Otherwise one that returns after a long absence would be
        // removed again within a heartbeat, as silent since this leader was elected.
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

    fn keep_recent(&mut self, entry: &LogEntry) {
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

    /// A decision that had no effect when it was committed decides nothing, at any router: another may
    /// follow.
    fn allow_another_decision(&mut self, decided: Option<u64>) {
        if decided.is_some()
            && !self.agreed.has_decided_change()
            && let Some(leadership) = &mut self.leadership
        {
            leadership.decision_proposed.take_if(|generation| Some(*generation) == decided);
        }
    }

    fn request_policy_check(&mut self, generation: u64) {
        let staged = self.agreed.staged.as_ref();
        if let Some(staged) = staged.filter(|staged| staged.version.generation == generation) {
            self.actions.push(Action::CheckPolicy(staged.version.clone()));
        }
    }

    /// Installs the whole replicated state, from another router that knows more.
    pub(super) fn install_snapshot(&mut self, now: Moment, bytes: &[u8]) {
        if let Ok(agreed) = postcard::from_bytes::<AgreedState>(bytes) {
            self.install_state(now, agreed);
        }
    }

    /// Installs a replicated state, if it is further than what is known here.
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

    /// What an installed state contains was observed no earlier than now.
    pub(super) fn observe_installed_state(&mut self, now: Moment) {
        self.first_observed.clear();
        self.first_observed.extend(self.agreed.members.oldest_superseded().map(|index| (index, now)));
        self.first_observed.insert(self.agreed.index, now);
        let Some(staged) = &self.agreed.staged else { return };
        self.first_observed.insert(staged.index, now);
        // Its decision as well: without that, a fleet that lost the clocks that it was made by would wait for
        // its activation for ever.
        let (from_generation, to_generation) = (self.agreed.generation(), staged.version.generation);
        let is_observed = self.observed_decision.is_some_and(|observed| {
            (observed.from_generation, observed.to_generation) == (from_generation, to_generation)
        });
        if staged.is_decided() && !is_observed {
            self.observed_decision = Some(ObservedDecision { at: now, from_generation, to_generation });
        }
    }

    /// When that index was certainly committed already.
    pub(super) fn observed_at(&self, index: u64) -> Option<Moment> {
        self.first_observed.range(index..).next().map(|(_, at)| *at)
    }
}

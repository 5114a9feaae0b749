//! What a leader knows beyond the replicated state. It is not replicated: the next leader finds it out anew.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;
use tindoor_policy::{LogEntry, Probation};

/// Results of checking a proposed policy, by member; an objection or none.
pub(crate) type CheckResults = BTreeMap<Incarnation, Option<String>>;

/// The state of one term of leadership.
pub(crate) struct Leadership {
    /// Since when this replica leads.
    pub since: Moment,
    /// The term in which it leads.
    pub term: u64,
    /// The generation whose decision was proposed: once, with one activation time.
    pub decision_proposed: Option<u64>,
    /// When a change of the voters was last proposed.
    pub membership_change_proposed: Option<Moment>,
    /// Since when the fleet's time is not known precisely enough.
    pub time_uncertain_since: Option<Moment>,
    /// The test of the change on probation.
    pub probation: Option<Probation>,
    check_results: CheckResults,
    checked_generation: u64,
    /// Entries that were proposed and may not yet be committed.
    proposed: Vec<(LogEntry, Moment)>,
}

impl Leadership {
    pub fn new(now: Moment, term: u64) -> Self {
        Self {
            since: now,
            term,
            decision_proposed: None,
            membership_change_proposed: None,
            time_uncertain_since: None,
            probation: None,
            check_results: CheckResults::new(),
            checked_generation: 0,
            proposed: Vec::new(),
        }
    }

    /// The leader's clock has jumped: its waits begin anew. What it has decided stays decided.
    pub fn clock_jumped(&mut self, now: Moment) {
        self.since = now;
        self.membership_change_proposed = self.membership_change_proposed.map(|_| now);
        self.time_uncertain_since = None;
        self.proposed.clear();
        self.probation = None;
    }

    /// Forgets entries that were proposed that long ago: they may have been lost, and are proposed again.
    pub fn expire_proposals(&mut self, now: Moment, retry_after: Span) {
        self.proposed.retain(|(_, at)| now.since(*at) < retry_after);
    }

    /// Whether that entry was proposed and may not yet be committed.
    pub fn is_proposed(&self, entry: &LogEntry) -> bool {
        self.proposed.iter().any(|(proposed, _)| proposed == entry)
    }

    /// Remembers that this entry was proposed.
    pub fn record_proposal(&mut self, now: Moment, entry: LogEntry) {
        self.proposed.push((entry, now));
    }

    /// Records a member's check of a proposed policy.
    pub fn record_check(&mut self, generation: u64, member: Incarnation, objection: Option<String>) {
        if self.checked_generation != generation {
            self.checked_generation = generation;
            self.check_results.clear();
        }
        self.check_results.insert(member, objection);
    }

    /// The results of checking that generation.
    pub fn check_results(&self, generation: u64) -> &CheckResults {
        static NONE: CheckResults = CheckResults::new();
        if self.checked_generation == generation { &self.check_results } else { &NONE }
    }
}

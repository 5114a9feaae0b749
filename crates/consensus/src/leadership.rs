//! The state that a leader keeps in addition to the replicated state. It is not replicated: each new leader
//! starts without it.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;
use tindoor_policy::{LogEntry, Probation};

/// The results of checking a proposed policy, by member: the objection, or `None` if the member can apply the
/// policy.
pub(crate) type CheckResults = BTreeMap<Incarnation, Option<String>>;

/// The state of one term of leadership.
pub(crate) struct Leadership {
    /// When this replica became the leader.
    pub since: Moment,
    /// The term of this leadership.
    pub term: u64,
    /// The generation whose decision was proposed. A decision is proposed once, with a single activation
    /// time.
    pub decision_proposed: Option<u64>,
    /// When a step of a membership change (begin, finish or hand over the leadership) was last started.
    pub membership_change_proposed: Option<Moment>,
    /// Since when the fleet's time has not been known precisely enough.
    pub time_uncertain_since: Option<Moment>,
    /// The ongoing assessment of the change on probation.
    pub probation: Option<Probation>,
    /// The results of checking `checked_generation`.
    check_results: CheckResults,
    /// The generation to which `check_results` belong.
    checked_generation: u64,
    /// Entries that were proposed and may not yet be committed, with the time of their proposal.
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

    /// Restarts all waiting periods after a jump of the leader's clock. Proposed decisions stay recorded.
    pub fn clock_jumped(&mut self, now: Moment) {
        self.since = now;
        self.membership_change_proposed = self.membership_change_proposed.map(|_| now);
        self.time_uncertain_since = None;
        self.proposed.clear();
        self.probation = None;
    }

    /// Forgets entries that were proposed at least `retry_after` ago, so that they are proposed again: they
    /// may have been lost.
    pub fn expire_proposals(&mut self, now: Moment, retry_after: Span) {
        self.proposed.retain(|(_, at)| now.since(*at) < retry_after);
    }

    /// Returns whether an entry was proposed and may not yet be committed.
    pub fn is_proposed(&self, entry: &LogEntry) -> bool {
        self.proposed.iter().any(|(proposed, _)| proposed == entry)
    }

    /// Records that an entry was proposed.
    pub fn record_proposal(&mut self, now: Moment, entry: LogEntry) {
        self.proposed.push((entry, now));
    }

    /// Records the result of a member's check of a proposed policy.
    pub fn record_check(&mut self, generation: u64, member: Incarnation, objection: Option<String>) {
        if self.checked_generation != generation {
            self.checked_generation = generation;
            self.check_results.clear();
        }
        self.check_results.insert(member, objection);
    }

    /// Returns the results of checking a generation.
    pub fn check_results(&self, generation: u64) -> &CheckResults {
        static NONE: CheckResults = CheckResults::new();
        if self.checked_generation == generation { &self.check_results } else { &NONE }
    }
}

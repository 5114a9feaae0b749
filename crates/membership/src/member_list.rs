//! The member list, with every earlier version of the list that a router may still use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The router's name, which stays the same when the router restarts.
    pub name: String,
    /// The address at which its peers reach the router.
    pub address: String,
    /// The router's replica id: from its storage, or drawn for this process. `None` if the router may not
    /// vote.
    pub replica_id: Option<u64>,
    /// The router's location, as an index into the deployment's list of locations.
    pub location: u16,
}

/// One change of the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Change {
    /// The index at which it was committed.
    index: u64,
    added: Option<Incarnation>,
    removed: Vec<Incarnation>,
}

/// The members as of some index, and the changes since the oldest list that a router may still use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    members: Arc<BTreeMap<Incarnation, Member>>,
    changes: VecDeque<Change>,
    /// Removed processes that are proved to have ended, and therefore no longer use any list.
    ended: BTreeSet<Incarnation>,
}

/// A router may still use a list of which more than half of the members are not known to be informed of a
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than half of the members before index {superseded_at} are not known to be informed")]
pub struct UninformedMajority {
    /// The index at which the newest list with an uninformed majority was superseded. All older lists were
    /// superseded earlier.
    pub superseded_at: u64,
}

impl MemberList {
    /// Creates the first list, which supersedes no other list.
    pub fn new(members: BTreeMap<Incarnation, Member>) -> Self {
        Self { members: Arc::new(members), ..Self::default() }
    }

    /// The members, by the incarnation of their process.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// Returns the member with this incarnation. `None` if the process is not a member.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Whether the process with this incarnation is a member.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.members.contains_key(&incarnation)
    }

    /// Returns the incarnation of the member with this name. `None` if there is no such member.
    pub fn find_by_name(&self, name: &str) -> Option<Incarnation> {
        self.members.iter().find(|(_, member)| member.name == name).map(|(incarnation, _)| *incarnation)
    }

    /// Returns the number of processes that may act as members: the members, and removed members that are not
    /// proved to have ended.
    pub fn possible_members(&self) -> usize {
        let removed: BTreeSet<Incarnation> =
            self.changes.iter().flat_map(|change| change.removed.iter().copied()).collect();
        let may_act = |process: &&Incarnation| !self.contains(**process) && !self.ended.contains(process);
        self.members.len() + removed.iter().filter(may_act).count()
    }

    /// Adds a member by the change at `index`, and removes any members with the same name or replica id.
    /// `predecessor` is an earlier process that is proved to have ended.
    pub fn add(
        &mut self,
        index: u64,
        incarnation: Incarnation,
        member: Member,
        predecessor: Option<Incarnation>,
    ) {
        let is_replaced = |known: &Member| {
            known.name == member.name || known.replica_id.is_some() && known.replica_id == member.replica_id
        };
        let replaced: Vec<Incarnation> = self
            .members
            .iter()
            .filter(|(_, known)| is_replaced(known))
            .map(|(incarnation, _)| *incarnation)
            .collect();
        if replaced == [incarnation] && self.members[&incarnation] == member {
            return;
        }
        let members = Arc::make_mut(&mut self.members);
        for process in &replaced {
            members.remove(process);
        }
        members.insert(incarnation, member);
        let was_member = |process: &Incarnation| replaced.contains(process) || self.was_removed(*process);
        if let Some(ended) = predecessor.filter(|ended| *ended != incarnation && was_member(ended)) {
            self.ended.insert(ended);
        }
        let removed = replaced.into_iter().filter(|process| *process != incarnation).collect();
        self.changes.push_back(Change { index, added: Some(incarnation), removed });
    }

    /// Removes a member by the change at `index`. `ended` is true if the process is proved to accept no more
    /// requests.
    pub fn remove(&mut self, index: u64, incarnation: Incarnation, ended: bool) {
        if self.contains(incarnation) {
            Arc::make_mut(&mut self.members).remove(&incarnation);
            self.changes.push_back(Change { index, added: None, removed: vec![incarnation] });
        }
        if ended && self.was_removed(incarnation) {
            self.ended.insert(incarnation);
        }
    }

    fn was_removed(&self, process: Incarnation) -> bool {
        self.changes.iter().any(|change| change.removed.contains(&process))
    }

    /// Discards the lists that were superseded at or before `index`, because no router uses them any more.
    pub fn discard_superseded(&mut self, index: u64) {
        while let Some(change) = self.changes.pop_front_if(|change| change.index <= index) {
            self.ended.retain(|ended| !change.removed.contains(ended));
        }
    }

    /// Returns the index at which the oldest list that a router may still use was superseded. `None` if no
    /// superseded list is kept.
    pub fn oldest_superseded(&self) -> Option<u64> {
        self.changes.front().map(|change| change.index)
    }

    /// Checks every list that a router may still use if it has not reached `index`: at least half of the
    /// members of each such list must be informed. The uninformed members are then no majority of any list,
    /// and can't renew each other's leases.
    ///
    /// `informed` returns whether a process is known to be informed of the change at `index`. Processes that
    /// are proved to have ended need not be informed.
    pub fn rule_out_uninformed_majority(
        &self,
        index: u64,
        informed: impl Fn(Incarnation) -> bool,
    ) -> Result<(), UninformedMajority> {
        let is_informed = |process: Incarnation| informed(process) || self.ended.contains(&process);
        let mut members: BTreeSet<Incarnation> = self.members.keys().copied().collect();
        let mut informed_count = members.iter().filter(|member| is_informed(**member)).count();
        let mut superseded_at = index;
        // Visits the lists from the newest to the oldest, by undoing one change after the other.
        let mut changes = self.changes.iter().rev().peekable();
        loop {
            // A router that uses a list from `index` or later has reached the index, so only earlier lists
            // are checked.
            let is_relevant = !members.is_empty() && changes.peek().is_none_or(|change| change.index < index);
            if is_relevant && 2 * informed_count < members.len() {
                return Err(UninformedMajority { superseded_at });
            }
            let Some(change) = changes.next() else { return Ok(()) };
            superseded_at = change.index.min(index);
            if let Some(added) = change.added.filter(|added| members.remove(added)) {
                informed_count -= usize::from(is_informed(added));
            }
            for removed in change.removed.iter().filter(|removed| members.insert(**removed)) {
                informed_count += usize::from(is_informed(*removed));
            }
        }
    }
}

//! The members, and every earlier list by which some router may still go.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The router's name, which outlives its processes.
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    /// Its replica id, where it may vote: that of its storage, or one drawn for this process.
    pub replica_id: Option<u64>,
    /// Its location, by its position in the deployment's list.
    pub location: u16,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Change {
    /// The index at which it was committed.
    index: u64,
    added: Option<Incarnation>,
    removed: Vec<Incarnation>,
}

/// The members as of some index, and the changes since the oldest list by which a router may still go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    members: Arc<BTreeMap<Incarnation, Member>>,
    changes: VecDeque<Change>,
    /// Removed processes that are proved to have ended: they go by no list.
    ended: BTreeSet<Incarnation>,
}

/// A majority of some list, by which a router may still go, is not known to be informed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a majority of the members until index {superseded_at} is not known to be informed")]
pub struct UninformedMajority {
    /// The index at which the newest such list was superseded; all older ones were superseded earlier.
    pub superseded_at: u64,
}

impl MemberList {
    /// A first list, which supersedes none.
    pub fn new(members: BTreeMap<Incarnation, Member>) -> Self {
        Self { members: Arc::new(members), ..Self::default() }
    }

    /// The members, by their processes.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// The member that is that process.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Whether that process is a member.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.members.contains_key(&incarnation)
    }

    /// The process that is a member under that name.
    pub fn find_by_name(&self, name: &str) -> Option<Incarnation> {
        self.members.iter().find(|(_, member)| member.name == name).map(|(incarnation, _)| *incarnation)
    }

    /// How many processes may act as members: the members, and those of earlier lists that may not have
    /// ended.
    pub fn possible_members(&self) -> usize {
        let removed: BTreeSet<Incarnation> =
            self.changes.iter().flat_map(|change| change.removed.iter().copied()).collect();
        let may_act = |process: &&Incarnation| !self.contains(**process) && !self.ended.contains(process);
        self.members.len() + removed.iter().filter(may_act).count()
    }

    /// Adds a member, in place of any with the same name or replica id. `predecessor` is proved to have
    /// ended.
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

    /// Removes a member. `ended` says that it is proved to accept no more requests.
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

    /// Discards the lists that were superseded at or before that index: no router goes by them any more.
    pub fn discard_superseded(&mut self, index: u64) {
        while let Some(change) = self.changes.pop_front_if(|change| change.index <= index) {
            self.ended.retain(|ended| !change.removed.contains(ended));
        }
    }

    /// The index at which the oldest list by which a router may still go was superseded.
    pub fn oldest_superseded(&self) -> Option<u64> {
        self.changes.front().map(|change| change.index)
    }

    /// Checks, for every list by which a router that has not reached `index` may still go, that half of its
    /// members are informed: the others are no majority, and can't renew each other's leases.
    pub fn rule_out_uninformed_majority(
        &self,
        index: u64,
        informed: impl Fn(Incarnation) -> bool,
    ) -> Result<(), UninformedMajority> {
        let is_informed = |process: Incarnation| informed(process) || self.ended.contains(&process);
        let mut members: BTreeSet<Incarnation> = self.members.keys().copied().collect();
        let mut informed_count = members.iter().filter(|member| is_informed(**member)).count();
        let mut superseded_at = index;
        // From the newest list back, by undoing one change after the other.
        let mut changes = self.changes.iter().rev().peekable();
        loop {
            // Whoever goes by a list of that index or later has reached the index.
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

//! Who is listed, and every list that some router may still go by.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A router as the agreed list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    /// Its number among voters, where it can be one: that of its folder, or of its start without one.
    pub replica_id: Option<u64>,
    /// Its location, by its place in the deployment's list.
    pub location: u16,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    /// The index at which it was agreed.
    index: u64,
    came: Option<Incarnation>,
    went: Vec<Incarnation>,
}

/// The list of routers as agreed up to some index, and the steps from the oldest list that may still be held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    listed: Arc<BTreeMap<Incarnation, Member>>,
    steps: VecDeque<Step>,
    /// Routers that are proved to have ended: they hold no list.
    ended: BTreeSet<Incarnation>,
}

impl MemberList {
    /// A first list, which supersedes none.
    pub fn new(listed: BTreeMap<Incarnation, Member>) -> Self {
        Self { listed: Arc::new(listed), ..Self::default() }
    }

    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.listed
    }

    pub fn get(&self, start: Incarnation) -> Option<&Member> {
        self.listed.get(&start)
    }

    pub fn contains(&self, start: Incarnation) -> bool {
        self.listed.contains_key(&start)
    }

    /// The start that is listed under that name.
    pub fn find_by_name(&self, name: &str) -> Option<Incarnation> {
        self.listed.iter().find(|(_, listed)| listed.name == name).map(|(start, _)| *start)
    }

    /// How many processes may still act as listed ones: the listed, and those of lists that some may still hold.
    pub fn possible_members(&self) -> usize {
        let went: BTreeSet<Incarnation> =
            self.steps.iter().flat_map(|step| step.went.iter().copied()).collect();
        let gone = went.iter().filter(|start| !self.contains(**start) && !self.ended.contains(start));
        self.listed.len() + gone.count()
    }

    /// A router joins; whoever had its name, or its seat, goes. With `after`, that one is proved to have ended.
    pub fn add(&mut self, index: u64, start: Incarnation, listed: Member, after: Option<Incarnation>) {
        let same = |known: &Member| {
            known.name == listed.name || known.replica_id.is_some() && known.replica_id == listed.replica_id
        };
        let went: Vec<Incarnation> =
            self.listed.iter().filter(|(_, known)| same(known)).map(|(start, _)| *start).collect();
        if went == [start] && self.listed[&start] == listed {
            return;
        }
        let members = Arc::make_mut(&mut self.listed);
        went.iter().for_each(|gone| drop(members.remove(gone)));
        members.insert(start, listed);
        let held = |gone: &Incarnation| {
            went.contains(gone) || self.steps.iter().any(|step| step.went.contains(gone))
        };
        if let Some(after) = after.filter(|after| *after != start && held(after)) {
            self.ended.insert(after);
        }
        let went = went.into_iter().filter(|gone| *gone != start).collect();
        self.steps.push_back(Step { index, came: Some(start), went });
    }

    /// A router leaves, or is forgotten; `ended` says that it is proved to take no more requests.
    pub fn remove(&mut self, index: u64, start: Incarnation, ended: bool) {
        if self.contains(start) {
            Arc::make_mut(&mut self.listed).remove(&start);
            self.steps.push_back(Step { index, came: None, went: vec![start] });
        }
        if ended && self.steps.iter().any(|step| step.went.contains(&start)) {
            self.ended.insert(start);
        }
    }

    /// The lists that were superseded at or before that index are held by nobody any more.
    pub fn discard_superseded(&mut self, before: u64) {
        while self.steps.front().is_some_and(|step| step.index <= before) {
            let step = self.steps.pop_front().expect("there is one");
            self.ended.retain(|ended| !step.went.contains(ended));
        }
    }

    /// When the oldest list that may still be held was superseded.
    pub fn oldest_superseded(&self) -> Option<u64> {
        self.steps.front().map(|step| step.index)
    }

    /// Of every list that some router may hold that is not yet at `index`, whether half `know`: those that do not are
    /// no more than half then, and it takes more to go on by each other's words. Says at which index the newest list
    /// was superseded that fails; all older ones end earlier.
    pub fn rule_out_uninformed_majority(
        &self,
        index: u64,
        know: impl Fn(Incarnation) -> bool,
    ) -> Result<(), u64> {
        let knows = |start: Incarnation| know(start) || self.ended.contains(&start);
        let mut members: BTreeSet<Incarnation> = self.listed.keys().copied().collect();
        let mut knowing = members.iter().filter(|start| knows(**start)).count();
        let mut superseded = index;
        let mut steps = self.steps.iter().rev().peekable();
        loop {
            // Whoever holds a list from that index on knows of what is there.
            let counts = !members.is_empty() && steps.peek().is_none_or(|step| step.index < index);
            if counts && 2 * knowing < members.len() {
                return Err(superseded);
            }
            let Some(step) = steps.next() else { return Ok(()) };
            superseded = step.index.min(index);
            if let Some(came) = step.came.filter(|came| members.remove(came)) {
                knowing -= usize::from(knows(came));
            }
            for gone in step.went.iter().filter(|gone| members.insert(**gone)) {
                knowing += usize::from(knows(*gone));
            }
        }
    }
}

//! Who is listed, and every list that some router may still go by.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Start;

/// A router as the agreed list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    /// Its number among voters, where it can be one: that of its folder, or of its start without one.
    pub seat: Option<u64>,
    /// Its location, by its place in the deployment's list.
    pub location: u16,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Step {
    /// The index at which it was agreed.
    index: u64,
    came: Option<Start>,
    went: Vec<Start>,
}

/// The list of routers as agreed up to some index, and the steps from the oldest list that may still be held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    listed: Arc<BTreeMap<Start, Listed>>,
    steps: VecDeque<Step>,
    /// Routers that are proved to have ended: they hold no list.
    ended: BTreeSet<Start>,
}

impl Roll {
    /// A first list, which supersedes none.
    pub fn of(listed: BTreeMap<Start, Listed>) -> Self {
        Self { listed: Arc::new(listed), ..Self::default() }
    }

    pub fn listed(&self) -> &BTreeMap<Start, Listed> {
        &self.listed
    }

    pub fn get(&self, start: Start) -> Option<&Listed> {
        self.listed.get(&start)
    }

    pub fn has(&self, start: Start) -> bool {
        self.listed.contains_key(&start)
    }

    /// The start that is listed under that name.
    pub fn named(&self, name: &str) -> Option<Start> {
        self.listed.iter().find(|(_, listed)| listed.name == name).map(|(start, _)| *start)
    }

    /// How many processes may still act as listed ones: the listed, and those of lists that some may still hold.
    pub fn possible(&self) -> usize {
        let went: BTreeSet<Start> = self.steps.iter().flat_map(|step| step.went.iter().copied()).collect();
        let gone = went.iter().filter(|start| !self.has(**start) && !self.ended.contains(start));
        self.listed.len() + gone.count()
    }

    /// A router joins; whoever had its name, or its seat, goes. With `after`, that one is proved to have ended.
    pub fn join(&mut self, index: u64, start: Start, listed: Listed, after: Option<Start>) {
        let same =
            |known: &Listed| known.name == listed.name || known.seat.is_some() && known.seat == listed.seat;
        let went: Vec<Start> =
            self.listed.iter().filter(|(_, known)| same(known)).map(|(start, _)| *start).collect();
        if went == [start] && self.listed[&start] == listed {
            return;
        }
        let members = Arc::make_mut(&mut self.listed);
        went.iter().for_each(|gone| drop(members.remove(gone)));
        members.insert(start, listed);
        let held =
            |gone: &Start| went.contains(gone) || self.steps.iter().any(|step| step.went.contains(gone));
        if let Some(after) = after.filter(|after| *after != start && held(after)) {
            self.ended.insert(after);
        }
        let went = went.into_iter().filter(|gone| *gone != start).collect();
        self.steps.push_back(Step { index, came: Some(start), went });
    }

    /// A router leaves, or is forgotten; `ended` says that it is proved to take no more views.
    pub fn leave(&mut self, index: u64, start: Start, ended: bool) {
        if self.has(start) {
            Arc::make_mut(&mut self.listed).remove(&start);
            self.steps.push_back(Step { index, came: None, went: vec![start] });
        }
        if ended && self.steps.iter().any(|step| step.went.contains(&start)) {
            self.ended.insert(start);
        }
    }

    /// The lists that were superseded at or before that index are held by nobody any more.
    pub fn retire(&mut self, before: u64) {
        while self.steps.front().is_some_and(|step| step.index <= before) {
            let step = self.steps.pop_front().expect("there is one");
            self.ended.retain(|ended| !step.went.contains(ended));
        }
    }

    /// When the oldest list that may still be held was superseded.
    pub fn oldest_step(&self) -> Option<u64> {
        self.steps.front().map(|step| step.index)
    }

    /// Of every list that some router may hold that is not yet at `index`, whether half `know`: those that do not are
    /// no more than half then, and it takes more to go on by each other's words. Says at which index the newest list
    /// was superseded that fails; all older ones end earlier.
    pub fn most_know(&self, index: u64, know: impl Fn(Start) -> bool) -> Result<(), u64> {
        let knows = |start: Start| know(start) || self.ended.contains(&start);
        let mut members: BTreeSet<Start> = self.listed.keys().copied().collect();
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

//! The simple ways to change a policy, in simulated days with the same faults as [`world`](crate::world): each router
//! goes by what it is told as soon as it is told, and a plain two-phase commit. They are what the fleet's own way is
//! measured against.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::Day;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each reads its file when it is told.
    Told,
    /// All say yes, then all are told; told again until each has said that it knows.
    TwoPhase,
}

/// What came of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Came {
    pub requests: u64,
    /// Requests by a policy when another had decided one for longer than clocks may part.
    pub mixed: u64,
    pub changes: u64,
    /// Changes that decided a request anywhere.
    pub took_hold: u64,
    /// Routers that went by another policy than most at the end.
    pub apart_at_end: u64,
}

#[derive(Clone, Copy, Debug)]
enum Say {
    New(u64),
    Prepare(u64),
    Yes(u64),
    Commit(u64),
    Known(u64),
}

enum Event {
    Request(usize),
    Message(usize, usize, Say),
    Propose,
    Again(u64),
    Fault,
    Heal,
    Resume(usize),
    Restart(usize),
}

#[derive(Clone, Default)]
struct Router {
    /// Its file, which outlives its process.
    goes_by: u64,
    up: bool,
    paused: bool,
    held_back: Vec<(usize, Say)>,
}

/// A change under way at its proposer.
struct Change {
    by: usize,
    began: u64,
    yes: BTreeSet<usize>,
    decided: bool,
    known: BTreeSet<usize>,
}

struct Days<'a> {
    day: &'a Day,
    way: Way,
    chance: Pcg64Mcg,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    routers: Vec<Router>,
    cut: BTreeSet<(usize, usize)>,
    changes: BTreeMap<u64, Change>,
    uses: BTreeMap<u64, Vec<u64>>,
    came: Came,
}

/// Plays one day.
pub fn play(day: &Day, way: Way) -> Came {
    let router = Router { goes_by: 1, up: true, ..Router::default() };
    let mut days = Days {
        day,
        way,
        chance: Pcg64Mcg::seed_from_u64(day.seed),
        now: 0,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next: 0,
        routers: vec![router; day.routers],
        cut: BTreeSet::new(),
        changes: BTreeMap::new(),
        uses: BTreeMap::new(),
        came: Came::default(),
    };
    days.run();
    days.judge();
    days.came
}

impl Days<'_> {
    fn at(&mut self, wait: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + wait, self.next)));
    }

    fn has(&self, fault: &str) -> bool {
        self.day.faults.iter().any(|known| known == fault)
    }

    fn run(&mut self) {
        let lasts = self.day.lasts.as_micros();
        let end = lasts + 12_000_000;
        (0..self.routers.len()).for_each(|no| self.at(1000 * no as u64, Event::Request(no)));
        self.at(2_000_000, Event::Propose);
        self.at(2_200_000, Event::Fault);
        while let Some(Reverse((at, number))) = self.queue.pop().filter(|next| next.0.0 < end) {
            self.now = at;
            let event = self.events.remove(&number).expect("it was put there");
            self.happens(event, at < lasts);
        }
    }

    fn send(&mut self, from: usize, to: usize, say: Say) {
        let faulty = self.now < self.day.lasts.as_micros();
        let lost = faulty && self.has("drop") && self.chance.random_bool(0.1);
        if self.cut.contains(&(from, to)) || lost {
            return;
        }
        let [least, more] = self.day.latency.map(|span| span.as_micros());
        let late = faulty && self.has("delay") && self.chance.random_bool(0.05);
        let late = if late { self.chance.random_range(0..600_000) } else { 0 };
        let wait = least + self.chance.random_range(0..more) + late;
        self.at(wait, Event::Message(from, to, say));
    }

    fn send_all(&mut self, from: usize, say: Say) {
        (0..self.routers.len()).for_each(|to| self.send(from, to, say));
    }

    fn happens(&mut self, event: Event, faulty: bool) {
        match event {
            Event::Request(no) => {
                let mean = self.day.requests.as_micros();
                let wait = self.chance.random_range(mean / 2..mean * 3 / 2);
                self.at(wait, Event::Request(no));
                if self.routers[no].up && !self.routers[no].paused {
                    self.came.requests += 1;
                    self.uses.entry(self.routers[no].goes_by).or_default().push(self.now);
                }
            }
            Event::Message(from, to, say) => match &mut self.routers[to] {
                router if !router.up => {}
                router if router.paused => router.held_back.push((from, say)),
                _ => self.heard(from, to, say),
            },
            Event::Propose if faulty => {
                self.at(self.day.proposals.as_micros(), Event::Propose);
                let by = self.chance.random_range(0..self.routers.len());
                if !self.routers[by].up || self.routers[by].paused {
                    return;
                }
                self.came.changes += 1;
                let generation = self.came.changes + 1;
                let [yes, known] = Default::default();
                self.changes.insert(generation, Change { by, began: self.now, yes, decided: false, known });
                match self.way {
                    Way::Told => self.send_all(by, Say::New(generation)),
                    Way::TwoPhase => {
                        self.send_all(by, Say::Prepare(generation));
                        self.at(200_000, Event::Again(generation));
                    }
                }
            }
            Event::Propose => {}
            Event::Again(generation) => {
                let Some(change) = self.changes.get(&generation) else { return };
                let (by, decided) = (change.by, change.decided);
                let over = !decided && self.now > change.began + 2_000_000;
                if !self.routers[by].up || over || change.known.len() == self.routers.len() {
                    return;
                }
                let say = if decided { Say::Commit(generation) } else { Say::Prepare(generation) };
                self.send_all(by, say);
                self.at(200_000, Event::Again(generation));
            }
            Event::Fault if faulty => self.fault(),
            Event::Fault => (0..self.routers.len()).for_each(|no| self.wake(no)),
            Event::Heal => self.cut.clear(),
            Event::Resume(no) | Event::Restart(no) => self.wake(no),
        }
    }

    fn wake(&mut self, no: usize) {
        (self.routers[no].up, self.routers[no].paused) = (true, false);
        for (from, say) in std::mem::take(&mut self.routers[no].held_back) {
            self.heard(from, no, say);
        }
    }

    fn heard(&mut self, from: usize, to: usize, say: Say) {
        match say {
            Say::New(generation) => self.routers[to].goes_by = self.routers[to].goes_by.max(generation),
            Say::Prepare(generation) => self.send(to, from, Say::Yes(generation)),
            Say::Yes(generation) => {
                let all = self.routers.len();
                let Some(change) = self.changes.get_mut(&generation) else { return };
                change.yes.insert(from);
                if change.yes.len() == all && !change.decided && self.now < change.began + 2_000_000 {
                    change.decided = true;
                    self.send_all(to, Say::Commit(generation));
                }
            }
            Say::Commit(generation) => {
                self.routers[to].goes_by = self.routers[to].goes_by.max(generation);
                self.send(to, from, Say::Known(generation));
            }
            Say::Known(generation) => {
                if let Some(change) = self.changes.get_mut(&generation) {
                    change.known.insert(from);
                }
            }
        }
    }

    fn fault(&mut self) {
        let next = self.chance.random_range(300_000..2_000_000);
        self.at(next, Event::Fault);
        let acts = ["oneway", "split", "kill", "pause"].into_iter().filter(|act| self.has(act));
        let acts: Vec<&str> = acts.collect();
        if acts.is_empty() {
            return;
        }
        let (count, back) = (self.routers.len(), self.chance.random_range(200_000..5_000_000));
        let no = self.chance.random_range(0..count);
        match acts[self.chance.random_range(0..acts.len())] {
            "oneway" => {
                let other = self.chance.random_range(0..count);
                self.cut.insert((no, other));
                self.at(back, Event::Heal);
            }
            "split" => {
                let sides: Vec<bool> = (0..count).map(|_| self.chance.random_bool(0.5)).collect();
                let pairs = (0..count * count).map(|pair| (pair / count, pair % count));
                self.cut.extend(pairs.filter(|(a, b)| sides[*a] != sides[*b]));
                self.at(back, Event::Heal);
            }
            "kill" => {
                self.routers[no].up = false;
                self.routers[no].held_back.clear();
                self.at(back, Event::Restart(no));
            }
            _ => {
                self.routers[no].paused = true;
                self.at(back, Event::Resume(no));
            }
        }
    }

    fn judge(&mut self) {
        let bound = 2 * self.day.terms.clock_bound.as_micros();
        let uses: Vec<&Vec<u64>> = self.uses.values().collect();
        for (at, new) in uses.iter().enumerate() {
            let first = new.iter().min().copied().unwrap_or(u64::MAX);
            let late = uses[..at].iter().flat_map(|old| old.iter()).filter(|used| **used > first + bound);
            self.came.mixed += late.count() as u64;
        }
        self.came.took_hold = uses.len() as u64 - 1;
        let newest = self.routers.iter().map(|router| router.goes_by).max();
        self.came.apart_at_end =
            self.routers.iter().filter(|router| Some(router.goes_by) != newest).count() as u64;
    }
}

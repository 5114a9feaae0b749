//! The decisions under a host that only writes down what it is told, for tests of the module.

#![allow(dead_code)]

use tindoor::control::Control;
use tindoor::host::*;
use tindoor::time::{Moment, Span};

#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Look(u32, u32),
    Read { view: u32, cache: u32, source: u32, oldest: Option<Span>, join: bool, rank: u8, only_held: bool },
    CallOff(u32, u16),
    TurnBack(u32, Option<Span>),
    WriteOff(u32),
}

#[derive(Default)]
pub struct Fake(pub Vec<Act>);

impl Host for Fake {
    fn look(&mut self, view: ViewNo, cache: CacheNo, _: Span) {
        self.0.push(Act::Look(view.0, cache.0));
    }
    fn read(&mut self, view: ViewNo, cache: CacheNo, _: Span, terms: Terms) {
        let Terms { source: CacheNo(source), oldest, join, rank, only_held, .. } = terms;
        self.0.push(Act::Read { view: view.0, cache: cache.0, source, oldest, join, rank, only_held });
    }
    fn call_off(&mut self, view: ViewNo, nth: u16) {
        self.0.push(Act::CallOff(view.0, nth));
    }
    fn turn_back(&mut self, view: ViewNo, come_back: Option<Span>) {
        self.0.push(Act::TurnBack(view.0, come_back));
    }
    fn write_off(&mut self, view: ViewNo) {
        self.0.push(Act::WriteOff(view.0));
    }
    fn wake_in(&mut self, _: Span) {}
    fn subscribe(&mut self) {}
}

pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;
pub const START: u64 = 100_000_000;

/// A router, its clock in milliseconds and the number of its next view.
pub struct Router {
    pub control: Control<Fake>,
    pub millis: u64,
    pub next: u32,
    pub repeats: bool,
    pub pass: Pass,
    pub kb: Option<f32>,
}

pub fn line(cache: u32, stable: u64, kind: u8, started: Option<u64>) -> Listed {
    let location = if kind == 0 { 3 } else { 0 };
    let started = started.map(|millis| Moment::at_micros(START + millis * 1000));
    let (cache, standing) = (CacheNo(cache), Standing::Ready);
    Listed { cache, stable, standing, started, location, size: 1.0, kind, cell: 0 }
}

/// Four caches, two parents and the origin, in that order.
pub fn fleet() -> Vec<Listed> {
    (0..7)
        .map(|no| line(no, 1000 + u64::from(no), [0, 0, 0, 0, PARENT, PARENT, ORIGIN][no as usize], None))
        .collect()
}

/// Offering 0 is repeatable and kept; 1 goes stale; 2 is tagged, 3 once-only, and both run at the origin.
pub fn router(list: &[Listed], more: &[(&str, f64)]) -> Router {
    let numbers = [
        ("offerings", 4.0),
        ("location", 3.0),
        ("drain_grace", 5e5),
        ("parent_kind", 1.0),
        ("origin_kind", 2.0),
        ("most_dispatches", 6.0),
        ("calling_off", 1.0),
        ("direct", 1.0),
        ("come_back_told", 1.0),
        ("longest_come_back", 5e5),
        ("cold_floor", 0.2),
        ("warm_within", 15e6),
        ("cold_multiple", 2.5),
        ("cold_window", 2e6),
        ("parent_floor", 0.1),
        ("parent_warm_within", 20e6),
        ("parent_multiple", 2.0),
        ("copies_gone_after", 6e6),
        ("offering.1.fresh", 8e6),
        ("offering.1.older_by", 20e6),
        ("offering.2.window", 3e6),
        ("offering.2.runs_at_origin", 1.0),
        ("offering.3.runs_at_origin", 1.0),
    ];
    let number = |(name, value): &(&str, f64)| (name.to_string(), Fact::Number(*value));
    let mut facts: Facts = numbers.iter().chain(more).map(number).collect();
    for i in 0..4 {
        for (name, value) in
            [("cut_off", 5e6), ("latency_goal", 3e5), ("goal_stretch", 2.0), ("earnings", 1.0)]
        {
            facts.insert(format!("offering.{i}.{name}"), Fact::Number(value));
        }
    }
    for (name, word) in [
        ("0.effect", "repeatable"),
        ("1.effect", "repeatable"),
        ("2.effect", "tagged"),
        ("2.group", "all"),
        ("3.effect", "once-only"),
    ] {
        facts.insert(format!("offering.{name}"), Fact::Word(word.to_string()));
    }
    let notes = if facts.contains_key("notes_tell_hits") { "hit" } else { "all" };
    facts.insert("notes".to_string(), Fact::Word(notes.to_string()));
    let seed = more.iter().find(|fact| fact.0 == "seed").map_or(7, |fact| fact.1 as u64);
    let mut control = Control::start(Fake::default(), facts, seed, Moment::at_micros(START)).unwrap();
    control.listed(ListForm::Whole, list);
    Router { control, millis: 0, next: 0, repeats: false, pass: Pass::Free, kb: None }
}

impl Router {
    /// Lets time pass in steps and gives what was done meanwhile.
    pub fn wait(&mut self, millis: u64) -> Vec<Act> {
        for _ in 0..millis {
            self.millis += 1;
            self.control.clock(Moment::at_micros(START + self.millis * 1000));
            self.control.wake();
        }
        std::mem::take(&mut self.control.host().0)
    }

    /// Takes a view for an object, group 9, with so long to answer.
    pub fn view_within(&mut self, offering: u16, object: u64, millis: u64) -> Vec<Act> {
        let asked = Asked {
            object,
            part: 0,
            group: 9,
            offering,
            kb: self.kb,
            repeat: self.repeats,
            ran: None,
            pass: self.pass,
        };
        self.next += 1;
        self.control.view(ViewNo(self.next), asked, Span::millis(millis));
        self.wait(0)
    }

    pub fn view(&mut self, offering: u16, object: u64) -> Vec<Act> {
        self.view_within(offering, object, 4000)
    }

    /// Ends a dispatch of the last view; a good end is the last.
    pub fn end(&mut self, nth: u16, verdict: Verdict, note: Note, millis: u64) -> Vec<Act> {
        self.end_of(self.next, nth, verdict, note, millis)
    }

    pub fn end_of(&mut self, view: u32, nth: u16, verdict: Verdict, note: Note, millis: u64) -> Vec<Act> {
        let took = Span::millis(millis);
        self.control.answered(ViewNo(view), nth, (verdict, note), took, verdict == Verdict::Done);
        self.wait(0)
    }

    /// A quiet while: so many views, ten milliseconds apart, each done at once by a hit or a fill.
    pub fn quiet(&mut self, views: u64, note: Note, millis: u64) {
        for object in 0..views {
            self.view(0, object);
            self.wait(10);
            self.end(0, Verdict::Done, note, millis);
        }
    }
}

pub fn place(acts: &[Act]) -> (u32, u32) {
    match acts {
        [Act::Read { cache, source, .. }] => (*cache, *source),
        other => panic!("one read expected, not {other:?}"),
    }
}

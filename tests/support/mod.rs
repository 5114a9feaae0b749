//! The decisions under a host that only writes down what it is told, for tests of the routing engine.

#![allow(dead_code)]

use tindoor::control::RoutingEngine;
use tindoor::host::*;
use tindoor::time::{Moment, Span};

#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Look(u32, u32),
    Read {
        request: u32,
        cache: u32,
        source: u32,
        max_age: Option<Span>,
        join_fill: bool,
        retention_rank: u8,
        only_if_cached: bool,
    },
    CallOff(u32, u16),
    TurnBack(u32, Option<Span>),
    WriteOff(u32),
}

#[derive(Default)]
pub struct Fake(pub Vec<Act>);

impl Host for Fake {
    fn send_cache_only(&mut self, request: RequestSlot, cache: EndpointId, _: Span) {
        self.0.push(Act::Look(request.0, cache.0));
    }
    fn send_with_fill(
        &mut self,
        request: RequestSlot,
        cache: EndpointId,
        _: Span,
        directives: FillDirectives,
    ) {
        let FillDirectives {
            source: EndpointId(source),
            max_age,
            join_fill,
            retention_rank,
            only_if_cached,
            ..
        } = directives;
        self.0.push(Act::Read {
            request: request.0,
            cache: cache.0,
            source,
            max_age,
            join_fill,
            retention_rank,
            only_if_cached,
        });
    }
    fn cancel(&mut self, request: RequestSlot, nth: u16) {
        self.0.push(Act::CallOff(request.0, nth));
    }
    fn reject(&mut self, request: RequestSlot, retry_after: Option<Span>) {
        self.0.push(Act::TurnBack(request.0, retry_after));
    }
    fn fail(&mut self, request: RequestSlot) {
        self.0.push(Act::WriteOff(request.0));
    }
    fn set_timer(&mut self, _: Span) {}
    fn watch_endpoints(&mut self) {}
}

pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;
pub const START: u64 = 100_000_000;

/// A router, its clock in milliseconds and the number of its next request.
pub struct Router {
    pub control: RoutingEngine<Fake>,
    pub millis: u64,
    pub next: u32,
    pub repeats: bool,
    pub authorization: Authorization,
    pub size_kb: Option<f32>,
}

pub fn line(cache: u32, stable: u64, kind: u8, started: Option<u64>) -> EndpointUpdate {
    let location = if kind == 0 { 3 } else { 0 };
    let started = started.map(|millis| Moment::at_micros(START + millis * 1000));
    let (cache, standing) = (EndpointId(cache), EndpointState::Ready);
    EndpointUpdate { cache, stable, standing, started, location, size: 1.0, kind, cell: 0 }
}

/// Four caches, two parents and the origin, in that order.
pub fn fleet() -> Vec<EndpointUpdate> {
    (0..7)
        .map(|no| line(no, 1000 + u64::from(no), [0, 0, 0, 0, PARENT, PARENT, ORIGIN][no as usize], None))
        .collect()
}

/// Request class 0 is repeatable and kept; 1 goes stale; 2 is tagged, 3 once-only, and both run at the origin.
pub fn router(list: &[EndpointUpdate], more: &[(&str, f64)]) -> Router {
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
    let mut control = RoutingEngine::start(Fake::default(), facts, seed, Moment::at_micros(START)).unwrap();
    control.endpoints_changed(ListUpdateKind::Full, list);
    Router {
        control,
        millis: 0,
        next: 0,
        repeats: false,
        authorization: Authorization::Granted,
        size_kb: None,
    }
}

impl Router {
    /// Lets time pass in steps and gives what was done meanwhile.
    pub fn wait(&mut self, millis: u64) -> Vec<Act> {
        for _ in 0..millis {
            self.millis += 1;
            self.control.set_time(Moment::at_micros(START + self.millis * 1000));
            self.control.timer_fired();
        }
        std::mem::take(&mut self.control.host().0)
    }

    /// Takes a request for an object, group 9, with so long to answer.
    pub fn request_within(&mut self, class: u16, object: u64, millis: u64) -> Vec<Act> {
        let asked = RequestMeta {
            object,
            part: 0,
            group: 9,
            class,
            size_kb: self.size_kb,
            client_retry: self.repeats,
            first_ran: None,
            authorization: self.authorization,
        };
        self.next += 1;
        self.control.request_received(RequestSlot(self.next), asked, Span::millis(millis));
        self.wait(0)
    }

    pub fn request(&mut self, class: u16, object: u64) -> Vec<Act> {
        self.request_within(class, object, 4000)
    }

    /// Ends a attempt of the last request; a good end is the last.
    pub fn end(&mut self, nth: u16, verdict: AttemptStatus, note: OutcomeDetail, millis: u64) -> Vec<Act> {
        self.end_of(self.next, nth, verdict, note, millis)
    }

    pub fn end_of(
        &mut self,
        request: u32,
        nth: u16,
        verdict: AttemptStatus,
        note: OutcomeDetail,
        millis: u64,
    ) -> Vec<Act> {
        let took = Span::millis(millis);
        self.control.attempt_ended(
            RequestSlot(request),
            nth,
            Outcome::new(verdict, note),
            took,
            verdict == AttemptStatus::Served,
        );
        self.wait(0)
    }

    /// A quiet while: so many requests, ten milliseconds apart, each done at once by a hit or a fill.
    pub fn quiet(&mut self, requests: u64, note: OutcomeDetail, millis: u64) {
        for object in 0..requests {
            self.request(0, object);
            self.wait(10);
            self.end(0, AttemptStatus::Served, note, millis);
        }
    }
}

pub fn place(acts: &[Act]) -> (u32, u32) {
    match acts {
        [Act::Read { cache, source, .. }] => (*cache, *source),
        other => panic!("one read expected, not {other:?}"),
    }
}

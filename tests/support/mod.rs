//! The decisions under a host that only writes down what it is told, for tests of the routing engine.

#![allow(dead_code)]

use tindoor::engine::RoutingEngine;
use tindoor::host::*;
use tindoor::settings::*;
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

pub fn line(endpoint: u32, stable_id: u64, kind: u8, started_at: Option<u64>) -> EndpointUpdate {
    let location = if kind == 0 { 3 } else { 0 };
    let started_at = started_at.map(|millis| Moment::at_micros(START + millis * 1000));
    let (endpoint, state) = (EndpointId(endpoint), EndpointState::Ready);
    EndpointUpdate { endpoint, stable_id, state, started_at, location, capacity: 1.0, kind, cell: 0 }
}

/// Four caches, two parents and the origin, in that order.
pub fn fleet() -> Vec<EndpointUpdate> {
    (0..7)
        .map(|no| line(no, 1000 + u64::from(no), [0, 0, 0, 0, PARENT, PARENT, ORIGIN][no as usize], None))
        .collect()
}

/// Request class 0 is idempotent and kept; 1 goes stale; 2 is idempotent with a key, 3 non-idempotent, and both run at
/// the origin. `more` sets single settings by name.
pub fn router(list: &[EndpointUpdate], more: &[(&str, f64)]) -> Router {
    let mut settings = settings();
    more.iter().for_each(|(name, value)| set(&mut settings, name, *value));
    let seed = more.iter().find(|fact| fact.0 == "seed").map_or(7, |fact| fact.1 as u64);
    let mut control = RoutingEngine::start(Fake::default(), settings, seed, Moment::at_micros(START));
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

fn settings() -> Settings {
    let ramp = |initial_share, seconds: f64, overload_multiple| Ramp {
        initial_share: Some(initial_share),
        duration: Some(Span::secs(seconds)),
        overload_multiple: Some(overload_multiple),
    };
    Settings {
        topology: Topology {
            location: 3,
            parent_kind: Some(PARENT),
            origin_kind: Some(ORIGIN),
            bypass_allowed: Some(true),
            caches_fill: true,
            fill_details_reported: true,
            ..Topology::default()
        },
        attempts: AttemptSettings {
            max_attempts: Some(6),
            cancellation: Some(true),
            drain_grace: Span::millis(500),
            ..AttemptSettings::default()
        },
        rejection: RejectionSettings {
            retry_after_sent: Some(true),
            max_retry_after: Some(Span::millis(500)),
        },
        slow_start: SlowStartSettings {
            caches: ramp(0.2, 15.0, 2.5),
            parents: ramp(0.1, 20.0, 2.0),
            window: Some(Span::secs(2.0)),
        },
        purges: PurgeSettings { copies_gone_after: Some(Span::secs(6.0)), grace: None },
        classes: classes(),
    }
}

fn classes() -> Vec<ClassSettings> {
    let plain = ClassSettings {
        deadline: Span::secs(5.0),
        latency_objective: Span::millis(300),
        objective_stretch: Some(2.0),
        priority_weight: Some(1.0),
        idempotency: Idempotency::Idempotent,
        ..ClassSettings::default()
    };
    vec![
        plain.clone(),
        ClassSettings {
            max_age: Some(Span::secs(8.0)),
            stale_while_failing: Some(Span::secs(20.0)),
            ..plain.clone()
        },
        ClassSettings {
            idempotency: Idempotency::WithKey,
            retry_scope: RetryScope::Everywhere,
            retry_window: Some(Span::secs(3.0)),
            runs_at_origin: true,
            ..plain.clone()
        },
        ClassSettings { idempotency: Idempotency::NonIdempotent, runs_at_origin: true, ..plain },
    ]
}

fn set(settings: &mut Settings, name: &str, value: f64) {
    let Settings { topology, attempts, rejection, slow_start, .. } = settings;
    let (flag, span) = (value > 0.0, Span::micros(value as u64));
    match name {
        "routers" => topology.routers = Some(value as u32),
        "routers_in_location" => topology.routers_in_location = Some(value as u32),
        "bypass_allowed" => topology.bypass_allowed = Some(flag),
        "capacity_known" => topology.capacity_known = flag,
        "client_kb_per_s" => topology.client_kb_per_s = value,
        "fill_details_reported" => topology.fill_details_reported = flag,
        "cancellation" => attempts.cancellation = Some(flag),
        "retry_after_sent" => rejection.retry_after_sent = Some(flag),
        "max_retry_after" => rejection.max_retry_after = Some(span),
        "initial_share" => slow_start.caches.initial_share = Some(value),
        "parent_initial_share" => slow_start.parents.initial_share = Some(value),
        "overload_multiple" => slow_start.caches.overload_multiple = Some(value),
        "warm_within" => slow_start.caches.duration = Some(span),
        "slow_start_window" => slow_start.window = Some(span),
        // Read by `router`.
        "seed" => {}
        other => panic!("{other}: no such setting"),
    }
}

//! Test support: a routing engine whose host records the engine's actions.

#![allow(dead_code)]

use tindoor::engine::RoutingEngine;
use tindoor::host::*;
use tindoor::settings::*;
use tindoor::time::{Moment, Span};

/// A call that the engine made to its host. The first field is the request's slot.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The second field is the endpoint.
    SendCacheOnly(u32, u32),
    SendWithFill {
        slot: u32,
        endpoint: u32,
        source: u32,
        max_age: Option<Span>,
        join_fill: bool,
        retention_rank: u8,
        only_if_cached: bool,
    },
    /// The second field is the index of the attempt.
    Cancel(u32, u16),
    /// The second field is the Retry-After.
    Reject(u32, Option<Span>),
    Fail(u32),
}

/// A host that records the calls of the engine.
#[derive(Default)]
pub struct RecordingHost {
    pub actions: Vec<Action>,
    /// The limits of the attempt that was sent last.
    pub last_limits: Option<AttemptLimits>,
}

impl Host for RecordingHost {
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, limits: AttemptLimits) {
        self.last_limits = Some(limits);
        self.actions.push(Action::SendCacheOnly(slot.0, endpoint.0));
    }
    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        limits: AttemptLimits,
        directives: FillDirectives,
    ) {
        self.last_limits = Some(limits);
        self.actions.push(Action::SendWithFill {
            slot: slot.0,
            endpoint: endpoint.0,
            source: directives.source.0,
            max_age: directives.max_age,
            join_fill: directives.join_fill,
            retention_rank: directives.retention_rank,
            only_if_cached: directives.only_if_cached,
        });
    }
    fn cancel(&mut self, slot: RequestSlot, index: u16) {
        self.actions.push(Action::Cancel(slot.0, index));
    }
    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>) {
        self.actions.push(Action::Reject(slot.0, retry_after));
    }
    fn fail(&mut self, slot: RequestSlot) {
        self.actions.push(Action::Fail(slot.0));
    }
    fn set_timer(&mut self, _: Span) {}
    fn watch_endpoints(&mut self) {}
}

/// The endpoint kinds of parents and origins; caches have kind 0.
pub const PARENT: u8 = 1;
pub const ORIGIN: u8 = 2;
/// The time at which every router starts, in microseconds.
pub const START: u64 = 100_000_000;

/// A routing engine, its clock in milliseconds since [`START`], and the properties of its next requests.
pub struct TestRouter {
    pub engine: RoutingEngine<RecordingHost>,
    pub millis: u64,
    pub last_slot: u32,
    pub client_retry: bool,
    pub authorization: Authorization,
    pub size_kb: Option<f32>,
}

/// Returns the list entry of a ready endpoint. Caches are in the location of the routers. `started_at` is in
/// milliseconds since [`START`].
pub fn entry(endpoint: u32, stable_id: u64, kind: u8, started_at: Option<u64>) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(endpoint),
        stable_id,
        state: EndpointState::Ready,
        started_at: started_at.map(|millis| Moment::at_micros(START + millis * 1000)),
        location: if kind == 0 { 3 } else { 0 },
        capacity: 1.0,
        kind,
        cell: 0,
    }
}

/// Returns the entries of four caches, two parents and the origin, in this order.
pub fn endpoint_list() -> Vec<EndpointUpdate> {
    let kinds = [0, 0, 0, 0, PARENT, PARENT, ORIGIN];
    kinds.iter().zip(0..).map(|(kind, id)| entry(id, 1000 + u64::from(id), *kind, None)).collect()
}

/// Starts a router with these endpoints. `changes` lists changed settings by name, with their new values.
///
/// Request class 0 is idempotent and stored, class 1 may also be served stale, class 2 is idempotent with a
/// key, and class 3 is non-idempotent. Requests of classes 2 and 3 run at the origin.
pub fn start_router(list: &[EndpointUpdate], changes: &[(&str, f64)]) -> TestRouter {
    let mut settings = settings();
    for (name, value) in changes {
        change_setting(&mut settings, name, *value);
    }
    let seed = changes.iter().find(|(name, _)| *name == "seed").map_or(7, |(_, value)| *value as u64);
    let start = Moment::at_micros(START);
    let mut engine = RoutingEngine::start(RecordingHost::default(), settings, seed, start);
    engine.endpoints_changed(ListUpdateKind::Full, list);
    TestRouter {
        engine,
        millis: 0,
        last_slot: 0,
        client_retry: false,
        authorization: Authorization::Granted,
        size_kb: None,
    }
}

impl TestRouter {
    /// Advances the clock in steps of one millisecond. Returns all actions since the previous call.
    pub fn advance(&mut self, millis: u64) -> Vec<Action> {
        for _ in 0..millis {
            self.millis += 1;
            self.engine.set_time(Moment::at_micros(START + self.millis * 1000));
            self.engine.timer_fired();
        }
        std::mem::take(&mut self.engine.host().actions)
    }

    /// Returns the time within which the last attempt must be sent; `None` if it may be sent at any time.
    pub fn send_within(&mut self) -> Option<Span> {
        self.engine.host().last_limits.expect("an attempt was sent").send_within
    }

    /// Receives a request for an object of group 9 with `millis` milliseconds remaining.
    pub fn request_within(&mut self, class: u16, object: u64, millis: u64) -> Vec<Action> {
        let meta = RequestMeta {
            object,
            part: 0,
            group: 9,
            class,
            size_kb: self.size_kb,
            client_retry: self.client_retry,
            first_ran: None,
            authorization: self.authorization,
        };
        self.last_slot += 1;
        self.engine.request_received(RequestSlot(self.last_slot), meta, Span::millis(millis));
        self.advance(0)
    }

    /// Receives a request with four seconds remaining.
    pub fn request(&mut self, class: u16, object: u64) -> Vec<Action> {
        self.request_within(class, object, 4000)
    }

    /// Ends an attempt of the last request after `millis` milliseconds. A served attempt is the request's
    /// last.
    pub fn end_attempt(
        &mut self,
        index: u16,
        status: AttemptStatus,
        detail: OutcomeDetail,
        millis: u64,
    ) -> Vec<Action> {
        self.end_attempt_of(self.last_slot, index, status, detail, millis)
    }

    /// Ends an attempt of the request in this slot after `millis` milliseconds.
    pub fn end_attempt_of(
        &mut self,
        slot: u32,
        index: u16,
        status: AttemptStatus,
        detail: OutcomeDetail,
        millis: u64,
    ) -> Vec<Action> {
        let (outcome, took) = (Outcome::new(status, detail), Span::millis(millis));
        let is_last = status == AttemptStatus::Served;
        self.engine.attempt_ended(RequestSlot(slot), index, outcome, took, is_last);
        self.advance(0)
    }

    /// Serves requests one after another, 10 ms apart, each with a response time of `millis` milliseconds.
    pub fn serve_sequentially(&mut self, requests: u64, detail: OutcomeDetail, millis: u64) {
        for object in 0..requests {
            self.request(0, object);
            self.advance(10);
            self.end_attempt(0, AttemptStatus::Served, detail, millis);
        }
    }
}

/// Returns the endpoint and the source of the only attempt sent.
pub fn sent_to(actions: &[Action]) -> (u32, u32) {
    match actions {
        [Action::SendWithFill { endpoint, source, .. }] => (*endpoint, *source),
        other => panic!("expected exactly one attempt with a fill, got {other:?}"),
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

fn change_setting(settings: &mut Settings, name: &str, value: f64) {
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
        // Used by `start_router`.
        "seed" => {}
        other => panic!("unknown test setting: {other}"),
    }
}

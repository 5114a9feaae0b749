//! Checks the table with a model checker, in every order of events up to a bounded depth.
//!
//! The model has two proxies and one idempotency key. Its events are calls and retries, reports that are
//! lost, late or duplicate, calls that end, changes of the endpoint list, and any decision of the routing
//! engine.

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// A model of the routing engine and the fronts: the requests in flight and the replies to each call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Host {
    /// The index of the attempt whose end has not been reported, by request.
    in_flight: BTreeMap<RequestNumber, Option<u16>>,
    /// The number of attempts issued so far, by request.
    attempts: BTreeMap<RequestNumber, u16>,
    /// The idempotency keys of the requests in flight.
    idempotency_keys: BTreeMap<RequestNumber, u128>,
    /// Whether the request waits for a decision of the routing engine.
    awaits_engine: BTreeMap<RequestNumber, bool>,
    /// The reply that is to be sent to each call next.
    unsent: BTreeMap<CallId, CallReply>,
    /// The replies that were sent to each call, in order.
    sent: BTreeMap<CallId, Vec<ReplyKind>>,
    /// Whether an attempt ended that was not in flight, or a request finished that was not in flight.
    has_fault: bool,
    /// The number of attempts that were served.
    served_count: u8,
    /// Whether a result was replayed before any attempt was served.
    replayed_before_served: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReplyKind {
    Decision,
    Final,
    AwaitRetry,
}

impl TableHost for Host {
    fn request_started(
        &mut self,
        number: RequestNumber,
        request: &ExternalRequest,
        _: Option<(Moment, EndpointId)>,
    ) {
        self.in_flight.insert(number, None);
        self.attempts.insert(number, 0);
        self.awaits_engine.insert(number, true);
        self.idempotency_keys.extend(request.idempotency_key.map(|key| (number, key)));
    }
    fn attempt_ended(&mut self, number: RequestNumber, attempt_index: u16, outcome: Outcome, last: bool) {
        let in_flight = self.in_flight.get_mut(&number).and_then(Option::take);
        self.has_fault |= in_flight != Some(attempt_index);
        self.served_count += u8::from(outcome.status == AttemptStatus::Served);
        self.awaits_engine.insert(number, !last);
    }
    fn request_abandoned(&mut self, number: RequestNumber) {
        self.awaits_engine.insert(number, false);
    }
    fn request_finished(&mut self, number: RequestNumber) {
        // The router itself reports the attempts that were decided on but never issued. The table must report
        // all others before the request finishes.
        self.has_fault |= self.in_flight.remove(&number).is_none();
        self.awaits_engine.remove(&number);
        self.idempotency_keys.remove(&number);
    }
    fn reply(&mut self, call: CallId, reply: CallReply) {
        self.replayed_before_served |= matches!(reply, CallReply::Replayed(_)) && self.served_count == 0;
        self.unsent.insert(call, reply);
    }
    fn retry_after(&mut self) -> Option<Span> {
        None
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    table: ExternalRequestTable,
    host: Host,
    /// The current time, in milliseconds.
    now_ms: u64,
    /// The number of calls so far.
    calls: u64,
    /// The attempt number of each proxy, and its call if one is open.
    proxies: [(u32, Option<CallId>); 2],
    /// The number of endpoint list changes so far.
    changes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Call(usize),
    Send(CallId),
    Decide(RequestNumber),
    Reject(RequestNumber),
    Report(usize, AttemptStatus),
    EndCall(usize),
    Change,
    Timer,
}

/// A model with two proxies.
struct TwoProxies {
    /// Whether both proxies call for the same request. Otherwise each proxy has its own request, and both
    /// requests have the same idempotency key.
    is_shared_request: bool,
    checks: EnabledChecks,
}

/// The maximum number of attempts of one request.
const MAX_ATTEMPTS: u16 = 3;

impl Model for TwoProxies {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let ms = Span::millis;
        let limits = Limits {
            max_requests: 2,
            max_idempotency_keys: 2,
            max_finished: 4,
            max_waiters: 1,
            use_within: ms(1),
            report_grace: ms(1),
            retry_window: ms(2),
            idempotency_window: ms(20),
            max_request_time: ms(9),
        };
        let table = ExternalRequestTable::new(limits, self.checks, Moment::default());
        let proxies = [(0, None); 2];
        vec![State { table, host: Host::default(), now_ms: 100_000, calls: 0, proxies, changes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        for (proxy, (attempt, call)) in state.proxies.iter().enumerate() {
            match call {
                None if *attempt < 2 => actions.push(Event::Call(proxy)),
                None => {}
                Some(call) => {
                    let sent = state.host.sent.get(call);
                    if sent.is_some_and(|sent| sent.last() == Some(&ReplyKind::Decision)) {
                        let reports =
                            [AttemptStatus::Served, AttemptStatus::Overloaded, AttemptStatus::Incomplete];
                        actions.extend(reports.map(|status| Event::Report(proxy, status)));
                    }
                    actions.push(Event::EndCall(proxy));
                }
            }
        }
        actions.extend(state.host.unsent.keys().map(|call| Event::Send(*call)));
        for (number, awaits_engine) in &state.host.awaits_engine {
            if *awaits_engine && state.host.in_flight[number].is_none() {
                if state.host.attempts[number] < MAX_ATTEMPTS {
                    actions.push(Event::Decide(*number));
                }
                actions.push(Event::Reject(*number));
            }
        }
        if state.changes < 1 {
            actions.push(Event::Change);
        }
        if state.table.next_timer().is_some() {
            actions.push(Event::Timer);
        }
    }

    fn next_state(&self, previous: &State, event: Event) -> Option<State> {
        let mut state = previous.clone();
        match event {
            Event::Call(proxy) => state.call(proxy, self.is_shared_request),
            Event::Send(call) => state.send(call)?,
            Event::Decide(number) => state.decide(number),
            Event::Reject(number) => state.reject(number),
            Event::Report(proxy, status) => state.report(proxy, status)?,
            Event::EndCall(proxy) => state.end_call(proxy)?,
            Event::Change => state.change_endpoints(),
            Event::Timer => state.fire_timer()?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a call gets at most one decision and two other replies", |_, state| {
                let other_replies =
                    |sent: &Vec<ReplyKind>| sent.iter().filter(|kind| **kind != ReplyKind::Decision).count();
                // A duplicate report gets a reply of its own. In this model a proxy makes no more reports
                // after a reply to one was sent, so a call gets at most two replies besides its decision.
                state.host.sent.values().all(|sent| other_replies(sent) <= 2)
                    && state
                        .host
                        .sent
                        .values()
                        .all(|sent| sent.iter().filter(|kind| **kind == ReplyKind::Decision).count() <= 1)
            }),
            Property::<Self>::always("each attempt ends once", |_, state| !state.host.has_fault),
            Property::<Self>::always("at most one request per idempotency key is in flight", |_, state| {
                state.host.idempotency_keys.len() <= 1
            }),
            Property::<Self>::always("a write is replayed only after it was served", |_, state| {
                !state.host.replayed_before_served
            }),
            Property::<Self>::always("a write is served at most once per idempotency key", |_, state| {
                state.host.served_count <= 1
            }),
            Property::<Self>::always("every request ends", |_, state| {
                // A request that no proxy waits for is ended by a timer.
                let has_open_call = state.proxies.iter().any(|proxy| proxy.1.is_some());
                state.table.in_flight() == 0 || has_open_call || state.table.next_timer().is_some()
            }),
            Property::<Self>::sometimes("a write is served", |_, state| state.host.served_count == 1),
            Property::<Self>::sometimes("a decision is withdrawn", |_, state| {
                state.table.counters.withdrawn > 0
            }),
            Property::<Self>::sometimes("a later attempt supersedes an earlier one", |_, state| {
                state.table.counters.superseded > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // A client retries for at most `max_request_time`, 9 ms. After that and the idempotency window of 20
        // ms, its key expires, and a write may be served again.
        state.now_ms < 100_000 + 29
            && state.calls <= 3
            && state.host.attempts.values().all(|count| *count <= MAX_ATTEMPTS)
    }
}

/// One method for each event.
impl State {
    fn now(&self) -> Moment {
        Moment::at_micros(self.now_ms * 1000)
    }

    fn call(&mut self, proxy: usize, is_shared_request: bool) {
        let now = self.now();
        self.calls += 1;
        let call = CallId(self.calls);
        let attempt = self.proxies[proxy].0 + 1;
        self.proxies[proxy] = (attempt, Some(call));
        let (correlation_id, attempt) =
            if is_shared_request { (1, attempt * 2 + proxy as u32) } else { (proxy as u64, attempt) };
        let request = ExternalRequest {
            correlation_id,
            attempt,
            class: 0,
            object: 1,
            part: 0,
            group: 0,
            idempotency_key: Some(9),
            is_non_idempotent: false,
            client_retry: false,
            time_remaining: Span::millis(5),
            authorization: Authorization::Granted,
        };
        self.table.call_received(now, &mut self.host, call, request);
    }

    fn send(&mut self, call: CallId) -> Option<()> {
        let reply = self.host.unsent.remove(&call)?;
        if self.table.confirm_send(self.now(), &mut self.host, call, &reply) {
            let kind = match reply {
                CallReply::Decision { .. } => ReplyKind::Decision,
                CallReply::AwaitRetry => ReplyKind::AwaitRetry,
                _ => ReplyKind::Final,
            };
            self.host.sent.entry(call).or_default().push(kind);
        }
        Some(())
    }

    fn decide(&mut self, number: RequestNumber) {
        let attempt_index = self.host.attempts[&number];
        self.host.attempts.insert(number, attempt_index + 1);
        self.host.in_flight.insert(number, Some(attempt_index));
        let decision = RoutingDecision {
            attempt_index,
            endpoint: EndpointId(attempt_index.into()),
            directives: None,
            timeout: Span::millis(3),
            send_by: None,
        };
        let now = self.now();
        self.table.decision_made(now, &mut self.host, number, decision);
    }

    fn reject(&mut self, number: RequestNumber) {
        self.host.awaits_engine.insert(number, false);
        let now = self.now();
        self.table.request_rejected(now, &mut self.host, number, None);
    }

    fn report(&mut self, proxy: usize, status: AttemptStatus) -> Option<()> {
        let stored_result = StoredResult { status: 200, version: 0 };
        let outcome = Outcome::new(status, OutcomeDetail::Unknown);
        let report = Report { outcome, stored_result, used_after: None };
        let (now, call) = (self.now(), self.proxies[proxy].1?);
        self.table.report_received(now, &mut self.host, call, None, report);
        Some(())
    }

    fn end_call(&mut self, proxy: usize) -> Option<()> {
        let call = self.proxies[proxy].1.take()?;
        self.host.unsent.remove(&call);
        let now = self.now();
        self.table.call_ended(now, call);
        Some(())
    }

    fn change_endpoints(&mut self) {
        self.changes += 1;
        self.table.withdraw_stale_decisions(&mut self.host, |_, decision| decision.endpoint == EndpointId(0));
    }

    fn fire_timer(&mut self) -> Option<()> {
        let next = self.table.next_timer()?;
        self.now_ms = self.now_ms.max(next.as_micros().div_ceil(1000));
        let now = self.now();
        self.table.timer_fired(now, &mut self.host);
        Some(())
    }
}

/// Runs the model checker and returns the names of the properties that were violated.
fn check_model(is_shared_request: bool, checks: EnabledChecks) -> Vec<&'static str> {
    let checker =
        TwoProxies { is_shared_request, checks }.checker().threads(4).target_max_depth(12).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    let mut violations: Vec<_> = checker.discoveries().into_keys().collect();
    // Discoveries of the `sometimes` properties are examples, not violations.
    violations.retain(|name| {
        !["a write is served", "a decision is withdrawn", "a later attempt supersedes an earlier one"]
            .contains(name)
    });
    for (name, path) in checker.discoveries().into_iter().filter(|(name, _)| violations.contains(name)) {
        eprintln!("{name}: {:?}", path.into_actions());
    }
    violations
}

#[test]
fn two_requests_with_the_same_idempotency_key_satisfy_all_properties_in_every_order() {
    assert_eq!(check_model(false, EnabledChecks::default()), [""; 0]);
}

#[test]
fn one_request_over_two_proxies_satisfies_all_properties_in_every_order() {
    assert_eq!(check_model(true, EnabledChecks::default()), [""; 0]);
}

#[test]
fn without_the_idempotency_key_check_concurrent_requests_with_the_same_key_are_detected() {
    let violations =
        check_model(false, EnabledChecks { idempotency_keys: false, ..EnabledChecks::default() });
    assert!(violations.contains(&"at most one request per idempotency key is in flight"), "{violations:?}");
}

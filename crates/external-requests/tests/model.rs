//! Checks every order of events with a model checker, for two proxies and one idempotency key: calls and
//! retries, reports that are lost, late or duplicate, calls that end, changes of the endpoint list, and a
//! routing engine that decides freely.

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// The routing engine and the fronts: requests in flight, and the replies to each call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Host {
    /// The attempts that are not reported, by request; and how many there were.
    in_flight: BTreeMap<RequestNumber, Option<u16>>,
    attempts: BTreeMap<RequestNumber, u16>,
    idempotency_keys: BTreeMap<RequestNumber, u128>,
    /// Whether a request waits for the routing engine's decision.
    awaits_engine: BTreeMap<RequestNumber, bool>,
    /// The reply that waits for each call, and the replies that each was sent.
    unsent: BTreeMap<CallId, CallReply>,
    sent: BTreeMap<CallId, Vec<ReplyKind>>,
    /// An attempt ended twice or was never ordered, or a request finished twice.
    has_fault: bool,
    done: u8,
    replayed_before_done: bool,
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
        self.done += u8::from(outcome.status == AttemptStatus::Served);
        self.awaits_engine.insert(number, !last);
    }
    fn request_abandoned(&mut self, number: RequestNumber) {
        self.awaits_engine.insert(number, false);
    }
    fn request_finished(&mut self, number: RequestNumber) {
        // The router reports the attempts that were ordered and never issued; the table must leave no others
        // in flight.
        self.has_fault |= self.in_flight.remove(&number).is_none();
        self.awaits_engine.remove(&number);
        self.idempotency_keys.remove(&number);
    }
    fn reply(&mut self, call: CallId, reply: CallReply) {
        self.replayed_before_done |= matches!(reply, CallReply::Replayed(_)) && self.done == 0;
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
    now: u64,
    calls: u64,
    /// By proxy, its attempt and its call, if one is open.
    proxies: [(u32, Option<CallId>); 2],
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

/// Two proxies, which carry one request, or each its own with the same idempotency key.
struct TwoProxies {
    is_one_request: bool,
    checks: EnabledChecks,
}

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
        vec![State { table, host: Host::default(), now: 100_000, calls: 0, proxies, changes: 0 }]
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
        for (number, waits) in &state.host.awaits_engine {
            if *waits && state.host.in_flight[number].is_none() {
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
            Event::Call(proxy) => state.call(proxy, self.is_one_request),
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
            Property::<Self>::always("one final answer a call", |_, state| {
                let finals =
                    |sent: &Vec<ReplyKind>| sent.iter().filter(|kind| **kind != ReplyKind::Decision).count();
                // Each duplicate report is replied to; here there is one report for each decision.
                state.host.sent.values().all(|sent| finals(sent) <= 2)
                    && state
                        .host
                        .sent
                        .values()
                        .all(|sent| sent.iter().filter(|kind| **kind == ReplyKind::Decision).count() <= 1)
            }),
            Property::<Self>::always("each attempt ends once", |_, state| !state.host.has_fault),
            Property::<Self>::always("one request of an idempotency key at a time", |_, state| {
                state.host.idempotency_keys.len() <= 1
            }),
            Property::<Self>::always("replayed only once done", |_, state| !state.host.replayed_before_done),
            Property::<Self>::always("done at most once by an idempotency key", |_, state| {
                state.host.done <= 1
            }),
            Property::<Self>::always("every request has an end", |_, state| {
                // A request that no proxy waits for ends by a timer.
                let waits = state.proxies.iter().any(|proxy| proxy.1.is_some());
                state.table.in_flight() == 0 || waits || state.table.next_timer().is_some()
            }),
            Property::<Self>::sometimes("a write is done", |_, state| state.host.done == 1),
            Property::<Self>::sometimes("a decision is withdrawn", |_, state| {
                state.table.counters.withdrawn > 0
            }),
            Property::<Self>::sometimes("an attempt supersedes another", |_, state| {
                state.table.counters.superseded > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // A client retries within its longest wait; after that and the idempotency window its key is evicted.
        state.now < 100_000 + 29
            && state.calls <= 3
            && state.host.attempts.values().all(|count| *count <= MAX_ATTEMPTS)
    }
}

/// One method for each event.
impl State {
    fn at(&self) -> Moment {
        Moment::at_micros(self.now * 1000)
    }

    fn call(&mut self, proxy: usize, is_one_request: bool) {
        let at = self.at();
        self.calls += 1;
        let call = CallId(self.calls);
        let attempt = self.proxies[proxy].0 + 1;
        self.proxies[proxy] = (attempt, Some(call));
        let (correlation_id, attempt) =
            if is_one_request { (1, attempt * 2 + proxy as u32) } else { (proxy as u64, attempt) };
        let request = ExternalRequest {
            correlation_id,
            attempt,
            class: 0,
            object: 1,
            part: 0,
            group: 0,
            idempotency_key: Some(9),
            client_retry: false,
            time_remaining: Span::millis(5),
            authorization: Authorization::Granted,
        };
        self.table.call_received(at, &mut self.host, call, request);
    }

    fn send(&mut self, call: CallId) -> Option<()> {
        let reply = self.host.unsent.remove(&call)?;
        if self.table.confirm_send(call, &reply) {
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
        };
        let at = self.at();
        self.table.decision_made(at, &mut self.host, number, decision);
    }

    fn reject(&mut self, number: RequestNumber) {
        self.host.awaits_engine.insert(number, false);
        let at = self.at();
        self.table.request_rejected(at, &mut self.host, number, None);
    }

    fn report(&mut self, proxy: usize, status: AttemptStatus) -> Option<()> {
        let stored_result = StoredResult { status: 200, version: 0 };
        let outcome = Outcome::new(status, OutcomeDetail::Unknown);
        let report = Report { outcome, stored_result, used_after: None };
        let (at, call) = (self.at(), self.proxies[proxy].1?);
        self.table.report_received(at, &mut self.host, call, None, report);
        Some(())
    }

    fn end_call(&mut self, proxy: usize) -> Option<()> {
        let call = self.proxies[proxy].1.take()?;
        self.host.unsent.remove(&call);
        let at = self.at();
        self.table.call_ended(at, call);
        Some(())
    }

    fn change_endpoints(&mut self) {
        self.changes += 1;
        self.table.withdraw_stale_decisions(&mut self.host, |_, decision| decision.endpoint == EndpointId(0));
    }

    fn fire_timer(&mut self) -> Option<()> {
        let next = self.table.next_timer()?;
        self.now = self.now.max(next.as_micros().div_ceil(1000));
        let at = self.at();
        self.table.timer_fired(at, &mut self.host);
        Some(())
    }
}

fn check(is_one_request: bool, checks: EnabledChecks) -> Vec<&'static str> {
    let checker =
        TwoProxies { is_one_request, checks }.checker().threads(4).target_max_depth(12).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    let mut found: Vec<_> = checker.discoveries().into_keys().collect();
    found.retain(|name| {
        !["a write is done", "a decision is withdrawn", "an attempt supersedes another"].contains(name)
    });
    for (name, path) in checker.discoveries().into_iter().filter(|(name, _)| found.contains(name)) {
        eprintln!("{name}: {:?}", path.into_actions());
    }
    found
}

#[test]
fn two_requests_with_one_idempotency_key_keep_the_rules_in_every_order() {
    assert_eq!(check(false, EnabledChecks::default()), [""; 0]);
}

#[test]
fn one_request_over_two_proxies_keeps_the_rules_in_every_order() {
    assert_eq!(check(true, EnabledChecks::default()), [""; 0]);
}

#[test]
fn with_the_idempotency_key_check_disabled_a_write_that_runs_twice_is_detected() {
    let found = check(false, EnabledChecks { idempotency_keys: false, ..EnabledChecks::default() });
    assert!(found.contains(&"one request of an idempotency key at a time"), "{found:?}");
}

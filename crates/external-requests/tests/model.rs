//! Every order of events for two proxies with one mark between them, by a model checker: calls, further
//! tries, reports that are lost, late or given twice, streams that end, changes of the list, a module that
//! decides freely.

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// What the rest of the world knows: the routing engine's requests, and what each call was told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Rest {
    /// The routing engine's attempts that are not reported, by request; and how many there were.
    out: BTreeMap<RequestNumber, Option<u16>>,
    attempts: BTreeMap<RequestNumber, u16>,
    idempotency_keys: BTreeMap<RequestNumber, u128>,
    /// Requests that wait for the routing engine's next word.
    asked: BTreeMap<RequestNumber, bool>,
    /// What lies for each call, unsent, and what each was sent.
    unsent: BTreeMap<CallId, CallReply>,
    sent: BTreeMap<CallId, Vec<Kind>>,
    /// Attempts ended twice, or never ordered; and words out of turn.
    wrong: bool,
    done: u8,
    known_before_done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    RoutingDecision,
    Final,
    Again,
}

impl TableHost for Rest {
    fn request_started(
        &mut self,
        serial: RequestNumber,
        call: &ExternalRequest,
        _: Option<(Moment, EndpointId)>,
    ) {
        self.out.insert(serial, None);
        self.attempts.insert(serial, 0);
        self.asked.insert(serial, true);
        self.idempotency_keys.extend(call.idempotency_key.map(|idempotency_key| (serial, idempotency_key)));
    }
    fn attempt_ended(&mut self, serial: RequestNumber, nth: u16, end: Outcome, last: bool) {
        let open = self.out.get_mut(&serial).and_then(Option::take);
        self.wrong |= open != Some(nth);
        self.done += u8::from(end.status == AttemptStatus::Served);
        self.asked.insert(serial, !last);
    }
    fn request_abandoned(&mut self, serial: RequestNumber) {
        self.asked.insert(serial, false);
    }
    fn request_finished(&mut self, serial: RequestNumber) {
        // The router reports what was ordered and never given; the table must leave nothing else open.
        self.wrong |= self.out.remove(&serial).is_none();
        self.asked.remove(&serial);
        self.idempotency_keys.remove(&serial);
    }
    fn reply(&mut self, stream: CallId, say: CallReply) {
        self.known_before_done |= matches!(say, CallReply::Replayed(_)) && self.done == 0;
        self.unsent.insert(stream, say);
    }
    fn retry_after(&mut self) -> Option<Span> {
        None
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    calls: ExternalRequestTable,
    rest: Rest,
    now: u64,
    streams: u64,
    /// By proxy, its try and its stream, if one is open.
    proxies: [(u32, Option<CallId>); 2],
    changes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    ExternalRequest(usize),
    Send(CallId),
    Action(RequestNumber),
    Refuse(RequestNumber),
    Report(usize, AttemptStatus),
    End(usize),
    Change,
    Tick,
}

/// Two proxies; `same` has both of them carry one request, else each its own with the same mark.
struct Two {
    same: bool,
    checks: EnabledChecks,
}

const MOST: u16 = 3;

impl Model for Two {
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
        let calls = ExternalRequestTable::new(limits, self.checks, Moment::default());
        let proxies = [(0, None); 2];
        vec![State { calls, rest: Rest::default(), now: 100_000, streams: 0, proxies, changes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        for (nth, (attempt, stream)) in state.proxies.iter().enumerate() {
            match stream {
                None if *attempt < 2 => actions.push(Event::ExternalRequest(nth)),
                None => {}
                Some(stream) => {
                    let said = state.rest.sent.get(stream);
                    if said.is_some_and(|said| said.last() == Some(&Kind::RoutingDecision)) {
                        let reports =
                            [AttemptStatus::Served, AttemptStatus::Overloaded, AttemptStatus::Incomplete];
                        actions.extend(reports.map(|verdict| Event::Report(nth, verdict)));
                    }
                    actions.push(Event::End(nth));
                }
            }
        }
        actions.extend(state.rest.unsent.keys().map(|stream| Event::Send(*stream)));
        for (serial, asked) in &state.rest.asked {
            if *asked && state.rest.out[serial].is_none() {
                if state.rest.attempts[serial] < MOST {
                    actions.push(Event::Action(*serial));
                }
                actions.push(Event::Refuse(*serial));
            }
        }
        if state.changes < 1 {
            actions.push(Event::Change);
        }
        if state.calls.next_timer().is_some() {
            actions.push(Event::Tick);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        let State { calls, rest, now, streams, proxies, changes } = &mut state;
        let at = Moment::at_micros(*now * 1000);
        match event {
            Event::ExternalRequest(nth) => {
                *streams += 1;
                let stream = CallId(*streams);
                let attempt = proxies[nth].0 + 1;
                proxies[nth] = (attempt, Some(stream));
                let (correlation_id, attempt) =
                    if self.same { (1, attempt * 2 + nth as u32) } else { (nth as u64, attempt) };
                let (class, object, part, group, client_retry) = (0, 1, 0, 0, false);
                let (idempotency_key, left) = (Some(9), Span::millis(5));
                let call = ExternalRequest {
                    correlation_id,
                    attempt,
                    class,
                    object,
                    part,
                    group,
                    idempotency_key,
                    client_retry,
                    time_remaining: left,
                    authorization: Authorization::Granted,
                };
                calls.call_received(at, rest, stream, call);
            }
            Event::Send(stream) => {
                let say = rest.unsent.remove(&stream)?;
                if calls.confirm_send(stream, &say) {
                    let kind = match say {
                        CallReply::Decision { .. } => Kind::RoutingDecision,
                        CallReply::AwaitRetry => Kind::Again,
                        _ => Kind::Final,
                    };
                    rest.sent.entry(stream).or_default().push(kind);
                }
            }
            Event::Action(serial) => {
                let nth = rest.attempts[&serial];
                rest.attempts.insert(serial, nth + 1);
                rest.out.insert(serial, Some(nth));
                let decision = RoutingDecision {
                    attempt_index: nth,
                    endpoint: EndpointId(nth.into()),
                    directives: None,
                    timeout: Span::millis(3),
                };
                calls.decision_made(at, rest, serial, decision);
            }
            Event::Refuse(serial) => {
                rest.asked.insert(serial, false);
                calls.request_rejected(at, rest, serial, None);
            }
            Event::Report(nth, verdict) => {
                let known = StoredResult { status: 200, version: 0 };
                let report = Report {
                    outcome: Outcome::new(verdict, OutcomeDetail::Unknown),
                    stored_result: known,
                    used_after: None,
                };
                calls.report_received(at, rest, proxies[nth].1?, None, report);
            }
            Event::End(nth) => {
                let stream = proxies[nth].1.take()?;
                rest.unsent.remove(&stream);
                calls.call_ended(at, stream);
            }
            Event::Change => {
                *changes += 1;
                calls.withdraw_stale_decisions(rest, |_, decision| decision.endpoint == EndpointId(0));
            }
            Event::Tick => {
                let next = calls.next_timer()?;
                *now = (*now).max(next.since(Moment::default()).as_micros().div_ceil(1000));
                calls.timer_fired(Moment::at_micros(*now * 1000), rest);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one final answer a call", |_, state| {
                let finals =
                    |said: &Vec<Kind>| said.iter().filter(|kind| **kind != Kind::RoutingDecision).count();
                // One that reports twice is told so each time; there is one report for each choice here.
                state.rest.sent.values().all(|said| finals(said) <= 2)
                    && state
                        .rest
                        .sent
                        .values()
                        .all(|said| said.iter().filter(|kind| **kind == Kind::RoutingDecision).count() <= 1)
            }),
            Property::<Self>::always("each dispatch ends once", |_, state| !state.rest.wrong),
            Property::<Self>::always("one view of a mark at a time", |_, state| {
                state.rest.idempotency_keys.len() <= 1
            }),
            Property::<Self>::always("known only once done", |_, state| !state.rest.known_before_done),
            Property::<Self>::always("done at most once by a mark", |_, state| state.rest.done <= 1),
            Property::<Self>::always("nothing is left for ever", |_, state| {
                // Whatever no proxy waits for has a time at which it ends.
                let waits = state.proxies.iter().any(|proxy| proxy.1.is_some());
                state.calls.in_flight() == 0 || waits || state.calls.next_timer().is_some()
            }),
            Property::<Self>::sometimes("a save is done", |_, state| state.rest.done == 1),
            Property::<Self>::sometimes("a choice is taken back", |_, state| {
                state.calls.counters.withdrawn > 0
            }),
            Property::<Self>::sometimes("a try overtakes another", |_, state| {
                state.calls.counters.superseded > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // A client tries again within its longest wait; after that and the window a mark is forgotten.
        state.now < 100_000 + 29
            && state.streams <= 3
            && state.rest.attempts.values().all(|count| *count <= MOST)
    }
}

fn check(same: bool, checks: EnabledChecks) -> Vec<&'static str> {
    let checker = Two { same, checks }.checker().threads(4).target_max_depth(12).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    let mut found: Vec<_> = checker.discoveries().into_keys().collect();
    found.retain(|name| {
        !["a save is done", "a choice is taken back", "a try overtakes another"].contains(name)
    });
    for (name, path) in checker.discoveries().into_iter().filter(|(name, _)| found.contains(name)) {
        eprintln!("{name}: {:?}", path.into_actions());
    }
    found
}

#[test]
fn two_requests_of_one_mark_keep_the_rules_in_every_order() {
    assert_eq!(check(false, EnabledChecks::default()), [""; 0]);
}

#[test]
fn one_request_over_two_proxies_keeps_the_rules_in_every_order() {
    assert_eq!(check(true, EnabledChecks::default()), [""; 0]);
}

#[test]
fn without_the_guard_on_marks_the_checker_finds_a_save_run_twice() {
    let found = check(false, EnabledChecks { idempotency_keys: false, ..EnabledChecks::default() });
    assert!(found.contains(&"one view of a mark at a time"), "{found:?}");
}

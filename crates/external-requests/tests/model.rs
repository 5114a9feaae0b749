//! Every order of events for two proxies with one mark between them, by a model checker: calls, further
//! tries, reports that are lost, late or given twice, streams that end, changes of the list, a module that
//! decides freely.

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use tindoor::host::{CacheNo, Note, Pass, Verdict};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// What the rest of the world knows: the module's views, and what each call was told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Rest {
    /// The module's dispatches that are not reported, by view; and how many there were.
    out: BTreeMap<Serial, Option<u16>>,
    dispatches: BTreeMap<Serial, u16>,
    marks: BTreeMap<Serial, u128>,
    /// Views that wait for the module's next word.
    asked: BTreeMap<Serial, bool>,
    /// What lies for each call, unsent, and what each was sent.
    unsent: BTreeMap<Stream, Say>,
    sent: BTreeMap<Stream, Vec<Kind>>,
    /// Dispatches ended twice, or never ordered; and words out of turn.
    wrong: bool,
    done: u8,
    known_before_done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Choice,
    Final,
    Again,
}

impl Hands for Rest {
    fn begin(&mut self, serial: Serial, call: &Call, _: Option<(Moment, CacheNo)>) {
        self.out.insert(serial, None);
        self.dispatches.insert(serial, 0);
        self.asked.insert(serial, true);
        self.marks.extend(call.mark.map(|mark| (serial, mark)));
    }
    fn ended(&mut self, serial: Serial, nth: u16, end: (Verdict, Note), last: bool) {
        let open = self.out.get_mut(&serial).and_then(Option::take);
        self.wrong |= open != Some(nth);
        self.done += u8::from(end.0 == Verdict::Done);
        self.asked.insert(serial, !last);
    }
    fn left(&mut self, serial: Serial) {
        self.asked.insert(serial, false);
    }
    fn close(&mut self, serial: Serial) {
        // The router reports what was ordered and never given; the table must leave nothing else open.
        self.wrong |= self.out.remove(&serial).is_none();
        self.asked.remove(&serial);
        self.marks.remove(&serial);
    }
    fn say(&mut self, stream: Stream, say: Say) {
        self.known_before_done |= matches!(say, Say::Known(_)) && self.done == 0;
        self.unsent.insert(stream, say);
    }
    fn come_back(&mut self) -> Option<Span> {
        None
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    calls: Calls,
    rest: Rest,
    now: u64,
    streams: u64,
    /// By proxy, its try and its stream, if one is open.
    proxies: [(u32, Option<Stream>); 2],
    changes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Call(usize),
    Send(Stream),
    Order(Serial),
    Refuse(Serial),
    Report(usize, Verdict),
    End(usize),
    Change,
    Tick,
}

/// Two proxies; `same` has both of them carry one view, else each its own with the same mark.
struct Two {
    same: bool,
    guards: Guards,
}

const MOST: u16 = 3;

impl Model for Two {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let ms = Span::millis;
        let bounds = Bounds {
            views: 2,
            marks: 2,
            over: 4,
            waiters: 1,
            use_within: ms(1),
            report_within: ms(1),
            again_within: ms(2),
            window: ms(20),
            longest: ms(9),
        };
        let calls = Calls::new(bounds, self.guards, Moment::default());
        let proxies = [(0, None); 2];
        vec![State { calls, rest: Rest::default(), now: 100_000, streams: 0, proxies, changes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        for (nth, (attempt, stream)) in state.proxies.iter().enumerate() {
            match stream {
                None if *attempt < 2 => actions.push(Event::Call(nth)),
                None => {}
                Some(stream) => {
                    let said = state.rest.sent.get(stream);
                    if said.is_some_and(|said| said.last() == Some(&Kind::Choice)) {
                        let reports = [Verdict::Done, Verdict::Full, Verdict::Broken];
                        actions.extend(reports.map(|verdict| Event::Report(nth, verdict)));
                    }
                    actions.push(Event::End(nth));
                }
            }
        }
        actions.extend(state.rest.unsent.keys().map(|stream| Event::Send(*stream)));
        for (serial, asked) in &state.rest.asked {
            if *asked && state.rest.out[serial].is_none() {
                if state.rest.dispatches[serial] < MOST {
                    actions.push(Event::Order(*serial));
                }
                actions.push(Event::Refuse(*serial));
            }
        }
        if state.changes < 1 {
            actions.push(Event::Change);
        }
        if state.calls.next().is_some() {
            actions.push(Event::Tick);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        let State { calls, rest, now, streams, proxies, changes } = &mut state;
        let at = Moment::at_micros(*now * 1000);
        match event {
            Event::Call(nth) => {
                *streams += 1;
                let stream = Stream(*streams);
                let attempt = proxies[nth].0 + 1;
                proxies[nth] = (attempt, Some(stream));
                let (ticket, attempt) =
                    if self.same { (1, attempt * 2 + nth as u32) } else { (nth as u64, attempt) };
                let (offering, object, part, group, repeat) = (0, 1, 0, 0, false);
                let (mark, left) = (Some(9), Span::millis(5));
                let call = Call {
                    ticket,
                    attempt,
                    offering,
                    object,
                    part,
                    group,
                    mark,
                    repeat,
                    left,
                    pass: Pass::Free,
                };
                calls.call(at, rest, stream, call);
            }
            Event::Send(stream) => {
                let say = rest.unsent.remove(&stream)?;
                if calls.leaves(stream, &say) {
                    let kind = match say {
                        Say::Choice { .. } => Kind::Choice,
                        Say::Again => Kind::Again,
                        _ => Kind::Final,
                    };
                    rest.sent.entry(stream).or_default().push(kind);
                }
            }
            Event::Order(serial) => {
                let nth = rest.dispatches[&serial];
                rest.dispatches.insert(serial, nth + 1);
                rest.out.insert(serial, Some(nth));
                let choice = Choice { nth, cache: CacheNo(nth.into()), terms: None, wait: Span::millis(3) };
                calls.ordered(at, rest, serial, choice);
            }
            Event::Refuse(serial) => {
                rest.asked.insert(serial, false);
                calls.refused_by_module(at, rest, serial, Some(None));
            }
            Event::Report(nth, verdict) => {
                let known = Known { status: 200, version: 0 };
                let report = Report { verdict, note: Note::Untold, known, used_after: None };
                calls.reported(at, rest, proxies[nth].1?, None, report);
            }
            Event::End(nth) => {
                let stream = proxies[nth].1.take()?;
                rest.unsent.remove(&stream);
                calls.ended(at, stream);
            }
            Event::Change => {
                *changes += 1;
                calls.told(rest, |_, choice| choice.cache == CacheNo(0));
            }
            Event::Tick => {
                let next = calls.next()?;
                *now = (*now).max(next.since(Moment::default()).as_micros().div_ceil(1000));
                calls.tick(Moment::at_micros(*now * 1000), rest);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one final answer a call", |_, state| {
                let finals = |said: &Vec<Kind>| said.iter().filter(|kind| **kind != Kind::Choice).count();
                // One that reports twice is told so each time; there is one report for each choice here.
                state.rest.sent.values().all(|said| finals(said) <= 2)
                    && state
                        .rest
                        .sent
                        .values()
                        .all(|said| said.iter().filter(|kind| **kind == Kind::Choice).count() <= 1)
            }),
            Property::<Self>::always("each dispatch ends once", |_, state| !state.rest.wrong),
            Property::<Self>::always("one view of a mark at a time", |_, state| state.rest.marks.len() <= 1),
            Property::<Self>::always("known only once done", |_, state| !state.rest.known_before_done),
            Property::<Self>::always("done at most once by a mark", |_, state| state.rest.done <= 1),
            Property::<Self>::always("nothing is left for ever", |_, state| {
                // Whatever no proxy waits for has a time at which it ends.
                let waits = state.proxies.iter().any(|proxy| proxy.1.is_some());
                state.calls.open() == 0 || waits || state.calls.next().is_some()
            }),
            Property::<Self>::sometimes("a save is done", |_, state| state.rest.done == 1),
            Property::<Self>::sometimes("a choice is taken back", |_, state| {
                state.calls.figures.withdrawn > 0
            }),
            Property::<Self>::sometimes("a try overtakes another", |_, state| {
                state.calls.figures.overtaken > 0
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        // A client tries again within its longest wait; after that and the window a mark is forgotten.
        state.now < 100_000 + 29
            && state.streams <= 3
            && state.rest.dispatches.values().all(|count| *count <= MOST)
    }
}

fn check(same: bool, guards: Guards) -> Vec<&'static str> {
    let checker = Two { same, guards }.checker().threads(4).target_max_depth(12).spawn_bfs().join();
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
fn two_views_of_one_mark_keep_the_rules_in_every_order() {
    assert_eq!(check(false, Guards::default()), [""; 0]);
}

#[test]
fn one_view_over_two_proxies_keeps_the_rules_in_every_order() {
    assert_eq!(check(true, Guards::default()), [""; 0]);
}

#[test]
fn without_the_guard_on_marks_the_checker_finds_a_save_run_twice() {
    let found = check(false, Guards { marks: false, ..Guards::default() });
    assert!(found.contains(&"one view of a mark at a time"), "{found:?}");
}

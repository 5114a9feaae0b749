//! One short story for each thing that a proxy may do to a choice.

use std::collections::BTreeMap;

use tindoor::host::{CacheNo, Note, Pass, Verdict};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// What the table did, in its order.
#[derive(Clone, Debug, PartialEq)]
enum Did {
    Begin(Serial, Option<(Moment, CacheNo)>),
    Ended(Serial, u16, Verdict, bool),
    Left(Serial),
    Close(Serial),
}

#[derive(Default)]
struct Fake {
    did: Vec<Did>,
    says: BTreeMap<Stream, Vec<Say>>,
}

impl Hands for Fake {
    fn begin(&mut self, serial: Serial, _: &Call, ran: Option<(Moment, CacheNo)>) {
        self.did.push(Did::Begin(serial, ran));
    }
    fn ended(&mut self, serial: Serial, nth: u16, end: (Verdict, Note), last: bool) {
        self.did.push(Did::Ended(serial, nth, end.0, last));
    }
    fn left(&mut self, serial: Serial) {
        self.did.push(Did::Left(serial));
    }
    fn close(&mut self, serial: Serial) {
        self.did.push(Did::Close(serial));
    }
    fn say(&mut self, stream: Stream, say: Say) {
        self.says.entry(stream).or_default().push(say);
    }
    fn come_back(&mut self) -> Option<Span> {
        Some(Span::millis(100))
    }
}

struct World {
    calls: Calls,
    fake: Fake,
    now: u64,
}

const BOUNDS: Bounds = Bounds {
    views: 4,
    marks: 4,
    over: 16,
    waiters: 2,
    use_within: Span::millis(200),
    report_within: Span::millis(250),
    again_within: Span::millis(250),
    window: Span::millis(3000),
    longest: Span::millis(60_000),
};

fn world() -> World {
    // Well after the start, when every mark in its window would be known.
    let calls = Calls::new(BOUNDS, Guards::default(), Moment::at_micros(0));
    World { calls, fake: Fake::default(), now: 100_000 }
}

fn save(ticket: u64, attempt: u32, mark: u128) -> Call {
    let (offering, object, part, group, repeat) = (1, 7, 0, 3, false);
    let (mark, left) = (Some(mark), Span::millis(3000));
    Call { ticket, attempt, offering, object, part, group, mark, repeat, left, pass: Pass::Free }
}

fn page(ticket: u64, attempt: u32) -> Call {
    Call { mark: None, offering: 0, ..save(ticket, attempt, 0) }
}

fn report(verdict: Verdict) -> Report {
    let known = Known { status: 200, version: 9 };
    Report { verdict, note: Note::Untold, known, used_after: None }
}

impl World {
    fn at(&self) -> Moment {
        Moment::at_micros(self.now * 1000)
    }
    fn call(&mut self, stream: u64, call: Call) {
        self.calls.call(self.at(), &mut self.fake, Stream(stream), call);
    }
    fn order(&mut self, serial: u64, nth: u16, cache: u32) {
        let choice = Choice { nth, cache: CacheNo(cache), terms: None, wait: Span::millis(900) };
        self.calls.ordered(self.at(), &mut self.fake, Serial(serial), choice);
    }
    fn report(&mut self, stream: u64, verdict: Verdict) {
        self.calls.reported(self.at(), &mut self.fake, Stream(stream), None, report(verdict));
    }
    fn end(&mut self, stream: u64) {
        self.calls.ended(self.at(), Stream(stream));
    }
    fn refuse(&mut self, serial: u64) {
        self.calls.refused_by_module(self.at(), &mut self.fake, Serial(serial), Some(None));
    }
    fn pass(&mut self, millis: u64) {
        self.now += millis;
        self.calls.tick(self.at(), &mut self.fake);
    }
    fn said(&self, stream: u64) -> Say {
        *self.fake.says[&Stream(stream)].last().unwrap()
    }
    fn leaves(&mut self, stream: u64) -> bool {
        let say = self.said(stream);
        self.calls.leaves(Stream(stream), &say)
    }
    fn ends(&self) -> Vec<(u16, Verdict, bool)> {
        let end = |did: &Did| match did {
            Did::Ended(_, nth, verdict, last) => Some((*nth, *verdict, *last)),
            _ => None,
        };
        self.fake.did.iter().filter_map(end).collect()
    }
    fn is_choice(&self, stream: u64) -> bool {
        matches!(self.said(stream), Say::Choice { .. })
    }
}

#[test]
fn a_choice_that_is_reported_done_ends_its_view() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    let Say::Choice { choice, use_within, .. } = world.said(1) else { panic!() };
    assert_eq!((choice.cache, use_within), (CacheNo(2), Span::millis(200)));
    assert!(world.leaves(1));
    world.report(1, Verdict::Done);
    assert_eq!(world.said(1), Say::PassOn);
    assert_eq!(world.ends(), [(0, Verdict::Done, true)]);
    assert_eq!((world.fake.did.last(), world.calls.open()), (Some(&Did::Close(Serial(1))), 0));
    world.call(2, page(5, 2));
    assert_eq!(world.said(2), Say::WrittenOff(Why::Ticket), "a ticket is answered once");
}

#[test]
fn a_failure_is_decided_by_the_module_and_the_next_call_gets_what_it_chose() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.report(1, Verdict::Full);
    world.order(1, 1, 3);
    assert_eq!(world.said(1), Say::Again);
    world.call(2, page(5, 2));
    assert!(world.is_choice(2));
    world.report(2, Verdict::Broken);
    world.refuse(1);
    assert_eq!(world.said(2), Say::TurnedBack(None, Why::GivenUp));
    assert_eq!(world.ends(), [(0, Verdict::Full, false), (1, Verdict::Broken, false)]);
    world.call(3, page(5, 3));
    assert_eq!(
        world.said(3),
        Say::TurnedBack(None, Why::GivenUp),
        "the same answer again, and no ninth dispatch"
    );
    assert_eq!(world.calls.open(), 0);
}

#[test]
fn given_up_before_the_choice_nothing_ran_and_after_it_it_may_have() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.end(1);
    world.order(1, 0, 2);
    world.pass(250);
    assert_eq!(world.ends(), [(0, Verdict::Moot, true)]);
    world.call(2, page(6, 1));
    world.order(2, 0, 2);
    assert!(world.leaves(2));
    world.end(2);
    world.pass(250);
    assert_eq!(world.ends()[1..], [(0, Verdict::CalledOff, true)]);
    assert_eq!(world.calls.open(), 0);
}

#[test]
fn a_try_that_ended_without_a_word_goes_on_over_another_connection() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.end(1);
    world.pass(100);
    assert!(world.ends().is_empty(), "its end is told with the next call, when the module knows more");
    world.call(2, page(5, 2));
    assert_eq!(world.ends(), [(0, Verdict::CalledOff, false)]);
    world.order(1, 1, 3);
    assert!(world.is_choice(2));
}

#[test]
fn a_later_try_overtakes_the_earlier_and_an_equal_one_is_refused() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.call(2, page(5, 1));
    assert_eq!(world.said(2), Say::WrittenOff(Why::Ticket));
    world.call(3, Call { object: 8, ..page(5, 2) });
    assert_eq!(world.said(3), Say::WrittenOff(Why::Ticket), "another object is not the same view");
    world.call(4, page(5, 2));
    assert_eq!(world.said(1), Say::WrittenOff(Why::Overtaken));
    assert_eq!(world.ends(), [(0, Verdict::CalledOff, false)], "one dispatch out at a time");
    world.report(1, Verdict::Done);
    assert_eq!(world.said(1), Say::WrittenOff(Why::NoChoice), "its report comes too late");
    assert_eq!(world.calls.figures.strange_reports, 1);
}

#[test]
fn what_is_never_reported_ends_in_its_time_and_blames_nobody() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.pass(1349);
    assert_eq!(world.calls.open(), 1);
    world.pass(1);
    assert_eq!(world.said(1), Say::WrittenOff(Why::Unreported));
    assert_eq!(world.ends(), [(0, Verdict::CalledOff, true)]);
    world.report(1, Verdict::Done);
    assert_eq!((world.said(1), world.ends().len()), (Say::WrittenOff(Why::NoChoice), 1));
}

#[test]
fn a_report_that_comes_twice_or_names_another_view_changes_nothing() {
    let mut world = world();
    for (stream, ticket) in [(1, 5), (2, 6)] {
        world.call(stream, page(ticket, 1));
        world.order(stream, 0, 2);
    }
    world.calls.reported(world.at(), &mut world.fake, Stream(2), Some(5), report(Verdict::Done));
    assert_eq!((world.said(2), world.calls.open()), (Say::WrittenOff(Why::NoChoice), 2));
    world.report(1, Verdict::Done);
    world.report(1, Verdict::Done);
    assert_eq!((world.ends().len(), world.calls.figures.strange_reports), (1, 2));
}

#[test]
fn a_save_asked_for_twice_waits_for_the_one_end_and_is_known_after_it() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, save(6, 1, 77));
    assert!(!world.fake.says.contains_key(&Stream(2)), "it waits");
    world.report(1, Verdict::Done);
    let known = Say::Known(Known { status: 200, version: 9 });
    assert_eq!(world.said(2), known);
    world.pass(2999);
    world.call(3, save(7, 1, 77));
    assert_eq!(world.said(3), known);
    let begun = world.fake.did.iter().filter(|did| matches!(did, Did::Begin(..))).count();
    assert_eq!(begun, 1, "one view, and one dispatch, for one mark");
}

#[test]
fn a_waiter_whose_time_is_up_is_turned_back_and_one_too_many_at_once() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, Call { left: Span::millis(50), ..save(6, 1, 77) });
    world.call(3, save(7, 1, 77));
    world.call(4, save(8, 1, 77));
    assert_eq!(world.said(4), Say::TurnedBack(Some(Span::millis(100)), Why::NoRoom));
    world.pass(50);
    assert_eq!(world.said(2), Say::TurnedBack(Some(Span::millis(100)), Why::Mark));
    world.end(3);
    world.report(1, Verdict::Done);
    assert!(!world.fake.says.contains_key(&Stream(3)), "it had left");
}

#[test]
fn a_save_that_may_have_run_is_told_to_the_module_with_the_next_view_of_its_mark() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    let given = world.at();
    assert!(world.leaves(1));
    world.end(1);
    world.pass(250);
    world.pass(10_000);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(Serial(2), Some((given, CacheNo(2))))));
}

#[test]
fn a_save_whose_choice_never_left_is_as_new() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.end(1);
    world.pass(250);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(Serial(2), None)));
}

#[test]
fn a_save_that_surely_never_ran_is_as_new() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.report(1, Verdict::Full);
    world.refuse(1);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(Serial(2), None)));
}

#[test]
fn a_router_that_forgot_everything_takes_a_marked_repeat_for_long_run() {
    let mut world = world();
    world.now = 10;
    world.call(1, Call { repeat: true, ..save(5, 1, 77) });
    assert!(world.fake.did.contains(&Did::Begin(Serial(1), Some((Moment::default(), CacheNo(0))))));
    world.call(2, save(6, 1, 78));
    assert!(world.fake.did.contains(&Did::Begin(Serial(2), None)), "a first try is one");
    world.pass(63_000);
    world.call(3, Call { repeat: true, ..save(7, 1, 79) });
    assert!(
        world.fake.did.contains(&Did::Begin(Serial(3), None)),
        "by now every mark in its window is known"
    );
}

#[test]
fn a_refused_link_hears_nothing_of_a_write_and_takes_over_no_view() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, Call { pass: Pass::Refused, ..save(6, 1, 77) });
    assert!(
        world.fake.did.contains(&Did::Begin(Serial(2), None)),
        "the module gives its answer, and nobody else"
    );
    world.refuse(2);
    world.call(3, Call { pass: Pass::Refused, ..save(5, 2, 77) });
    assert_eq!(world.said(3), Say::WrittenOff(Why::Ticket));
    world.call(4, Call { pass: Pass::Lapsed, ..save(5, 3, 77) });
    assert_eq!(world.said(1), Say::WrittenOff(Why::Overtaken), "it was good when the view began");
    world.order(1, 1, 2);
    world.report(4, Verdict::Done);
    world.call(5, save(7, 1, 77));
    assert!(matches!(world.said(5), Say::Known(_)), "the refused one took no mark away");
    world.call(6, Call { pass: Pass::Refused, ..save(5, 4, 77) });
    assert_eq!(
        world.said(6),
        Say::WrittenOff(Why::Ticket),
        "nor does its ticket tell what the write came to"
    );
}

#[test]
fn a_change_takes_back_what_has_not_left_and_counts_what_has() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.call(2, page(6, 1));
    world.order(1, 0, 2);
    world.order(2, 0, 2);
    assert!(world.leaves(1));
    let say = world.said(2);
    world.calls.told(&mut world.fake, |_, choice| choice.cache == CacheNo(2));
    assert_eq!(world.ends(), [(0, Verdict::Moot, false)]);
    assert!(!world.calls.leaves(Stream(2), &say), "it must not leave any more");
    assert_eq!((world.calls.figures.withdrawn, world.calls.figures.stale), (1, 1));
    world.order(2, 1, 3);
    assert!(world.is_choice(2) && world.leaves(2));
}

#[test]
fn what_the_module_gives_up_while_a_choice_is_out_is_told_on_its_report() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    assert!(world.leaves(1));
    world.refuse(1);
    assert!(world.is_choice(1), "nothing can be said before the report");
    world.report(1, Verdict::TimedOut);
    assert_eq!(world.said(1), Say::TurnedBack(None, Why::GivenUp));
    assert_eq!(world.ends(), [(0, Verdict::TimedOut, true)]);
}

#[test]
fn full_tables_turn_back_at_once_and_forget_no_mark_early() {
    let mut world = world();
    for nth in 1..=4 {
        world.call(nth, save(nth, 1, nth.into()));
        world.order(nth, 0, 2);
        world.report(nth, Verdict::Done);
    }
    world.call(5, save(5, 1, 5));
    assert_eq!(world.said(5), Say::TurnedBack(Some(Span::millis(100)), Why::NoRoom));
    world.call(6, save(6, 1, 1));
    assert!(matches!(world.said(6), Say::Known(_)));
    world.pass(63_000);
    assert!(world.calls.marks().is_empty(), "each has its end");
    for nth in 11..=14 {
        world.call(nth, page(nth, 1));
    }
    world.call(15, page(15, 1));
    assert_eq!(world.said(15), Say::TurnedBack(Some(Span::millis(100)), Why::NoRoom));
}

#[test]
fn a_router_that_ends_answers_everybody_once() {
    let mut world = world();
    for nth in 1..=3 {
        world.call(nth, page(nth, 1));
    }
    world.order(2, 0, 2);
    world.order(3, 0, 2);
    world.end(3);
    world.calls.leave_all(world.at(), &mut world.fake);
    assert_eq!(world.said(1), Say::WrittenOff(Why::Stopping));
    assert_eq!(world.said(2), Say::WrittenOff(Why::Stopping));
    assert_eq!((world.calls.open(), world.ends().len()), (0, 2));
    assert_eq!(world.fake.says[&Stream(3)].len(), 1, "it had left");
}

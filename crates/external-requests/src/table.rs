//! The table of views in hand: one method for each thing that can happen.

use std::collections::BTreeMap;

use tindoor::host::{CacheNo, Note, Pass, Verdict};
use tindoor::time::{Moment, Span};

use crate::marks::{Marks, State};
use crate::timers::Timers;
use crate::{Call, Choice, Hands, Known, Report, Say, Serial, Stream, Why};

/// Every size and time that the table keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Views in hand at once.
    pub views: usize,
    /// Marks known at once.
    pub marks: usize,
    /// Tickets of views that are over, known at once.
    pub over: usize,
    /// Calls that wait for the end of one mark.
    pub waiters: usize,
    /// How long a choice may lie at a proxy before it is used: half the drain grace and half the purge grace
    /// at most, so that what is told after it was given still meets its use within the grace.
    pub use_within: Span,
    /// How long after a choice's own time its report may still come.
    pub report_within: Span,
    /// How long a view is kept for its next call once a try of it has ended.
    pub again_within: Span,
    /// How long a write that may have run may run again, by its mark.
    pub window: Span,
    /// The longest that a client may wait for one view, its own retries counted.
    pub longest: Span,
}

/// The guards that an experiment may take out, to see that its audit notices. All stand in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A mark is asked for once at a time.
    pub marks: bool,
    /// A view is the same one over several calls.
    pub tickets: bool,
    /// What is told between choice and use takes back what has not left.
    pub withdraw: bool,
    /// A choice ends once nothing is reported in its time.
    pub leases: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { marks: true, tickets: true, withdraw: true, leases: true }
    }
}

/// What happened so far, by its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Figures {
    pub calls: u64,
    pub choices: u64,
    pub reported: u64,
    /// Ended by the proxy before it had its choice, and after it.
    pub left_before: u64,
    pub left_after: u64,
    pub never_reported: u64,
    /// Reports of no choice that is out: late, given twice, or for another view.
    pub strange_reports: u64,
    pub overtaken: u64,
    pub used_late: u64,
    /// Choices taken back before they left, and those that were out when a change made them stale.
    pub withdrawn: u64,
    pub stale: u64,
    /// Calls that waited for the end of another with their mark, and that were told one known already.
    pub waited: u64,
    pub known: u64,
    pub turned_away: u64,
}

/// A choice that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    choice: Choice,
    given: Moment,
    /// When it is over, reported or not.
    due: Moment,
    stream: Stream,
    /// It has left for the proxy: it can't be taken back.
    sent: bool,
}

/// Where a view stands with its proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stand {
    /// A call waits for what the module orders.
    Asking(Stream),
    /// A choice is out.
    Out(Lease),
    /// A failure was reported; what comes of it is told on that call.
    Deciding(Stream),
    /// The module has ordered a further choice, and no call asks for it; until then.
    Parked(Choice, Moment),
    /// The try ended without a word after its choice: its end is told with the next call, or with the last of
    /// it.
    Lapsed(Lease, Moment),
    /// The call ended before its choice came: the next one may come until then.
    Unasked(Moment),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    call: Call,
    attempt: u32,
    /// When its client stops to wait.
    end: Moment,
    stand: Stand,
    /// When and where it first may have run.
    ran: Option<(Moment, CacheNo)>,
    /// The module has given it up while its choice was out; told with the report.
    given_up: Option<Say>,
    /// Other calls with its mark that wait for its end.
    waiters: Vec<Stream>,
    timer: Option<Moment>,
}

/// A view that is over, as further calls with its ticket are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Over {
    say: Say,
    until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Timer {
    View(Serial),
    Over(u64),
    Waiter(Stream),
}

/// Views in hand, tickets lately over, and marks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Calls {
    bounds: Bounds,
    guards: Guards,
    started: Moment,
    serial: u64,
    views: BTreeMap<Serial, View>,
    tickets: BTreeMap<u64, Serial>,
    over: BTreeMap<u64, Over>,
    streams: BTreeMap<Stream, Serial>,
    /// Calls that wait for a mark, and until when.
    waiting: BTreeMap<Stream, (Serial, Moment)>,
    marks: Marks,
    timers: Timers<Timer>,
    pub figures: Figures,
}

/// A link that lapsed between two tries was good when the view began; one that never was is somebody else's.
fn stranger(call: &Call) -> bool {
    !matches!(call.pass, Pass::Free | Pass::Lapsed)
}

impl Calls {
    pub fn new(bounds: Bounds, guards: Guards, now: Moment) -> Self {
        Self {
            bounds,
            guards,
            started: now,
            serial: 0,
            views: BTreeMap::new(),
            tickets: BTreeMap::new(),
            over: BTreeMap::new(),
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            marks: Marks::default(),
            timers: Timers::default(),
            figures: Figures::default(),
        }
    }

    /// Views in hand.
    pub fn open(&self) -> usize {
        self.views.len()
    }

    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// When [`tick`](Self::tick) is to be called next.
    pub fn next(&self) -> Option<Moment> {
        self.timers.next().into_iter().chain(self.marks.next()).min()
    }

    /// A proxy asks for a choice.
    pub fn call(&mut self, now: Moment, hands: &mut impl Hands, stream: Stream, call: Call) {
        self.figures.calls += 1;
        self.marks.sweep(now);
        let known = self.tickets.get(&call.ticket).copied().filter(|_| self.guards.tickets);
        if let Some(serial) = known {
            return self.again(now, hands, stream, call, serial);
        }
        let over =
            self.over.get(&call.ticket).copied().filter(|over| self.guards.tickets && over.until > now);
        if let Some(Over { say, .. }) = over {
            self.figures.turned_away += 1;
            // What a write came to is for those whose link holds.
            return hands.say(stream, if stranger(&call) { Say::WrittenOff(Why::Ticket) } else { say });
        }
        if self.views.len() >= self.bounds.views || self.over.len() >= self.bounds.over {
            return self.turn_away(hands, stream);
        }
        let mut ran = None;
        // Whose link is refused hears nothing of another's write, and takes no mark in hand.
        let mark = call.mark.filter(|_| self.guards.marks && call.pass == Pass::Free);
        if let Some(mark) = mark {
            match self.marks.state(mark) {
                Some(State::InHand(first)) => return self.wait_for(now, hands, stream, call, first),
                Some(State::Done(known)) => {
                    self.figures.known += 1;
                    return hands.say(stream, Say::Known(known));
                }
                Some(State::Ran(at, cache)) => ran = Some((at, cache)),
                // A router that has just started knows no marks. A further try may be one that ran before,
                // nobody knows when: the module is told of it as long past, and does not have it run again.
                None if call.repeat || call.attempt > 1 => {
                    let unsure = self.started + self.bounds.window + self.bounds.longest;
                    ran = Some((Moment::default(), CacheNo(0))).filter(|_| now < unsure);
                }
                None => {}
            }
            if !self.marks.take(mark, Serial(self.serial + 1), self.bounds.marks) {
                return self.turn_away(hands, stream);
            }
        }
        self.serial += 1;
        let serial = Serial(self.serial);
        let view = View {
            call,
            attempt: call.attempt,
            end: now + call.left.min(self.bounds.longest),
            stand: Stand::Asking(stream),
            ran,
            given_up: None,
            waiters: Vec::new(),
            timer: None,
        };
        self.views.insert(serial, view);
        self.tickets.insert(call.ticket, serial);
        self.streams.insert(stream, serial);
        hands.begin(serial, &call, ran);
    }

    fn turn_away(&mut self, hands: &mut impl Hands, stream: Stream) {
        self.figures.turned_away += 1;
        let come_back = hands.come_back();
        hands.say(stream, Say::TurnedBack(come_back, Why::NoRoom));
    }

    /// A write that is in hand by its mark is asked for again: its end is this call's, too.
    fn wait_for(&mut self, now: Moment, hands: &mut impl Hands, stream: Stream, call: Call, first: Serial) {
        let room = self.bounds.waiters;
        let Some(view) = self.views.get_mut(&first).filter(|view| view.waiters.len() < room) else {
            return self.turn_away(hands, stream);
        };
        self.figures.waited += 1;
        view.waiters.push(stream);
        let until = now + call.left.min(self.bounds.longest);
        self.waiting.insert(stream, (first, until));
        self.timers.set(until, Timer::Waiter(stream));
    }

    /// A further call of a view in hand.
    fn again(&mut self, now: Moment, hands: &mut impl Hands, stream: Stream, call: Call, serial: Serial) {
        let Some(view) = self.views.get_mut(&serial) else { return };
        let what = |call: &Call| (call.offering, call.object, call.part, call.mark);
        if call.attempt <= view.attempt || what(&call) != what(&view.call) || stranger(&call) {
            self.figures.turned_away += 1;
            return hands.say(stream, Say::WrittenOff(Why::Ticket));
        }
        view.attempt = call.attempt;
        let stand = view.stand;
        match stand {
            // The later call stands for the proxy's word that it has given the earlier one up.
            Stand::Asking(old) | Stand::Deciding(old) => {
                view.stand = Stand::Asking(stream);
                self.overtake(hands, old);
            }
            Stand::Out(Lease { stream: old, choice, .. }) => {
                view.stand = Stand::Asking(stream);
                self.overtake(hands, old);
                if !self.refused(now, hands, serial, stream, choice.nth) {
                    hands.ended(serial, choice.nth, (Verdict::CalledOff, Note::Untold), false);
                }
            }
            Stand::Lapsed(Lease { choice, .. }, _) => {
                view.stand = Stand::Asking(stream);
                if !self.refused(now, hands, serial, stream, choice.nth) {
                    hands.ended(serial, choice.nth, (Verdict::CalledOff, Note::Untold), false);
                }
            }
            Stand::Parked(choice, _) => {
                self.streams.insert(stream, serial);
                return self.give(now, hands, serial, stream, choice);
            }
            Stand::Unasked(_) => view.stand = Stand::Asking(stream),
        }
        if self.views.contains_key(&serial) {
            self.streams.insert(stream, serial);
            self.set_timer(serial, None);
        }
    }

    /// Where the module has given the view up meanwhile, the next call is told so.
    fn refused(
        &mut self,
        now: Moment,
        hands: &mut impl Hands,
        serial: Serial,
        stream: Stream,
        nth: u16,
    ) -> bool {
        let Some(say) = self.views.get(&serial).and_then(|view| view.given_up) else { return false };
        hands.ended(serial, nth, (Verdict::CalledOff, Note::Untold), true);
        self.finish(now, hands, serial, Some(stream), say, None);
        true
    }

    fn overtake(&mut self, hands: &mut impl Hands, old: Stream) {
        self.figures.overtaken += 1;
        self.streams.remove(&old);
        hands.say(old, Say::WrittenOff(Why::Overtaken));
    }

    /// The module ordered a dispatch.
    pub fn ordered(&mut self, now: Moment, hands: &mut impl Hands, serial: Serial, choice: Choice) {
        let Some(view) = self.views.get(&serial) else { return };
        match view.stand {
            Stand::Asking(stream) => self.give(now, hands, serial, stream, choice),
            Stand::Deciding(stream) => {
                self.streams.remove(&stream);
                self.park(now, serial, choice);
                hands.say(stream, Say::Again);
            }
            Stand::Unasked(until) => self.park_until(serial, choice, until),
            // One is out already: a second is not carried.
            Stand::Out(_) | Stand::Parked(..) | Stand::Lapsed(..) => {
                hands.ended(serial, choice.nth, (Verdict::Moot, Note::Untold), false);
            }
        }
    }

    fn park(&mut self, now: Moment, serial: Serial, choice: Choice) {
        self.park_until(serial, choice, now + self.bounds.again_within);
    }

    fn park_until(&mut self, serial: Serial, choice: Choice, until: Moment) {
        let Some(view) = self.views.get_mut(&serial) else { return };
        view.stand = Stand::Parked(choice, until);
        self.set_timer(serial, Some(until));
    }

    fn give(&mut self, now: Moment, hands: &mut impl Hands, serial: Serial, stream: Stream, choice: Choice) {
        let Some(view) = self.views.get_mut(&serial) else { return };
        self.figures.choices += 1;
        let left = choice.wait.min(view.end.since(now));
        let use_within = self.bounds.use_within.min(left);
        let due = now + use_within + left + self.bounds.report_within;
        view.ran = view.ran.or(Some((now, choice.cache)));
        view.stand = Stand::Out(Lease { choice, given: now, due, stream, sent: false });
        self.set_timer(serial, Some(due));
        hands.say(stream, Say::Choice { choice, use_within, left });
    }

    /// What was said to that call is about to leave for the proxy; false where it was taken back meanwhile,
    /// and the call has to wait for the next word.
    pub fn leaves(&mut self, stream: Stream, say: &Say) -> bool {
        let Say::Choice { choice, .. } = say else { return true };
        let view = self.streams.get(&stream).and_then(|serial| self.views.get_mut(serial));
        match view.map(|view| &mut view.stand) {
            Some(Stand::Out(lease)) if lease.stream == stream && lease.choice == *choice => {
                lease.sent = true;
                true
            }
            _ => false,
        }
    }

    /// Whether that call's choice is out for a view with this ticket.
    pub fn is_out(&self, stream: Stream, ticket: u64) -> bool {
        let view = self.streams.get(&stream).and_then(|serial| self.views.get(serial));
        view.is_some_and(|view| view.call.ticket == ticket && matches!(view.stand, Stand::Out(_)))
    }

    /// Whether a view with this ticket is in hand.
    pub fn has(&self, ticket: u64) -> bool {
        self.tickets.contains_key(&ticket)
    }

    /// The module stops waiting for a dispatch. One that a proxy has can't be called back; its end is told
    /// when it is reported, or in its time.
    pub fn called_off(&mut self, hands: &mut impl Hands, serial: Serial, nth: u16) {
        let Some(view) = self.views.get(&serial) else { return };
        match view.stand {
            Stand::Out(lease) if lease.choice.nth == nth && !lease.sent => {
                self.withdraw(hands, serial, lease)
            }
            Stand::Parked(choice, until) if choice.nth == nth => {
                if let Some(view) = self.views.get_mut(&serial) {
                    view.stand = Stand::Unasked(until);
                }
                hands.ended(serial, nth, (Verdict::CalledOff, Note::Untold), false);
            }
            Stand::Lapsed(lease, until) if lease.choice.nth == nth => {
                if let Some(view) = self.views.get_mut(&serial) {
                    view.stand = Stand::Unasked(until);
                }
                hands.ended(serial, nth, (Verdict::CalledOff, Note::Untold), false);
            }
            _ => {}
        }
    }

    /// A choice that has not left is taken back: the call waits for the next.
    fn withdraw(&mut self, hands: &mut impl Hands, serial: Serial, lease: Lease) {
        self.figures.withdrawn += 1;
        self.set_timer(serial, None);
        let Some(view) = self.views.get_mut(&serial) else { return };
        view.stand = Stand::Asking(lease.stream);
        // It never left: it can't have run.
        view.ran = view.ran.filter(|ran| *ran != (lease.given, lease.choice.cache));
        hands.ended(serial, lease.choice.nth, (Verdict::Moot, Note::Untold), false);
    }

    /// The module has given the view up.
    pub fn refused_by_module(
        &mut self,
        now: Moment,
        hands: &mut impl Hands,
        serial: Serial,
        come_back: Option<Option<Span>>,
    ) {
        let say = match come_back {
            Some(come_back) => Say::TurnedBack(come_back, Why::GivenUp),
            None => Say::WrittenOff(Why::GivenUp),
        };
        let Some(view) = self.views.get_mut(&serial) else { return };
        match view.stand {
            Stand::Asking(stream) | Stand::Deciding(stream) => {
                self.finish(now, hands, serial, Some(stream), say, None);
            }
            Stand::Parked(choice, _) => {
                hands.ended(serial, choice.nth, (Verdict::Moot, Note::Untold), true);
                self.finish(now, hands, serial, None, say, None);
            }
            Stand::Unasked(_) => self.finish(now, hands, serial, None, say, None),
            Stand::Out(lease) if !lease.sent => {
                // It lay unsent: it never ran.
                view.ran = view.ran.filter(|ran| *ran != (lease.given, lease.choice.cache));
                hands.ended(serial, lease.choice.nth, (Verdict::Moot, Note::Untold), true);
                self.finish(now, hands, serial, Some(lease.stream), say, None);
            }
            // Told on the report, as nothing can be said before.
            Stand::Out(_) | Stand::Lapsed(..) => view.given_up = Some(say),
        }
    }

    /// A proxy reports on a call how its dispatch ended; `ticket` where it names the view again.
    pub fn reported(
        &mut self,
        now: Moment,
        hands: &mut impl Hands,
        stream: Stream,
        ticket: Option<u64>,
        report: Report,
    ) {
        let serial = self.streams.get(&stream).copied();
        let view = serial.and_then(|serial| Some((serial, self.views.get_mut(&serial)?)));
        let out = view.and_then(|(serial, view)| match view.stand {
            Stand::Out(lease) if ticket.is_none_or(|ticket| ticket == view.call.ticket) => {
                Some((serial, view, lease))
            }
            _ => None,
        });
        let Some((serial, view, lease)) = out else {
            self.figures.strange_reports += 1;
            return hands.say(stream, Say::WrittenOff(Why::NoChoice));
        };
        let used_late = report.used_after.is_some_and(|after| after > self.bounds.use_within);
        self.figures.used_late += u64::from(used_late);
        self.figures.reported += 1;
        let Report { verdict, note, known, .. } = report;
        let void = matches!(verdict, Verdict::Full | Verdict::Unreachable | Verdict::Moot | Verdict::Miss);
        if void {
            // What the first dispatch may have done is not undone by a later one's word.
            view.ran = view.ran.filter(|ran| *ran != (lease.given, lease.choice.cache));
        }
        let given_up = view.given_up;
        if let Some(say) = given_up {
            hands.ended(serial, lease.choice.nth, (verdict, note), true);
            let done = (verdict == Verdict::Done).then_some(known);
            return self.finish(now, hands, serial, Some(stream), say, done);
        }
        if verdict == Verdict::Done {
            hands.ended(serial, lease.choice.nth, (verdict, note), true);
            return self.finish(now, hands, serial, Some(stream), Say::PassOn, Some(known));
        }
        view.stand = Stand::Deciding(stream);
        self.set_timer(serial, None);
        hands.ended(serial, lease.choice.nth, (verdict, note), false);
    }

    /// A call ended, by its proxy or with its connection.
    pub fn ended(&mut self, now: Moment, stream: Stream) {
        if let Some((first, until)) = self.waiting.remove(&stream) {
            self.timers.unset(until, Timer::Waiter(stream));
            if let Some(view) = self.views.get_mut(&first) {
                view.waiters.retain(|waiter| *waiter != stream);
            }
            return;
        }
        let Some(serial) = self.streams.remove(&stream) else { return };
        let until = now + self.bounds.again_within;
        let Some(view) = self.views.get_mut(&serial) else { return };
        match view.stand {
            Stand::Asking(_) | Stand::Deciding(_) => {
                self.figures.left_before += 1;
                view.stand = Stand::Unasked(until);
            }
            Stand::Out(lease) => {
                self.figures.left_after += 1;
                if !lease.sent {
                    // It never left: it can't have run.
                    view.ran = view.ran.filter(|ran| *ran != (lease.given, lease.choice.cache));
                }
                view.stand = Stand::Lapsed(lease, until);
            }
            _ => return,
        }
        self.set_timer(serial, Some(until));
    }

    /// The list of caches or a purge was told. `stale` says whether a choice for that call would now be
    /// another.
    pub fn told(&mut self, hands: &mut impl Hands, stale: impl Fn(&Call, &Choice) -> bool) {
        let serials: Vec<Serial> = self.views.keys().copied().collect();
        for serial in serials {
            let Some(view) = self.views.get(&serial) else { continue };
            match view.stand {
                Stand::Out(lease) if stale(&view.call, &lease.choice) => match lease.sent {
                    false if self.guards.withdraw => self.withdraw(hands, serial, lease),
                    _ => self.figures.stale += 1,
                },
                Stand::Parked(choice, until) if self.guards.withdraw && stale(&view.call, &choice) => {
                    self.figures.withdrawn += 1;
                    if let Some(view) = self.views.get_mut(&serial) {
                        view.stand = Stand::Unasked(until);
                    }
                    hands.ended(serial, choice.nth, (Verdict::Moot, Note::Untold), false);
                }
                _ => {}
            }
        }
    }

    /// The time asked for by [`next`](Self::next) has come.
    pub fn tick(&mut self, now: Moment, hands: &mut impl Hands) {
        self.marks.sweep(now);
        while let Some((at, timer)) = self.timers.take(now) {
            match timer {
                Timer::Over(ticket) => {
                    if self.over.get(&ticket).is_some_and(|over| over.until == at) {
                        self.over.remove(&ticket);
                    }
                }
                Timer::Waiter(stream) => {
                    let Some((first, _)) = self.waiting.remove(&stream) else { continue };
                    if let Some(view) = self.views.get_mut(&first) {
                        view.waiters.retain(|waiter| *waiter != stream);
                    }
                    let come_back = hands.come_back();
                    hands.say(stream, Say::TurnedBack(come_back, Why::Mark));
                }
                Timer::View(serial) => self.view_due(now, hands, serial, at),
            }
        }
    }

    fn view_due(&mut self, now: Moment, hands: &mut impl Hands, serial: Serial, at: Moment) {
        let Some(view) = self.views.get_mut(&serial).filter(|view| view.timer == Some(at)) else { return };
        view.timer = None;
        let untold = Note::Untold;
        match view.stand {
            Stand::Out(lease) => {
                if !self.guards.leases {
                    return;
                }
                self.figures.never_reported += 1;
                // Nobody knows whether it ran, nor whose fault it is: a proxy that says nothing blames no
                // cache.
                hands.ended(serial, lease.choice.nth, (Verdict::CalledOff, untold), true);
                let say = view.given_up.unwrap_or(Say::WrittenOff(Why::Unreported));
                self.finish(now, hands, serial, Some(lease.stream), say, None);
            }
            Stand::Parked(choice, _) => {
                hands.ended(serial, choice.nth, (Verdict::Moot, untold), true);
                self.leave(now, hands, serial);
            }
            Stand::Lapsed(lease, _) => {
                hands.ended(serial, lease.choice.nth, (Verdict::CalledOff, untold), true);
                self.leave(now, hands, serial);
            }
            Stand::Unasked(_) => self.leave(now, hands, serial),
            Stand::Asking(_) | Stand::Deciding(_) => {}
        }
    }

    /// No further call came: whoever asked has left, with whatever answer the proxy gave.
    fn leave(&mut self, now: Moment, hands: &mut impl Hands, serial: Serial) {
        hands.left(serial);
        self.finish(now, hands, serial, None, Say::WrittenOff(Why::Ticket), None);
    }

    /// The router ends: every call gets its final answer now.
    pub fn leave_all(&mut self, now: Moment, hands: &mut impl Hands) {
        while let Some((serial, view)) = self.views.first_key_value() {
            let (serial, stand) = (*serial, view.stand);
            let stream = match stand {
                Stand::Asking(stream) | Stand::Deciding(stream) => Some(stream),
                Stand::Out(Lease { choice, stream, .. }) => {
                    hands.ended(serial, choice.nth, (Verdict::CalledOff, Note::Untold), true);
                    Some(stream)
                }
                Stand::Lapsed(Lease { choice, .. }, _) | Stand::Parked(choice, _) => {
                    hands.ended(serial, choice.nth, (Verdict::CalledOff, Note::Untold), true);
                    None
                }
                Stand::Unasked(_) => None,
            };
            hands.left(serial);
            self.finish(now, hands, serial, stream, Say::WrittenOff(Why::Stopping), None);
        }
    }

    /// The view is over: its call, and those that waited for its mark, are told; what is known of it is kept
    /// for as long as somebody may ask.
    fn finish(
        &mut self,
        now: Moment,
        hands: &mut impl Hands,
        serial: Serial,
        stream: Option<Stream>,
        say: Say,
        done: Option<Known>,
    ) {
        let Some(view) = self.views.remove(&serial) else { return };
        if let Some(at) = view.timer {
            self.timers.unset(at, Timer::View(serial));
        }
        if self.tickets.get(&view.call.ticket) == Some(&serial) {
            self.tickets.remove(&view.call.ticket);
        }
        if let Some(stream) = stream {
            self.streams.remove(&stream);
            hands.say(stream, say);
        }
        // A ticket is answered once; who asks with it again is told the same, for as long as a client would
        // wait.
        let until = view.end.max(now) + self.bounds.again_within;
        let later = match (say, done) {
            (Say::PassOn, Some(known)) if view.call.mark.is_some() => Say::Known(known),
            (Say::PassOn, _) => Say::WrittenOff(Why::Ticket),
            (say, _) => say,
        };
        self.over.insert(view.call.ticket, Over { say: later, until });
        self.timers.set(until, Timer::Over(view.call.ticket));
        if let Some(mark) = view.call.mark.filter(|_| self.guards.marks && view.call.pass == Pass::Free) {
            let state = match (done, view.ran) {
                (Some(known), _) => Some(State::Done(known)),
                (None, Some((at, cache))) => Some(State::Ran(at, cache)),
                (None, None) => None,
            };
            // Not again after its window either: so it is known for as long as a client may still try.
            let kept = now + self.bounds.window + self.bounds.longest;
            self.marks.settle(mark, state.map(|state| (state, kept)));
        }
        for waiter in view.waiters {
            let Some((_, until)) = self.waiting.remove(&waiter) else { continue };
            self.timers.unset(until, Timer::Waiter(waiter));
            let say = match done {
                Some(known) => Say::Known(known),
                None => match say {
                    Say::TurnedBack(..) | Say::WrittenOff(Why::GivenUp) => say,
                    _ => Say::WrittenOff(Why::Mark),
                },
            };
            hands.say(waiter, say);
        }
        hands.close(serial);
    }

    fn set_timer(&mut self, serial: Serial, at: Option<Moment>) {
        let Some(view) = self.views.get_mut(&serial) else { return };
        if let Some(old) = std::mem::replace(&mut view.timer, at) {
            self.timers.unset(old, Timer::View(serial));
        }
        if let Some(at) = at {
            self.timers.set(at, Timer::View(serial));
        }
    }
}

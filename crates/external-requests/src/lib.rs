//! Calls of proxies that carry the bytes themselves: which view a call belongs to, which choice is out and
//! until when, how it ended, and what is known of the marks of writes. Nothing here does I/O or reads a
//! clock.
//!
//! A caller builds one [`Calls`] and calls the method named for each thing that happens, with the time and
//! its [`Hands`]. Which cache, whether again and what is refused is the decision module's, reached through
//! the hands.

mod marks;
mod table;
mod timers;

pub use marks::{Known, Marks};
pub use table::{Bounds, Calls, Figures, Guards};

use tindoor::host::{CacheNo, Note, Pass, Terms, Verdict};
use tindoor::time::{Moment, Span};

/// A call on its way, as the front counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stream(pub u64);

/// A view in hand, as the table counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

/// What a proxy asks, read and checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// The view's id: the same for all calls that are made for one view.
    pub ticket: u64,
    /// Counted by the proxy from 1: a further try of the same view has a higher one.
    pub attempt: u32,
    pub offering: u16,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// Where a repeat is told by its mark: the mark.
    pub mark: Option<u128>,
    /// Marked as a client's further try.
    pub repeat: bool,
    /// How long the client waits from now on.
    pub left: Span,
    /// What the check of its link said.
    pub pass: Pass,
}

/// A choice as the module ordered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Choice {
    /// Which dispatch of its view, from 0.
    pub nth: u16,
    pub cache: CacheNo,
    pub terms: Option<Terms>,
    /// How long it may take, from the order on.
    pub wait: Span,
}

impl Choice {
    /// Whether its cache or its source is one of these.
    pub fn names(&self, no: CacheNo) -> bool {
        self.cache == no || self.terms.is_some_and(|terms| terms.source == no)
    }
}

/// How a proxy says that its dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    pub verdict: Verdict,
    pub note: Note,
    /// The status that the client gets where it is done, and the version of the object.
    pub known: Known,
    /// How long after the choice it was used, where the proxy tells.
    pub used_after: Option<Span>,
}

/// Why a call got no choice of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// The module gave the view up.
    GivenUp,
    /// There is no room for a further view, mark or waiter.
    NoRoom,
    /// A view of that ticket is in hand with this or a later try, or asks for something else.
    Ticket,
    /// Its mark is in hand, and the end did not come in time.
    Mark,
    /// A later try of the same view came.
    Overtaken,
    /// The report belongs to no choice that is out.
    NoChoice,
    /// The choice was used up: nothing was reported in its time.
    Unreported,
    /// The router ends.
    Stopping,
}

/// What a call or a report is told. Each call gets one of the first four; each report one of all but the
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Say {
    /// Go there, beginning within this time from now.
    Choice { choice: Choice, use_within: Span, left: Span },
    /// Final: trying again is harmless, best after so long.
    TurnedBack(Option<Span>, Why),
    /// Final: promises nothing.
    WrittenOff(Why),
    /// Final: the write of this mark was done, and this was its answer.
    Known(Known),
    /// Final: what the cache answered goes to the client.
    PassOn,
    /// Not final: a further choice waits for the next call of this view.
    Again,
}

/// What the table acts through. Every call takes effect at once, and none comes back into the table.
pub trait Hands {
    /// A view begins: the module is told of it. `ran` says when and where its mark first may have run; a
    /// moment long ago where nobody knows.
    fn begin(&mut self, serial: Serial, call: &Call, ran: Option<(Moment, CacheNo)>);
    /// A dispatch of the view ended; `last` says that the view has its final answer.
    fn ended(&mut self, serial: Serial, nth: u16, end: (Verdict, Note), last: bool);
    /// Nobody waits for the view any more.
    fn left(&mut self, serial: Serial);
    /// Everything of the view is reported: what stands for it can go.
    fn close(&mut self, serial: Serial);
    /// A word to a call. One that was not yet sent is replaced by the next.
    fn say(&mut self, stream: Stream, say: Say);
    /// When one that finds no room may come again.
    fn come_back(&mut self) -> Option<Span>;
}

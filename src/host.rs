//! What the decisions act through, and the plain types that pass between them and their caller.

use std::collections::BTreeMap;

use crate::time::{Moment, Span};

/// A view's place in the caller's table. It may be used again once the view has its final answer
/// and every dispatch made for it has been reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ViewNo(pub u32);

/// A cache's place in the caller's table, in the order of first listing from 0; parents and the origin
/// have one too. Another may get the number of one that is gone once no view in hand was sent there or with
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheNo(pub u32);

/// What is known of a deployment at start: names to values, spans in microseconds.
pub type Facts = BTreeMap<String, Fact>;

/// One known value; a flag is the number 0 or 1.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    Number(f64),
    Word(String),
}

impl Fact {
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(value) => Some(*value),
            Self::Word(_) => None,
        }
    }

    /// The word; empty for a number.
    pub fn word(&self) -> &str {
        match self {
            Self::Number(_) => "",
            Self::Word(word) => word,
        }
    }
}

/// What the check of a client's link said, where links are checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Pass {
    /// It holds, or none is asked for.
    #[default]
    Free,
    /// It will hold after this long.
    Early(Span),
    /// It held, and does no more.
    Lapsed,
    Refused,
}

/// What a view asks for.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub offering: u16,
    /// The size, where it is told.
    pub kb: Option<f32>,
    /// Marked as a client's further try, where clients mark these.
    pub repeat: bool,
    /// When and where it first may have run for an earlier view of the same mark.
    pub ran: Option<(Moment, CacheNo)>,
    pub pass: Pass,
}

/// One line of the list of caches.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub cache: CacheNo,
    /// The same at every router, so this is what gets hashed.
    pub stable: u64,
    pub standing: Standing,
    /// The latest start; none if long past.
    pub started: Option<Moment>,
    pub location: u8,
    pub size: f32,
    pub kind: u8,
    pub cell: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// All there is: what is not in it is gone.
    Whole,
    /// Only what changed.
    Changes,
    /// Nothing came; the list held stays.
    Failed,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    Done,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    CalledOff,
    Moot,
    Miss,
}

/// What the cache tells of the way to that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    OldCopy,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// How a cache is to treat an object that it may lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Who supplies a miss.
    pub source: CacheNo,
    /// The oldest copy that will do; none for the offering's own fresh time.
    pub oldest: Option<Span>,
    /// Wait for a fill that runs already.
    pub join: bool,
    /// Have the source give only what it holds.
    pub only_held: bool,
    /// Fetch an ageing copy anew while serving it.
    pub renew: bool,
    /// The rank at which the copy is kept; 0 keeps none.
    pub rank: u8,
}

/// What a dispatch would draw on that all routers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// The cache, by its stable number.
    pub cache: u64,
    pub offering: u16,
    /// Answered from a fresh copy or not at all.
    pub look: bool,
    /// By it the origin may be asked for a fill.
    pub fills: bool,
    /// One before it failed.
    pub further: bool,
}

/// The hands of the decisions. Every call takes effect at once, in the order made.
pub trait Host {
    /// Dispatch a view to a cache that answers from its own fresh copy only.
    fn look(&mut self, view: ViewNo, cache: CacheNo, wait: Span);
    /// Dispatch a view to a cache that may fill what it lacks.
    fn read(&mut self, view: ViewNo, cache: CacheNo, wait: Span, terms: Terms);
    /// Stop waiting for the view's dispatch `nth`, counted from 0; its end is still reported.
    fn call_off(&mut self, view: ViewNo, nth: u16);
    /// Final answer: trying again is harmless, best after `come_back`.
    fn turn_back(&mut self, view: ViewNo, come_back: Option<Span>);
    /// Final answer that promises nothing.
    fn write_off(&mut self, view: ViewNo);
    /// Call `Control::wake` after this long.
    fn wake_in(&mut self, wait: Span);
    /// Ask to be sent the list and its changes.
    fn subscribe(&mut self);

    /// Whether a fill by the origin is to be had now of what all routers share; where nothing is, it is.
    fn affords_fill(&self, _offering: u16) -> bool {
        true
    }

    /// Draws on what is shared for the next dispatch of a view: it is sent only where this says so.
    fn draw(&mut self, _view: ViewNo, _draw: Draw) -> bool {
        true
    }

    /// This router's part of what a cold cache, or parent, bears; none where it goes by numbers of the start.
    fn part(&self, _stable: u64, _parent: bool) -> Option<f64> {
        None
    }
}

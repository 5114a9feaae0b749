//! Requests in flight and their attempts.

use super::*;

/// Whether a attempt fills a miss: as it comes, not, only from what its source holds, or surely after these.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Filling {
    AsItComes,
    Not,
    IfHeld,
    Surely,
}

/// One attempt made for a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) cache: EndpointId,
    pub(super) source: Option<EndpointId>,
    pub(super) sent: Moment,
    /// What the cache had in hand from here then, this one counted.
    pub(super) load: f64,
    pub(super) filling: Filling,
    /// Fills in hand here then, by estimate: from what a source held, and by the origin.
    pub(super) fills: [f64; 2],
    pub(super) cancelled: bool,
    pub(super) end: Option<Outcome>,
}

impl Attempt {
    pub(super) fn fills_misses(&self) -> bool {
        matches!(self.filling, Filling::AsItComes | Filling::Surely)
    }
}

/// A request in hand.
pub(super) struct Held {
    pub(super) settings: Arc<Settings>,
    pub(super) serial: u64,
    /// Its lot where something is let through in part.
    pub(super) lot: u64,
    pub(super) asked: RequestMeta,
    pub(super) end: Moment,
    pub(super) attempts: Vec<Attempt>,
    /// Has its final answer, or its stream: nothing is sent for it any more.
    pub(super) finished: bool,
}

impl Held {
    /// When, and where, it first may have run; a attempt that is out may.
    pub(super) fn first_ran(&self) -> Option<(Moment, EndpointId)> {
        use AttemptStatus::{Miss, Overloaded, Superseded, Unreachable};
        let void = |d: &Attempt| {
            matches!(d.end, Some(Outcome { status: Overloaded | Unreachable | Superseded | Miss, .. }))
        };
        self.asked.first_ran.or_else(|| self.attempts.iter().find(|d| !void(d)).map(|d| (d.sent, d.cache)))
    }

    pub(super) fn open(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, d)| d.end.is_none())
    }
    pub(super) fn errors(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|d| d.end == Some(ERROR))
    }

    /// Whether it was sent to that cache in vain, and not by fault of a source.
    pub(super) fn failed_in(&self, cache: EndpointId) -> bool {
        let by_source = |d: &Attempt| d.source.is_some_and(|source| self.failed_at(source));
        self.attempts.iter().any(|d| d.cache == cache && d.fills_misses() && !by_source(d))
    }

    /// Whether a fill of this request failed at that source.
    pub(super) fn failed_at(&self, source: EndpointId) -> bool {
        use OutcomeDetail::{OriginFailed, SourceMiss, SourceOverloaded, SourceUnreachable};
        let blamed = |note| matches!(note, SourceOverloaded | SourceUnreachable | SourceMiss | OriginFailed);
        self.attempts.iter().any(|d| d.source == Some(source) && d.end.is_some_and(|end| blamed(end.detail)))
    }
}

impl<H: Host> RoutingEngine<H> {
    /// A request was taken; its client waits for so long.
    pub fn request_received(&mut self, no: RequestSlot, asked: RequestMeta, left: Span) {
        if usize::from(asked.class) >= self.easy.len() {
            return self.host.fail(no);
        }
        self.serial += 1;
        // The answer must be out before the client leaves: a few milliseconds are kept for it.
        let end = self.now + (left - Span::millis(6));
        let (serial, lot, attempts) = (self.serial, self.chance.random(), Vec::new());
        let settings = Arc::clone(&self.settings);
        let held = Held { settings, serial, lot, asked, end, attempts, finished: false };
        self.requests.resize_with(self.requests.len().max(no.0 as usize + 1), || None);
        self.requests[no.0 as usize] = Some(held);
        if !asked.client_retry && asked.authorization == Authorization::Granted {
            self.asked.add((self.now, asked.class));
        }
        self.alarm(end, no);
        // Whose link is refused never reaches a cache; who came early is told when it holds.
        match asked.authorization {
            Authorization::Granted => return self.route(no),
            Authorization::NotYetValid(wait) => {
                let rest = self.retry_after().zip(self.settings.rejection.max_retry_after());
                let rest = rest.map(|(_, longest)| wait.min(longest));
                self.host.reject(no, rest);
            }
            Authorization::Expired | Authorization::Denied => self.host.fail(no),
        }
        self.request_abandoned(no);
    }

    /// A streamed answer began: the attempt belongs to the client now.
    pub fn streaming_started(&mut self, no: RequestSlot) {
        self.held_mut(no).into_iter().for_each(|held| held.finished = true);
    }

    /// Nobody waits for this request any more: it has its answer, or its client left.
    pub fn request_abandoned(&mut self, no: RequestSlot) {
        let Some(held) = self.held_mut(no) else { return };
        held.finished = true;
        if held.open().count() == 0 {
            self.requests[no.0 as usize] = None;
        }
    }

    pub(super) fn held(&self, no: RequestSlot) -> Option<&Held> {
        self.requests.get(no.0 as usize)?.as_ref()
    }

    pub(super) fn held_mut(&mut self, no: RequestSlot) -> Option<&mut Held> {
        self.requests.get_mut(no.0 as usize)?.as_mut()
    }

    /// Does so by the policy under which that request was taken.
    pub(super) fn as_taken(&mut self, no: RequestSlot, what: impl FnOnce(&mut Self)) {
        let newest = Arc::clone(&self.settings);
        let pinned = self.held(no).filter(|_| !self.settings.attempts.settings_unpinned);
        self.settings = Arc::clone(pinned.map_or(&newest, |held| &held.settings));
        what(self);
        self.settings = newest;
    }
}

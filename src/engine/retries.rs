//! Retries, rejection and giving up.

use super::*;

/// An error of which nothing is told: of the cache, or of what was asked.
pub(super) const ERROR: Outcome = Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown);

impl<H: Host> RoutingEngine<H> {
    /// A attempt failed: plans the next one, or gives the request up.
    pub(super) fn retry(&mut self, no: RequestSlot, verdict: AttemptStatus) {
        let now = self.now;
        let retries = self.sends.0.iter().filter(|retry| **retry).count();
        let shaken = self.chance.random_range(0.0..1.0);
        let Some(held) = self.held(no) else { return };
        let full = |d: &&Attempt| {
            matches!(
                d.end,
                Some(Outcome {
                    status: AttemptStatus::Overloaded,
                    detail: OutcomeDetail::Unknown | OutcomeDetail::NoFillSlot
                })
            )
        };
        let vain = held.attempts.iter().filter(full).count() > 1 || held.errors().count() > 3;
        // The waiters of a failed join come back spread out; what was only diverted goes at once.
        let pause = match verdict {
            AttemptStatus::Overloaded | AttemptStatus::Unreachable | AttemptStatus::Cancelled => Span::ZERO,
            _ => Span::millis(20) * (held.attempts.len() as f64 * shaken),
        };
        // When most sends are retries, two caches are full or four fail, more only feed the trouble.
        match now + pause {
            at if vain || retries > 40 || at + Span::millis(10) >= held.end => self.give_up(no),
            at if at == now => self.route(no),
            at => self.alarm(at, no),
        }
    }

    /// When one that is rejected, here or at the door, may come again, where that can be told.
    pub fn retry_after(&mut self) -> Option<Span> {
        let rest = Span::secs(self.chance.random_range(0.05..0.3));
        self.settings.rejection.max_retry_after().map(|longest| rest.min(longest))
    }

    /// Answers a request that will not be done, at once; rule 2 decides how.
    pub(super) fn give_up(&mut self, no: RequestSlot) {
        let retry_after = self.retry_after();
        let calling_off = self.settings.attempts.may_cancel();
        let Some(held) = self.held(no).filter(|held| !held.finished) else { return };
        let class = held.asked.class;
        let open: Vec<u16> = held.open().filter(|(_, d)| !d.cancelled).map(|(nth, _)| nth as u16).collect();
        let honest = self.class(class).is_freely_retried() || held.first_ran().is_none();
        match honest {
            true => self.host.reject(no, retry_after),
            false => self.host.fail(no),
        }
        for nth in open.into_iter().filter(|_| calling_off) {
            self.host.cancel(no, nth);
        }
        self.request_abandoned(no);
    }
}

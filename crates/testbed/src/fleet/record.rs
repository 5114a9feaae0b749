//! What the endpoints of a fleet saw, and the faults that they have.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::json;

use super::attempt::Attempt;
use super::shared_use::SharedUse;
use crate::figures::Figures;

/// The grace periods of the configuration, and an allowance for sockets.
const GRACE: Duration = Duration::from_millis(550);

/// For how long a repeated idempotency key is recognized.
const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(3);

/// Longer than the greatest age that a policy of the experiments accepts.
const PURGE_SHOWS: Duration = Duration::from_secs(9);

/// How old a copy is at most that is served.
const FRESH_FOR: Duration = Duration::from_secs(8);

/// The ages that the attempts of a request accepted in milliseconds, and when each came.
pub type AcceptedAges = Vec<(Instant, u64)>;

/// Attempts that fail.
pub(super) struct FailingAttempts {
    /// The age that they accept, in milliseconds.
    pub(super) accepted_age_ms: u64,
    /// How their correlation ids begin.
    pub(super) id_prefix: String,
}

/// A copy at an endpoint.
#[derive(Clone, Copy)]
pub(super) struct CachedCopy {
    pub(super) fetched: Instant,
    /// Whether this attempt fetched it.
    pub(super) is_new: bool,
}

/// What all endpoints of a fleet share.
#[derive(Default)]
pub(super) struct Record {
    /// Number of attempts by correlation id.
    pub(super) attempts: HashMap<String, u64>,
    /// When each idempotency key's request ran to its end.
    runs: HashMap<String, Vec<Instant>>,
    /// When copies were fetched, by endpoint and path.
    copies: HashMap<(usize, String), Instant>,
    /// When objects were purged.
    pub(super) purges: HashMap<String, Instant>,
    /// Since when endpoints are draining or gone, by id.
    pub(super) drained: HashMap<String, Instant>,
    /// By correlation id; none where ages are not recorded.
    pub(super) accepted_ages: Option<HashMap<String, AcceptedAges>>,
    pub(super) failing: Option<FailingAttempts>,
    /// Endpoints that reset their connections.
    pub(super) dead: Vec<usize>,
    /// How far the endpoints' clocks are off in seconds; none where they do not tell the time.
    pub(super) clock_offset: Option<i64>,
    /// None where the use of what routers share is not recorded.
    pub(super) shared_use: Option<SharedUse>,
    sent_after_drain: u64,
    served_after_purge: u64,
    repeated_runs: u64,
    total_attempts: u64,
    fills: u64,
}

impl Record {
    /// Counts an attempt, and records the age that it accepts.
    pub(super) fn count(&mut self, attempt: &Attempt) {
        self.total_attempts += 1;
        *self.attempts.entry(attempt.correlation_id.clone()).or_default() += 1;
        // Just after a purge the accepted age is the time since then, and may be that of any policy.
        let purged = self.purges.get(&attempt.object);
        let purged_lately = purged.is_some_and(|purged| attempt.at - *purged < PURGE_SHOWS);
        if let Some(ages) = self.accepted_ages.as_mut().filter(|_| !purged_lately) {
            let ages = ages.entry(attempt.correlation_id.clone()).or_default();
            ages.push((attempt.at, attempt.accepted_age_ms));
        }
    }

    /// Counts an attempt at a draining endpoint, or with one as its source.
    pub(super) fn audit_drain(&mut self, endpoint: &str, attempt: &Attempt) {
        let is_late = |id: &str| self.drained.get(id).is_some_and(|since| attempt.at > *since + GRACE);
        if is_late(endpoint) || attempt.source.as_deref().is_some_and(is_late) {
            self.sent_after_drain += 1;
        }
    }

    /// Whether the attempt is one of those that fail.
    pub(super) fn fails(&self, attempt: &Attempt) -> bool {
        self.failing.as_ref().is_some_and(|failing| {
            failing.accepted_age_ms == attempt.accepted_age_ms
                && attempt.correlation_id.starts_with(&failing.id_prefix)
        })
    }

    /// Whether a request with this idempotency key ran shortly before that moment.
    pub(super) fn has_run(&self, idempotency_key: &str, at: Instant) -> bool {
        let last = self.runs.get(idempotency_key).and_then(|runs| runs.last());
        last.is_some_and(|last| at - *last < IDEMPOTENCY_WINDOW)
    }

    /// Records that a request with this idempotency key ran to its end now.
    pub(super) fn add_run(&mut self, idempotency_key: &str) {
        let now = Instant::now();
        self.repeated_runs += u64::from(self.has_run(idempotency_key, now));
        self.runs.entry(idempotency_key.to_string()).or_default().push(now);
    }

    /// The endpoint's copy if the attempt accepts its age; else a new one, if the endpoint may fetch it.
    pub(super) fn copy(&mut self, endpoint: usize, attempt: &Attempt, may_fetch: bool) -> Option<CachedCopy> {
        let greatest_age = attempt.accepted_age().map_or(FRESH_FOR, |age| age.min(FRESH_FOR));
        let key = (endpoint, attempt.path.clone());
        let kept = self.copies.get(&key).filter(|fetched| attempt.at - **fetched <= greatest_age);
        let copy = match kept {
            Some(fetched) => CachedCopy { fetched: *fetched, is_new: false },
            None if may_fetch => CachedCopy { fetched: attempt.at, is_new: true },
            None => return None,
        };
        if copy.is_new {
            self.fills += 1;
            self.copies.insert(key, copy.fetched);
        }
        Some(copy)
    }

    /// Counts a response from a copy that a purge had made void.
    pub(super) fn audit_purge(&mut self, copy: CachedCopy, attempt: &Attempt) {
        let is_void = |purged: &Instant| copy.fetched < *purged && attempt.at > *purged + GRACE;
        if self.purges.get(&attempt.object).is_some_and(is_void) {
            self.served_after_purge += 1;
        }
    }

    /// Adds what the endpoints saw to the report.
    pub(super) fn report(&self, figures: &mut Figures) {
        figures.saves_repeated = self.repeated_runs;
        figures.most_attempts = self.attempts.values().copied().max().unwrap_or_default();
        figures.sent_after_drain = self.sent_after_drain;
        figures.served_after_purge = self.served_after_purge;
        figures.more.insert("dispatches".into(), json!(self.total_attempts));
        figures.more.insert("fills".into(), json!(self.fills));
    }
}

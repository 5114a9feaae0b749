//! Record of what the endpoints of a fleet observed, and of the faults that are injected into them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::json;

use super::attempt::Attempt;
use super::shared_use::SharedUse;
use crate::figures::Figures;

/// The configured grace periods of 500 ms, plus an allowance of 50 ms for transmission.
const GRACE: Duration = Duration::from_millis(550);

/// How long after a run a request with the same idempotency key is recognized as a repetition.
const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(3);

/// How long after the purge of an object the ages that its attempts accept are not recorded. This is longer
/// than the maximum age that any policy of the experiments accepts.
const PURGE_EXCLUSION: Duration = Duration::from_secs(9);

/// The maximum age of a copy that an endpoint serves.
const MAX_COPY_AGE: Duration = Duration::from_secs(8);

/// When each attempt of a request was received, and the age that it accepted in milliseconds.
pub type AcceptedAges = Vec<(Instant, u64)>;

/// Selects the attempts that fail.
pub(super) struct FailingAttempts {
    /// The age that the failing attempts accept, in milliseconds.
    pub(super) accepted_age_ms: u64,
    /// The prefix of their correlation ids.
    pub(super) id_prefix: String,
}

/// A copy at an endpoint.
#[derive(Clone, Copy)]
pub(super) struct CachedCopy {
    pub(super) fetched: Instant,
    /// Whether the current attempt fetched the copy.
    pub(super) is_new: bool,
}

/// The state that all endpoints of a fleet share.
#[derive(Default)]
pub(super) struct Record {
    /// Number of attempts by correlation id.
    pub(super) attempts: HashMap<String, u64>,
    /// When requests completed, by idempotency key.
    runs: HashMap<String, Vec<Instant>>,
    /// When copies were fetched, by endpoint and path.
    copies: HashMap<(usize, String), Instant>,
    /// When objects were last purged.
    pub(super) purges: HashMap<String, Instant>,
    /// When endpoints began to drain or left, by id.
    pub(super) drained: HashMap<String, Instant>,
    /// Accepted ages by correlation id; `None` if they are not recorded.
    pub(super) accepted_ages: Option<HashMap<String, AcceptedAges>>,
    pub(super) failing: Option<FailingAttempts>,
    /// Indexes of the endpoints that reset their connections.
    pub(super) dead: Vec<usize>,
    /// Offset of the endpoints' clocks in seconds; `None` if they do not report their time.
    pub(super) clock_offset: Option<i64>,
    /// Use of the limits that routers share; `None` if it is not recorded.
    pub(super) shared_use: Option<SharedUse>,
    sent_after_drain: u64,
    served_after_purge: u64,
    repeated_runs: u64,
    total_attempts: u64,
    fills: u64,
}

impl Record {
    /// Counts an attempt and, if ages are recorded, records the age that it accepts.
    pub(super) fn count(&mut self, attempt: &Attempt) {
        self.total_attempts += 1;
        *self.attempts.entry(attempt.correlation_id.clone()).or_default() += 1;
        // Shortly after a purge the accepted age is the time since the purge, which may coincide with the age
        // that any policy sets.
        let purged = self.purges.get(&attempt.object);
        let is_recently_purged = purged.is_some_and(|purged| attempt.at - *purged < PURGE_EXCLUSION);
        if let Some(ages) = self.accepted_ages.as_mut().filter(|_| !is_recently_purged) {
            let ages = ages.entry(attempt.correlation_id.clone()).or_default();
            ages.push((attempt.at, attempt.accepted_age_ms));
        }
    }

    /// Counts an attempt that reached a drained endpoint, or names one as its source, after the grace period.
    pub(super) fn audit_drain(&mut self, endpoint: &str, attempt: &Attempt) {
        let has_drained = |id: &str| self.drained.get(id).is_some_and(|since| attempt.at > *since + GRACE);
        if has_drained(endpoint) || attempt.source.as_deref().is_some_and(has_drained) {
            self.sent_after_drain += 1;
        }
    }

    /// Whether the attempt is selected to fail.
    pub(super) fn fails(&self, attempt: &Attempt) -> bool {
        self.failing.as_ref().is_some_and(|failing| {
            failing.accepted_age_ms == attempt.accepted_age_ms
                && attempt.correlation_id.starts_with(&failing.id_prefix)
        })
    }

    /// Whether a request with this idempotency key completed within the idempotency window before `at`.
    pub(super) fn has_run(&self, idempotency_key: &str, at: Instant) -> bool {
        let last = self.runs.get(idempotency_key).and_then(|runs| runs.last());
        last.is_some_and(|last| at - *last < IDEMPOTENCY_WINDOW)
    }

    /// Records that a request with this idempotency key has just completed.
    pub(super) fn add_run(&mut self, idempotency_key: &str) {
        let now = Instant::now();
        self.repeated_runs += u64::from(self.has_run(idempotency_key, now));
        self.runs.entry(idempotency_key.to_string()).or_default().push(now);
    }

    /// Returns the endpoint's copy if the attempt accepts its age, otherwise a new copy. `None` if a new copy
    /// would be needed and the endpoint may not fetch it.
    pub(super) fn copy(&mut self, endpoint: usize, attempt: &Attempt, may_fetch: bool) -> Option<CachedCopy> {
        let max_age = attempt.accepted_age().map_or(MAX_COPY_AGE, |age| age.min(MAX_COPY_AGE));
        let key = (endpoint, attempt.path.clone());
        let accepted = self.copies.get(&key).filter(|fetched| attempt.at - **fetched <= max_age);
        let copy = match accepted {
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

    /// Counts a response from a copy that was purged longer ago than the grace period.
    pub(super) fn audit_purge(&mut self, copy: CachedCopy, attempt: &Attempt) {
        let is_invalid = |purged: &Instant| copy.fetched < *purged && attempt.at > *purged + GRACE;
        if self.purges.get(&attempt.object).is_some_and(is_invalid) {
            self.served_after_purge += 1;
        }
    }

    /// Adds what the endpoints observed to the report.
    pub(super) fn report(&self, figures: &mut Figures) {
        figures.saves_repeated = self.repeated_runs;
        figures.most_attempts = self.attempts.values().copied().max().unwrap_or_default();
        figures.sent_after_drain = self.sent_after_drain;
        figures.served_after_purge = self.served_after_purge;
        figures.more.insert("dispatches".into(), json!(self.total_attempts));
        figures.more.insert("fills".into(), json!(self.fills));
    }
}

//! Handling of ended attempts: records the load and health that the outcome shows, then finishes, reroutes
//! or retries the request.

use crate::host::{AttemptStatus, Host, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use crate::time::Span;

use super::RoutingEngine;
use super::endpoints::Tier;
use super::load::{FillPath, LoadSample, ResponsePath, ResponseSample};
use super::requests::{Attempt, FillMode, Request, UNEXPLAINED_ERROR};
use super::slow_start::AttemptId;

/// The maximum number of attempts in flight at an endpoint for a hit to be a sample of the service time.
const MAX_IN_FLIGHT_FOR_SERVICE_TIME: f64 = 3.0;
/// The lateness of recent hits below which a hit is a sample of the service time. A higher lateness means
/// that something slows down all endpoints.
const MAX_LATENESS_FOR_SERVICE_TIME: f64 = 0.6;

/// An attempt that has ended, with its outcome.
struct EndedAttempt {
    id: AttemptId,
    meta: RequestMeta,
    attempt: Attempt,
    outcome: Outcome,
    took: Span,
}

impl<H: Host> RoutingEngine<H> {
    /// Handles the end of the request's attempt with this index, which took the time `took`. `is_last` is
    /// true if the request has its final answer.
    pub fn attempt_ended(
        &mut self,
        slot: RequestSlot,
        index: u16,
        outcome: Outcome,
        took: Span,
        is_last: bool,
    ) {
        self.with_settings_of(slot, |engine| {
            let Some(ended) = engine.close_attempt(slot, index, outcome, took) else { return };
            engine.record_load(&ended);
            engine.record_attempt_health(slot, &ended);
            engine.continue_request(slot, &ended, is_last);
        });
    }

    /// Records the outcome of an attempt, which is then no longer in flight; `None` if the attempt was not in
    /// flight.
    fn close_attempt(
        &mut self,
        slot: RequestSlot,
        index: u16,
        outcome: Outcome,
        took: Span,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(slot)?;
        let id = AttemptId { request: request.id, index };
        let meta = request.meta;
        let attempt =
            request.attempts.get_mut(usize::from(index)).filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        let attempt = *attempt;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if !matches!(outcome.status, AttemptStatus::Cancelled | AttemptStatus::TimedOut) {
            endpoint.response_gaps.add(self.now.since(endpoint.last_active));
            endpoint.last_active = self.now;
        }
        *self.load.in_flight.of(attempt.fill_mode) -= 1.0;
        Some(EndedAttempt { id, meta, attempt, outcome, took })
    }

    /// Returns whether the fill of an attempt did not complete in time.
    ///
    /// If endpoints report how misses were filled, a timeout without a report may only mean that the answer
    /// was lost, and is not counted as a late fill.
    fn is_fill_late(&self, ended: &EndedAttempt) -> bool {
        let Outcome { status, detail } = ended.outcome;
        let is_unreported = !self.settings.topology.fill_details_reported;
        let has_timed_out = status == AttemptStatus::TimedOut && !ended.attempt.cancelled;
        has_timed_out && is_unreported || detail == OutcomeDetail::SourceUnreachable
    }

    /// Returns where the response of an attempt came from.
    fn response_path(&self, detail: OutcomeDetail, is_fill_late: bool) -> ResponsePath {
        match detail {
            OutcomeDetail::FilledFromSource => ResponsePath::Fill(FillPath::Source),
            OutcomeDetail::FilledFromOrigin | OutcomeDetail::OriginFailed => {
                ResponsePath::Fill(FillPath::Origin)
            }
            _ if !is_fill_late => ResponsePath::Hit,
            _ if self.settings.topology.fill_details_reported => ResponsePath::Fill(FillPath::Origin),
            _ => ResponsePath::Fill(FillPath::Source),
        }
    }

    /// Adds the load and service time samples that an ended attempt provides, and refunds the source's slow
    /// start charge if the attempt caused no new fill.
    fn record_load(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { id, ref meta, ref attempt, outcome, took } = *ended;
        let work = self.work(meta);
        let objective = self.objective(meta.class, work);
        let sample = LoadSample { at: self.now, in_flight: 1.0, work, objective, took };
        let is_fill_late = self.is_fill_late(ended);
        let path = self.response_path(outcome.detail, is_fill_late);
        if outcome.status == AttemptStatus::Served && attempt.fill_mode == FillMode::OnMiss {
            self.load.responses.add(ResponseSample { path, took });
        }
        let source = attempt.source.filter(|source| *source != attempt.endpoint);
        if let Some(source) = source
            && (path == ResponsePath::Fill(FillPath::Source) || is_fill_late)
        {
            let source = &mut self.endpoints[source];
            source.loads.add(sample);
            if !is_fill_late {
                source.last_active = self.now;
            }
        }
        if let ResponsePath::Fill(path) = path {
            let in_flight = attempt.fills_in_flight.get(path);
            self.load.add_fill(path, LoadSample { in_flight, ..sample });
        }
        use OutcomeDetail::{Hit, JoinedFill, StaleHit};
        if let Some(source) = source
            && matches!(outcome.detail, Hit | JoinedFill | StaleHit)
        {
            self.endpoints[source].refund(id);
        }
        if matches!(outcome.detail, Hit | StaleHit) {
            self.record_hit(ended, LoadSample { in_flight: attempt.endpoint_in_flight, ..sample });
        }
    }

    fn record_hit(&mut self, ended: &EndedAttempt, sample: LoadSample) {
        let endpoint = &mut self.endpoints[ended.attempt.endpoint];
        endpoint.loads.add(sample);
        let is_cache = endpoint.tier == Tier::Cache;
        self.load.hits.add(sample);
        let is_hit_lateness_low = self.recent_hit_lateness() < MAX_LATENESS_FOR_SERVICE_TIME;
        if sample.in_flight <= MAX_IN_FLIGHT_FOR_SERVICE_TIME && is_hit_lateness_low && is_cache {
            self.load.add_service_time(ended.meta.class, ended.took);
        }
    }

    /// Records success or failure of an ended attempt in the outcome windows of its endpoint and source.
    ///
    /// A bad request causes an error at every endpoint, which says nothing about their health. Errors without
    /// a reported cause are therefore recorded only once another attempt of the request is served.
    fn record_attempt_health(&mut self, slot: RequestSlot, ended: &EndedAttempt) {
        if ended.outcome.status == AttemptStatus::Served {
            let request = self.requests.get(slot);
            let errors: Vec<Attempt> =
                request.into_iter().flat_map(Request::unexplained_errors).copied().collect();
            for failed in errors {
                self.record_health(failed.endpoint, failed.source, &ended.meta, UNEXPLAINED_ERROR);
            }
        }
        if !ended.attempt.cancelled && ended.outcome != UNEXPLAINED_ERROR {
            self.record_health(ended.attempt.endpoint, ended.attempt.source, &ended.meta, ended.outcome);
        }
    }

    /// Finishes the request, routes it again after a miss, or retries it.
    fn continue_request(&mut self, slot: RequestSlot, ended: &EndedAttempt, is_last: bool) {
        let status = ended.outcome.status;
        if is_last || self.requests.get(slot).is_none_or(|request| request.finished) {
            self.request_abandoned(slot);
        } else if !ended.attempt.fills_misses() && status == AttemptStatus::Miss {
            self.route(slot);
        } else {
            self.retry(slot, status);
        }
    }
}

//! The borrower's side: requests to the lender, and the lender's answers.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use super::{OpenRequest, Participant};
use crate::{BudgetKey, Granted, KeyDemand, Quota, QuotaGrant, QuotaRequest};

/// How long a router waits for an answer before it sends the next request, as a fraction of the lease.
const REQUEST_TIMEOUT_LEASES: f64 = 0.25;

impl Participant {
    /// Returns the request to send to this router's lender. `None` while an earlier request is pending, at
    /// the leader, and if no budget is divided.
    pub fn next_request(&mut self, now: Moment) -> Option<QuotaRequest> {
        if self.leadership.is_some() || self.plan.is_empty() {
            return None;
        }
        let timeout = self.timings.lease * REQUEST_TIMEOUT_LEASES;
        match self.open_request {
            Some(open) if now.since(open.sent_at) < timeout => return None,
            Some(_) => self.unanswered_requests += 1,
            None => {}
        }
        self.update_own_grants(now);
        self.last_nonce += 1;
        self.open_request = Some(OpenRequest { nonce: self.last_nonce, sent_at: now });
        let mut demands: Vec<KeyDemand> = Vec::new();
        for (key, state) in &self.keys {
            let claim = state.ledger.total_claim();
            // This router may spend all of its lendable quota, or grant it to others, at any time until a new
            // answer lowers it.
            let lendable_valid = now < state.ledger.lendable_until();
            let lendable = if lendable_valid { state.ledger.lendable() } else { Quota::NONE };
            let holdings = state.ledger.outstanding().max(lendable);
            if claim.demand != Quota::NONE || holdings != Quota::NONE {
                demands.push(KeyDemand {
                    key: *key,
                    demand: claim.demand,
                    weight: claim.weight,
                    holdings,
                    lender_term: state.lender_term,
                });
            }
        }
        Some(QuotaRequest { nonce: self.last_nonce, demands })
    }

    /// The number of consecutive requests that were not answered in time.
    pub fn unanswered_requests(&self) -> u32 {
        self.unanswered_requests
    }

    /// Resets the count of unanswered requests, when the router switches to another lender.
    pub fn reset_unanswered_requests(&mut self) {
        self.unanswered_requests = 0;
    }

    /// Accepts the answer to the last request. Ignores answers to earlier requests, because the lender may
    /// have granted that quota to others since.
    pub fn accept_grant(&mut self, now: Moment, answer: QuotaGrant) {
        let Some(request) = self.open_request.take_if(|open| open.nonce == answer.nonce) else { return };
        self.unanswered_requests = 0;
        if self.leadership.is_some() {
            return;
        }
        let lease = self.timings.lease;
        let mut grants: BTreeMap<BudgetKey, Granted> =
            answer.grants.into_iter().map(|granted| (granted.key, granted)).collect();
        for (key, state) in &mut self.keys {
            let granted = grants.remove(key);
            let quota = granted.map_or(Quota::NONE, |granted| granted.quota);
            let duration = granted.map_or(Span::ZERO, |granted| Span::micros(granted.duration_us)).min(lease);
            let expires = request.sent_at + duration - self.timings.drift(lease).min(duration);
            state.ledger.set_lendable(quota, expires);
            state.lender_term = answer.lender_term;
        }
        self.update_own_grants(now);
    }
}

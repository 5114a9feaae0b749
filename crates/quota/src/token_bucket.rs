//! The token bucket of one key at one router. The router may always spend its guaranteed minimum, and its
//! grant until the grant expires.
//!
//! Each use compares the grant's expiry with the clock, so a router that was suspended beyond the expiry
//! spends nothing of the grant.

use std::collections::VecDeque;

use tindoor::time::{Moment, Span};

use crate::demand_window::DemandWindow;
use crate::{BudgetKind, BudgetLimit, Claim, Quota, UNIT};

/// How long after a charge the charge may be refunded. Within this time a cache hit is known not to have
/// caused a fill.
const REFUND_WINDOW: Span = Span::millis(250);

/// The factor by which the requested quota exceeds recent demand, so that rising demand can be served until
/// the next request.
const DEMAND_HEADROOM: f64 = 1.1;

/// The burst that is requested with a rate, in seconds of that rate.
const BURST_SECONDS: f64 = 0.3;

/// The requested demand changes only if recent demand differs from it by more than the requested demand
/// divided by this number.
const DEMAND_TOLERANCE_DIVISOR: u64 = 10;

/// The number of tokens at a moment.
#[derive(Clone, Copy, Debug)]
struct Balance {
    tokens: f64,
    at: Moment,
}

/// A burst that was granted until the moment at which it was lowered or expired; in thousandths of a unit.
#[derive(Clone, Copy, Debug)]
struct FormerGrant {
    until: Moment,
    burst: u64,
}

/// The token bucket of one key at one router; for concurrency limits, the count of units in flight.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: BudgetLimit,
    grant: Quota,
    grant_expires: Option<Moment>,
    /// The tokens of a rate.
    balance: Balance,
    /// The times of the charges that may still be refunded, oldest first.
    refundable: VecDeque<Moment>,
    /// The balance before the first refundable charge.
    checkpoint: Balance,
    /// The units of a concurrency limit that were spent since `created` and are still in flight.
    in_flight: u64,
    created: Moment,
    /// Grants that were lowered or have expired, and still count until the release lag has passed.
    former_grants: VecDeque<FormerGrant>,
    demand: DemandWindow,
    /// The requested demand, which changes only if recent demand differs enough.
    requested: Quota,
    last_used: Moment,
    /// An added burst also adds its tokens. Set only by tests of the safety checks.
    pub(crate) fill_added_burst: bool,
}

impl TokenBucket {
    /// Creates a bucket without tokens. Not even the guaranteed burst is available, because the router's
    /// previous process may just have spent it.
    pub fn new(limit: BudgetLimit, now: Moment) -> Self {
        let empty = Balance { tokens: 0.0, at: now };
        Self {
            limit,
            grant: Quota::NONE,
            grant_expires: None,
            balance: empty,
            refundable: VecDeque::new(),
            checkpoint: empty,
            in_flight: 0,
            created: now,
            former_grants: VecDeque::new(),
            demand: DemandWindow::default(),
            requested: Quota::NONE,
            last_used: now,
            fill_added_burst: false,
        }
    }

    /// The limit of the key.
    pub fn limit(&self) -> &BudgetLimit {
        &self.limit
    }

    /// Changes the limit, and reduces the grant and the tokens to it.
    pub fn set_limit(&mut self, now: Moment, limit: BudgetLimit) {
        if self.limit != limit {
            self.advance(now);
            self.limit = limit;
            self.grant = self.grant.min(limit.grantable());
            self.restart_balance();
        }
    }

    /// Handles a jump of the local clock: drops the grant, the tokens and the recorded demand, which were
    /// measured by that clock. The largest granted burst counts for the full release lag again.
    pub fn clock_jumped(&mut self, now: Moment) {
        let burst = self.peak_granted_burst();
        self.former_grants.clear();
        self.former_grants.push_back(FormerGrant { until: now, burst });
        self.grant = Quota::NONE;
        self.grant_expires = None;
        self.balance = Balance { tokens: 0.0, at: now };
        self.restart_balance();
        self.demand = DemandWindow::default();
        self.requested = Quota::NONE;
        self.last_used = now;
    }

    /// Replaces the grant.
    pub fn set_grant(&mut self, now: Moment, quota: Quota, expires: Moment) {
        self.advance(now);
        if quota.burst < self.grant.burst && self.grant_expires.is_some() {
            self.former_grants.push_back(FormerGrant { until: now, burst: self.grant.burst });
        }
        let added_burst = quota.burst.saturating_sub(self.grant.burst);
        let unchanged = quota == self.grant;
        self.grant = quota;
        self.grant_expires = Some(expires);
        if self.fill_added_burst {
            self.balance.tokens += added_burst as f64 / UNIT as f64;
        }
        if !unchanged {
            self.restart_balance();
        }
    }

    /// The quota that may be spent now, including the guaranteed minimum.
    pub fn quota(&self, now: Moment) -> Quota {
        let valid = self.grant_expires.is_some_and(|expires| now < expires);
        self.limit.guaranteed.plus(if valid { self.grant } else { Quota::NONE })
    }

    /// Advances the state to `now`: adds tokens, makes charges final after the refund window, and drops
    /// expired grants.
    fn advance(&mut self, now: Moment) {
        while let Some(first) = self.refundable.front().copied().filter(|at| now.since(*at) > REFUND_WINDOW) {
            self.refundable.pop_front();
            self.checkpoint = self.balance_after_charge(self.checkpoint, first);
        }
        let release_lag = self.limit.release_lag;
        while self.former_grants.front().is_some_and(|former| now.since(former.until) > release_lag) {
            self.former_grants.pop_front();
        }
        if let Some(expires) = self.grant_expires.filter(|expires| now >= *expires) {
            self.expire_grant(expires);
        }
        self.refill(now);
    }

    fn expire_grant(&mut self, expires: Moment) {
        self.refill(expires);
        if self.grant.burst > 0 {
            self.former_grants.push_back(FormerGrant { until: expires, burst: self.grant.burst });
        }
        self.grant = Quota::NONE;
        self.grant_expires = None;
        self.restart_balance();
    }

    fn refill(&mut self, now: Moment) {
        self.balance.tokens = self.tokens_at(self.balance, now);
        self.balance.at = self.balance.at.max(now);
    }

    /// The number of tokens at `now`, computed from an earlier balance under the current grant.
    fn tokens_at(&self, earlier: Balance, now: Moment) -> f64 {
        let quota = self.limit.guaranteed.plus(self.grant);
        let added = quota.rate as f64 / UNIT as f64 * now.since(earlier.at).as_secs();
        (earlier.tokens + added).min(quota.burst as f64 / UNIT as f64)
    }

    /// The balance after a charge at `now`.
    fn balance_after_charge(&self, earlier: Balance, now: Moment) -> Balance {
        Balance { tokens: self.tokens_at(earlier, now) - 1.0, at: now }
    }

    /// Reduces the tokens to a changed grant. Charges made before can no longer be refunded.
    fn restart_balance(&mut self) {
        self.balance.tokens = self.tokens_at(self.balance, self.balance.at);
        self.refundable.clear();
        self.checkpoint = self.balance;
    }

    /// Whether one unit could be spent now.
    pub fn can_afford(&mut self, now: Moment) -> bool {
        self.advance(now);
        match self.limit.kind {
            BudgetKind::Rate => self.balance.tokens >= 1.0,
            BudgetKind::Concurrency => (self.in_flight + 1) * UNIT <= self.quota(now).burst,
            BudgetKind::Fraction => true,
        }
    }

    /// Spends one unit if possible. Returns whether the unit was spent.
    pub fn spend(&mut self, now: Moment) -> bool {
        let affordable = self.can_afford(now);
        if affordable {
            self.charge(now);
        } else {
            self.record_refusal(now);
        }
        affordable
    }

    /// Spends one unit. The caller must have called [`Self::can_afford`] immediately before.
    pub(crate) fn charge(&mut self, now: Moment) {
        self.last_used = now;
        match self.limit.kind {
            BudgetKind::Rate => {
                if self.refundable.is_empty() {
                    self.checkpoint = Balance { tokens: self.balance.tokens, at: now };
                }
                self.balance.tokens -= 1.0;
                self.refundable.push_back(now);
            }
            BudgetKind::Concurrency => self.in_flight += 1,
            BudgetKind::Fraction => {}
        }
        self.demand.record(now, self.in_flight);
    }

    /// Releases a unit of a concurrency limit that was spent at `spent_at`. Ignores units that were spent
    /// before the limit existed, because they were never counted.
    pub fn release(&mut self, spent_at: Moment) {
        self.in_flight -= u64::from(spent_at >= self.created).min(self.in_flight);
    }

    /// Settles the charge that was made at `charged_at`, and refunds it unless it was used.
    ///
    /// A refund recomputes the balance as if the charge had never been made. Adding a token instead would
    /// create an extra token if the bucket was full in the meantime.
    pub fn settle(&mut self, now: Moment, charged_at: Moment, used: bool) {
        self.advance(now);
        if used {
            return;
        }
        // Searches from the newest charge, because most charges are settled soon. Charges made under an
        // earlier grant are no longer in the list.
        let Some(index) = self.refundable.iter().rposition(|at| *at == charged_at) else { return };
        self.refundable.remove(index);
        let replayed = self
            .refundable
            .iter()
            .fold(self.checkpoint, |balance, at| self.balance_after_charge(balance, *at));
        self.balance.tokens = self.tokens_at(replayed, self.balance.at);
    }

    /// Records demand for a unit that was not available.
    pub fn record_refusal(&mut self, now: Moment) {
        self.last_used = now;
        self.demand.record(now, self.in_flight + 1);
    }

    /// This router's share of the total, from 0 to 1.
    pub fn share_fraction(&mut self, now: Moment) -> f64 {
        self.advance(now);
        self.quota(now).burst as f64 / self.limit.total.burst.max(1) as f64
    }

    /// The largest quota that might still be spent beyond the guaranteed minimum if no further grant arrives.
    pub fn holdings(&mut self, now: Moment) -> Quota {
        self.advance(now);
        let burst = match self.limit.kind {
            BudgetKind::Rate => self.grant.burst,
            // Units remain in flight even if the grant was lowered in the meantime.
            BudgetKind::Concurrency => {
                self.grant.burst.max((self.in_flight * UNIT).saturating_sub(self.limit.guaranteed.burst))
            }
            BudgetKind::Fraction => self.peak_granted_burst(),
        };
        Quota { rate: self.grant.rate, burst }
    }

    /// The largest burst of the current and the former grants, in thousandths of a unit.
    fn peak_granted_burst(&self) -> u64 {
        let former = self.former_grants.iter().map(|former| former.burst).max();
        former.unwrap_or_default().max(self.grant.burst)
    }

    /// The claim for quota beyond the guaranteed minimum, by recent demand. A weight of 0 stands for the
    /// router's configured weight.
    pub fn claim(&mut self, now: Moment) -> Claim {
        if self.demand.is_empty() {
            return Claim::default();
        }
        self.demand.advance(now);
        let rate = self.demand.rate();
        if rate == 0.0 && self.demand.peak_in_flight() == 0 {
            self.requested = Quota::NONE;
            return Claim::default();
        }
        self.update_requested(rate);
        let mut demand = self.requested.minus(self.limit.guaranteed);
        demand.burst = demand.burst.next_multiple_of(self.limit.granularity());
        let demand = demand.min(self.limit.grantable());
        // Every router requests the whole fraction, so the division is weighted by recent demand instead.
        let weight = if self.limit.kind == BudgetKind::Fraction { thousandths(rate).max(1) } else { 0 };
        Claim { demand, weight }
    }

    /// Sets the requested demand to recent demand if they differ enough. `rate` is the recent demand in units
    /// per second.
    fn update_requested(&mut self, rate: f64) {
        let recent = match self.limit.kind {
            BudgetKind::Rate => {
                let rate = rate * DEMAND_HEADROOM + 0.5;
                Quota { rate: thousandths(rate), burst: thousandths((rate * BURST_SECONDS).ceil() + 1.0) }
            }
            BudgetKind::Concurrency => {
                let units = self.demand.peak_in_flight() as f64 * DEMAND_HEADROOM + 1.0;
                Quota { rate: 0, burst: thousandths(units.ceil()) }
            }
            BudgetKind::Fraction => self.limit.total,
        };
        let is_near = |new: u64, old: u64| new.abs_diff(old) <= old / DEMAND_TOLERANCE_DIVISOR;
        if !is_near(recent.rate, self.requested.rate) || !is_near(recent.burst, self.requested.burst) {
            self.requested = recent;
        }
    }

    /// Whether no unit is in flight, no grant is valid or within its release lag, and no demand was recorded
    /// for longer than `idle_time`.
    pub fn is_idle(&mut self, now: Moment, idle_time: Span) -> bool {
        self.advance(now);
        let unused = self.in_flight == 0 && self.grant_expires.is_none();
        unused && self.former_grants.is_empty() && now.since(self.last_used) > idle_time
    }
}

fn thousandths(units: f64) -> u64 {
    (units * UNIT as f64) as u64
}

//! Audits the grants of fills that pass between routers. Messages are read by the testbed's own account of
//! their encoding, which is by position.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::Deserialize;

use super::limits::{GUARANTEED_PART, Limits};
use super::rates::RateHistory;
use crate::relay::RecordedMessage;

/// Amounts are in thousandths of a unit.
const UNIT: f64 = 1000.0;

/// What is guaranteed to each router of a burst, in units.
const GUARANTEED_BURST: f64 = 1.0;

/// Guaranteed minimums are rounded down to thousandths, so that a little more may be granted beside them.
const ROUNDING: f64 = 1e-3;

/// A message's kind, by its number in the encoding.
const QUOTA_REQUEST: u32 = 3;
const QUOTA_GRANT: u32 = 4;

/// The key of the fleet's fills by the origin.
const ORIGIN_FILLS: BudgetKey = BudgetKey { budget: 1, scope: 0 };

/// What each message begins with.
#[derive(Deserialize)]
#[expect(dead_code, reason = "the encoding has all fields, by position")]
struct Header {
    fleet: String,
    incarnation: u64,
    sender_address: String,
    kind: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
struct BudgetKey {
    budget: u16,
    scope: u64,
}

/// Thousandths of a unit: each second, and at once.
#[derive(Clone, Copy, Default, Deserialize)]
struct Quota {
    rate: u64,
    burst: u64,
}

impl Quota {
    fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst }
    }
}

/// What is granted of one key.
#[derive(Clone, Copy, Deserialize)]
struct Granted {
    key: BudgetKey,
    quota: Quota,
    /// How long it may be spent, from the request on.
    duration_us: u64,
}

/// The answer to a request.
#[derive(Deserialize)]
#[expect(dead_code, reason = "the encoding has all fields, by position")]
struct QuotaGrant {
    nonce: u64,
    lender_term: u64,
    grants: Vec<Granted>,
}

/// A message about quota.
enum QuotaMessage {
    Request { incarnation: u64, nonce: u64 },
    Grant(QuotaGrant),
}

impl QuotaMessage {
    /// Decodes a message; none where it is not about quota.
    fn decode(message: &[u8]) -> Option<Self> {
        let (header, body) = postcard::take_from_bytes::<Header>(message).ok()?;
        match header.kind {
            QUOTA_REQUEST => {
                let (nonce, _) = postcard::take_from_bytes(body).ok()?;
                Some(Self::Request { incarnation: header.incarnation, nonce })
            }
            QUOTA_GRANT => Some(Self::Grant(postcard::take_from_bytes(body).ok()?.0)),
            _ => None,
        }
    }
}

/// A router's latest request.
struct OpenRequest {
    incarnation: u64,
    nonce: u64,
    sent_at: Instant,
}

/// What an incarnation was granted.
struct Holding {
    quota: Quota,
    until: Instant,
}

/// What an audit of grants found. What the leader keeps for itself passes nobody, and is not seen.
pub struct GrantAudit<'a> {
    limits: &'a Limits,
    rates: &'a RateHistory,
    /// Grants by which more was outstanding than the limit allows beside the guaranteed minimums.
    pub violations: u64,
    /// The most that was outstanding, as a part of what might be.
    pub peak_part: f64,
    /// By the router's name.
    requests: HashMap<&'a str, OpenRequest>,
    /// By incarnation.
    holdings: HashMap<u64, Holding>,
}

impl<'a> GrantAudit<'a> {
    /// Audits the messages that passed between routers.
    pub fn of(messages: &'a [RecordedMessage], limits: &'a Limits, rates: &'a RateHistory) -> Self {
        let mut audit = Self {
            limits,
            rates,
            violations: 0,
            peak_part: 0.0,
            requests: HashMap::new(),
            holdings: HashMap::new(),
        };
        let mut sorted: Vec<&RecordedMessage> = messages.iter().collect();
        sorted.sort_by_key(|message| message.at);
        for message in sorted {
            audit.apply(message);
        }
        audit
    }

    /// A request counts from when it arrives at the relay, a grant from when it is forwarded.
    fn apply(&mut self, recorded: &'a RecordedMessage) {
        match QuotaMessage::decode(&recorded.message) {
            Some(QuotaMessage::Request { incarnation, nonce }) if !recorded.forwarded => {
                let request = OpenRequest { incarnation, nonce, sent_at: recorded.at };
                self.requests.insert(&recorded.from, request);
            }
            Some(QuotaMessage::Grant(grant)) if recorded.forwarded => {
                self.apply_grant(recorded, &grant);
            }
            _ => {}
        }
    }

    /// A grant that does not answer the latest request is void.
    fn apply_grant(&mut self, recorded: &RecordedMessage, grant: &QuotaGrant) {
        let request = self.requests.get(recorded.to.as_str());
        let Some(request) = request.filter(|request| request.nonce == grant.nonce) else { return };
        let fills = grant.grants.iter().find(|granted| granted.key == ORIGIN_FILLS);
        let quota = fills.map_or_else(Quota::default, |granted| granted.quota);
        let duration = Duration::from_micros(fills.map_or(0, |granted| granted.duration_us));
        let holding = Holding { quota, until: request.sent_at + duration };
        self.holdings.insert(request.incarnation, holding);
        let part = self.outstanding_part(recorded.at);
        self.peak_part = self.peak_part.max(part);
        self.violations += u64::from(part > 1.0 + ROUNDING);
    }

    /// All grants that have not expired, as a part of what may be granted.
    fn outstanding_part(&self, now: Instant) -> f64 {
        let alive = self.holdings.values().filter(|holding| holding.until > now);
        let outstanding = alive.fold(Quota::default(), |sum, holding| sum.plus(holding.quota));
        let grantable_rate = self.rates.at(now) * (1.0 - GUARANTEED_PART) * UNIT;
        let guaranteed_burst = self.limits.max_routers as f64 * GUARANTEED_BURST;
        let grantable_burst = (self.limits.fills.burst - guaranteed_burst) * UNIT;
        let part_of_rate = outstanding.rate as f64 / grantable_rate;
        part_of_rate.max(outstanding.burst as f64 / grantable_burst)
    }
}

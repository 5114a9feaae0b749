//! Audits the grants of fills that are sent between routers. The messages are decoded by the testbed's own
//! definition of their encoding, which is positional.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::Deserialize;

use super::limits::{GUARANTEED_FRACTION, Limits};
use super::rates::RateHistory;
use crate::relay::RecordedMessage;

/// The number of thousandths in a unit; the amounts in messages are in thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// The burst that is guaranteed to each router, in units.
const GUARANTEED_BURST: f64 = 1.0;

/// The fraction by which grants may exceed the grantable quota. Guaranteed minimums are rounded down to
/// thousandths, so slightly more can be granted besides them.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// The number of a quota request in the encoding of the message kind.
const QUOTA_REQUEST: u32 = 3;
/// The number of a quota grant in the encoding of the message kind.
const QUOTA_GRANT: u32 = 4;

/// The budget key of the fleet's fills by the origin.
const ORIGIN_FILLS: BudgetKey = BudgetKey { budget: 1, scope: 0 };

/// The header of each message.
#[derive(Deserialize)]
#[expect(dead_code, reason = "the encoding is positional and has all fields")]
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

/// A quota: the rate in thousandths of a unit per second, and the burst in thousandths of a unit.
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

/// The quota that is granted for one budget key.
#[derive(Clone, Copy, Deserialize)]
struct Granted {
    key: BudgetKey,
    quota: Quota,
    /// How long the quota may be spent, in microseconds from the request on.
    duration_us: u64,
}

/// The answer to a quota request.
#[derive(Deserialize)]
#[expect(dead_code, reason = "the encoding is positional and has all fields")]
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
    /// Decodes a message. `None` if the message is not about quota or cannot be decoded.
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

/// The latest quota request of a router.
struct OpenRequest {
    incarnation: u64,
    nonce: u64,
    sent_at: Instant,
}

/// The quota that an incarnation holds.
struct Holding {
    quota: Quota,
    until: Instant,
}

/// The findings of an audit of grants. Quota that the leader keeps for itself is not sent in any message, so
/// the audit does not include it.
pub struct GrantAudit<'a> {
    limits: &'a Limits,
    rates: &'a RateHistory,
    /// Grants after which more quota was outstanding than the limit allows besides the guaranteed minimums.
    pub violations: u64,
    /// The largest fraction of the grantable quota that was outstanding.
    pub peak_fraction: f64,
    /// The latest request of each router, by the router's name.
    requests: HashMap<&'a str, OpenRequest>,
    /// The latest grant to each incarnation.
    holdings: HashMap<u64, Holding>,
}

impl<'a> GrantAudit<'a> {
    /// Audits the messages that were sent between routers.
    pub fn of(messages: &'a [RecordedMessage], limits: &'a Limits, rates: &'a RateHistory) -> Self {
        let mut audit = Self {
            limits,
            rates,
            violations: 0,
            peak_fraction: 0.0,
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

    /// Applies a recorded message. A request takes effect when it arrives at the relay, a grant when the
    /// relay forwards it.
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

    /// Applies a grant to the router that receives it. A grant that does not answer the router's latest
    /// request is ignored.
    fn apply_grant(&mut self, recorded: &RecordedMessage, grant: &QuotaGrant) {
        let request = self.requests.get(recorded.to.as_str());
        let Some(request) = request.filter(|request| request.nonce == grant.nonce) else { return };
        let fills = grant.grants.iter().find(|granted| granted.key == ORIGIN_FILLS);
        let quota = fills.map_or_else(Quota::default, |granted| granted.quota);
        let duration = Duration::from_micros(fills.map_or(0, |granted| granted.duration_us));
        let holding = Holding { quota, until: request.sent_at + duration };
        self.holdings.insert(request.incarnation, holding);
        let fraction = self.outstanding_fraction(recorded.at);
        self.peak_fraction = self.peak_fraction.max(fraction);
        self.violations += u64::from(fraction > 1.0 + ROUNDING_TOLERANCE);
    }

    /// Returns the grants that have not expired, as a fraction of the grantable quota.
    fn outstanding_fraction(&self, now: Instant) -> f64 {
        let alive = self.holdings.values().filter(|holding| holding.until > now);
        let outstanding = alive.fold(Quota::default(), |sum, holding| sum.plus(holding.quota));
        let grantable_rate = self.rates.at(now) * (1.0 - GUARANTEED_FRACTION) * THOUSANDTHS_PER_UNIT;
        let guaranteed_burst = self.limits.max_routers as f64 * GUARANTEED_BURST;
        let grantable_burst = (self.limits.fills.burst - guaranteed_burst) * THOUSANDTHS_PER_UNIT;
        let rate_fraction = outstanding.rate as f64 / grantable_rate;
        rate_fraction.max(outstanding.burst as f64 / grantable_burst)
    }
}

//! Admission control where the routers of a fleet agree on settings and share a quota.

use std::time::{Duration, Instant};

use tindoor::host::{Outcome, QuotaCharge};
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};

/// Decides whether requests are admitted, by which settings, and what attempts may draw from the shared
/// quota.
pub trait AdmissionGate {
    /// The settings to apply now, where they have changed since the last call; an error says that no request
    /// is admitted now, and when clients may retry.
    fn updated_settings(&self) -> Result<Option<Settings>, Span>;

    /// How many requests may be in flight by the settings in force.
    fn max_in_flight(&self) -> usize;

    /// Admits a request of that account, right after [`updated_settings`](Self::updated_settings): returns
    /// the generation of the settings in force, or when its client may retry.
    fn admit(&self, account: u64) -> Result<u64, Span>;

    /// Counts the end of a request that was admitted under that generation.
    fn request_ended(&self, generation: u64, class: u16, done: bool, took: Duration);

    /// Whether the shared quota has capacity for a fill from the origin.
    fn can_afford_fill(&self, class: u16) -> bool;

    /// Charges one attempt to the shared quota; none where the quota does not allow it.
    fn charge_quota(&self, charge: &QuotaCharge) -> Option<AttemptCharge>;

    /// Settles the charge of an attempt once the attempt has ended.
    fn settle_charge(&self, charge: AttemptCharge, outcome: Outcome);

    /// This router's share of the load that a warming endpoint takes; none where it is not divided.
    fn slow_start_share(&self, stable_id: u64, is_parent: bool) -> Option<f64>;
}

/// What one attempt was charged, to be settled with the quota it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCharge {
    /// When it was charged, on the quota's clock.
    pub at: Moment,
    /// The request class.
    pub class: u16,
    /// Whether the attempt may have the origin asked for a fill.
    pub may_fill_from_origin: bool,
}

/// A request that the admission gate admitted, to be counted at its end.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedRequest {
    pub(crate) generation: u64,
    pub(crate) class: u16,
    pub(crate) admitted_at: Instant,
}

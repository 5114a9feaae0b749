//! Admission control for a fleet whose routers agree on settings and share a quota.

use std::time::{Duration, Instant};

use tindoor::host::{Outcome, QuotaCharge};
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};

/// Decides whether requests are admitted, which settings apply to them, and what their attempts may charge to
/// the shared quota.
pub trait AdmissionGate {
    /// Returns the settings in force if they have changed since the last call, or `None` if they have not.
    ///
    /// An error means that no request is admitted now; it holds the delay after which clients may retry.
    fn updated_settings(&self) -> Result<Option<Settings>, Span>;

    /// Returns the maximum number of requests in flight under the settings in force.
    fn max_in_flight(&self) -> usize;

    /// Admits a request of `account` and returns the generation of the settings in force. Must be called
    /// right after [`updated_settings`](Self::updated_settings).
    ///
    /// An error means that the request is not admitted; it holds the delay after which the client may retry.
    fn admit(&self, account: u64) -> Result<u64, Span>;

    /// Counts the end of a request that was admitted under `generation`. `served` says whether the request
    /// was served, `took` how long it was in flight.
    fn request_ended(&self, generation: u64, class: u16, served: bool, took: Duration);

    /// Whether the shared quota has capacity for a fill from the origin.
    fn can_afford_fill(&self, class: u16) -> bool;

    /// Charges one attempt to the shared quota. Returns `None` if the quota does not allow the attempt.
    fn charge_quota(&self, charge: &QuotaCharge) -> Option<AttemptCharge>;

    /// Settles the charge of an attempt after the attempt has ended with `outcome`.
    fn settle_charge(&self, charge: AttemptCharge, outcome: Outcome);

    /// Returns this router's share, between 0 and 1, of the load that an endpoint takes while it is warming
    /// up. `None` if that load is not divided among the routers.
    fn slow_start_share(&self, stable_id: u64, is_parent: bool) -> Option<f64>;
}

/// The quota charge of one attempt, to be settled when the attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCharge {
    /// When the attempt was charged, on the quota's clock.
    pub at: Moment,
    /// The request class.
    pub class: u16,
    /// Whether the attempt may cause a fill from the origin.
    pub may_fill_from_origin: bool,
}

/// A request admitted by the admission gate, to be counted when it ends.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedRequest {
    pub(crate) generation: u64,
    pub(crate) class: u16,
    pub(crate) admitted_at: Instant,
}

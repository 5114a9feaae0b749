//! Observations of policy versions: from a rejection at a client, or from an attempt at an endpoint.

use std::collections::HashMap;
use std::time::Instant;

use super::traffic::ObservedRequest;
use super::version::PolicyVersion;

/// The copy ages that the attempts of each request accepted, in milliseconds, and when; by correlation id.
type AcceptedAges = HashMap<String, Vec<(Instant, u64)>>;

/// An observation that a router decided a request by a version. The router decided between `sent_at` and
/// `seen_at`.
pub struct Observation {
    /// The index of the router.
    pub router: usize,
    /// The version that was observed first.
    pub version: PolicyVersion,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the version was observed.
    pub seen_at: Instant,
    /// When the router last reported itself healthy after the client had connected.
    pub healthy_since: Option<Instant>,
}

/// The observations from all requests.
#[derive(Default)]
pub struct Observations {
    /// The first observation of each request for which a version was observed.
    pub first: Vec<Observation>,
    /// Requests for which more than one version was observed.
    pub mixed_version_requests: u64,
    /// Attempts that accepted a copy age of no version.
    pub unknown_ages: u64,
}

/// A version, and when it was observed.
struct SeenVersion {
    version: PolicyVersion,
    at: Instant,
}

impl Observations {
    /// Collects the observations from these requests.
    pub fn of(requests: &[ObservedRequest], ages: &AcceptedAges) -> Self {
        let mut observations = Self::default();
        for request in requests {
            let seen = observations.seen_versions(request, ages);
            let Some(first) = seen.first() else { continue };
            let is_mixed = seen.iter().any(|seen| seen.version != first.version);
            observations.mixed_version_requests += u64::from(is_mixed);
            observations.first.push(Observation {
                router: request.router,
                version: first.version,
                sent_at: request.sent_at,
                seen_at: first.at,
                healthy_since: request.healthy_since,
            });
        }
        observations
    }

    /// Returns all versions that were observed for a request: first those from its attempts, then the one
    /// from its rejection.
    fn seen_versions(&mut self, request: &ObservedRequest, ages: &AcceptedAges) -> Vec<SeenVersion> {
        let mut seen = Vec::new();
        for (at, age) in ages.get(&request.correlation_id).into_iter().flatten() {
            match PolicyVersion::of_accepted_age(*age) {
                Some(version) => seen.push(SeenVersion { version, at: *at }),
                // For a recently purged object, attempts accept an age that belongs to no version, so no
                // version can be observed.
                None => self.unknown_ages += 1,
            }
        }
        let rejected_by = request.retry_after_ms.and_then(PolicyVersion::of_retry_after);
        seen.extend(rejected_by.map(|version| SeenVersion { version, at: request.answered_at }));
        seen
    }
}

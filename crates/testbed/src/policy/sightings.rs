//! Where a policy version showed: in a rejection at a client, or in an attempt at an endpoint.

use std::collections::HashMap;
use std::time::Instant;

use super::traffic::ObservedRequest;
use super::version::PolicyVersion;

/// The copy ages that the attempts of each request accepted, by correlation id.
type AcceptedAges = HashMap<String, Vec<(Instant, u64)>>;

/// A request that showed a version. The version was chosen between the two times.
pub struct Sighting {
    /// The index of the router.
    pub router: usize,
    /// The version that showed first.
    pub version: PolicyVersion,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the version showed.
    pub seen_at: Instant,
    /// When the router had last stated after a connect that it is healthy.
    pub healthy_since: Option<Instant>,
}

/// What requests showed of versions.
#[derive(Default)]
pub struct Sightings {
    /// One for each request that showed a version.
    pub first: Vec<Sighting>,
    /// Requests that showed more than one version.
    pub of_mixed_versions: u64,
    /// Attempts that accepted an age that is no version's.
    pub unknown_ages: u64,
}

/// A version, and when it showed.
struct SeenVersion {
    version: PolicyVersion,
    at: Instant,
}

impl Sightings {
    /// What these requests showed.
    pub fn of(requests: &[ObservedRequest], ages: &AcceptedAges) -> Self {
        let mut sightings = Self::default();
        for request in requests {
            let seen = sightings.seen_versions(request, ages);
            let Some(first) = seen.first() else { continue };
            let is_mixed = seen.iter().any(|seen| seen.version != first.version);
            sightings.of_mixed_versions += u64::from(is_mixed);
            sightings.first.push(Sighting {
                router: request.router,
                version: first.version,
                sent_at: request.sent_at,
                seen_at: first.at,
                healthy_since: request.healthy_since,
            });
        }
        sightings
    }

    /// All versions that a request showed: its attempts first.
    fn seen_versions(&mut self, request: &ObservedRequest, ages: &AcceptedAges) -> Vec<SeenVersion> {
        let mut seen = Vec::new();
        for (at, age) in ages.get(&request.correlation_id).into_iter().flatten() {
            match PolicyVersion::of_accepted_age(*age) {
                Some(version) => seen.push(SeenVersion { version, at: *at }),
                // Of what was purged just now no version's age is accepted: that attempt shows none.
                None => self.unknown_ages += 1,
            }
        }
        let rejected_by = request.retry_after_ms.and_then(PolicyVersion::of_retry_after);
        seen.extend(rejected_by.map(|version| SeenVersion { version, at: request.answered_at }));
        seen
    }
}

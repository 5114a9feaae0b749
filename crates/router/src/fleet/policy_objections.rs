//! Checks proposed policies, and reports why this router can't apply one.

use tindoor_consensus::Objection;
use tindoor_policy::{PolicyVersion, budgets, keys};

use super::Fleet;
use super::admission::MAX_OPEN_REQUESTS_KEY;

impl Fleet {
    /// Checks whether this router can apply a policy. If it can't, logs and returns the reason.
    pub(super) fn check_policy(&self, version: &PolicyVersion) -> Option<Objection> {
        let objection = self.objection_to(version);
        let generation = version.generation;
        if let Some(Objection { reason, permanent }) = &objection {
            if *permanent {
                tracing::error!(
                    generation,
                    reason,
                    "this router can't apply the policy; it rejects all requests while the policy is in force"
                );
            } else {
                tracing::warn!(
                    generation,
                    reason,
                    "policy rejected by this router for now; it can be proposed again later"
                );
            }
        }
        objection
    }

    fn objection_to(&self, version: &PolicyVersion) -> Option<Objection> {
        let started_with = self.initial_policy();
        if let Err(reason) = keys::check_change(&started_with, &version.policy, &self.classes) {
            return Some(Objection { reason: reason.to_string(), permanent: true });
        }
        let reason = self.too_many_members(version).or_else(|| self.too_many_in_flight(version))?;
        Some(Objection { reason, permanent: false })
    }

    fn too_many_members(&self, version: &PolicyVersion) -> Option<String> {
        let node = self.node.borrow();
        let in_force = node.in_force().map(|in_force| &*in_force.policy);
        let possible = node.possible_members() as u64;
        budgets::router_bound_objection(in_force, &version.policy, possible).map(|error| error.to_string())
    }

    fn too_many_in_flight(&self, version: &PolicyVersion) -> Option<String> {
        let in_flight = (self.requests_in_flight)();
        let limit = version.policy.0.get(MAX_OPEN_REQUESTS_KEY).copied()?;
        let is_exceeded = in_flight as f64 > limit;
        is_exceeded.then(|| format!("{MAX_OPEN_REQUESTS_KEY}: {limit} is below the {in_flight} in hand"))
    }
}

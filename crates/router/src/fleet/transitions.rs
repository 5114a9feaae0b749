//! Logs changes of the agreed state. The operators' documentation quotes these lines.

use tindoor_policy::Transition;

/// Logs one line for a change of the agreed state.
pub(super) fn log_transition(transition: &Transition) {
    match transition {
        Transition::Joined(incarnation) => tracing::info!(%incarnation, "fleet member joined"),
        Transition::Removed(incarnation) => tracing::info!(%incarnation, "fleet member removed"),
        Transition::Proposed(generation) => tracing::info!(generation, "policy proposed"),
        Transition::Rejected(token, reason) => tracing::warn!(token, reason, "policy rejected"),
        Transition::Decided(generation, at) => tracing::info!(generation, at = at.0, "policy decided"),
        Transition::Cancelled(generation, reason) => {
            tracing::warn!(generation, reason, "policy cancelled");
        }
        Transition::Activated(generation) => tracing::info!(generation, "policy activated"),
        Transition::ProbationEnded(generation, finding) => {
            tracing::info!(generation, finding, "policy probation ended");
        }
    }
}

/// Logs that this router became the leader in `term`, or, if `None`, that it is no longer the leader.
pub(super) fn log_leadership(term: Option<u64>) {
    match term {
        Some(term) => tracing::info!(term, "became leader"),
        None => tracing::info!("no longer leader"),
    }
}

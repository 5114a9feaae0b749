//! Log lines of changes of the agreed state. Their texts are in the operators' documentation.

use tindoor_policy::Transition;

/// Logs one line for a change of the agreed state.
pub(super) fn log_transition(transition: &Transition) {
    match transition {
        Transition::Joined(incarnation) => tracing::info!(%incarnation, "fleet: listed"),
        Transition::Removed(incarnation) => tracing::info!(%incarnation, "fleet: no longer listed"),
        Transition::Proposed(generation) => tracing::info!(generation, "policy: proposed"),
        Transition::Rejected(token, reason) => tracing::warn!(token, reason, "policy: refused"),
        Transition::Decided(generation, at) => tracing::info!(generation, at = at.0, "policy: decided"),
        Transition::Cancelled(generation, reason) => {
            tracing::warn!(generation, reason, "policy: called off");
        }
        Transition::Activated(generation) => tracing::info!(generation, "policy: in force"),
        Transition::ProbationEnded(generation, finding) => {
            tracing::info!(generation, finding, "policy: off probation");
        }
    }
}

/// Logs that this router leads the voters in that term, or, with none, that it no longer does.
pub(super) fn log_leadership(term: Option<u64>) {
    match term {
        Some(term) => tracing::info!(term, "fleet: leads the voters"),
        None => tracing::info!("fleet: no longer leads the voters"),
    }
}

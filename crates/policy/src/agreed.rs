//! The replicated state of a fleet. It is computed from the entries of the agreed log alone, so that all
//! routers that have applied the log up to the same index have the same state.

mod log_entry;
mod proposal;
mod state;
mod transition;

pub use log_entry::LogEntry;
pub use proposal::{OnProbation, PastProposal, PolicyVersion, Proposal, ProposalOutcome, StagedChange};
pub use state::AgreedState;
pub use transition::Transition;

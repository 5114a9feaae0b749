//! What a fleet has agreed on up to some index of its log: a function of the log entries alone, the same at
//! every router.

mod log_entry;
mod proposal;
mod state;
mod transition;

pub use log_entry::LogEntry;
pub use proposal::{OnProbation, PastProposal, PolicyVersion, Proposal, ProposalOutcome, StagedChange};
pub use state::AgreedState;
pub use transition::Transition;

//! The policy that all routers of a fleet decide by alike: what it may say ([`keys`]), what was agreed of it
//! ([`AgreedState`]), and whether a change did harm ([`Probation`]). Nothing here does I/O, reads a clock or draws
//! lots. What is promised, and why it holds, is in `docs/design/policy.md`.

mod agreed;
pub mod budgets;
pub mod keys;
mod probation;
mod value;

pub use agreed::{
    AgreedState, LogEntry, PastProposal, Proposal, ProposalOutcome, StagedChange, Transition, Version,
};
pub use probation::{Assessment, Count, OutcomeWindow, Probation, ProbationLimits};
pub use value::Policy;

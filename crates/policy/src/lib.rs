//! The policy by which all routers of a fleet decide: what it may set ([`keys`]), what budgets it declares
//! ([`budgets`]), what was agreed of it ([`AgreedState`]), and whether a change caused failures
//! ([`Probation`]).
//!
//! Nothing here does I/O, reads a clock or draws random numbers. The guarantees, and the argument why they
//! hold, are in `docs/design/policy.md`.

mod agreed;
pub mod budgets;
pub mod keys;
mod outcomes;
mod policy;
mod probation;

pub use agreed::{
    AgreedState, LogEntry, OnProbation, PastProposal, PolicyVersion, Proposal, ProposalOutcome, StagedChange,
    Transition,
};
pub use keys::PolicyError;
pub use outcomes::{OutcomeCount, OutcomeWindow, TrafficCell};
pub use policy::{Difference, Policy};
pub use probation::{Assessment, GenerationChange, Probation, ProbationLimits};

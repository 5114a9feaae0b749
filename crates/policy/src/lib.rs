//! The policy that all routers of a fleet apply. This crate defines the keys that a policy may set
//! ([`keys`]), the budgets that it declares ([`budgets`]), the replicated state of the fleet and of its
//! policy changes ([`AgreedState`]), and the test for changes that cause failures ([`Probation`]).
//!
//! The crate does no I/O, reads no clock and draws no random numbers. `docs/design/policy.md` states its
//! guarantees and why they hold.

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

//! The policy that all routers of a fleet decide by alike: what it may say ([`keys`]), what was agreed of it
//! ([`Agreed`]), and whether a change did harm ([`Probation`]). Nothing here does I/O, reads a clock or draws
//! lots. What is promised, and why it holds, is in `docs/design/policy.md`.

mod agreed;
pub mod budgets;
pub mod keys;
mod probation;
mod value;

pub use agreed::{Agreed, End, Entry, Past, Proposal, Staged, Step, Version};
pub use probation::{Bounds, Count, Finding, Probation, Tally};
pub use value::Policy;

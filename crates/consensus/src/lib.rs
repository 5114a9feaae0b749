//! One router's part in its fleet, without I/O: a [`Node`] is told what came and what time it is, and hands out
//! what is to be sent, written and checked. Agreement among voters is by the `raft` library; what is agreed is
//! [`tindoor_policy::AgreedState`]; what it lets a router do is reckoned by `tindoor_membership`.
//!
//! What is promised, and why it holds, is in `docs/design/policy.md`.

mod frames;
mod lead;
mod log;
mod node;
mod voter;
mod voters;

pub use frames::{Body, CatchUp, Command, Frame, Unreadable};
pub use log::{StorageWrite, StoredState};
pub use node::{Action, Guards, Limits, LocalIdentity, Node, Objection, Status, UnavailableReason};
pub use voters::{MembershipChange, Replica, plan_membership_change};

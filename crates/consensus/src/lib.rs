//! One router's part in its fleet, without I/O: a [`Node`] is told what came and what time it is, and hands out
//! what is to be sent, written and checked. Agreement among voters is by the `raft` library; what is agreed is
//! [`tindoor_policy::Agreed`]; what it lets a router do is reckoned by `tindoor_membership`.
//!
//! What is promised, and why it holds, is in `docs/design/policy.md`.

mod frames;
mod lead;
mod log;
mod node;
mod voter;
mod voters;

pub use frames::{Body, Command, Frame, News, Unreadable};
pub use log::{Kept, Write};
pub use node::{Guards, Limits, Node, Objection, Out, Own, Status, Why};
pub use voters::{Reseating, Seat, reseat};

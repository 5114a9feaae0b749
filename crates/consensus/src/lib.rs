//! One router's part in its fleet, without I/O.
//!
//! A [`Node`] is passed the messages that arrived and the current time, and returns [`Action`]s: what is to
//! be sent, written and checked. Agreement among the voters is by the `raft` library; the replicated state is
//! [`tindoor_policy::AgreedState`]; leases, clocks and failure detection are in `tindoor_membership`.
//!
//! What is promised, and why it holds, is in `docs/design/policy.md`.

mod actions;
mod config;
mod errors;
mod leadership;
mod membership_change;
mod messages;
mod node;
mod replica;
mod status;
mod storage;

pub use actions::{Action, Objection};
pub use config::{Limits, LocalIdentity, NodeConfig, SafetyChecks};
pub use errors::{BootstrapError, RevertError, StartError, SubmitError};
pub use membership_change::{MembershipChange, ReplicaInfo, plan_membership_change};
pub use messages::{
    AgedConfirmation, CatchUp, ClassOutcomes, Command, Envelope, Message, PeerConfirmation, UnreadableMessage,
};
pub use node::Node;
pub use status::{Status, UnavailableReason};
pub use storage::{StorageWrite, StoredState};

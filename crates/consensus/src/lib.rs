//! The consensus node of a router: replicated state, leases and leadership, without I/O.
//!
//! The owner of a [`Node`] passes it the received messages and the current time, and performs the [`Action`]s
//! that the node requests: messages to send, data to write and policies to check. The voters agree on a log
//! with the `raft` library; the replicated state is [`tindoor_policy::AgreedState`]; leases, clocks and
//! failure detection are in `tindoor_membership`.
//!
//! The guarantees of the protocol, and why they hold, are described in `docs/design/policy.md`.

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

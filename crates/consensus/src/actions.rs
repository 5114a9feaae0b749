//! What a node wants its owner to do.

use tindoor_policy::{PolicyVersion, Transition};

use crate::messages::Envelope;
use crate::storage::StorageWrite;

/// One thing that the owner of a [`Node`](crate::Node) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// Where the recipient is reached.
        address: String,
        /// The message with its header.
        envelope: Envelope,
    },
    /// Write to stable storage, in the order given, then call
    /// [`Node::write_completed`](crate::Node::write_completed).
    Write(StorageWrite),
    /// Check whether this router can apply the policy, then call
    /// [`Node::policy_checked`](crate::Node::policy_checked).
    CheckPolicy(PolicyVersion),
    /// Log a change of the agreed state.
    Transition(Transition),
    /// Log that this replica became the leader in that term, or, with none, that it no longer is.
    LeadershipChanged(Option<u64>),
}

/// Why a router can't apply a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Objection {
    /// The reason, for the operator.
    pub reason: String,
    /// Whether the router can't apply the policy at all, so that it is unavailable while the policy is in
    /// force. An objection that is not permanent (for example, more requests in flight than the policy
    /// allows) only cancels a proposal that is not yet decided.
    pub permanent: bool,
}

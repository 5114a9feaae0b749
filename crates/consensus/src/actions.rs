//! The actions that a node requests from its owner, the code that drives it and does its I/O.

use tindoor_policy::{PolicyVersion, Transition};

use crate::messages::Envelope;
use crate::storage::StorageWrite;

/// An action that the owner of a [`Node`](crate::Node) must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed: the message may be lost.
    Send {
        /// The recipient's address.
        address: String,
        /// The message with its header.
        envelope: Envelope,
    },
    /// Write to stable storage, in the order of the actions, then call
    /// [`Node::write_completed`](crate::Node::write_completed).
    Write(StorageWrite),
    /// Check whether this router can apply the policy, then pass the result to
    /// [`Node::policy_checked`](crate::Node::policy_checked).
    CheckPolicy(PolicyVersion),
    /// Log a change of the replicated state.
    Transition(Transition),
    /// Log that this replica became the leader in the given term, or that it lost the leadership if `None`.
    LeadershipChanged(Option<u64>),
}

/// Why a router can't apply a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Objection {
    /// The reason, as shown to the operator.
    pub reason: String,
    /// Whether the router can't apply the policy at all. If so, the router is unavailable while the policy
    /// is in force. An objection that is not permanent (for example, more requests in flight than the policy
    /// allows) only cancels a proposal that is not yet decided.
    pub permanent: bool,
}

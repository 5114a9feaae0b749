//! Messages between routers of a fleet, and their encoding.
//!
//! The encoding is positional: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};
use tindoor_membership::{ClockOffset, Incarnation, Member, bounded_vec};
use tindoor_policy::{OutcomeCount, Proposal};
use tindoor_quota::{QuotaGrant, QuotaRequest};

/// A message with its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The configured name of the fleet, the same at all its routers.
    pub fleet: String,
    /// The process that sent the message.
    pub sender: Incarnation,
    /// The address at which the sender is reached.
    pub sender_address: String,
    /// The message.
    pub message: Message,
}

/// A message between two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the recipient's status and everything it has applied beyond the sender's index.
    StatusRequest {
        /// The number that correlates the response with this request.
        nonce: u64,
        /// The fleet's number, or 0 if the sender does not know it.
        fleet: u64,
        /// The index of the last entry that the sender has applied.
        index: u64,
        /// Whether the response should contain confirmations by other peers.
        wants_peer_confirmations: bool,
    },
    /// The response to a status request.
    StatusResponse {
        /// The nonce of the request.
        nonce: u64,
        /// The time by the sender's clock, in microseconds.
        clock_micros: i64,
        /// The clocks that the sender can read, as offsets from its own clock.
        #[serde(deserialize_with = "bounded_vec")]
        clock_offsets: Vec<ClockOffset>,
        /// The index of the last entry that the sender has applied.
        index: u64,
        /// Whether the sender confirms this index. It does so only if no undecided change is staged at the
        /// index.
        confirms_index: bool,
        /// The latest confirmation by a quorum of the voters that is known to the sender.
        quorum_confirmation: Option<AgedConfirmation>,
        /// Confirmations of the same index by other peers.
        #[serde(deserialize_with = "bounded_vec")]
        peer_confirmations: Vec<PeerConfirmation>,
        /// The log entries or the state that the requester is missing.
        catch_up: CatchUp,
        /// The leader's address, if the sender knows it.
        leader_address: Option<String>,
    },
    /// A message of the `raft` library.
    Raft(Vec<u8>),
    /// The quota that the sender demands and the quota that it holds.
    QuotaRequest(QuotaRequest),
    /// The quota that is granted to the recipient.
    QuotaGrant(QuotaGrant),
    /// A command for the leader. Members that are not the leader forward it.
    Command {
        /// How many times the command was forwarded.
        hops: u8,
        /// The command.
        command: Command,
    },
}

/// A confirmation by a quorum of the voters, as reported by another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedConfirmation {
    /// The commit index that was confirmed.
    pub index: u64,
    /// The maximum age of the confirmation, in microseconds.
    pub age_micros: u64,
}

/// A confirmation by one peer, as reported by another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfirmation {
    /// The peer that confirmed the index.
    pub peer: Incarnation,
    /// The maximum age of the confirmation, in microseconds.
    pub age_micros: u64,
}

/// The part of the replicated state that the sender of a status request is missing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// Nothing is missing.
    None,
    /// Consecutive log entries.
    Entries {
        /// The index of the first entry.
        first: u64,
        /// The encoded entries.
        #[serde(deserialize_with = "bounded_vec")]
        entries: Vec<Vec<u8>>,
    },
    /// The whole replicated state, encoded.
    Snapshot(Vec<u8>),
}

/// A command for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Add a member.
    Join {
        /// The member's process.
        incarnation: Incarnation,
        /// The member's name, address, location and replica id.
        member: Member,
        /// The previous process of the router, if that process is proved to have ended.
        predecessor: Option<Incarnation>,
    },
    /// Remove a member that no longer accepts requests.
    Leave {
        /// The member's process.
        incarnation: Incarnation,
    },
    /// Report the result of checking a proposed policy.
    PolicyCheck {
        /// The generation that was checked.
        generation: u64,
        /// The process that checked it.
        incarnation: Incarnation,
        /// Why the policy can't be applied. `None` if it can be applied.
        objection: Option<String>,
    },
    /// Propose a change of the policy.
    Propose(Proposal),
    /// Cancel a proposal that is not yet decided.
    Withdraw {
        /// The generation of the proposal.
        generation: u64,
    },
    /// Remove a member that is known to have ended.
    RemoveMember {
        /// The member's name.
        name: String,
    },
    /// Report the outcomes of requests since the last report. The report also shows that the sender is alive.
    ReportOutcomes {
        /// The sender's process.
        incarnation: Incarnation,
        /// The sender's location.
        location: u16,
        /// The outcomes.
        #[serde(deserialize_with = "bounded_vec")]
        outcomes: Vec<ClassOutcomes>,
    },
}

/// The outcomes of the requests of one class that were decided under one generation of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassOutcomes {
    /// The generation of the policy.
    pub generation: u64,
    /// The request class.
    pub class: u16,
    /// The number of requests in total, and the number of those in time.
    pub count: OutcomeCount,
}

/// A message that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message can't be decoded: it is malformed, truncated or followed by trailing bytes")]
pub struct UnreadableMessage;

impl Envelope {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be encoded")
    }

    /// Decodes a complete message. Trailing bytes are an error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, UnreadableMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((envelope, [])) => Ok(envelope),
            _ => Err(UnreadableMessage),
        }
    }
}

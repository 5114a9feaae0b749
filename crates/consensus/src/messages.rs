//! Messages between routers of a fleet, and their encoding.
//!
//! The encoding is by position: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};
use tindoor_membership::{ClockOffset, Incarnation, Member};
use tindoor_policy::{OutcomeCount, Proposal};
use tindoor_quota::{QuotaGrant, QuotaRequest};

/// One message with its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name, as all its routers are configured.
    pub fleet: String,
    /// The process that sent it.
    pub sender: Incarnation,
    /// Where its sender is reached.
    pub sender_address: String,
    /// The message.
    pub message: Message,
}

/// A message between two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for what the recipient knows beyond the sender's index.
    StatusRequest {
        /// Correlates the response.
        nonce: u64,
        /// The fleet's number; 0 where the sender knows of none.
        fleet: u64,
        /// The sender's index.
        index: u64,
        /// Whether confirmations of other peers are wanted.
        wants_peer_confirmations: bool,
    },
    /// The response to a status request.
    StatusResponse {
        /// That of the request.
        nonce: u64,
        /// The sender's clock, in microseconds.
        clock_micros: i64,
        /// Clocks that the sender can read, relative to its own.
        clock_offsets: Vec<ClockOffset>,
        /// The sender's index.
        index: u64,
        /// Whether no change waits for its decision at that index, so that the sender confirms the index
        /// itself.
        confirms_index: bool,
        /// The latest confirmation by a quorum of the voters that the sender knows.
        quorum_confirmation: Option<AgedConfirmation>,
        /// Confirmations by other peers of the same index.
        peer_confirmations: Vec<PeerConfirmation>,
        /// What the requester lacks.
        catch_up: CatchUp,
        /// Where the leader is reached.
        leader_address: Option<String>,
    },
    /// A message of the `raft` library.
    Raft(Vec<u8>),
    /// What quota the sender demands and holds.
    QuotaRequest(QuotaRequest),
    /// What quota the recipient is granted.
    QuotaGrant(QuotaGrant),
    /// A command for the leader, forwarded by members that do not lead.
    Command {
        /// How often it was forwarded.
        hops: u8,
        /// The command.
        command: Command,
    },
}

/// A confirmation by a quorum of the voters, as another router tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedConfirmation {
    /// The index that was committed.
    pub index: u64,
    /// How old it is at most, in microseconds.
    pub age_micros: u64,
}

/// A confirmation by one peer, as another router tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfirmation {
    /// The peer that confirmed.
    pub peer: Incarnation,
    /// How old it is at most, in microseconds.
    pub age_micros: u64,
}

/// What the sender of a status request lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    /// Nothing.
    None,
    /// Log entries without a gap.
    Entries {
        /// The index of the first of them.
        first: u64,
        /// The entries.
        entries: Vec<Vec<u8>>,
    },
    /// The whole replicated state.
    Snapshot(Vec<u8>),
}

/// Something for the leader to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Add a member.
    Join {
        /// Its process.
        incarnation: Incarnation,
        /// The member.
        member: Member,
        /// A process that is proved to have ended.
        predecessor: Option<Incarnation>,
    },
    /// Remove a member that accepts no more requests.
    Leave {
        /// Its process.
        incarnation: Incarnation,
    },
    /// The result of checking a proposed policy.
    PolicyCheck {
        /// The generation that was checked.
        generation: u64,
        /// Who checked it.
        incarnation: Incarnation,
        /// Why it can't be applied; none where it can.
        objection: Option<String>,
    },
    /// Propose a change of the policy.
    Propose(Proposal),
    /// Cancel a proposal that is not yet decided.
    Withdraw {
        /// Its generation.
        generation: u64,
    },
    /// Remove a member that is known to have ended.
    RemoveMember {
        /// Its name.
        name: String,
    },
    /// Outcomes of requests since the last report. It also proves that the sender is alive.
    ReportOutcomes {
        /// The sender.
        incarnation: Incarnation,
        /// The sender's location.
        location: u16,
        /// The outcomes.
        outcomes: Vec<ClassOutcomes>,
    },
}

/// Outcomes of the requests of one class that were decided under one generation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassOutcomes {
    /// The generation of the policy.
    pub generation: u64,
    /// The request class.
    pub class: u16,
    /// How many there were.
    pub count: OutcomeCount,
}

/// A message that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message can't be decoded")]
pub struct UnreadableMessage;

impl Envelope {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be encoded")
    }

    /// Decodes a complete message; trailing bytes are an error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, UnreadableMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((envelope, [])) => Ok(envelope),
            _ => Err(UnreadableMessage),
        }
    }
}

//! What passes between routers, and its form on the wire.

use serde::{Deserialize, Serialize};
use tindoor_membership::{Incarnation, Interval, Member};
use tindoor_policy::{OutcomeCount, Proposal};
use tindoor_quota::{QuotaGrant, QuotaRequest};

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The fleet's name, as all its routers are told it.
    pub fleet: String,
    pub from: Incarnation,
    /// Where its sender is reached.
    pub address: String,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// How do things stand?
    StatusRequest {
        nonce: u64,
        /// The fleet's number and the index that the asker knows.
        fleet: u64,
        index: u64,
        /// Whether words of others are wanted.
        words: bool,
    },
    StatusResponse {
        nonce: u64,
        /// The giver's clock, and other clocks less it.
        clock: i64,
        offsets: Vec<(Incarnation, Interval)>,
        index: u64,
        /// No change waits for its decision there.
        open: bool,
        /// The voters' word that the giver knows: the index, and how many microseconds ago it was surely not yet
        /// given.
        voters: Option<(u64, u64)>,
        /// Words of others that they are at the same index, and how old each is.
        words: Vec<(Incarnation, u64)>,
        news: CatchUp,
        /// Where the leader of the voters is reached.
        leader: Option<String>,
    },
    /// A message of the `raft` library.
    Raft(Vec<u8>),
    /// What parts of the fleet's budgets its sender wants and holds, and what it is lent.
    QuotaRequest(QuotaRequest),
    QuotaGrant(QuotaGrant),
    /// Something for the leader; passed on where it isn't, at most so often.
    Command(u8, Command),
}

/// What the asker lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatchUp {
    None,
    /// The entries from that index on, without a gap.
    Entries {
        first: u64,
        entries: Vec<Vec<u8>>,
    },
    /// All that is agreed.
    Snapshot(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Join {
        start: Incarnation,
        listed: Member,
        after: Option<Incarnation>,
    },
    Leave {
        start: Incarnation,
    },
    /// Whether that router could go by a change; why not.
    Answer {
        generation: u64,
        start: Incarnation,
        objection: Option<String>,
    },
    Propose(Proposal),
    Withdraw {
        generation: u64,
    },
    /// That router is known to have ended.
    Forget {
        name: String,
    },
    /// Requests that ended since the last report, by generation and request class. Says as well that the router is there.
    Report {
        start: Incarnation,
        location: u16,
        counts: Vec<(u64, u16, OutcomeCount)>,
    },
}

/// A message that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl Frame {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values have a form")
    }

    /// Reads a whole message; what follows it is an error as well.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        match postcard::take_from_bytes(bytes) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Unreadable),
        }
    }
}

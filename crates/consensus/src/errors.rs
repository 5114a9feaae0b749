//! Errors of a node. Their texts are for operators.

use tindoor_membership::TimingsError;

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The timings contradict each other.
    #[error(transparent)]
    Timings(#[from] TimingsError),
    /// The stored log has gaps, or does not continue the stored snapshot.
    #[error("what was kept of the log does not fit together")]
    InconsistentLog,
    /// The stored snapshot can't be decoded.
    #[error("a snapshot can't be read")]
    UnreadableSnapshot,
    /// The `raft` library refuses the stored log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a fleet can't be bootstrapped here.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This router has no replica id.
    #[error("this router may not vote")]
    NotAVoter,
    /// This router belongs to a fleet already.
    #[error("fleet {fleet:016x} is founded already")]
    AlreadyBootstrapped {
        /// The fleet's number.
        fleet: u64,
    },
    /// The `raft` library refuses the new log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a command is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// Too many submitted commands are pending.
    #[error("too much is waiting for its end already")]
    TooManyPending,
}

/// Why there is nothing to revert.
#[derive(Debug, thiserror::Error)]
pub enum RevertError {
    /// That generation is not on probation.
    #[error("generation {generation} is not on probation: propose the old values instead")]
    NotOnProbation {
        /// The generation that was to be reverted.
        generation: u64,
    },
}

//! Errors of a node. Their texts are shown to operators.

use tindoor_membership::TimingsError;

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configured timings contradict each other.
    #[error(transparent)]
    Timings(#[from] TimingsError),
    /// The stored log can't be decoded, has gaps, does not continue the stored snapshot, or ends before the
    /// stored commit index.
    #[error(
        "stored log is inconsistent: a part of it can't be decoded, entries are missing, or the commit index \
         is beyond its last entry"
    )]
    InconsistentLog,
    /// The replicated state in the stored snapshot can't be decoded.
    #[error("replicated state in the stored snapshot can't be decoded")]
    UnreadableSnapshot,
    /// The `raft` library rejects the stored log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why this router can't bootstrap a fleet.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This router has no replica id.
    #[error("this router can't bootstrap a fleet: it has no replica id and may not vote")]
    NotAVoter,
    /// This router already belongs to a fleet.
    #[error("this router already belongs to fleet {fleet:016x}, which is bootstrapped only once")]
    AlreadyBootstrapped {
        /// The number of the existing fleet.
        fleet: u64,
    },
    /// The `raft` library rejects the new log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a submitted command is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// Too many submitted commands are pending.
    #[error("too many submitted commands are pending: try again after one of them has completed")]
    TooManyPending,
}

/// Why a generation can't be reverted.
#[derive(Debug, thiserror::Error)]
pub enum RevertError {
    /// The generation is not on probation.
    #[error(
        "generation {generation} is not on probation and can't be reverted: propose the old values as a new \
         change"
    )]
    NotOnProbation {
        /// The generation whose revert was requested.
        generation: u64,
    },
}

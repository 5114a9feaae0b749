//! Limits of the memory that untrusted peers may occupy.

use super::READ_CHUNK_BYTES;

/// One in this many bytes of the memory is for complete messages, calls and answers.
const COMPLETE_MESSAGES_DIVISOR: usize = 2;
/// One in this many bytes of the memory is for messages that are still incomplete.
const INCOMPLETE_MESSAGES_DIVISOR: usize = 8;

/// The memory that untrusted peers may occupy, on all listeners together.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// The maximum total size of complete messages, calls and answers, in bytes.
    pub max_complete_bytes: usize,
    /// The maximum total size of messages that are still incomplete, in bytes.
    pub max_incoming_bytes: usize,
    /// What one open call occupies beside its message, in bytes.
    pub call_bytes: usize,
    /// What one open stream of a proxy occupies beside its messages, in bytes.
    pub stream_bytes: usize,
    /// The size of the read buffer that all connections share, in bytes.
    pub read_chunk_bytes: usize,
}

impl MemoryLimits {
    pub(super) fn new(memory: usize) -> Self {
        Self {
            max_complete_bytes: memory / COMPLETE_MESSAGES_DIVISOR,
            max_incoming_bytes: memory / INCOMPLETE_MESSAGES_DIVISOR,
            call_bytes: 4 << 10,
            stream_bytes: 6 << 10,
            read_chunk_bytes: READ_CHUNK_BYTES,
        }
    }
}

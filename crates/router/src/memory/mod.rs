//! The memory that untrusted peers occupy: one account for all listeners. Complete messages and answers reserve
//! theirs from a budget; messages that are still incomplete share a part of their own, from which the oldest is
//! evicted when it is used up.

mod budget;
mod incoming;
mod read_buffer;
mod receive;

use std::rc::Rc;

pub use budget::{MemoryBudget, MemoryReservation};
pub use incoming::{Evicted, IncomingMessage, IncomingMessages, Sender, Standing};
pub use read_buffer::ReadBuffer;
pub use receive::{out_of_memory, receive_some};

use crate::configuration::limits::MemoryLimits;

/// The account of all bytes that are held for untrusted peers.
pub struct MemoryAccount {
    /// The budget for complete messages, calls and answers.
    pub complete: Rc<MemoryBudget>,
    /// The messages that are still incomplete.
    pub incoming: Rc<IncomingMessages>,
    /// The buffer that all listeners read into.
    pub read_buffer: ReadBuffer,
}

impl MemoryAccount {
    /// Creates an account of which nothing is used.
    pub fn new(limits: &MemoryLimits) -> Rc<Self> {
        Rc::new(Self {
            complete: MemoryBudget::new(limits.max_complete_bytes),
            incoming: IncomingMessages::new(limits.max_incoming_bytes),
            read_buffer: ReadBuffer::new(limits.read_chunk_bytes),
        })
    }

    /// Logs the figures of incomplete messages if any was evicted since the last report.
    pub fn report(&self) {
        self.incoming.report();
    }
}

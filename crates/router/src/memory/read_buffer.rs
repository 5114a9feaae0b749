//! The buffer that all connections read into. Only what was received is copied to a buffer of the connection, so
//! that a connection that waits for bytes holds none.

use std::cell::RefCell;
use std::io::{self, Read};

/// A read buffer shared by all connections. It is in use only during one read.
pub struct ReadBuffer(RefCell<Box<[u8]>>);

impl ReadBuffer {
    /// Creates a buffer of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(RefCell::new(vec![0; bytes].into()))
    }

    /// Reads once, and passes the bytes received to `take`.
    pub fn read<T>(&self, mut stream: impl Read, take: impl FnOnce(&[u8]) -> T) -> io::Result<T> {
        let mut buffer = self.0.borrow_mut();
        let size = stream.read(&mut buffer)?;
        Ok(take(&buffer[..size]))
    }
}

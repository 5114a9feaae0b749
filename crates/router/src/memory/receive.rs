//! Receives the parts of a message, and charges the account for them.

use std::io::{self, Read};

use async_io::{Async, IoSafe};
use futures_lite::future;

use super::{Evicted, IncomingMessage, MemoryAccount, Standing};

/// Waits for bytes and appends them to the message; returns how many were received, or 0 if the peer has closed its
/// side. `message_bytes` is the size of the whole message, if it is known. An error of kind `OutOfMemory` means that
/// the message was evicted.
pub async fn receive_some<S>(
    stream: &Async<S>,
    message: &IncomingMessage,
    memory: &MemoryAccount,
    standing: Standing,
    message_bytes: Option<usize>,
) -> io::Result<usize>
where
    S: IoSafe,
    for<'a> &'a S: Read,
{
    let received = async {
        loop {
            let append = |bytes: &[u8]| {
                message.append(bytes, message_bytes);
                bytes.len()
            };
            match memory.read_buffer.read(stream.get_ref(), append) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
                result => return result,
            }
        }
    };
    let evicted = async { Err(out_of_memory(message.evicted().await)) };
    let size = future::or(received, evicted).await?;
    message.hold(standing).map_err(out_of_memory)?;
    Ok(size)
}

/// Returns the error of a message that was evicted.
pub fn out_of_memory(error: Evicted) -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, error)
}

//! The framing of gRPC messages: one byte for the compression flag, four bytes for the length, then the
//! message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// The size of the flag and the length in front of a message, in bytes.
const PREFIX_BYTES: usize = 5;

/// The reason why a frame can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message exceeds the size limit.
    #[error("message over the size limit")]
    TooLong,
    /// The message is compressed, although no encoding was negotiated.
    #[error("compressed message, although no encoding was negotiated")]
    Compressed,
    /// The bytes are not a message of the expected type.
    #[error("message can't be decoded")]
    Unreadable,
}

/// Returns the size of the first message in `read` with its prefix. `None` if the prefix is incomplete.
pub fn message_bytes(read: &[u8]) -> Option<usize> {
    let [_, length @ ..] = *read.first_chunk::<PREFIX_BYTES>()?;
    Some(PREFIX_BYTES + u32::from_be_bytes(length) as usize)
}

/// Removes the first message from the front of `read` and returns it. `None` if the message is still
/// incomplete.
///
/// # Errors
///
/// The message is compressed, malformed or longer than `max_bytes`. The length is checked as soon as it is
/// known, so that the caller does not wait for the rest of a message that is too long.
pub fn decode<M: Message + Default>(read: &mut BytesMut, max_bytes: usize) -> Result<Option<M>, FrameError> {
    let Some(&[flag, length @ ..]) = read.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(length) as usize;
    if flag != 0 {
        return Err(FrameError::Compressed);
    }
    if length > max_bytes {
        return Err(FrameError::TooLong);
    }
    if read.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    read.advance(PREFIX_BYTES);
    M::decode(read.split_to(length).freeze()).map(Some).map_err(|_| FrameError::Unreadable)
}

/// Encodes a message together with its frame.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + length);
    out.put_u8(0);
    out.put_u32(length as u32);
    message.encode_raw(&mut out);
    out.freeze()
}

//! gRPC's framing of messages: a flag, four bytes of length, the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// The flag and the length before a message.
const PREFIX_BYTES: usize = 5;

/// Why a frame can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is over the limit.
    #[error("a message is over the limit")]
    TooLong,
    /// The message is compressed, and no encoding was agreed.
    #[error("a message is compressed, and no encoding was agreed")]
    Compressed,
    /// The bytes are no message.
    #[error("a message can't be read")]
    Unreadable,
}

/// Takes the first message from the start of `read`; none while it is incomplete. Its length is checked
/// against `max_bytes` before more of it is waited for.
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

/// A message in its frame.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + length);
    out.put_u8(0);
    out.put_u32(length as u32);
    message.encode_raw(&mut out);
    out.freeze()
}

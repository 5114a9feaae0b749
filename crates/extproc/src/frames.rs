//! gRPC's framing of messages: a flag, four bytes of length, the message.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a message is over the limit")]
    TooLong,
    #[error("a message is compressed, and no encoding was agreed")]
    Compressed,
    #[error("a message can't be read")]
    Unreadable,
}

/// Takes the first message from the start of `read`; none while it is not all there. Its length is checked
/// against `longest` before any of it is waited for.
pub fn take<M: Message + Default>(read: &mut BytesMut, longest: usize) -> Result<Option<M>, FrameError> {
    let Some(head) = read.first_chunk::<5>() else { return Ok(None) };
    let size = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if head[0] != 0 {
        return Err(FrameError::Compressed);
    }
    if size > longest {
        return Err(FrameError::TooLong);
    }
    if read.len() < 5 + size {
        return Ok(None);
    }
    read.advance(5);
    M::decode(read.split_to(size).freeze()).map(Some).map_err(|_| FrameError::Unreadable)
}

/// A message in its frame.
pub fn frame(message: &impl Message) -> Bytes {
    let size = message.encoded_len();
    let mut out = BytesMut::with_capacity(5 + size);
    out.put_u8(0);
    out.put_u32(size as u32);
    message.encode_raw(&mut out);
    out.freeze()
}

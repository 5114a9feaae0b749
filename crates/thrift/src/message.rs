//! Splits received bytes into frames and parses the messages in them.

use bytes::{Buf, Bytes, BytesMut};

use crate::reader::Reader;
use crate::wire::{FRAME_LENGTH_SIZE, VERSION, VERSION_MASK, field_type, message_type};

/// A message from a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A request for an object.
    Call {
        /// The sequence id, which is repeated in the answer.
        sequence_id: i32,
        /// The request's fields.
        fields: Fields,
        /// The request's body. Empty for reads.
        body: Bytes,
    },
    /// Cancels a call. This message itself has no answer.
    Cancel {
        /// The sequence id of the call to cancel.
        sequence_id: i32,
    },
    /// Asks whether the router accepts requests.
    Health {
        /// The sequence id, which is repeated in the answer.
        sequence_id: i32,
    },
}

/// The reason why a frame can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The message can't be identified or has no answer, so no error can be sent to the client.
    #[error("unreadable frame: {0}")]
    Unreadable(&'static str),
    /// The message names a method that does not exist.
    #[error("unknown method in message {sequence_id}")]
    UnknownMethod {
        /// The sequence id of the message.
        sequence_id: i32,
    },
    /// The arguments are malformed, but the message can be answered.
    #[error("malformed arguments in message {sequence_id}: {reason}")]
    BadArguments {
        /// The sequence id of the message.
        sequence_id: i32,
        /// The reason, in the words that are sent to the client.
        reason: &'static str,
    },
}

/// The string map of a call. Names and values are slices of the frame. Each name occurs once.
#[derive(Debug, Default, PartialEq)]
pub struct Fields(pub(crate) Vec<Field>);

/// One entry of [`Fields`].
#[derive(Debug, PartialEq)]
pub(crate) struct Field {
    pub(crate) name: Bytes,
    pub(crate) value: Bytes,
}

impl Fields {
    /// Returns the value of the field with this name. `None` if there is no such field.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|field| field.name == name.as_bytes()).map(|field| &field.value)
    }
}

/// Returns the size of the frame at the front of `buffer`, with its length prefix. `None` if the prefix is
/// incomplete or its length is negative.
pub fn frame_bytes(buffer: &[u8]) -> Option<usize> {
    let length = i32::from_be_bytes(*buffer.first_chunk::<FRAME_LENGTH_SIZE>()?);
    usize::try_from(length).ok().map(|size| FRAME_LENGTH_SIZE + size)
}

/// Removes the next frame from the front of `buffer` and returns it without its length. `None` if the frame
/// is still incomplete.
///
/// # Errors
///
/// The frame's length is negative or over `max_size` bytes.
pub fn take_frame(buffer: &mut BytesMut, max_size: usize) -> Result<Option<Bytes>, ParseError> {
    let Some(length) = buffer.first_chunk::<FRAME_LENGTH_SIZE>() else { return Ok(None) };
    let length = i32::from_be_bytes(*length);
    let size = usize::try_from(length).map_err(|_| ParseError::Unreadable("the frame length is negative"))?;
    if size > max_size {
        return Err(ParseError::Unreadable("the frame length is over the limit"));
    }
    if buffer.len() < FRAME_LENGTH_SIZE + size {
        return Ok(None);
    }
    buffer.advance(FRAME_LENGTH_SIZE);
    Ok(Some(buffer.split_to(size).freeze()))
}

/// Parses the message in one frame.
///
/// # Errors
///
/// The frame does not contain a message that a client may send; see [`ParseError`].
pub fn parse(frame: Bytes) -> Result<Message, ParseError> {
    let mut reader = Reader(frame);
    let header = reader.u32().map_err(ParseError::Unreadable)?;
    if header & VERSION_MASK != VERSION {
        return Err(ParseError::Unreadable("not the strict binary protocol"));
    }
    let method = reader.string().map_err(ParseError::Unreadable)?;
    let sequence_id = reader.u32().map_err(ParseError::Unreadable)? as i32;
    let bad_arguments = |reason| ParseError::BadArguments { sequence_id, reason };
    match (&method[..], header as u8) {
        (b"call", message_type::CALL) => {
            let (fields, body) = reader.call_arguments().map_err(bad_arguments)?;
            // If an inner length is wrong, a part of the message may remain after its apparent end.
            if !reader.0.is_empty() {
                return Err(bad_arguments("bytes behind the call"));
            }
            Ok(Message::Call { sequence_id, fields, body })
        }
        // A one-way message has no answer, so its error can't be reported to the client.
        (b"cancel", message_type::ONEWAY) => {
            let cancelled = reader.cancel_arguments().ok().flatten();
            let sequence_id = cancelled
                .ok_or(ParseError::Unreadable("a cancel message without the sequence id of a call"))?;
            Ok(Message::Cancel { sequence_id })
        }
        (b"health", message_type::CALL) => {
            reader.skip(field_type::STRUCT, 0).map_err(bad_arguments)?;
            Ok(Message::Health { sequence_id })
        }
        (_, message_type::CALL) => Err(ParseError::UnknownMethod { sequence_id }),
        _ => Err(ParseError::Unreadable("the message is neither a call nor a one-way message")),
    }
}

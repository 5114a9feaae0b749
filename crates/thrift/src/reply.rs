//! Encodes replies to clients.

use bytes::Bytes;

use crate::wire::{FRAME_LENGTH_SIZE, VERSION, field_type, message_type};

/// A frame for a client. It consists of three parts so that the body does not have to be copied.
#[derive(Debug)]
pub struct Reply {
    /// The frame's length and the bytes in front of the body.
    pub head: Bytes,
    /// The body, unchanged.
    pub body: Bytes,
    /// The bytes after the body.
    pub tail: Bytes,
}

/// A name and a value in the string map of a reply.
pub type TextField<'a> = (&'a str, &'a str);

/// The result of a method.
#[derive(Debug, Default)]
pub struct Answer<'a> {
    /// The object's content. Empty if there is none.
    pub body: Bytes,
    /// The answer's string map.
    pub fields: &'a [TextField<'a>],
    /// The field `good`: true for every served call, and for `health` if the router accepts requests.
    pub good: bool,
}

/// The types of Thrift application exceptions that the router sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplicationExceptionKind {
    /// The method does not exist.
    UnknownMethod = 1,
    /// The sequence id is invalid.
    BadSequenceId = 4,
    /// The message violates the protocol.
    ProtocolError = 7,
}

impl Reply {
    /// Returns the size of all three parts, in bytes.
    pub fn size(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }

    /// Creates a reply without a body from a frame whose length is not set yet.
    fn from_frame(mut frame: Vec<u8>) -> Self {
        let size = frame.len() - FRAME_LENGTH_SIZE;
        write_frame_length(&mut frame, size);
        Self { head: frame.into(), body: Bytes::new(), tail: Bytes::new() }
    }
}

/// Encodes the result of `method`, which is `call` or `health`.
pub fn answer(method: &str, sequence_id: i32, answer: Answer) -> Reply {
    let Answer { body, fields, good } = answer;
    let mut head = begin_message(message_type::REPLY, method, sequence_id);
    write_field_header(&mut head, field_type::STRUCT, 0);
    write_field_header(&mut head, field_type::STRING, 1);
    head.extend((body.len() as u32).to_be_bytes());
    let mut tail = Vec::with_capacity(32);
    write_field_header(&mut tail, field_type::MAP, 2);
    write_text_fields(&mut tail, fields);
    write_field_header(&mut tail, field_type::BOOL, 3);
    tail.extend([u8::from(good), field_type::STOP, field_type::STOP]);
    let size = head.len() - FRAME_LENGTH_SIZE + body.len() + tail.len();
    write_frame_length(&mut head, size);
    Reply { head: head.into(), body, tail: tail.into() }
}

/// Encodes the exception `Trylater`: the call has not run, and a retry is safe.
pub fn try_later(sequence_id: i32, fields: &[TextField]) -> Reply {
    exception(sequence_id, 1, fields)
}

/// Encodes the exception `Aborted`: the call may have run.
pub fn aborted(sequence_id: i32, fields: &[TextField]) -> Reply {
    exception(sequence_id, 2, fields)
}

/// Encodes an application exception with this message.
pub fn application_exception(sequence_id: i32, kind: ApplicationExceptionKind, message: &str) -> Reply {
    let mut frame = begin_message(message_type::EXCEPTION, "call", sequence_id);
    write_field_header(&mut frame, field_type::STRING, 1);
    write_string(&mut frame, message.as_bytes());
    write_field_header(&mut frame, field_type::I32, 2);
    frame.extend((kind as i32).to_be_bytes());
    frame.push(field_type::STOP);
    Reply::from_frame(frame)
}

/// Encodes a declared exception of `call`. `field_id` is its field in the result struct.
fn exception(sequence_id: i32, field_id: i16, fields: &[TextField]) -> Reply {
    let mut frame = begin_message(message_type::REPLY, "call", sequence_id);
    write_field_header(&mut frame, field_type::STRUCT, field_id);
    write_field_header(&mut frame, field_type::MAP, 1);
    write_text_fields(&mut frame, fields);
    frame.extend([field_type::STOP, field_type::STOP]);
    Reply::from_frame(frame)
}

/// Starts a frame: space for the frame's length, followed by the message header.
fn begin_message(message_type: u8, method: &str, sequence_id: i32) -> Vec<u8> {
    let mut frame = Vec::with_capacity(96);
    frame.extend([0; FRAME_LENGTH_SIZE]);
    frame.extend((VERSION | u32::from(message_type)).to_be_bytes());
    write_string(&mut frame, method.as_bytes());
    frame.extend(sequence_id.to_be_bytes());
    frame
}

fn write_frame_length(frame: &mut [u8], size: usize) {
    frame[..FRAME_LENGTH_SIZE].copy_from_slice(&(size as u32).to_be_bytes());
}

fn write_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn write_field_header(out: &mut Vec<u8>, field_type: u8, id: i16) {
    out.push(field_type);
    out.extend(id.to_be_bytes());
}

fn write_text_fields(out: &mut Vec<u8>, fields: &[TextField]) {
    out.extend([field_type::STRING, field_type::STRING]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        write_string(out, name.as_bytes());
        write_string(out, value.as_bytes());
    }
}

//! Messages between clients and the router: Apache Thrift with framed transport and the strict binary
//! protocol.
//!
//! The crate does no I/O. Parsed values are slices of the frame. Each length is checked against the remaining
//! bytes of the frame before memory is allocated for it.

mod message;
mod reader;
mod reply;
mod wire;

pub use message::{Fields, Message, ParseError, frame_bytes, parse, take_frame};
pub use reply::{
    Answer, ApplicationExceptionKind, Reply, TextField, aborted, answer, application_exception, try_later,
};

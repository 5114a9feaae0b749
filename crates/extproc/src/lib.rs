//! The external processing service as a proxy speaks it, without I/O: its messages, gRPC's frames, what
//! headers ask and report, and what the router says in return.

pub mod frames;
pub mod messages;
pub mod request;
pub mod response;

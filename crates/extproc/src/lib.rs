//! Envoy's external processing protocol, without I/O: the messages and their gRPC framing, the parsing of
//! headers of requests and reports, and the responses to a proxy.

pub mod frames;
mod headers;
pub mod messages;
pub mod request;
pub mod response;

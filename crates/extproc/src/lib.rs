//! The external processing service as proxies speak it, without I/O: its messages and their gRPC framing,
//! what headers of requests and reports say, and the responses to a proxy.

pub mod frames;
mod headers;
pub mod messages;
pub mod request;
pub mod response;

//! HTTP/1.1 messages between the router and endpoints: encoding of request heads, parsing of response heads,
//! and the mapping of a response to the outcome of the attempt. The crate does no I/O.

mod outcome;
mod request;
mod response;

pub use outcome::{attempt_status, outcome_detail};
pub use request::EndpointRequest;
pub use response::{ParseError, ResponseHead, parse_response_head};

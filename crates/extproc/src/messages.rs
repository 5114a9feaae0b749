//! The messages of `envoy.service.ext_proc.v3.ExternalProcessor/Process`, with the field numbers that Envoy's
//! API publishes (`envoy/service/ext_proc/v3/external_processor.proto`, `envoy/config/core/v3/base.proto`,
//! `envoy/extensions/filters/http/ext_proc/v3/processing_mode.proto`). Fields that the router does not use
//! are left out; protocol buffer decoders skip them.

use prost::{Enumeration, Message, Oneof};

/// A message from a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingRequest {
    /// The part of the request or response that the message carries.
    #[prost(oneof = "Phase", tags = "2, 3, 4, 5, 6, 7")]
    pub phase: Option<Phase>,
    /// Whether the proxy neither waits for a reply nor accepts one.
    #[prost(bool, tag = "10")]
    pub observability_mode: bool,
}

/// A part of a request or of a response.
#[derive(Clone, PartialEq, Oneof)]
pub enum Phase {
    /// The headers of the request.
    #[prost(message, tag = "2")]
    RequestHeaders(HttpHeaders),
    /// The headers of the response.
    #[prost(message, tag = "3")]
    ResponseHeaders(HttpHeaders),
    /// A piece of the body of the request.
    #[prost(message, tag = "4")]
    RequestBody(HttpBody),
    /// A piece of the body of the response.
    #[prost(message, tag = "5")]
    ResponseBody(HttpBody),
    /// The trailers of the request.
    #[prost(message, tag = "6")]
    RequestTrailers(HttpTrailers),
    /// The trailers of the response.
    #[prost(message, tag = "7")]
    ResponseTrailers(HttpTrailers),
}

/// The headers of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct HttpHeaders {
    /// The headers.
    #[prost(message, optional, tag = "1")]
    pub headers: Option<HeaderMap>,
    /// Whether neither a body nor trailers follow.
    #[prost(bool, tag = "3")]
    pub end_of_stream: bool,
}

/// A piece of a body.
#[derive(Clone, PartialEq, Message)]
pub struct HttpBody {
    /// The bytes of the piece.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
    /// Whether neither a further piece of the body nor trailers follow.
    #[prost(bool, tag = "2")]
    pub end_of_stream: bool,
}

/// The trailers of a request or a response.
#[derive(Clone, PartialEq, Message)]
pub struct HttpTrailers {
    /// The trailers.
    #[prost(message, optional, tag = "1")]
    pub trailers: Option<HeaderMap>,
}

/// A list of headers.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    /// The headers, in the order in which they were sent.
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

/// A header. The proxy's settings determine which of the two fields carries the value.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    /// The name, in lower case.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value as text.
    #[prost(string, tag = "2")]
    pub value: String,
    /// The value as bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub raw_value: Vec<u8>,
}

/// A message to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingResponse {
    /// How to continue with the phase that the proxy has sent.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub reply: Option<Reply>,
    /// The phases that the proxy is to send from now on.
    #[prost(message, optional, tag = "9")]
    pub mode_override: Option<ProcessingMode>,
}

/// The reply to a phase.
#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    /// Reply to the headers of the request.
    #[prost(message, tag = "1")]
    RequestHeaders(HeadersResponse),
    /// Reply to the headers of the response.
    #[prost(message, tag = "2")]
    ResponseHeaders(HeadersResponse),
    /// Reply to a piece of the body of the request.
    #[prost(message, tag = "3")]
    RequestBody(HeadersResponse),
    /// Reply to a piece of the body of the response.
    #[prost(message, tag = "4")]
    ResponseBody(HeadersResponse),
    /// Reply to the trailers of the request.
    #[prost(message, tag = "5")]
    RequestTrailers(TrailersResponse),
    /// Reply to the trailers of the response.
    #[prost(message, tag = "6")]
    ResponseTrailers(TrailersResponse),
    /// Responds to the client immediately.
    #[prost(message, tag = "7")]
    Immediate(ImmediateResponse),
}

/// The reply to headers or to a piece of a body. Envoy's `HeadersResponse` and `BodyResponse` have the same
/// fields.
#[derive(Clone, PartialEq, Message)]
pub struct HeadersResponse {
    /// How to continue.
    #[prost(message, optional, tag = "1")]
    pub response: Option<CommonResponse>,
}

/// The reply to trailers, which continue unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct TrailersResponse {}

/// How to continue.
#[derive(Clone, PartialEq, Message)]
pub struct CommonResponse {
    /// 0 means that the proxy continues.
    #[prost(int32, tag = "1")]
    pub status: i32,
    /// The changes to the headers.
    #[prost(message, optional, tag = "2")]
    pub header_mutation: Option<HeaderMutation>,
    /// Whether the proxy must choose its route again, based on the changed headers.
    #[prost(bool, tag = "5")]
    pub clear_route_cache: bool,
}

/// A response to the client in place of the endpoint's.
#[derive(Clone, PartialEq, Message)]
pub struct ImmediateResponse {
    /// The HTTP status.
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    /// The headers.
    #[prost(message, optional, tag = "2")]
    pub headers: Option<HeaderMutation>,
    /// The body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// A text for the proxy's log.
    #[prost(string, tag = "5")]
    pub details: String,
}

/// An HTTP status.
#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    /// The status code.
    #[prost(int32, tag = "1")]
    pub code: i32,
}

/// Changes to headers.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMutation {
    /// Headers to set.
    #[prost(message, repeated, tag = "1")]
    pub set_headers: Vec<HeaderValueOption>,
    /// Names of headers to remove.
    #[prost(string, repeated, tag = "2")]
    pub remove_headers: Vec<String>,
}

/// A header to set.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValueOption {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<HeaderValue>,
    /// What happens to existing headers with this name.
    #[prost(enumeration = "AppendAction", tag = "3")]
    pub append_action: i32,
}

/// What happens to an existing header with the name of a header to set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum AppendAction {
    /// The existing header is kept, and the new one is added.
    AppendIfExistsOrAdd = 0,
    /// The existing header is kept, and the new one is dropped.
    AddIfAbsent = 1,
    /// The new header replaces the existing one.
    OverwriteIfExistsOrAdd = 2,
}

/// The phases that a proxy sends from now on.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingMode {
    /// The mode of the request's headers.
    #[prost(enumeration = "HeaderSend", tag = "1")]
    pub request_header_mode: i32,
    /// The mode of the response's headers.
    #[prost(enumeration = "HeaderSend", tag = "2")]
    pub response_header_mode: i32,
    /// The mode of the request's body; 0 means that it is not sent.
    #[prost(int32, tag = "3")]
    pub request_body_mode: i32,
    /// The mode of the response's body; 0 means that it is not sent.
    #[prost(int32, tag = "4")]
    pub response_body_mode: i32,
    /// The mode of the request's trailers.
    #[prost(enumeration = "HeaderSend", tag = "5")]
    pub request_trailer_mode: i32,
    /// The mode of the response's trailers.
    #[prost(enumeration = "HeaderSend", tag = "6")]
    pub response_trailer_mode: i32,
}

/// Whether headers or trailers are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum HeaderSend {
    /// As the proxy is configured.
    Default = 0,
    /// Sent.
    Send = 1,
    /// Not sent.
    Skip = 2,
}

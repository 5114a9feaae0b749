//! The messages of `envoy.service.ext_proc.v3.ExternalProcessor/Process`, with the field numbers that Envoy's
//! API publishes (`envoy/service/ext_proc/v3/external_processor.proto`, `envoy/config/core/v3/base.proto`,
//! `envoy/extensions/filters/http/ext_proc/v3/processing_mode.proto`). Fields that the router has no use for
//! are left out: a reader of protocol buffers passes over them.

use prost::{Enumeration, Message, Oneof};

/// A message of a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingRequest {
    /// What it is about.
    #[prost(oneof = "Phase", tags = "2, 3, 4, 5, 6, 7")]
    pub phase: Option<Phase>,
    /// Whether the proxy waits for no reply and takes none.
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

/// Headers, with whether a body follows.
#[derive(Clone, PartialEq, Message)]
pub struct HttpHeaders {
    /// The headers.
    #[prost(message, optional, tag = "1")]
    pub headers: Option<HeaderMap>,
    /// Whether nothing follows.
    #[prost(bool, tag = "3")]
    pub end_of_stream: bool,
}

/// A piece of a body.
#[derive(Clone, PartialEq, Message)]
pub struct HttpBody {
    /// Its bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
    /// Whether nothing follows.
    #[prost(bool, tag = "2")]
    pub end_of_stream: bool,
}

/// Trailers.
#[derive(Clone, PartialEq, Message)]
pub struct HttpTrailers {
    /// The trailers.
    #[prost(message, optional, tag = "1")]
    pub trailers: Option<HeaderMap>,
}

/// A list of headers.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    /// In the order in which they were sent.
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

/// One header; its value is in one of the two forms, by the proxy's settings.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    /// Its name, in lower case.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value as text.
    #[prost(string, tag = "2")]
    pub value: String,
    /// Its value as bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub raw_value: Vec<u8>,
}

/// A message to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingResponse {
    /// What to do with the phase that was sent.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub reply: Option<Reply>,
    /// Which phases to send from now on.
    #[prost(message, optional, tag = "9")]
    pub mode_override: Option<ProcessingMode>,
}

/// The reply to a phase.
#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    /// To the headers of the request.
    #[prost(message, tag = "1")]
    RequestHeaders(HeadersResponse),
    /// To the headers of the response.
    #[prost(message, tag = "2")]
    ResponseHeaders(HeadersResponse),
    /// To a piece of the body of the request.
    #[prost(message, tag = "3")]
    RequestBody(HeadersResponse),
    /// To a piece of the body of the response.
    #[prost(message, tag = "4")]
    ResponseBody(HeadersResponse),
    /// To the trailers of the request.
    #[prost(message, tag = "5")]
    RequestTrailers(TrailersResponse),
    /// To the trailers of the response.
    #[prost(message, tag = "6")]
    ResponseTrailers(TrailersResponse),
    /// Responds to the client at once.
    #[prost(message, tag = "7")]
    Immediate(ImmediateResponse),
}

/// `HeadersResponse` and `BodyResponse` have the same form.
#[derive(Clone, PartialEq, Message)]
pub struct HeadersResponse {
    /// How to continue.
    #[prost(message, optional, tag = "1")]
    pub response: Option<CommonResponse>,
}

/// Trailers continue unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct TrailersResponse {}

/// How to continue.
#[derive(Clone, PartialEq, Message)]
pub struct CommonResponse {
    /// 0 is to continue.
    #[prost(int32, tag = "1")]
    pub status: i32,
    /// Changes of the headers.
    #[prost(message, optional, tag = "2")]
    pub header_mutation: Option<HeaderMutation>,
    /// Has the proxy choose its route again, by the headers as they are now.
    #[prost(bool, tag = "5")]
    pub clear_route_cache: bool,
}

/// A response to the client in place of the endpoint's.
#[derive(Clone, PartialEq, Message)]
pub struct ImmediateResponse {
    /// Its status.
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    /// Its headers.
    #[prost(message, optional, tag = "2")]
    pub headers: Option<HeaderMutation>,
    /// Its body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// For the log of the proxy.
    #[prost(string, tag = "5")]
    pub details: String,
}

/// An HTTP status.
#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    /// Its code.
    #[prost(int32, tag = "1")]
    pub code: i32,
}

/// Changes of headers.
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
    /// What becomes of a header of that name.
    #[prost(enumeration = "AppendAction", tag = "3")]
    pub append_action: i32,
}

/// What becomes of a header that is there already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum AppendAction {
    /// Both stay.
    AppendIfExistsOrAdd = 0,
    /// The old one stays.
    AddIfAbsent = 1,
    /// The new one replaces it.
    OverwriteIfExistsOrAdd = 2,
}

/// Which phases a proxy sends from now on.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingMode {
    /// Of the request's headers.
    #[prost(enumeration = "HeaderSend", tag = "1")]
    pub request_header_mode: i32,
    /// Of the response's headers.
    #[prost(enumeration = "HeaderSend", tag = "2")]
    pub response_header_mode: i32,
    /// 0 is none.
    #[prost(int32, tag = "3")]
    pub request_body_mode: i32,
    /// 0 is none.
    #[prost(int32, tag = "4")]
    pub response_body_mode: i32,
    /// Of the request's trailers.
    #[prost(enumeration = "HeaderSend", tag = "5")]
    pub request_trailer_mode: i32,
    /// Of the response's trailers.
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

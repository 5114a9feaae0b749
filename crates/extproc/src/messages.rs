//! The messages of `envoy.service.ext_proc.v3.ExternalProcessor/Process`, with the field numbers that Envoy's
//! API publishes (`envoy/service/ext_proc/v3/external_processor.proto`, `envoy/config/core/v3/base.proto`,
//! `envoy/extensions/filters/http/ext_proc/v3/processing_mode.proto`). Fields that the router has no use for
//! are left out: a reader of protocol buffers passes over them.

use prost::{Enumeration, Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct ProcessingRequest {
    #[prost(oneof = "Phase", tags = "2, 3, 4, 5, 6, 7")]
    pub phase: Option<Phase>,
    /// The proxy waits for no answer and takes none.
    #[prost(bool, tag = "10")]
    pub observability_mode: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Phase {
    #[prost(message, tag = "2")]
    RequestHeaders(HttpHeaders),
    #[prost(message, tag = "3")]
    ResponseHeaders(HttpHeaders),
    #[prost(message, tag = "4")]
    RequestBody(HttpBody),
    #[prost(message, tag = "5")]
    ResponseBody(HttpBody),
    #[prost(message, tag = "6")]
    RequestTrailers(HttpTrailers),
    #[prost(message, tag = "7")]
    ResponseTrailers(HttpTrailers),
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpHeaders {
    #[prost(message, optional, tag = "1")]
    pub headers: Option<HeaderMap>,
    #[prost(bool, tag = "3")]
    pub end_of_stream: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpBody {
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
    #[prost(bool, tag = "2")]
    pub end_of_stream: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpTrailers {
    #[prost(message, optional, tag = "1")]
    pub trailers: Option<HeaderMap>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

/// One header; its value is in one of the two forms, by the proxy's settings.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub value: String,
    #[prost(bytes = "vec", tag = "3")]
    pub raw_value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProcessingResponse {
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub reply: Option<Reply>,
    #[prost(message, optional, tag = "9")]
    pub mode_override: Option<ProcessingMode>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    #[prost(message, tag = "1")]
    RequestHeaders(HeadersResponse),
    #[prost(message, tag = "2")]
    ResponseHeaders(HeadersResponse),
    #[prost(message, tag = "3")]
    RequestBody(HeadersResponse),
    #[prost(message, tag = "4")]
    ResponseBody(HeadersResponse),
    #[prost(message, tag = "5")]
    RequestTrailers(TrailersResponse),
    #[prost(message, tag = "6")]
    ResponseTrailers(TrailersResponse),
    #[prost(message, tag = "7")]
    Immediate(ImmediateResponse),
}

/// `HeadersResponse` and `BodyResponse` have the same form.
#[derive(Clone, PartialEq, Message)]
pub struct HeadersResponse {
    #[prost(message, optional, tag = "1")]
    pub response: Option<CommonResponse>,
}

#[derive(Clone, PartialEq, Message)]
pub struct TrailersResponse {}

#[derive(Clone, PartialEq, Message)]
pub struct CommonResponse {
    /// 0 is to go on.
    #[prost(int32, tag = "1")]
    pub status: i32,
    #[prost(message, optional, tag = "2")]
    pub header_mutation: Option<HeaderMutation>,
    /// Have the proxy choose its route anew, by the headers as they are now.
    #[prost(bool, tag = "5")]
    pub clear_route_cache: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct ImmediateResponse {
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    #[prost(message, optional, tag = "2")]
    pub headers: Option<HeaderMutation>,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    #[prost(string, tag = "5")]
    pub details: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    #[prost(int32, tag = "1")]
    pub code: i32,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderMutation {
    #[prost(message, repeated, tag = "1")]
    pub set_headers: Vec<HeaderValueOption>,
    #[prost(string, repeated, tag = "2")]
    pub remove_headers: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct HeaderValueOption {
    #[prost(message, optional, tag = "1")]
    pub header: Option<HeaderValue>,
    #[prost(enumeration = "AppendAction", tag = "3")]
    pub append_action: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum AppendAction {
    AppendIfExistsOrAdd = 0,
    AddIfAbsent = 1,
    OverwriteIfExistsOrAdd = 2,
}

/// Which phases are sent from now on.
#[derive(Clone, PartialEq, Message)]
pub struct ProcessingMode {
    #[prost(enumeration = "HeaderSend", tag = "1")]
    pub request_header_mode: i32,
    #[prost(enumeration = "HeaderSend", tag = "2")]
    pub response_header_mode: i32,
    /// 0 is none.
    #[prost(int32, tag = "3")]
    pub request_body_mode: i32,
    #[prost(int32, tag = "4")]
    pub response_body_mode: i32,
    #[prost(enumeration = "HeaderSend", tag = "5")]
    pub request_trailer_mode: i32,
    #[prost(enumeration = "HeaderSend", tag = "6")]
    pub response_trailer_mode: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum HeaderSend {
    Default = 0,
    Send = 1,
    Skip = 2,
}

//! Encodes and decodes messages of the external processing service.

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HeaderMutation, HttpHeaders, ImmediateResponse, ProcessingRequest, ProcessingResponse,
    processing_request, processing_response,
};
use prost::bytes::Bytes;

use super::Response;
use super::http::{Fields, Message};

/// Size in bytes of a gRPC frame's header: the compression flag and the message's size.
const FRAME_HEADER_BYTES: usize = 5;

/// The router's reply to a request's headers.
pub(super) enum Decision {
    /// Forward the request with these header fields.
    Forward(Fields),
    /// Send this response to the client without forwarding the request.
    Immediate(Response),
}

impl Decision {
    /// Returns the decision in a message. `None` if the message is of another kind.
    pub(super) fn from_message(message: ProcessingResponse) -> Option<Self> {
        match message.response? {
            processing_response::Response::RequestHeaders(headers) => {
                let mutation = headers.response.and_then(|response| response.header_mutation);
                Some(Self::Forward(set_fields(mutation)))
            }
            processing_response::Response::ImmediateResponse(immediate) => {
                Some(Self::Immediate(immediate_response(immediate)))
            }
            _ => None,
        }
    }
}

/// Returns the headers of a message with these fields.
pub(crate) fn http_headers(fields: Vec<(String, String)>) -> HttpHeaders {
    let header = |(key, value): (String, String)| HeaderValue {
        key,
        raw_value: value.into_bytes(),
        ..Default::default()
    };
    let headers = Some(HeaderMap { headers: fields.into_iter().map(header).collect() });
    HttpHeaders { headers, end_of_stream: false, ..Default::default() }
}

/// Returns a message of this kind.
pub(crate) fn processing_request(request: processing_request::Request) -> ProcessingRequest {
    ProcessingRequest { request: Some(request), ..Default::default() }
}

/// Returns the first message of an attempt of this request.
pub(super) fn request_headers(request: &Message, attempt: u32, time_remaining_ms: u64) -> ProcessingRequest {
    let mut fields: Vec<(String, String)> = vec![
        (":path".into(), request.target.clone()),
        (":method".into(), "GET".into()),
        ("x-envoy-attempt-count".into(), attempt.to_string()),
        ("x-max-ms".into(), time_remaining_ms.to_string()),
    ];
    let forwarded = ["x-ticket", "x-nonce", "x-group", "x-redo", "cookie", "x-envoy-external-address"];
    let present = forwarded.iter().filter_map(|name| request.fields.get_key_value(*name));
    fields.extend(present.map(|(name, value)| (name.clone(), value.clone())));
    processing_request(processing_request::Request::RequestHeaders(http_headers(fields)))
}

/// Returns a message in a gRPC frame.
pub(crate) fn framed(message: &impl prost::Message) -> Bytes {
    let bytes = message.encode_to_vec();
    [&[0][..], &(bytes.len() as u32).to_be_bytes(), &bytes].concat().into()
}

/// Returns the message in a gRPC frame. `None` if the message cannot be decoded.
pub(crate) fn unframed<M: prost::Message + Default>(bytes: &[u8]) -> Option<M> {
    M::decode(bytes.get(FRAME_HEADER_BYTES..)?).ok()
}

/// Returns the header fields that a message sets.
pub(super) fn set_fields(mutation: Option<HeaderMutation>) -> Fields {
    let set = mutation.into_iter().flat_map(|mutation| mutation.set_headers);
    let header = set.filter_map(|option| option.header);
    header.map(|header| (header.key, String::from_utf8_lossy(&header.raw_value).into_owned())).collect()
}

/// Returns the response to the client that the router generated.
pub(super) fn immediate_response(immediate: ImmediateResponse) -> Response {
    let status = immediate.status.map_or(500, |status| status.code as u16);
    Response { status, fields: set_fields(immediate.headers), body: Vec::new() }
}

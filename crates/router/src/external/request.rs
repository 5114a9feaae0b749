//! Parses a request from an external proxy and checks its signed URL, for both fronts.

use tindoor_external_requests::{CallReply, ExternalRequest};
use tindoor_extproc::request::{self as request_headers, HeaderError, HeaderNames, Headers};
use tindoor_extproc::response::{self, FinalResponse, REASON};
use tindoor_signed_urls::playback::Playback;

use crate::signed_urls::AuthorizedRequest;
use crate::state::RouterState;

const BAD_GATEWAY: u16 = 502;
const FORBIDDEN: u16 = 403;
const BAD_REQUEST: u16 = 400;

/// A parsed request, with the result of the check of its signed URL.
pub struct CheckedRequest {
    pub request: ExternalRequest,
    /// The path as it was checked, to be forwarded. `None` if the router does not check signed URLs.
    pub path: Option<String>,
    /// Why the signed URL is not valid. `None` if it is valid or not required.
    pub refusal_reason: Option<String>,
    /// The playback to sign for its next part. `None` if the request is not part of a playback.
    pub playback: Option<Playback>,
}

impl CheckedRequest {
    /// Returns the `Set-Cookie` value that authorizes the next part of a playback. `None` if the request is
    /// not part of a playback.
    pub fn renewal_cookie(&self, router: &RouterState) -> Option<String> {
        let (signed_urls, playback) = router.signed_urls.as_ref().zip(self.playback.as_ref())?;
        signed_urls.renewal_cookie(playback, router.engine.clock.unix_ms())
    }
}

/// Parses a request and checks its signed URL. An error names the invalid header.
pub fn read_request(
    router: &RouterState,
    headers: &Headers,
    names: &HeaderNames,
) -> Result<CheckedRequest, HeaderError> {
    let Some(signed_urls) = &router.signed_urls else {
        let request = request_headers::read_request(headers, names, &router.classes)?;
        return Ok(CheckedRequest { request, path: None, refusal_reason: None, playback: None });
    };
    let path = headers.one(&names.path).unwrap_or_default();
    let authorized = signed_urls
        .authorize(path, headers, router.engine.clock.unix_ms())
        .map_err(|_| HeaderError { header: names.path.clone(), problem: "no normal form" })?;
    let others = headers.0.iter().copied().filter(|header| header.0 != names.path);
    let headers = Headers(others.chain([(names.path.as_str(), authorized.path.as_bytes())]).collect());
    let mut request = request_headers::read_request(&headers, names, &router.classes)?;
    let AuthorizedRequest { path, authorization, refusal_reason, playback } = authorized;
    if !signed_urls.needs_signature(request.class) {
        return Ok(CheckedRequest { request, path: Some(path), refusal_reason: None, playback: None });
    }
    request.authorization = authorization;
    Ok(CheckedRequest { request, path: Some(path), refusal_reason, playback })
}

/// Returns the response to a request that can't be parsed.
pub fn bad_request(reason: impl Into<String>) -> FinalResponse {
    FinalResponse::with_reason(BAD_REQUEST, reason)
}

/// Returns the response to send for a final reply.
pub fn final_response(reply: &CallReply) -> FinalResponse {
    let none = FinalResponse { status: BAD_GATEWAY, fields: Vec::new() };
    response::final_response(reply).unwrap_or(none)
}

/// Returns the response to send for a final reply to a request. `refusal_reason` says why the request's
/// signed URL is not valid; `None` if the URL is valid or needs no signature.
pub fn final_response_to_request(reply: &CallReply, refusal_reason: Option<&str>) -> FinalResponse {
    let mut response = final_response(reply);
    if let Some(refusal_reason) = refusal_reason {
        // The client's URL is the reason for the refusal, not a failure of the endpoints.
        response.status = if response.status == BAD_GATEWAY { FORBIDDEN } else { response.status };
        for field in response.fields.iter_mut().filter(|field| field.name == REASON) {
            field.value = refusal_reason.to_string();
        }
    }
    response
}

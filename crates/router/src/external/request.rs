//! Reads a request of an external proxy and checks its signed URL, for both fronts.

use tindoor_external_requests::{CallReply, ExternalRequest};
use tindoor_extproc::request::{self as request_headers, HeaderError, HeaderNames, Headers};
use tindoor_extproc::response::{self, FinalResponse, REASON};
use tindoor_signed_urls::playback::Playback;

use crate::signed_urls::AuthorizedRequest;
use crate::state::RouterState;

const BAD_GATEWAY: u16 = 502;
const FORBIDDEN: u16 = 403;
const BAD_REQUEST: u16 = 400;

/// A request that was read, with the result of the check of its signed URL.
pub struct CheckedRequest {
    pub request: ExternalRequest,
    /// Where signed URLs are checked: the path as it was checked, to be forwarded.
    pub path: Option<String>,
    /// Why its signed URL is not valid.
    pub denial: Option<String>,
    /// What to sign for the next part of a playback.
    pub playback: Option<Playback>,
}

impl CheckedRequest {
    /// The `Set-Cookie` value that authorizes the next part of a playback, where this is a part of one.
    pub fn renewal_cookie(&self, router: &RouterState) -> Option<String> {
        let (signed_urls, playback) = router.signed_urls.as_ref().zip(self.playback.as_ref())?;
        signed_urls.renewal_cookie(playback, router.engine.clock.unix_ms())
    }
}

/// Reads a request and checks its signed URL; an error names the header at fault.
pub fn read_request(
    router: &RouterState,
    headers: &Headers,
    names: &HeaderNames,
) -> Result<CheckedRequest, HeaderError> {
    let Some(signed_urls) = &router.signed_urls else {
        let request = request_headers::read_request(headers, names, &router.classes)?;
        return Ok(CheckedRequest { request, path: None, denial: None, playback: None });
    };
    let path = headers.one(&names.path).unwrap_or_default();
    let authorized = signed_urls
        .authorize(path, headers, router.engine.clock.unix_ms())
        .map_err(|_| HeaderError { header: names.path.clone(), problem: "no normal form" })?;
    let others = headers.0.iter().copied().filter(|header| header.0 != names.path);
    let headers = Headers(others.chain([(names.path.as_str(), authorized.path.as_bytes())]).collect());
    let mut request = request_headers::read_request(&headers, names, &router.classes)?;
    let AuthorizedRequest { path, authorization, refusal_reason: denial, playback } = authorized;
    if !signed_urls.needs_signature(request.class) {
        return Ok(CheckedRequest { request, path: Some(path), denial: None, playback: None });
    }
    request.authorization = authorization;
    Ok(CheckedRequest { request, path: Some(path), denial, playback })
}

/// The response to a request that can't be read.
pub fn bad_request(reason: impl Into<String>) -> FinalResponse {
    FinalResponse::with_reason(BAD_REQUEST, reason)
}

/// The response of a final reply.
pub fn final_response(reply: &CallReply) -> FinalResponse {
    let none = FinalResponse { status: BAD_GATEWAY, fields: Vec::new() };
    response::final_response(reply).unwrap_or(none)
}

/// The response of a final reply to a request; `denial` says why its signed URL is not valid.
pub fn final_response_to_request(reply: &CallReply, denial: Option<&str>) -> FinalResponse {
    let mut response = final_response(reply);
    if let Some(denial) = denial {
        // The client's own URL is at fault, not the endpoints.
        response.status = if response.status == BAD_GATEWAY { FORBIDDEN } else { response.status };
        for field in response.fields.iter_mut().filter(|field| field.name == REASON) {
            field.value = denial.to_string();
        }
    }
    response
}

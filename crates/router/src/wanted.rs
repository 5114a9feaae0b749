//! What a call asks for, its link checked where links are: the same for both fronts that only choose.

use tindoor::time::Moment;
use tindoor_external_requests::{CallReply, ExternalRequest};
use tindoor_extproc::ask::{self, Headers, Names};
use tindoor_extproc::say::{self, Fields};
use tindoor_signed_urls::playback::Playback;

use crate::signed_urls::AuthorizedRequest;
use crate::state::RouterState;

/// What is asked, read and checked.
pub struct Wanted {
    pub call: ExternalRequest,
    /// Where links are checked: the path that goes on.
    pub path: Option<String>,
    /// Why its link does not pass.
    pub why: Option<String>,
    /// What has the next part of a playback pass.
    pub playback: Option<Playback>,
}

/// Unix milliseconds, by the one clock of the router.
pub fn unix_ms(router: &RouterState) -> u64 {
    router.engine.clock.now().since(Moment::default()).as_micros() / 1000
}

/// Reads a call; names the header that can't be used.
pub fn wanted(router: &RouterState, headers: &Headers, names: &Names) -> Result<Wanted, ask::Fault> {
    let Some(links) = &router.signed_urls else {
        let call = ask::call(headers, names, &router.header_classes)?;
        return Ok(Wanted { call, path: None, why: None, playback: None });
    };
    let path = headers.one(&names.path).unwrap_or_default();
    let judged = links.authorize(path, headers, unix_ms(router));
    let judged = judged.map_err(|_| ask::Fault { header: names.path.clone(), what: "no normal form" })?;
    let rest = headers.0.iter().copied().filter(|header| header.0 != names.path);
    let headers = Headers(rest.chain([(names.path.as_str(), judged.path.as_bytes())]).collect());
    let mut call = ask::call(&headers, names, &router.header_classes)?;
    let AuthorizedRequest { path, authorization, refusal_reason: why, playback } = judged;
    if !links.needs_signature(call.class) {
        return Ok(Wanted { call, path: Some(path), why: None, playback: None });
    }
    call.authorization = authorization;
    Ok(Wanted { call, path: Some(path), why, playback })
}

/// A final answer; `why` says what is wrong with the client's link.
pub fn refused(say: &CallReply, why: Option<&str>) -> (u16, Fields) {
    let (mut status, mut fields) = say::refusal(say).unwrap_or((502, Vec::new()));
    if let Some(why) = why {
        // The client's own link is at fault, not the caches.
        status = if status == 502 { 403 } else { status };
        let reasons = fields.iter_mut().filter(|field| field.0 == "x-tindoor-reason");
        reasons.for_each(|field| field.1 = why.to_string());
    }
    (status, fields)
}

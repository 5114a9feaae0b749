//! What a call asks for, its link checked where links are: the same for both fronts that only choose.

use tindoor::time::Moment;
use tindoor_calls::{Call, Say};
use tindoor_extproc::ask::{self, Headers, Names};
use tindoor_extproc::say::{self, Fields};

use crate::router::Router;

/// What is asked, and where links are checked the path that goes on and why its link does not pass.
pub type Wanted = (Call, Option<String>, Option<String>);

/// Reads a call; names the header that can't be used.
pub fn wanted(router: &Router, headers: &Headers, names: &Names) -> Result<Wanted, ask::Fault> {
    let Some(links) = &router.links else {
        return Ok((ask::call(headers, names, &router.asked)?, None, None));
    };
    let path = headers.one(&names.path).unwrap_or_default();
    let unix_ms = router.decisions.clock.now().since(Moment::default()).as_micros() / 1000;
    let judged = links.judge(path, headers, unix_ms);
    let judged = judged.map_err(|_| ask::Fault { header: names.path.clone(), what: "no normal form" })?;
    let rest = headers.0.iter().copied().filter(|header| header.0 != names.path);
    let headers = Headers(rest.chain([(names.path.as_str(), judged.path.as_bytes())]).collect());
    let mut call = ask::call(&headers, names, &router.asked)?;
    if !links.needs(call.offering) {
        return Ok((call, Some(judged.path), None));
    }
    call.pass = judged.pass;
    Ok((call, Some(judged.path), judged.why))
}

/// A final answer; `why` says what is wrong with the client's link.
pub fn refused(say: &Say, why: Option<&str>) -> (u16, Fields) {
    let (mut status, mut fields) = say::refusal(say).unwrap_or((502, Vec::new()));
    if let Some(why) = why {
        // The client's own link is at fault, not the caches.
        status = if status == 502 { 403 } else { status };
        let reasons = fields.iter_mut().filter(|field| field.0 == "x-tindoor-reason");
        reasons.for_each(|field| field.1 = why.to_string());
    }
    (status, fields)
}

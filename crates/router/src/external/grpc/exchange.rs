//! Serves one request of a proxy over a gRPC stream, from the request's headers to the end of the stream.

use std::rc::Rc;

use futures_lite::future::or;
use tindoor_external_requests::{CallReply, RefusalReason, RoutingDecision};
use tindoor_extproc::frames;
use tindoor_extproc::messages::{
    HeadersResponse, HttpHeaders, Phase, ProcessingResponse, Reply, TrailersResponse,
};
use tindoor_extproc::request::{HeaderNames, Headers, read_report};
use tindoor_extproc::response::{self, HeaderField};

use super::stream::{MessageStream, StreamEnd};
use crate::external::call::Call;
use crate::external::request::{CheckedRequest, bad_request, final_response_to_request, read_request};
use crate::external::target;
use crate::state::RouterState;
use crate::timeout::with_timeout;

/// Serves one request: sends the decision, receives the report, and replies to it.
pub async fn serve(
    router: &Rc<RouterState>,
    stream: &mut MessageStream<'_>,
    names: &HeaderNames,
) -> Result<(), StreamEnd> {
    let Some(headers) = request_headers(router, stream).await? else { return Ok(()) };
    let request = read_request(router, &headers_of(&headers), names);
    // Its many short fields take far more memory than the message.
    drop(headers);
    match request {
        Ok(request) => serve_request(router, stream, &request).await?,
        Err(error) => {
            tracing::debug!(%error, "invalid request from an external proxy; answered with status 400");
            stream.end_call();
            stream.send(&response::immediate(bad_request(error.to_string()))).await?;
        }
    }
    stream.end_call();
    drain(router, stream).await
}

/// Serves a request that was read, up to the final answer.
async fn serve_request(
    router: &Rc<RouterState>,
    stream: &mut MessageStream<'_>,
    request: &CheckedRequest,
) -> Result<(), StreamEnd> {
    let Some(_call_under_way) = stream.begin_call(router) else {
        let rejected = CallReply::Rejected(router.engine.retry_after(), RefusalReason::NoCapacity);
        let refusal = final_response_to_request(&rejected, request.refusal_reason.as_deref());
        stream.end_call();
        return stream.send(&response::immediate(refusal)).await;
    };
    let call = router.external.open_call(stream.proxy());
    router.external.call_received(&call, request.request);
    if let Some(decision) = send_decision(router, stream, &call, request).await? {
        receive_report(router, stream, &call, &decision).await?;
        reply_to_report(router, stream, &call, request).await?;
    }
    Ok(())
}

/// Returns the first message, which must be the request's headers. `None` if the proxy closed its side
/// without sending a message.
async fn request_headers(
    router: &RouterState,
    stream: &mut MessageStream<'_>,
) -> Result<Option<HttpHeaders>, StreamEnd> {
    let first = with_timeout(router.limits.proxy.frame_timeout, async { Ok(stream.next().await) }).await;
    match first.map_err(|_| StreamEnd::timed_out("no headers came in time"))?? {
        Some(Phase::RequestHeaders(headers)) => Ok(Some(headers)),
        Some(_) => Err(StreamEnd::invalid("the first message is not the request's headers")),
        None => Ok(None),
    }
}

/// Waits for the decision and sends it. Returns `None` if a final response was sent instead. A proxy that
/// closes its side of the stream while the router waits has abandoned the request.
async fn send_decision(
    router: &Rc<RouterState>,
    stream: &mut MessageStream<'_>,
    call: &Call,
    request: &CheckedRequest,
) -> Result<Option<RoutingDecision>, StreamEnd> {
    loop {
        let reply = next_reply(call, stream).await?;
        let CallReply::Decision { decision, use_within, time_remaining } = reply else {
            let refusal = final_response_to_request(&reply, request.refusal_reason.as_deref());
            stream.send(&response::immediate(refusal)).await?;
            return Ok(None);
        };
        let target = target::resolve(router, &decision);
        let mut fields =
            response::decision_headers(&request.request, &decision, &target, use_within, time_remaining);
        // The path is forwarded as it was checked.
        fields.extend(request.path.iter().map(|path| HeaderField::new(":path", path)));
        let bytes = frames::encode(&response::forward_request(fields));
        stream.reserve(bytes.len()).await?;
        // The decision may have been withdrawn while the stream waited for capacity in the proxy's window.
        if router.external.confirm_send(call, &reply) {
            stream.send_reserved(bytes)?;
            return Ok(Some(decision));
        }
    }
}

enum Event {
    Reply(CallReply),
    Phase(Result<Option<Phase>, StreamEnd>),
}

/// Waits for the headers of the endpoint's response, which are the report on the decision.
async fn receive_report(
    router: &Rc<RouterState>,
    stream: &mut MessageStream<'_>,
    call: &Call,
    decision: &RoutingDecision,
) -> Result<(), StreamEnd> {
    loop {
        let phase = async { Event::Phase(stream.next().await) };
        let reply = async { Event::Reply(call.replies.next().await) };
        match or(phase, reply).await {
            Event::Phase(phase) => match phase? {
                None => return Err(StreamEnd::CLOSED),
                Some(Phase::ResponseHeaders(headers)) => {
                    return apply_report(router, call, decision, &headers);
                }
                Some(Phase::RequestHeaders(_)) => {
                    return Err(StreamEnd::invalid("the request's headers twice"));
                }
                Some(Phase::ResponseBody(_) | Phase::ResponseTrailers(_)) => {
                    return Err(StreamEnd::invalid("an answer's body before its headers"));
                }
                Some(other) => stream.send(&unchanged(&other)).await?,
            },
            Event::Reply(reply) => return Err(end_without_report(&reply)),
        }
    }
}

fn apply_report(
    router: &Rc<RouterState>,
    call: &Call,
    decision: &RoutingDecision,
    headers: &HttpHeaders,
) -> Result<(), StreamEnd> {
    let headers = headers_of(headers);
    if let Some(signed_urls) = &router.signed_urls {
        // The `Date` headers of endpoints are clock samples. Participant 0 is the change stream, so endpoints
        // are numbered from 1.
        let participant = 1 + u64::from(decision.endpoint.0);
        signed_urls.observe_date_header(participant, &headers, router.engine.clock.unix_ms());
    }
    let report = read_report(&headers).map_err(|error| {
        tracing::debug!(%error, "invalid report from an external proxy; its stream is ended");
        StreamEnd::invalid("the response's headers can't be used")
    })?;
    router.external.report_received(call, report);
    Ok(())
}

/// Returns how the stream ends when a reply arrives before the report: any reply at that point is final.
fn end_without_report(reply: &CallReply) -> StreamEnd {
    match reply {
        CallReply::Failed(RefusalReason::NotReported) | CallReply::Rejected(..) => {
            StreamEnd::timed_out("nothing was reported in time")
        }
        CallReply::Failed(RefusalReason::ShuttingDown) => StreamEnd::unavailable("the router ends"),
        _ => StreamEnd::aborted("a later try of this request came"),
    }
}

async fn reply_to_report(
    router: &Rc<RouterState>,
    stream: &mut MessageStream<'_>,
    call: &Call,
    request: &CheckedRequest,
) -> Result<(), StreamEnd> {
    let message = match next_reply(call, stream).await? {
        CallReply::PassThrough => response::pass_through(request.renewal_cookie(router)),
        CallReply::AwaitRetry => response::request_retry(),
        other => {
            let refusal = response::final_response(&other);
            response::immediate(refusal.ok_or(StreamEnd::aborted("no answer"))?)
        }
    };
    stream.send(&message).await
}

/// Returns the next reply to a call. Phases that arrive first are passed on unchanged.
async fn next_reply(call: &Call, stream: &mut MessageStream<'_>) -> Result<CallReply, StreamEnd> {
    loop {
        let reply = async { Event::Reply(call.replies.next().await) };
        let phase = async { Event::Phase(stream.next().await) };
        match or(reply, phase).await {
            Event::Reply(reply) => return Ok(reply),
            Event::Phase(phase) => match phase? {
                Some(Phase::RequestHeaders(_) | Phase::ResponseHeaders(_)) => {
                    return Err(StreamEnd::invalid("headers out of their order"));
                }
                Some(other) => stream.send(&unchanged(&other)).await?,
                None => return Err(StreamEnd::CLOSED),
            },
        }
    }
}

/// Passes on the phases that arrive after the last reply, until the proxy closes its side.
async fn drain(router: &RouterState, stream: &mut MessageStream<'_>) -> Result<(), StreamEnd> {
    let drained = async { Ok(pass_remaining(stream).await) };
    let left_open = Err(StreamEnd::timed_out("the stream was left open"));
    let end = with_timeout(router.limits.proxy.max_request_timeout, drained).await.unwrap_or(left_open);
    // The call has its final answer.
    if stream.is_evicted() { Ok(()) } else { end }
}

async fn pass_remaining(stream: &mut MessageStream<'_>) -> Result<(), StreamEnd> {
    while let Some(phase) = stream.next().await? {
        if let Phase::RequestHeaders(_) | Phase::ResponseHeaders(_) = phase {
            return Err(StreamEnd::invalid("headers twice"));
        }
        stream.send(&unchanged(&phase)).await?;
    }
    Ok(())
}

/// Returns the reply that passes a phase on unchanged.
fn unchanged(phase: &Phase) -> ProcessingResponse {
    let unchanged = HeadersResponse { response: Some(Default::default()) };
    let reply = match phase {
        Phase::RequestHeaders(_) => Reply::RequestHeaders(unchanged),
        Phase::ResponseHeaders(_) => Reply::ResponseHeaders(unchanged),
        Phase::RequestBody(_) => Reply::RequestBody(unchanged),
        Phase::ResponseBody(_) => Reply::ResponseBody(unchanged),
        Phase::RequestTrailers(_) => Reply::RequestTrailers(TrailersResponse {}),
        Phase::ResponseTrailers(_) => Reply::ResponseTrailers(TrailersResponse {}),
    };
    ProcessingResponse { reply: Some(reply), mode_override: None }
}

/// Returns the headers of a message. The proxy's settings determine which of two fields holds a header's
/// value.
fn headers_of(headers: &HttpHeaders) -> Headers<'_> {
    let list = headers.headers.iter().flat_map(|map| &map.headers);
    let pairs = list.map(|header| {
        let is_text = header.raw_value.is_empty();
        let value = if is_text { header.value.as_bytes() } else { &header.raw_value[..] };
        (header.key.as_str(), value)
    });
    Headers(pairs.collect())
}

//! The external processor: proxies call it over gRPC for each request, and carry the bytes themselves.

use std::future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::future::or;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response};
use tindoor_external_requests::{CallReply, RefusalReason};
use tindoor_extproc::ask::{self, Headers, Names};
use tindoor_extproc::frames::{self, Fault};
use tindoor_extproc::messages::{
    HeadersResponse, HttpHeaders, Phase, ProcessingRequest, ProcessingResponse, Reply, TrailersResponse,
};
use tindoor_extproc::say;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::external::Open;
use crate::places;
use crate::state::RouterState;
use crate::timeout::with_timeout;
use crate::wanted::{Wanted, refused, unix_ms, wanted};

/// How one stream ended, as gRPC's status: a code and words.
type Status = (u16, &'static str);

const OK: Status = (0, "");
const INVALID: u16 = 3;
const LATE: u16 = 4;
const EXHAUSTED: u16 = 8;
const ABORTED: u16 = 10;
const UNIMPLEMENTED: u16 = 12;
const UNAVAILABLE: u16 = 14;

/// One connection, until either side ends it.
pub async fn converse(router: Rc<RouterState>, stream: Async<TcpStream>, names: Rc<Names>) -> io::Result<()> {
    let limits = &router.limits.proxy;
    let mut builder = h2::server::Builder::new();
    // Guards against one proxy's flood: streams, resets before they are taken, and headers are bounded by
    // connection; continuation frames count as headers.
    builder
        .max_concurrent_streams(limits.max_streams as u32)
        .max_header_list_size(limits.max_header_list_bytes as u32)
        .max_frame_size(limits.read_chunk_bytes as u32)
        .max_pending_accept_reset_streams(limits.max_reset_streams)
        .max_concurrent_reset_streams(limits.max_reset_streams)
        .max_local_error_reset_streams(Some(limits.max_reset_streams))
        .data_frame_budget(limits.data_frame_budget)
        .max_send_buffer_size(limits.max_unsent_bytes)
        .initial_window_size(limits.max_message_bytes as u32);
    let ready = async { builder.handshake(stream.compat()).await.map_err(io::Error::other) };
    let mut connection: Connection<Compat<Async<TcpStream>>, Bytes> =
        with_timeout(limits.frame_timeout, ready).await?;
    // One that rests holds a descriptor and nothing else, for so long. One timer for all its life: each costs
    // a call of the system.
    let (busy, mut used) = (Rc::new(()), Instant::now());
    let mut rest = Timer::after(limits.idle_timeout);
    loop {
        let accepted = or(async { Some(connection.accept().await) }, async {
            (&mut rest).await;
            None
        });
        let (request, respond) = match accepted.await {
            Some(None) => return Ok(()),
            Some(Some(call)) => call.map_err(io::Error::other)?,
            None if Rc::strong_count(&busy) > 1 || used.elapsed() < limits.idle_timeout => {
                rest.set_after(limits.idle_timeout);
                continue;
            }
            None => {
                connection.graceful_shutdown();
                return with_timeout(limits.frame_timeout, async {
                    future::poll_fn(|context| connection.poll_closed(context)).await.map_err(io::Error::other)
                })
                .await;
            }
        };
        used = Instant::now();
        let (router, names, busy) = (Rc::clone(&router), Rc::clone(&names), Rc::clone(&busy));
        let executor = Rc::clone(&router.executor);
        let call = async move {
            answer(&router, request, respond, &names).await;
            drop(busy);
        };
        executor.spawn(call).detach();
    }
}

/// One call of the service: its stream of messages, and its status at the end.
async fn answer(
    router: &Rc<RouterState>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    names: &Names,
) {
    let head = || Response::builder().status(200).header("content-type", "application/grpc");
    let kind = request.headers().get("content-type").map(|kind| kind.as_bytes());
    if !kind.is_some_and(|kind| kind.starts_with(b"application/grpc")) || request.method() != Method::POST {
        let refused = Response::builder().status(415).body(()).expect("a plain response");
        let _ = respond.send_response(refused, true);
        return;
    }
    if request.uri().path() != "/envoy.service.ext_proc.v3.ExternalProcessor/Process" {
        let unknown = head().header("grpc-status", UNIMPLEMENTED).body(()).expect("a plain response");
        let _ = respond.send_response(unknown, true);
        return;
    }
    let Ok(sender) = respond.send_response(head().body(()).expect("a plain response"), false) else { return };
    let mut talk = Talk { router, sender, reader: request.into_body(), read: BytesMut::new() };
    let status = match serve(router, &mut talk, names).await {
        Ok(()) => OK,
        Err(Some(status)) => status,
        // Reset, or its connection is gone: nobody to tell.
        Err(None) => return,
    };
    if status != OK
        && let Some(times) = router.malformed_log.record()
    {
        let (code, words) = status;
        tracing::warn!(code, words, times, "a call of a proxy ended with a fault");
    }
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", status.0.into());
    if !status.1.is_empty() {
        trailers.insert("grpc-message", http::HeaderValue::from_static(status.1));
    }
    let _ = talk.sender.send_trailers(trailers);
}

/// The two directions of one stream.
struct Talk<'a> {
    router: &'a RouterState,
    sender: SendStream<Bytes>,
    reader: RecvStream,
    read: BytesMut,
}

/// Why a stream is over: a status to give, or none where nobody hears it.
type Over = Option<Status>;

impl Talk<'_> {
    /// The next message; none at the end of the proxy's side. May be dropped and called again.
    async fn next(&mut self) -> Result<Option<Phase>, Over> {
        loop {
            match frames::take::<ProcessingRequest>(
                &mut self.read,
                self.router.limits.proxy.max_message_bytes,
            ) {
                Ok(Some(message)) if message.observability_mode => {
                    return Err(Some((UNIMPLEMENTED, "observability mode takes no choice")));
                }
                Ok(Some(ProcessingRequest { phase: Some(phase), .. })) => return Ok(Some(phase)),
                Ok(Some(_)) => return Err(Some((INVALID, "a message of no known kind"))),
                Ok(None) => {}
                Err(Fault::Long) => return Err(Some((EXHAUSTED, "a message is over the limit"))),
                Err(Fault::Compressed) => return Err(Some((UNIMPLEMENTED, "compressed"))),
                Err(Fault::Unreadable) => return Err(Some((INVALID, "a message can't be read"))),
            }
            match self.reader.data().await {
                Some(Ok(data)) => {
                    let _ = self.reader.flow_control().release_capacity(data.len());
                    self.read.extend_from_slice(&data);
                }
                Some(Err(_)) => return Err(None),
                None if self.read.is_empty() => return Ok(None),
                None => return Err(Some((INVALID, "a message was cut off"))),
            }
        }
    }

    /// Room for so many bytes; a peer that opens no window gives none.
    async fn room(&mut self, size: usize) -> Result<(), Over> {
        self.sender.reserve_capacity(size);
        let sender = &mut self.sender;
        let opened = async {
            while sender.capacity() < size {
                match future::poll_fn(|context| sender.poll_capacity(context)).await {
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(io::Error::other(error)),
                    None => return Err(io::ErrorKind::BrokenPipe.into()),
                }
            }
            Ok(())
        };
        match with_timeout(self.router.limits.proxy.write_timeout, opened).await {
            Ok(()) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                self.sender.send_reset(Reason::CANCEL);
                Err(None)
            }
            Err(_) => Err(None),
        }
    }

    async fn send(&mut self, message: &ProcessingResponse) -> Result<(), Over> {
        let bytes = frames::frame(message);
        self.room(bytes.len()).await?;
        self.sender.send_data(bytes, false).map_err(|_| None)
    }
}

/// Serves one request of a proxy, from its headers to the end of its stream.
async fn serve(router: &Rc<RouterState>, talk: &mut Talk<'_>, names: &Names) -> Result<(), Over> {
    // Read strictly, before anybody is asked.
    let first = with_timeout(router.limits.proxy.frame_timeout, async { Ok(talk.next().await) }).await;
    let first = first.map_err(|_| Some((LATE, "no headers came in time")))??;
    let asked = match first {
        Some(Phase::RequestHeaders(asked)) => asked,
        Some(_) => return Err(Some((INVALID, "the first message is not the request's headers"))),
        None => return Ok(()),
    };
    let Wanted { call, path, why, playback } = match wanted(router, &pairs(&asked), names) {
        Ok(wanted) => wanted,
        Err(fault) => {
            tracing::debug!(%fault, "a request that can't be used");
            let fields = vec![("x-tindoor-reason", fault.to_string())];
            talk.send(&say::immediate(400, fields)).await?;
            return drain(talk).await;
        }
    };
    let open = router.external.open();
    router.external.call(&open, call);

    // The choice, or a refusal. A proxy that ends its stream meanwhile has given the request up.
    let participant = loop {
        let said = listen(&open, talk).await?;
        match &said {
            CallReply::Decision { decision, use_within, left } => {
                let place = places::of(router, decision);
                let mut fields = say::decision(&call, decision, &place, *use_within, *left);
                // What was checked is what goes on.
                fields.extend(path.clone().map(|path| (":path", path)));
                let message = say::chosen(fields);
                let bytes = frames::frame(&message);
                talk.room(bytes.len()).await?;
                // It may have been taken back while there was no room to send it.
                if router.external.leaves(&open, &said) {
                    talk.sender.send_data(bytes, false).map_err(|_| None)?;
                    // Whose answer it will be: caches tell the time by it.
                    break 1 + u64::from(decision.cache.0);
                }
            }
            other => {
                let (status, fields) = refused(other, why.as_deref());
                talk.send(&say::immediate(status, fields)).await?;
                return drain(talk).await;
            }
        }
    };

    // The choice is out: its report is the answer's headers.
    loop {
        let phase = async { Happened::Phase(talk.next().await) };
        let said = async { Happened::Said(open.says.next().await) };
        match or(phase, said).await {
            Happened::Phase(phase) => match phase? {
                None => return Ok(()),
                Some(Phase::ResponseHeaders(headers)) => {
                    if let Some(links) = &router.signed_urls {
                        links.observe_date_header(participant, &pairs(&headers), unix_ms(router));
                    }
                    match ask::report(&pairs(&headers)) {
                        Ok(report) => router.external.report(&open, report),
                        Err(fault) => {
                            tracing::debug!(%fault, "a report that can't be used");
                            return Err(Some((INVALID, "the response's headers can't be used")));
                        }
                    }
                    break;
                }
                Some(Phase::RequestHeaders(_)) => return Err(Some((INVALID, "the request's headers twice"))),
                Some(Phase::ResponseBody(_) | Phase::ResponseTrailers(_)) => {
                    return Err(Some((INVALID, "an answer's body before its headers")));
                }
                Some(other) => talk.send(&passed(&other)).await?,
            },
            // Nothing can be said now but that it is over.
            Happened::Said(CallReply::Failed(RefusalReason::Unreported) | CallReply::Rejected(..)) => {
                return Err(Some((LATE, "nothing was reported in time")));
            }
            Happened::Said(CallReply::Failed(RefusalReason::Stopping)) => {
                return Err(Some((UNAVAILABLE, "the router ends")));
            }
            Happened::Said(_) => return Err(Some((ABORTED, "a later try of this request came"))),
        }
    }
    match listen(&open, talk).await? {
        CallReply::PassThrough => {
            let links = router.signed_urls.as_ref().zip(playback.as_ref());
            let cookie = links.and_then(|(links, playback)| links.renewal_cookie(playback, unix_ms(router)));
            talk.send(&say::passed_on(cookie)).await?;
        }
        CallReply::AwaitRetry => talk.send(&say::again()).await?,
        other => {
            let Some((status, fields)) = say::refusal(&other) else {
                return Err(Some((ABORTED, "no answer")));
            };
            talk.send(&say::immediate(status, fields)).await?;
        }
    }
    drain(talk).await
}

enum Happened {
    Said(CallReply),
    Phase(Result<Option<Phase>, Over>),
}

/// What the table says next, while the proxy waits; other phases that come meanwhile are answered.
async fn listen(open: &Open, talk: &mut Talk<'_>) -> Result<CallReply, Over> {
    loop {
        let said = async { Happened::Said(open.says.next().await) };
        let phase = async { Happened::Phase(talk.next().await) };
        match or(said, phase).await {
            Happened::Said(said) => return Ok(said),
            Happened::Phase(Ok(Some(Phase::RequestHeaders(_) | Phase::ResponseHeaders(_)))) => {
                return Err(Some((INVALID, "headers out of their order")));
            }
            Happened::Phase(Ok(Some(other))) => talk.send(&passed(&other)).await?,
            // The proxy's side is over: nobody waits.
            Happened::Phase(Ok(None)) => return Err(Some(OK)),
            Happened::Phase(Err(over)) => return Err(over),
        }
    }
}

/// Everything is said; phases that come all the same are passed on, until the proxy ends its side.
async fn drain(talk: &mut Talk<'_>) -> Result<(), Over> {
    let limit = talk.router.limits.proxy.max_request_timeout;
    let rest = async {
        loop {
            match talk.next().await {
                Ok(None) => return Ok(Ok(())),
                Ok(Some(Phase::RequestHeaders(_) | Phase::ResponseHeaders(_))) => {
                    return Ok(Err(Some((INVALID, "headers twice"))));
                }
                Ok(Some(phase)) => {
                    if let Err(over) = talk.send(&passed(&phase)).await {
                        return Ok(Err(over));
                    }
                }
                Err(over) => return Ok(Err(over)),
            }
        }
    };
    with_timeout(limit, rest).await.unwrap_or(Err(Some((LATE, "the stream was left open"))))
}

/// A phase that the router has no use for, passed on unchanged.
fn passed(phase: &Phase) -> ProcessingResponse {
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

fn pairs(headers: &HttpHeaders) -> Headers<'_> {
    let list = headers.headers.iter().flat_map(|map| &map.headers);
    Headers(
        list.map(|header| {
            let raw =
                if header.raw_value.is_empty() { header.value.as_bytes() } else { &header.raw_value[..] };
            (header.key.as_str(), raw)
        })
        .collect(),
    )
}

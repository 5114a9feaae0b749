//! The life of one call of a client, from top to bottom.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use tindoor::host::{AttemptStatus, Authorization, RequestMeta, RequestSlot};
use tindoor::time::Span;
use tindoor_http::Ask;
use tindoor_request_runtime::{Attempt, AttemptEnd, FinalAnswer, Mailbox, RequestTransport, run_request};
use tindoor_thrift::{Fields, Reply, aborted, answer, try_later};

use crate::downstream::connection::Client;
use crate::state::RouterState;
use crate::upstream::pool::{End, Held};

/// A call as its client sent it; its texts are slices of the frame.
pub struct Call {
    pub seq: i32,
    pub fields: Fields,
    pub body: Bytes,
    pub arrived: Instant,
    /// The memory that the frame stands for.
    pub _held: Held,
}

/// What the call asks for, checked; the texts go on to caches unchanged.
struct Wanted<'a> {
    id: u64,
    asked: RequestMeta,
    patience: Span,
    ask: Ask<'a>,
}

/// The client's side of one request: its attempts go to caches, its answer to the client's connection.
struct Served<'a> {
    router: &'a RouterState,
    client: &'a Client,
    mailbox: &'a Rc<Mailbox>,
    call: &'a Call,
    wanted: &'a Wanted<'a>,
}

impl RequestTransport for Served<'_> {
    type Payload = (End, Option<Held>);

    async fn carry(&self, attempt: Attempt) -> AttemptEnd<Self::Payload> {
        let (end, held) = exchange(self, attempt).await;
        AttemptEnd { verdict: end.verdict, note: end.note, payload: (end, held) }
    }

    fn answer(&self, given: FinalAnswer<Self::Payload>) {
        let seq = self.call.seq;
        let (reply, held) = match given {
            FinalAnswer::Done((end, held)) => {
                let fields: &[_] = if end.valid { &[("valid", "1")] } else { &[] };
                (answer("call", seq, end.body, fields, true), held)
            }
            FinalAnswer::TurnedBack(retry_after) => (rejected(seq, retry_after), None),
            FinalAnswer::WrittenOff | FinalAnswer::Left => (aborted(seq, &[]), None),
        };
        self.client.answer(seq, self.mailbox, reply, held);
    }
}

/// Serves one call: reads it strictly, then lives its request through.
pub async fn serve(
    router: Rc<RouterState>,
    client: Rc<Client>,
    call: Call,
    no: RequestSlot,
    mailbox: Rc<Mailbox>,
) {
    let seq = call.seq;
    let wanted = match wanted(&router, &call) {
        Ok(wanted) => wanted,
        Err(field) => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(field, times, "a call with a field that can't be used");
            }
            client.answer(seq, &mailbox, aborted(seq, &[("reason", field)]), None);
            return router.engine.close_request(no);
        }
    };
    // Hundreds may be withdrawn in the same breath in which they are sent: those never come to the routing engine.
    // And an id names one request at a time: caches tell requests apart by it.
    if mailbox.has_orders() {
        // Owed still where it was not withdrawn, but its connection is being closed.
        client.answer(seq, &mailbox, aborted(seq, &[]), None);
        return router.engine.close_request(no);
    }
    let Some(_id) = router.ids.take(wanted.id) else {
        client.answer(seq, &mailbox, aborted(seq, &[("reason", "trace")]), None);
        return router.engine.close_request(no);
    };
    let gone = Span::micros(call.arrived.elapsed().as_micros() as u64);
    // What comes while the router stops is given up in time before it ends.
    let stop = router.stopping.get().map(|end| end.saturating_duration_since(Instant::now()));
    let stop = stop.map_or(wanted.patience, |stop| Span::micros(stop.as_micros() as u64));
    // Nor is one kept in mind for as long as its client likes.
    let longest = Span::micros(router.limits.patience.as_micros() as u64);
    let left = (wanted.patience - gone).min(stop).min(longest);
    let hand = Served { router: &router, client: &client, mailbox: &mailbox, call: &call, wanted: &wanted };
    run_request(&router.engine, no, &mailbox, (wanted.asked, left), &hand).await;
    router.engine.close_request(no);
}

/// Trying again is harmless, best after `retry_after`.
pub fn rejected(seq: i32, retry_after: Option<Span>) -> Reply {
    let pause = retry_after.map(|span| (span.as_micros() / 1000).to_string());
    let fields: Vec<_> = pause.iter().map(|pause| ("pause", pause.as_str())).collect();
    try_later(seq, &fields)
}

/// One attempt, within its own time.
async fn exchange(served: &Served<'_>, attempt: Attempt) -> (End, Option<Held>) {
    let Served { router, client, call, wanted, .. } = *served;
    let Attempt { cache, wait, directives, ordered, .. } = attempt;
    let source = directives.map(|directives| directives.source);
    let outlook = router.caches.outlook(cache, source);
    let source_id = source.filter(|source| *source != cache).map(|source| router.caches.id(source));
    let due = ordered + wait;
    let head = async || {
        // Its client may have left while a connection came up, and its close or withdrawal not have been read yet.
        client.caught_up().await;
        let waits = client.still_waits(router.limits.unheard);
        let left_ms = due.saturating_duration_since(Instant::now()).as_millis() as u64;
        let same = router.caches.outlook(cache, source) == outlook;
        let ask = Ask {
            wait_ms: left_ms,
            source: source_id.as_deref(),
            retention_rank: directives.map_or(0, |directives| directives.retention_rank),
            // Rounded down; 0 would mean that any fresh copy will do.
            max_age_ms: directives.and_then(|t| t.max_age).map(|span| (span.as_micros() / 1000).max(1)),
            join_fill: directives.is_some_and(|directives| directives.join_fill),
            only_if_cached: directives.is_some_and(|directives| directives.only_if_cached),
            refresh: directives.is_some_and(|directives| directives.refresh),
            ..wanted.ask
        };
        (same && waits && left_ms > 0).then(|| ask.head())
    };
    let sent = Cell::new(false);
    let whole = async { Some(router.caches.exchange(cache, head, &call.body, &router.budget, &sent).await) };
    let late = async {
        Timer::at(due).await;
        None
    };
    match future::or(whole, late).await {
        Some(end) => end,
        None if sent.get() => (End::without(AttemptStatus::TimedOut), None),
        None => (End::without(AttemptStatus::Unreachable), None),
    }
}

/// Reads the fields of a call; names the one that is missing or can't be used.
fn wanted<'a>(router: &RouterState, call: &'a Call) -> Result<Wanted<'a>, &'static str> {
    let text = |name: &'static str| {
        call.fields.get(name).map(|value| plain(value, router.limits.text).ok_or(name)).transpose()
    };
    let needed = |name: &'static str| text(name)?.ok_or(name);
    // Digits alone, as a parser would let a sign pass, and none before them that mean nothing.
    let number = |name: &'static str| {
        let text = needed(name)?;
        let plain = text.bytes().all(|byte| byte.is_ascii_digit()) && (text == "0" || !text.starts_with('0'));
        text.parse::<u32>().ok().filter(|_| plain).ok_or(name)
    };
    let hex = |name: &'static str| {
        let text = needed(name)?;
        tindoor_discovery::object_number(text.as_bytes()).map(|number| (text, number)).ok_or(name)
    };
    let digits = |text: &str, count| text.len() == count && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let route = needed("route")?;
    let class = router.classes.iter().position(|class| class.name == route).ok_or("route")?;
    let nonce = text("nonce")?;
    if nonce.map_or(router.classes[class].tagged, |nonce| !digits(nonce, 32)) {
        return Err("nonce");
    }
    let client_tag = text("known")?;
    if client_tag.is_some_and(|tag| !digits(tag, 16)) {
        return Err("known");
    }
    let client_retry = text("redo")?;
    if client_retry.is_some_and(|client_retry| client_retry != "1") {
        return Err("redo");
    }
    let patience = number("patience").ok().filter(|patience| *patience > 0).ok_or("patience")?;
    let group = number("tag").ok().filter(|group| *group <= 255).ok_or("tag")?;
    if call.body.len() > router.limits.write {
        return Err("body");
    }
    let (object_text, object) = hex("entity")?;
    let (ticket, id) = hex("trace")?;
    let asked = RequestMeta {
        object,
        part: number("chunk")?,
        group,
        class: class as u16,
        size_kb: None,
        client_retry: client_retry.is_some(),
        first_ran: None,
        authorization: Authorization::Granted,
    };
    let ask = Ask {
        class: route,
        object: object_text,
        part: needed("chunk")?,
        correlation_id: ticket,
        nonce,
        client_tag,
        body: call.body.len(),
        ..Ask::default()
    };
    Ok(Wanted { id, asked, patience: Span::millis(patience.into()), ask })
}

/// Text that can stand in a header or a path as it is.
fn plain(value: &[u8], longest: usize) -> Option<&str> {
    let graphic = !value.is_empty() && value.len() <= longest && value.iter().all(u8::is_ascii_graphic);
    std::str::from_utf8(value).ok().filter(|_| graphic)
}

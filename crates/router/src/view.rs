//! The life of one view, from top to bottom.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use tindoor::host::{Asked, Note, Verdict, ViewNo};
use tindoor::time::Span;
use tindoor_http::Ask;
use tindoor_thrift::{Fields, Reply, aborted, answer, try_later};

use crate::Router;
use crate::caches::{End, Held};
use crate::clients::Client;
use crate::desk::{Dispatch, Order, Slot};

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
    asked: Asked,
    patience: Span,
    ask: Ask<'a>,
}

enum Happened {
    Order(Order),
    End(End, Option<Held>),
}

type Exchange<'a> = Pin<Box<dyn Future<Output = (End, Option<Held>)> + 'a>>;

/// Serves one view: asks the module at each point of choice and does what it says, until the client has its
/// one final answer and every dispatch has been reported.
pub async fn serve(router: Rc<Router>, client: Rc<Client>, call: Call, no: ViewNo, slot: Rc<Slot>) {
    let seq = call.seq;
    let wanted = match wanted(&router, &call) {
        Ok(wanted) => wanted,
        Err(field) => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(field, times, "a call with a field that can't be used");
            }
            client.answer(seq, &slot, aborted(seq, &[("reason", field)]), None);
            return router.decisions.close_view(no);
        }
    };
    // Hundreds may be withdrawn in the same breath in which they are sent: those never come to the module. And an id
    // names one view at a time: caches tell views apart by it.
    if slot.has_orders() {
        return router.decisions.close_view(no);
    }
    let Some(_id) = router.ids.take(wanted.id) else {
        client.answer(seq, &slot, aborted(seq, &[("reason", "trace")]), None);
        return router.decisions.close_view(no);
    };
    let gone = Span::micros(call.arrived.elapsed().as_micros() as u64);
    // What comes while the router stops is given up in time before it ends.
    let stop = router.stopping.get().map(|end| end.saturating_duration_since(Instant::now()));
    let stop = stop.map_or(wanted.patience, |stop| Span::micros(stop.as_micros() as u64));
    // Nor is one kept in mind for as long as its client likes.
    let longest = Span::micros(router.limits.patience.as_micros() as u64);
    let left = (wanted.patience - gone).min(stop).min(longest);
    router.decisions.tell(|control| control.view(no, wanted.asked, left));

    // One dispatch is out at a time; its end is told even where the answer is long given.
    let mut out: Option<(Dispatch, Exchange)> = None;
    let mut answered = false;
    while !answered || out.is_some() || slot.has_orders() {
        let order = async { Happened::Order(slot.next().await) };
        let end = async {
            match &mut out {
                Some((_, exchange)) => {
                    let (end, held) = exchange.await;
                    Happened::End(end, held)
                }
                None => future::pending().await,
            }
        };
        let happened = future::or(order, end).await;
        match happened {
            Happened::Order(Order::Dispatch(dispatch)) if out.is_none() && !answered => {
                out = Some((dispatch, Box::pin(exchange(&router, &call, &wanted, dispatch))));
            }
            // Each that was ordered is told of, also where the client left before it began: else the module counts
            // it as out for ever, and takes its cache and the way of its fills for full.
            Happened::Order(Order::Dispatch(vain)) => {
                tell_end(&router, no, &vain, (Verdict::Moot, Note::Untold), answered);
            }
            Happened::Order(Order::CallOff(nth)) => {
                // Dropping the exchange closes its connection, which gives the request up.
                if let Some((dispatch, _)) = out.take_if(|(dispatch, _)| dispatch.nth == nth) {
                    tell_end(&router, no, &dispatch, (Verdict::CalledOff, Note::Untold), answered);
                }
            }
            Happened::Order(Order::TurnBack(come_back)) => {
                client.answer(seq, &slot, turned_back(seq, come_back), None);
                answered = true;
            }
            Happened::Order(Order::WriteOff) => {
                client.answer(seq, &slot, aborted(seq, &[]), None);
                answered = true;
            }
            Happened::Order(Order::Left) => {
                // Only where the router ends is there somebody to tell.
                client.answer(seq, &slot, aborted(seq, &[]), None);
                router.decisions.tell(|control| control.left(no));
                if let Some((dispatch, _)) = out.take() {
                    tell_end(&router, no, &dispatch, (Verdict::CalledOff, Note::Untold), true);
                }
                answered = true;
            }
            Happened::End(end, held) => {
                let Some((dispatch, _)) = out.take() else { continue };
                let done = end.verdict == Verdict::Done;
                tell_end(&router, no, &dispatch, (end.verdict, end.note), answered || done);
                if done && !answered {
                    let fields: &[_] = if end.valid { &[("valid", "1")] } else { &[] };
                    client.answer(seq, &slot, answer("call", seq, end.body, fields, true), held);
                    answered = true;
                }
            }
        }
    }
    router.decisions.close_view(no);
}

/// Trying again is harmless, best after `come_back`.
pub fn turned_back(seq: i32, come_back: Option<Span>) -> Reply {
    let pause = come_back.map(|span| (span.as_micros() / 1000).to_string());
    let fields: Vec<_> = pause.iter().map(|pause| ("pause", pause.as_str())).collect();
    try_later(seq, &fields)
}

fn tell_end(router: &Router, no: ViewNo, dispatch: &Dispatch, end: (Verdict, Note), last: bool) {
    let took = Span::micros(dispatch.ordered.elapsed().as_micros() as u64);
    tracing::debug!(view = no.0, nth = dispatch.nth, cache = dispatch.cache.0, ?end, ?took, last, "ended");
    router.decisions.tell(|control| control.answered(no, dispatch.nth, end, took, last));
}

/// One dispatch, within its own time.
async fn exchange(
    router: &Router,
    call: &Call,
    wanted: &Wanted<'_>,
    dispatch: Dispatch,
) -> (End, Option<Held>) {
    let Dispatch { cache, wait, terms, ordered, .. } = dispatch;
    let source = terms.map(|terms| terms.source);
    let outlook = router.caches.outlook(cache, source);
    let source_id = source.filter(|source| *source != cache).map(|source| router.caches.id(source));
    let due = ordered + wait;
    let head = || {
        let left_ms = due.saturating_duration_since(Instant::now()).as_millis() as u64;
        let same = router.caches.outlook(cache, source) == outlook;
        let ask = Ask {
            wait_ms: left_ms,
            source: source_id.as_deref(),
            rank: terms.map_or(0, |terms| terms.rank),
            // Rounded down; 0 would mean that any fresh copy will do.
            oldest_ms: terms.and_then(|t| t.oldest).map(|span| (span.as_micros() / 1000).max(1)),
            join: terms.is_some_and(|terms| terms.join),
            only_held: terms.is_some_and(|terms| terms.only_held),
            renew: terms.is_some_and(|terms| terms.renew),
            ..wanted.ask
        };
        (same && left_ms > 0).then(|| ask.head())
    };
    let sent = Cell::new(false);
    let whole = async { Some(router.caches.exchange(cache, head, &call.body, &router.budget, &sent).await) };
    let late = async {
        Timer::at(due).await;
        None
    };
    match future::or(whole, late).await {
        Some(end) => end,
        None if sent.get() => (End::without(Verdict::TimedOut), None),
        None => (End::without(Verdict::Unreachable), None),
    }
}

/// Reads the fields of a call; names the one that is missing or can't be used.
fn wanted<'a>(router: &Router, call: &'a Call) -> Result<Wanted<'a>, &'static str> {
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
        tindoor_changelog::object_number(text.as_bytes()).map(|number| (text, number)).ok_or(name)
    };
    let digits = |text: &str, count| text.len() == count && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let route = needed("route")?;
    let offering = router.offerings.iter().position(|offering| offering.name == route).ok_or("route")?;
    let nonce = text("nonce")?;
    if nonce.map_or(router.offerings[offering].tagged, |nonce| !digits(nonce, 32)) {
        return Err("nonce");
    }
    let client_tag = text("known")?;
    if client_tag.is_some_and(|tag| !digits(tag, 16)) {
        return Err("known");
    }
    let repeat = text("redo")?;
    if repeat.is_some_and(|repeat| repeat != "1") {
        return Err("redo");
    }
    let patience = number("patience").ok().filter(|patience| *patience > 0).ok_or("patience")?;
    let group = number("tag").ok().filter(|group| *group <= 255).ok_or("tag")?;
    if call.body.len() > router.limits.write {
        return Err("body");
    }
    let (object_text, object) = hex("entity")?;
    let (ticket, id) = hex("trace")?;
    let asked = Asked {
        object,
        part: number("chunk")?,
        group,
        offering: offering as u16,
        kb: None,
        repeat: repeat.is_some(),
    };
    let ask = Ask {
        offering: route,
        object: object_text,
        part: needed("chunk")?,
        ticket,
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

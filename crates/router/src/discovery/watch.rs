//! The change stream: what it tells of caches and purges goes to the connections and to the routing engine.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Stream, StreamExt, stream};
use tindoor::host::{EndpointState, EndpointUpdate, ListUpdateKind};
use tindoor::time::Moment;
use tindoor_discovery::{Event, Fleet, Line, Phase, Place, Purge};
use tindoor_request_runtime::Clock;

use crate::configuration::limits::{Limits, Seldom, within};
use crate::state::RouterState;

/// Follows the change stream on from what is known, over one connection after another; never ends. May be
/// dropped at any time, and another follow in its place.
pub async fn follow(router: Rc<RouterState>, address: SocketAddr) -> Infallible {
    let ended = Seldom::default();
    loop {
        let Err(what) = listen(&router, address).await;
        if let Some(times) = ended.told() {
            let seq = router.told.borrow().seq;
            tracing::warn!(%what, seq, times, "the change log's connection ended");
        }
        let pause = router.limits.feed_pause;
        let jitter = Duration::from_secs_f64(pause.as_secs_f64() * fastrand::f64());
        Timer::after(pause + jitter).await;
    }
}

/// One connection to the change stream, until it ends.
async fn listen(router: &RouterState, address: SocketAddr) -> Result<Infallible> {
    let limits = &router.limits;
    let mut stream = within(limits.feed_connect, Async::<TcpStream>::connect(address)).await?;
    let since = format!("since {}\n", router.told.borrow().seq);
    stream.write_all(since.as_bytes()).await?;
    router.told.borrow_mut().unread = 0;
    let mut lines = pin!(lines(stream, *limits));
    while let Some(line) = lines.try_next().await? {
        take(router, &mut router.told.borrow_mut(), &line)?;
    }
    bail!("closed by the other side")
}

/// The lines that the change stream says.
fn lines(stream: Async<TcpStream>, limits: Limits) -> impl Stream<Item = Result<Vec<u8>>> {
    stream::try_unfold((stream, Vec::new()), move |(mut stream, mut read)| async move {
        // Bytes that trickle in without ever making a line are no news: else a list could stay old for ever.
        let asked = Instant::now();
        loop {
            if let Some(line) = tindoor_discovery::take_line(&mut read) {
                return Ok(Some((line, (stream, read))));
            }
            // The rest of a line over the limit is dropped: cut short it can't be read, but the next ones
            // can.
            read.truncate(limits.line);
            let filled = read.len();
            read.resize(filled + limits.read, 0);
            let left = limits.feed_line.saturating_sub(asked.elapsed()).min(limits.feed_silence);
            let more = within(left, stream.read(&mut read[filled..])).await?;
            read.truncate(filled + more);
            if more == 0 {
                return Ok(None);
            }
        }
    })
}

fn take(router: &RouterState, place: &mut Place, line: &[u8]) -> Result<()> {
    match tindoor_discovery::parse(line) {
        Ok(Line::Beat(seq)) if seq > place.seq + place.unread && place.gap != Some(seq) => {
            place.gap = Some(seq);
            bail!("the log stands at {seq}")
        }
        Ok(Line::Beat(_)) => {}
        Ok(Line::Event(event)) if event.seq <= place.seq => {}
        Ok(Line::Event(event)) => {
            let whole = event.seq <= place.seq + 1 + place.unread || place.gap == Some(event.seq);
            if !whole {
                place.gap = Some(event.seq);
                bail!("a gap before {}", event.seq);
            }
            (place.seq, place.unread) = (event.seq, 0);
            heed(router, event);
        }
        // It may be a purge that was spoilt on its way: asked for again, once.
        Err(error) if place.spoilt != Some(place.seq) => {
            place.spoilt = Some(place.seq);
            bail!("a line can't be read: {error}")
        }
        Err(error) => {
            tracing::warn!(%error, "a line of the change log can't be read");
            place.unread += 1;
        }
    }
    Ok(())
}

/// Tells connections and module of one event.
pub fn heed(router: &RouterState, event: Event) {
    tracing::debug!(?event);
    if let Some(fleet) = event.fleet {
        listed(router, &fleet);
    }
    if let Some(purge) = event.invalidate {
        purged(router, &purge);
    }
}

fn listed(router: &RouterState, fleet: &Fleet) {
    let place = |names: &[String], name: &str| {
        let found = names.iter().position(|known| known == name);
        found.and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
    };
    let mut lines = Vec::with_capacity(fleet.members.len());
    for member in &fleet.members {
        let standing = match member.phase {
            Phase::Active => EndpointState::Ready,
            Phase::Leaving => EndpointState::Draining,
            Phase::Left => EndpointState::Removed,
            Phase::Unknown => {
                tracing::warn!(id = member.id, "an unknown state; taken for draining");
                EndpointState::Draining
            }
        };
        let address = member.host_port.parse().ok();
        if address.is_none() {
            tracing::warn!(id = member.id, address = member.host_port, "no address with a port");
        }
        let named = |no| router.engine.is_referenced(no);
        let Some(cache) = router.caches.listed(&member.id, address, standing, named) else { continue };
        lines.push(EndpointUpdate {
            cache,
            stable: stable(&member.id),
            standing,
            started: Some(member.up_since_ms).filter(|at| *at > 0).map(Clock::unix_ms),
            location: place(&router.locations, &member.locality),
            size: member.size,
            kind: place(&router.kinds, &member.flavor),
            cell: member.cell,
        });
    }
    if fleet.complete {
        let named: Vec<_> = lines.iter().map(|line| line.cache).collect();
        router.caches.gone_but(&named);
    }
    let form = if fleet.complete { ListUpdateKind::Full } else { ListUpdateKind::Delta };
    router.engine.with(|control| control.endpoints_changed(form, &lines));
    let ready = |no| router.caches.is_ready(no);
    router.external.told(|_, decision| {
        !ready(decision.cache) || decision.directives.is_some_and(|directives| !ready(directives.source))
    });
}

fn purged(router: &RouterState, purge: &Purge) {
    let object = match purge.object_number() {
        Ok(object) => object,
        Err(object) => return tracing::warn!(object, "a purge of no object that can be read"),
    };
    let Some(group) = purge.bucket.or(object.map(|_| 0)) else {
        return tracing::warn!("a purge of neither object nor group");
    };
    router.caches.purged();
    let now: Moment = router.engine.clock.now();
    let ago = now.since(Clock::unix_ms(purge.time));
    if let Some(links) = &router.links {
        links.heard(0, purge.time, now.since(Moment::default()).as_micros() / 1000);
    }
    router.engine.with(|control| control.purged(object, group, ago));
    router.external.told(|call, _| match object {
        Some(object) => call.object == object,
        None => call.group == group,
    });
}

/// A cache's id as a number that is the same at every router (FNV-1a).
fn stable(id: &str) -> u64 {
    id.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

//! Connections to caches, parents and the origin, and one exchange on them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use tindoor::host::{AttemptStatus, EndpointId, EndpointState, OutcomeDetail};

use crate::configuration::limits::{Limits, Seldom, within};

/// A connection that counts against the limit as long as it lives.
struct Link {
    stream: Async<TcpStream>,
    /// The life of the cache that it was made to.
    life: u64,
    _place: Place,
}

/// One of the connections that there may be at once, from before its connect on.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Cache {
    id: String,
    address: Option<SocketAddr>,
    standing: EndpointState,
    /// When its line last changed.
    since: Instant,
    /// Changes with every change of the cache's line: what was ordered before is no longer sure.
    life: u64,
    idle: Vec<(Link, Instant)>,
}

impl Cache {
    fn change(&mut self, standing: EndpointState) {
        (self.standing, self.life, self.since) = (standing, self.life + 1, Instant::now());
        // Whoever answers there next, it is not the one that these were made to.
        self.idle = Vec::new();
    }
}

/// The caches that are listed, and those lately gone, by their numbers.
pub struct Caches {
    limits: Limits,
    known: RefCell<Known>,
    open: Rc<Cell<usize>>,
    /// Attempts for which connections or memory did not suffice, and answers that nobody knows.
    short: Seldom,
    strange: Seldom,
    /// Counts purges: what was ordered before one may ask for too old a copy.
    purges: Cell<u64>,
    /// Where routers share out new connections: whether one more may be made to the cache of that id.
    may_connect: RefCell<Option<MayConnect>>,
}

type MayConnect = Box<dyn Fn(&str) -> bool>;

#[derive(Default)]
struct Known {
    caches: Vec<Cache>,
    numbers: HashMap<String, u32>,
}

/// What was known when a attempt was ordered.
#[derive(Clone, Copy, PartialEq)]
pub struct Outlook {
    cache: u64,
    source: u64,
    purges: u64,
}

/// How a attempt ended, with what it brought.
pub struct End {
    pub verdict: AttemptStatus,
    pub note: OutcomeDetail,
    /// The client's copy is the one.
    pub valid: bool,
    pub body: Bytes,
}

impl End {
    pub fn without(verdict: AttemptStatus) -> Self {
        Self { verdict, note: OutcomeDetail::Unknown, valid: false, body: Bytes::new() }
    }
}

/// Bytes that stand for a part of the memory, given back once they are gone.
pub struct Held {
    budget: Rc<Budget>,
    size: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.free.set(self.budget.free.get() + self.size);
    }
}

/// The memory that bodies may take together.
pub struct Budget {
    free: Cell<usize>,
}

impl Budget {
    pub fn new(size: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(size) })
    }

    pub fn take(self: &Rc<Self>, size: usize) -> Option<Held> {
        let free = self.free.get().checked_sub(size)?;
        self.free.set(free);
        Some(Held { budget: Rc::clone(self), size })
    }
}

impl Caches {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            known: RefCell::default(),
            open: Rc::default(),
            short: Seldom::default(),
            strange: Seldom::default(),
            purges: Cell::new(0),
            may_connect: RefCell::default(),
        }
    }

    /// Has new connections be asked for first, by the cache's id.
    pub fn ask_before_connects(&self, may: impl Fn(&str) -> bool + 'static) {
        *self.may_connect.borrow_mut() = Some(Box::new(may));
    }

    /// A line of the list: gives the cache's number, the same until it is gone and forgotten; none for one
    /// that was not there and is gone. A long day brings ever new ids: the number of one that has been gone
    /// for a while, and that no request names any more, is the next one's.
    pub fn listed(
        &self,
        id: &str,
        address: Option<SocketAddr>,
        standing: EndpointState,
        named: impl Fn(EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let known = &mut *self.known.borrow_mut();
        let (kept, now) = (self.limits.gone_kept, Instant::now());
        let no = match known.numbers.get(id) {
            Some(no) => *no,
            None if standing == EndpointState::Removed => return None,
            None => {
                let forgotten = |(no, cache): (usize, &Cache)| {
                    let gone = cache.standing == EndpointState::Removed && now - cache.since >= kept;
                    gone && !named(EndpointId(no as u32))
                };
                let no = known.caches.iter().enumerate().position(forgotten).unwrap_or(known.caches.len());
                match known.caches.get_mut(no) {
                    Some(cache) => {
                        known.numbers.remove(&cache.id);
                        // Its life goes on: nothing ordered for the last one may be taken for this one's.
                        (cache.id, cache.life) = (id.to_string(), cache.life + 1);
                    }
                    None => {
                        let (id, idle) = (id.to_string(), Vec::new());
                        known.caches.push(Cache { id, address, standing, since: now, life: 0, idle });
                    }
                }
                tracing::debug!(id, no, "a new cache");
                known.numbers.insert(id.to_string(), no as u32);
                no as u32
            }
        };
        let cache = &mut known.caches[no as usize];
        if cache.standing != standing || cache.address != address {
            cache.change(standing);
        }
        cache.address = address;
        Some(EndpointId(no))
    }

    /// The whole list came: what it does not name is gone.
    pub fn gone_but(&self, named: &[EndpointId]) {
        for (no, cache) in self.known.borrow_mut().caches.iter_mut().enumerate() {
            if !named.contains(&EndpointId(no as u32)) && cache.standing != EndpointState::Removed {
                cache.change(EndpointState::Removed);
            }
        }
    }

    pub fn purged(&self) {
        self.purges.set(self.purges.get() + 1);
    }

    pub fn id(&self, no: EndpointId) -> String {
        self.known.borrow().caches[no.0 as usize].id.clone()
    }

    /// Where it listens; none where its line gave no address.
    pub fn address(&self, no: EndpointId) -> Option<SocketAddr> {
        self.known.borrow().caches[no.0 as usize].address
    }

    pub fn is_ready(&self, no: EndpointId) -> bool {
        self.known.borrow().caches[no.0 as usize].standing == EndpointState::Ready
    }

    pub fn outlook(&self, cache: EndpointId, source: Option<EndpointId>) -> Outlook {
        let known = self.known.borrow();
        let life = |no: EndpointId| known.caches[no.0 as usize].life;
        Outlook { cache: life(cache), source: source.map_or(0, life), purges: self.purges.get() }
    }

    /// Drops idle connections that are too old or were closed by the cache.
    pub fn sweep(&self) {
        for cache in &mut self.known.borrow_mut().caches {
            cache.idle.retain(|(link, since)| since.elapsed() < self.limits.cache_idle && is_quiet(link));
        }
    }

    fn take_idle(&self, no: EndpointId) -> Option<Link> {
        let mut known = self.known.borrow_mut();
        let idle = &mut known.caches[no.0 as usize].idle;
        // The latest that has settled: what an answer brought with it that is no part of it would else pass
        // for the next one, and may come a moment after.
        while let Some(last) = idle.iter().rposition(|(_, since)| since.elapsed() >= self.limits.settle) {
            let (link, since) = idle.remove(last);
            // One that its cache has closed, or that says something unasked, is not used.
            if since.elapsed() < self.limits.cache_idle && is_quiet(&link) {
                return Some(link);
            }
        }
        None
    }

    /// A new connection; the end of the attempt where there can be none.
    async fn connect(&self, no: EndpointId) -> Result<Link, AttemptStatus> {
        let (address, life) = {
            let cache = &self.known.borrow().caches[no.0 as usize];
            (cache.address, cache.life)
        };
        let Some(address) = address else { return Err(AttemptStatus::Unreachable) };
        if self.open.get() >= self.limits.cache_connections && !self.close_oldest_idle() {
            if let Some(times) = self.short.told() {
                tracing::warn!(times, "all connections to caches are in use; not sent");
            }
            return Err(AttemptStatus::Superseded);
        }
        let refused = |may: &MayConnect| !may(&self.known.borrow().caches[no.0 as usize].id);
        if self.may_connect.borrow().as_ref().is_some_and(refused) {
            return Err(AttemptStatus::Superseded);
        }
        // Taken before the connect, so that those under way stay within the limit, too.
        let place = Place::take(&self.open);
        match within(self.limits.connect, Async::<TcpStream>::connect(address)).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Link { stream, life, _place: place })
            }
            Err(error) => {
                tracing::debug!(cache = %address, %error, "no connection");
                use io::ErrorKind::{ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
                match error.kind() {
                    ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut => {
                        Err(AttemptStatus::Unreachable)
                    }
                    // No word of the cache: this machine is short of something.
                    _ => Err(AttemptStatus::Superseded),
                }
            }
        }
    }

    fn close_oldest_idle(&self) -> bool {
        let mut known = self.known.borrow_mut();
        let idle = known.caches.iter_mut().filter(|cache| !cache.idle.is_empty());
        let oldest = idle.min_by_key(|cache| cache.idle[0].1);
        oldest.map(|cache| cache.idle.remove(0)).is_some()
    }

    /// Sends one request to a cache and reads its answer whole. `head` writes the request as it goes out,
    /// and gives nothing where too much has changed or too little time is left to send it at all.
    pub async fn exchange(
        &self,
        no: EndpointId,
        head: impl AsyncFn() -> Option<String>,
        body: &Bytes,
        budget: &Rc<Budget>,
        sent: &Cell<bool>,
    ) -> (End, Option<Held>) {
        // Sent only where there is memory for the longest answer, so that sends stop before reads do.
        if budget.free.get() < self.limits.body + self.limits.head {
            if let Some(times) = self.short.told() {
                tracing::warn!(times, "no memory for a further answer; not sent");
            }
            return (End::without(AttemptStatus::Superseded), None);
        }
        loop {
            let (mut link, reused) = match self.take_idle(no) {
                Some(link) => (link, true),
                None => match self.connect(no).await {
                    Ok(link) => (link, false),
                    Err(verdict) => return (End::without(verdict), None),
                },
            };
            // A connection that came up late must not carry a send past a drain, a purge or its own time.
            let Some(head) = head().await else { return (End::without(AttemptStatus::Superseded), None) };
            match link.stream.write(head.as_bytes()).await {
                // Nothing left here: the cache closed an idle connection at the moment of its use.
                Err(_) | Ok(0) if reused => continue,
                Err(_) | Ok(0) => return (End::without(AttemptStatus::Unreachable), None),
                Ok(written) => {
                    let rest = async {
                        link.stream.write_all(&head.as_bytes()[written..]).await?;
                        link.stream.write_all(body).await
                    };
                    // A request of which a part never left cannot have run, however the connection ended.
                    if rest.await.is_err() {
                        return (End::without(AttemptStatus::Unreachable), None);
                    }
                    sent.set(true);
                }
            }
            return match self.answer(&mut link, budget).await {
                Ok((end, held, reusable)) => {
                    if reusable {
                        self.put_back(no, link);
                    }
                    (end, held)
                }
                Err(what) => {
                    tracing::debug!(cache = no.0, %what, "a broken answer");
                    (End::without(AttemptStatus::Incomplete), None)
                }
            };
        }
    }

    fn put_back(&self, no: EndpointId, link: Link) {
        let cache = &mut self.known.borrow_mut().caches[no.0 as usize];
        if link.life == cache.life {
            cache.idle.push((link, Instant::now()));
        }
    }

    async fn answer(
        &self,
        link: &mut Link,
        budget: &Rc<Budget>,
    ) -> Result<(End, Option<Held>, bool), anyhow::Error> {
        let Limits { head: longest_head, body: longest_body, first_read, .. } = self.limits;
        let mut read = BytesMut::zeroed(first_read);
        let (mut filled, mut room) = (0, longest_head);
        let head = loop {
            match tindoor_http::head(&read[..filled], room, longest_body)? {
                // What comes before the answer is passed over, all of it within the room for one head.
                Some(head) if head.is_interim() => {
                    read.advance(head.size);
                    (filled, room) = (filled - head.size, room - head.size);
                    continue;
                }
                Some(head) => break head,
                None => {}
            }
            if filled == read.len() {
                read.resize((filled * 2).max(first_read), 0);
            }
            let more = link.stream.read(&mut read[filled..]).await?;
            anyhow::ensure!(more > 0, "closed after {filled} bytes");
            filled += more;
        };
        let whole = head.size + head.length;
        // What comes behind it is no part of it: the answer is good, and the connection of no further use.
        let alone = filled <= whole;
        filled = filled.min(whole);
        // No fault of the cache: the router itself stops waiting.
        let Some(held) = budget.take(whole) else {
            return Ok((End::without(AttemptStatus::Cancelled), None, false));
        };
        read.resize(whole, 0);
        link.stream.read_exact(&mut read[filled..]).await?;
        let _ = read.split_to(head.size);
        let verdict = tindoor_http::attempt_status(head.status, head.shed).unwrap_or_else(|| {
            if let Some(times) = self.strange.told() {
                tracing::warn!(head.status, head.shed, times, "an answer with an unknown status");
            }
            AttemptStatus::Error
        });
        let remark = head.remark.as_deref().unwrap_or_default();
        let note = tindoor_http::outcome_detail(remark).unwrap_or_else(|| {
            if let Some(times) = self.strange.told() {
                tracing::warn!(remark, times, "an unknown remark");
            }
            OutcomeDetail::Unknown
        });
        let body = if head.status == 200 { read.freeze() } else { Bytes::new() };
        let end = End { verdict, note, valid: head.status == 304, body };
        Ok((end, Some(held), alone && !head.closes))
    }
}

/// Neither closed nor with anything to read.
fn is_quiet(link: &Link) -> bool {
    let peeked = link.stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_pool.rs"]
mod tests;

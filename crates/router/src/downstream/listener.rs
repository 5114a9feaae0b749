//! The listener of clients and the account of their connections: which are open, which make room for others, and
//! how all of them end when the router does.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Instant;

use anyhow::{Context, Result};
use async_io::{Async, Timer};
use futures_lite::future;
use socket2::SockRef;

use crate::configuration::limits::Limits;
use crate::downstream::connection::{Client, Phase};
use crate::downstream::session::converse;
use crate::state::RouterState;

/// Every connection of a client whose descriptor is still held, also those that the router is closing.
#[derive(Default)]
pub struct Connections(RefCell<Vec<Weak<Client>>>);

impl Connections {
    fn add(&self, client: &Rc<Client>) {
        self.0.borrow_mut().push(Rc::downgrade(client));
    }

    fn held(&self) -> Vec<Rc<Client>> {
        let mut all = self.0.borrow_mut();
        all.retain(|client| client.strong_count() > 0);
        all.iter().filter_map(Weak::upgrade).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.held().is_empty()
    }

    /// Whether one more may be accepted. A part of the places is always to be free or on the way to it, as a
    /// connection keeps its descriptor until its client has read the end; where they run out, whoever does not close
    /// its side is cut.
    fn has_room(&self, limits: &Limits) -> bool {
        let held = self.held();
        let open = held.iter().filter(|client| client.phase() == Phase::Open).count();
        if open + limits.clients_closing >= limits.client_connections {
            close_one(&held, limits);
        }
        if held.len() < limits.client_connections {
            return true;
        }
        let half_closed = held.iter().filter(|client| client.phase() == Phase::HalfClosed);
        if let Some(oldest) = half_closed.min_by_key(|client| client.used.get()) {
            oldest.cut(limits.crossing);
        }
        false
    }

    /// Closes the router's side of each connection on which nothing is open and nothing has come; true once none
    /// is left on which calls are taken.
    pub fn close_idle(&self) -> bool {
        let held = self.held();
        let open = held.iter().filter(|client| client.phase() == Phase::Open);
        open.filter(|client| !client.is_idle() || !client.close_unless_unread()).count() == 0
    }

    /// Has each connection be closed now, after what is owed on it is written.
    pub fn close_all(&self) {
        self.held().iter().for_each(|client| client.stop_taking());
    }
}

/// Closes a connection on which nothing is open, so that it makes room; there may be none. Those that did not ask in
/// time go first, so that hundreds of silent ones take no place from clients that ask; then the one idle for longest;
/// and last those that just came, whose first call may be on its way.
pub fn close_one(clients: &[Rc<Client>], limits: &Limits) -> bool {
    let rank = |client: &&Rc<Client>| {
        let class = match client.asked.get() {
            true => 1,
            false if client.is_stalled(limits.first_call) => 0,
            false => 2,
        };
        (class, client.used.get())
    };
    loop {
        let may_go = |client: &&Rc<Client>| client.is_idle() || client.is_stalled(limits.first_call);
        match clients.iter().filter(may_go).min_by_key(rank) {
            None => return false,
            Some(client) if client.close_unless_unread() => return true,
            // Something has come on it: it is idle no more.
            Some(_) => {}
        }
    }
}

/// Listens at an address. While another process still does, as the last instance that has not ended, it is waited
/// for; any other fault ends the start.
pub async fn listen(address: SocketAddr, limits: &Limits) -> Result<Rc<Async<TcpListener>>> {
    let begun = Instant::now();
    let mut told = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < limits.listen_wait =>
            {
                if !told {
                    tracing::warn!(%address, "in use; waiting until it is free");
                }
                told = true;
                Timer::after(limits.look_again).await;
            }
            bound => return bound.map(Rc::new).with_context(|| format!("listen: {address}")),
        }
    }
}

/// Accepts connections for as long as the router runs.
pub async fn accept(router: Rc<RouterState>, listener: Rc<Async<TcpListener>>) -> Infallible {
    loop {
        // Hundreds that connect at once must not keep the connections there are from being served.
        future::yield_now().await;
        if !router.clients.has_room(&router.limits) {
            Timer::after(router.limits.look_again).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => take(&router, stream),
            Err(error) => {
                if let Some(times) = router.no_room.told() {
                    tracing::warn!(%error, times, "can't accept; closing idle connections");
                }
                router.caches.sweep();
                close_one(&router.clients.held(), &router.limits);
                Timer::after(router.limits.look_again).await;
            }
        }
    }
}

/// Accepts what has already come to the listener, as far as there is room; true once nothing more waits there. Closed
/// with the listener, such a connection would be reset, with the call that it may carry.
pub fn accept_rest(router: &Rc<RouterState>, listener: &Async<TcpListener>) -> bool {
    while router.clients.has_room(&router.limits) {
        match listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
            Ok(stream) => take(router, stream),
            Err(_) => return true,
        }
    }
    false
}

fn take(router: &Rc<RouterState>, stream: Async<TcpStream>) {
    let _ = stream.get_ref().set_nodelay(true);
    // What the system buffers for a client that reads slowly counts as memory, too.
    let _ = SockRef::from(stream.get_ref()).set_send_buffer_size(router.limits.send_buffer);
    let client = Rc::new(Client::new(stream, Rc::clone(&router.unwritten)));
    router.clients.add(&client);
    router.executor.spawn(converse(Rc::clone(router), client)).detach();
}

#[cfg(test)]
#[path = "../../tests/unit/downstream_connections.rs"]
mod tests;

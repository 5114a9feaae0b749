//! Connections of clients: accepting, making room, and what each frame leads to.

use std::io;
use std::net::{Shutdown, TcpListener};
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, StreamExt, future};
use socket2::SockRef;
use tindoor_thrift::{Fault, Message, Objection, aborted, application_exception};

use crate::client::{Client, frames, unreadable, write};
use crate::limits::{Limits, within};
use crate::router::Router;
use crate::view::{self, Call};
use tindoor_desk::Order;

/// Accepts connections for as long as the router runs.
pub async fn accept(router: Rc<Router>, listener: Async<TcpListener>) {
    let mut clients: Vec<Weak<Client>> = Vec::new();
    loop {
        // Hundreds that connect at once must not keep the connections there are from being served.
        future::yield_now().await;
        clients.retain(|client| client.upgrade().is_some_and(|client| !client.closing.get()));
        if clients.len() >= router.limits.client_connections && !make_room(&clients, &router.limits) {
            Timer::after(router.limits.look_again).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                // What the system buffers for a client that reads slowly counts as memory, too.
                let _ = SockRef::from(stream.get_ref()).set_send_buffer_size(router.limits.send_buffer);
                let client = Rc::new(Client::new(stream, Rc::clone(&router.unwritten)));
                clients.push(Rc::downgrade(&client));
                router.executor.spawn(converse(Rc::clone(&router), client)).detach();
            }
            Err(error) => {
                if let Some(times) = router.no_room.told() {
                    tracing::warn!(%error, times, "can't accept; closing idle connections");
                }
                router.caches.sweep();
                make_room(&clients, &router.limits);
                Timer::after(router.limits.look_again).await;
            }
        }
    }
}

/// Closes a connection on which nothing is open; none may be. Those that did not ask in time go first, so
/// that hundreds of silent ones take no place from clients that ask; then the one idle for longest; and last
/// those that just came, whose first call may be on its way.
fn make_room(clients: &[Weak<Client>], limits: &Limits) -> bool {
    let now = Instant::now();
    let rank = |client: &Rc<Client>| {
        let class = match client.asked.get() {
            true => 1,
            false if now - client.used.get() >= limits.first_call => 0,
            false => 2,
        };
        (class, client.used.get())
    };
    loop {
        let idle = clients.iter().filter_map(Weak::upgrade).filter(|client| client.is_idle());
        match idle.min_by_key(rank) {
            None => return false,
            Some(client) if client.make_way() => return true,
            Some(_) => {}
        }
    }
}

/// One connection until either side closes it; what is still open then has nobody waiting.
async fn converse(router: Rc<Router>, client: Rc<Client>) {
    let ended = future::or(read(&router, &client), write(&router.limits, &client)).await;
    match ended {
        Err(what) if what.kind() == io::ErrorKind::InvalidData => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(%what, times, "a client's connection is closed: it can't be read");
            }
            let _ = within(router.limits.farewell, part(&router, &client)).await;
        }
        Err(what) => tracing::debug!(%what, open = client.open.borrow().len(), "a client's connection broke"),
        Ok(()) => {
            let (open, ours) = (client.open.borrow().len(), client.closing.get());
            tracing::debug!(open, ours, "a client's connection ended");
        }
    }
    client.end();
}

/// Has the last answers and the close reach a client that may still be sending: a close with bytes unread
/// resets the connection, which destroys what the client has not read. What comes meanwhile is read and
/// dropped.
async fn part(router: &Router, client: &Client) -> io::Result<()> {
    client.parting.set(true);
    write(&router.limits, client).await?;
    client.stream.get_ref().shutdown(Shutdown::Write)?;
    let mut dropped = vec![0; router.limits.read];
    let mut reader = &client.stream;
    while reader.read(&mut dropped).await? > 0 {
        future::yield_now().await;
    }
    Ok(())
}

async fn read(router: &Rc<Router>, client: &Rc<Client>) -> io::Result<()> {
    let mut frames = pin!(frames(client, router.limits));
    while let Some((frame, arrived)) = frames.try_next().await? {
        client.used.set(arrived);
        client.asked.set(true);
        take(router, client, frame, arrived)?;
        // Refusals and `health` stand for no memory in the budget: one that asks and never reads is not
        // heard.
        while client.replies.borrow().len() >= router.limits.replies {
            Timer::after(router.limits.look_again).await;
        }
    }
    Ok(())
}

/// Takes one frame; an error closes the connection.
fn take(router: &Rc<Router>, client: &Rc<Client>, frame: Bytes, arrived: Instant) -> io::Result<()> {
    let size = frame.len();
    let frame = if size <= router.limits.small_frame { Bytes::copy_from_slice(&frame) } else { frame };
    match tindoor_thrift::parse(frame) {
        Ok(Message::Health { seq }) => {
            let good =
                router.stopping.get().is_none() && router.fleet.as_ref().is_none_or(|fleet| fleet.is_good());
            client.send(tindoor_thrift::answer("health", seq, Bytes::new(), &[], good), None);
        }
        Ok(Message::Cancel { seq }) => {
            if let Some(slot) = client.open.borrow_mut().remove(&seq) {
                slot.put(Order::Left);
            }
        }
        Ok(Message::Call { seq, fields, body }) => {
            if client.open.borrow().contains_key(&seq) {
                let text = "a call with this sequence number is open";
                client.send(application_exception(seq, Objection::BadSequence, text), None);
                return Ok(());
            }
            // What can't be taken at all never ran.
            let room = router.decisions.has_room(router.limits.open_views)
                && client.open.borrow().len() < router.limits.open_calls;
            let Some(held) = router.budget.take(size).filter(|_| room) else {
                if let Some(times) = router.no_room.told() {
                    let views = router.decisions.open_views();
                    tracing::warn!(views, times, "no room for a view");
                }
                let come_back = router.decisions.come_back();
                client.send(view::turned_back(seq, come_back), None);
                return Ok(());
            };
            let (no, slot) = router.decisions.open_view();
            client.open.borrow_mut().insert(seq, Rc::clone(&slot));
            let call = Call { seq, fields, body, arrived, _held: held };
            let task = view::serve(Rc::clone(router), Rc::clone(client), call, no, slot);
            router.executor.spawn(task).detach();
        }
        Err(Fault::UnknownMethod { seq }) => {
            client.send(application_exception(seq, Objection::UnknownMethod, "no such method"), None);
        }
        Err(Fault::BadArguments { seq, what }) => {
            if let Some(times) = router.unreadable.told() {
                tracing::warn!(what, times, "a call whose arguments can't be read");
            }
            client.send(aborted(seq, &[("reason", what)]), None);
        }
        Err(fault) => return Err(unreadable(fault)),
    }
    Ok(())
}

#[cfg(test)]
mod stories {
    use std::io::Write;
    use std::net::TcpStream;

    use super::*;
    use crate::limits::Machine;

    #[test]
    fn a_connection_is_not_idle_while_its_answer_is_written_and_takes_nothing_once_it_is_to_close() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Client::new(Async::new(listener.accept().unwrap().0).unwrap(), Rc::default());
        client.send(aborted(1, &[]), None);
        assert!(async_io::block_on(client.next_reply()).is_some());
        assert!(!client.is_idle(), "a call that comes now would be lost by a close");
        assert!(async_io::block_on(future::poll_once(client.next_reply())).is_none());
        assert!(client.is_idle());

        other.write_all(&[0, 0, 0, 1, 7]).unwrap();
        async_io::block_on(client.stream.readable()).unwrap();
        let (client, limits) = (Rc::new(client), Limits::of(Machine::default()));
        assert!(!make_room(&[Rc::downgrade(&client)], &limits), "a call has come that is not yet read");
        client.close();
        let mut frames = pin!(frames(&client, limits));
        assert!(async_io::block_on(frames.try_next()).unwrap().is_none());
    }
}

//! Messages of which only a part has arrived, on all listeners. Together they may hold a fixed number of bytes.
//! When they hold most of them, the messages that have been incomplete for longest are evicted: first those of
//! connections that have never sent a complete message. The rest is for messages that arrive before the tasks of
//! evicted ones have ended.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use bytes::BytesMut;

use crate::log_throttle::LogThrottle;

/// The peer that sends a message.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The name of the listener in the log.
    pub listener: &'static str,
    /// The peer's address; `None` if the socket has none.
    pub address: Option<SocketAddr>,
}

/// Whether a connection has shown that it sends complete messages. The lower one is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// No complete message has arrived.
    Unproven,
    /// At least one complete message has arrived.
    Proven,
}

impl Standing {
    /// Returns the standing of a connection.
    pub fn of(has_sent_message: bool) -> Self {
        if has_sent_message { Self::Proven } else { Self::Unproven }
    }
}

/// The incomplete message was evicted: its bytes are dropped, and nothing can follow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the incomplete message was dropped to free memory")]
pub struct Evicted;

/// The order of eviction, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    standing: Standing,
    incomplete_since: Instant,
    number: u64,
}

/// What is charged for an incomplete message.
#[derive(Clone, Copy, Debug)]
struct Charge {
    order: EvictionOrder,
    /// What the buffer occupies.
    buffer_bytes: usize,
    /// What the task of the message occupies.
    task_bytes: usize,
}

impl Charge {
    fn bytes(&self) -> usize {
        self.buffer_bytes + self.task_bytes
    }
}

/// The account of incomplete messages.
pub struct IncomingMessages {
    max_bytes: usize,
    /// The bytes that are charged, including those of evicted messages whose task has not ended.
    used_bytes: Cell<usize>,
    /// The bytes of evicted messages whose task has not ended.
    leaving_bytes: Cell<usize>,
    peak_bytes: Cell<usize>,
    holders: RefCell<BTreeMap<EvictionOrder, Rc<Holder>>>,
    last_number: Cell<u64>,
    evicted: Cell<u64>,
    reported_evictions: Cell<u64>,
    eviction_log: LogThrottle,
}

/// What is held of one incomplete message.
struct Holder {
    sender: Sender,
    buffer: RefCell<BytesMut>,
    /// What is charged for the message; `None` if nothing is.
    charge: Cell<Option<Charge>>,
    /// The bytes of the evicted message that are charged until its task has ended.
    leaving_bytes: Cell<usize>,
    is_evicted: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl IncomingMessages {
    /// Creates an account of this many bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_bytes,
            used_bytes: Cell::new(0),
            leaving_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            holders: RefCell::default(),
            last_number: Cell::new(0),
            evicted: Cell::new(0),
            reported_evictions: Cell::new(0),
            eviction_log: LogThrottle::default(),
        })
    }

    /// Returns the number of bytes that incomplete messages hold now.
    #[cfg(test)]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Charges a holder in place of what it was charged before.
    fn charge(&self, holder: &Rc<Holder>, charge: Charge) {
        self.release(holder);
        holder.charge.set(Some(charge));
        self.holders.borrow_mut().insert(charge.order, Rc::clone(holder));
        self.used_bytes.set(self.used_bytes.get() + charge.bytes());
        self.evict_surplus();
        if self.used_bytes.get() > self.max_bytes_of(charge.order.standing) && !holder.is_evicted.get() {
            self.evict(holder);
        }
        self.peak_bytes.set(self.peak_bytes.get().max(self.used_bytes.get()));
    }

    fn release(&self, holder: &Holder) {
        if let Some(charge) = holder.charge.take() {
            self.holders.borrow_mut().remove(&charge.order);
            self.used_bytes.set(self.used_bytes.get() - charge.bytes());
        }
    }

    /// Returns how many bytes may be charged when a message of this standing arrives. The last eighth is for
    /// connections that have sent a complete message, so that others can't keep theirs out.
    fn max_bytes_of(&self, standing: Standing) -> usize {
        match standing {
            Standing::Unproven => self.max_bytes / 8 * 7,
            Standing::Proven => self.max_bytes,
        }
    }

    /// Evicts messages until the rest holds at most three quarters of the bytes.
    fn evict_surplus(&self) {
        let max_staying = self.max_bytes / 4 * 3;
        while self.used_bytes.get() - self.leaving_bytes.get() > max_staying {
            let first = self.holders.borrow().first_key_value().map(|(_, holder)| Rc::clone(holder));
            let Some(holder) = first else { return };
            self.evict(&holder);
        }
    }

    fn evict(&self, holder: &Holder) {
        let charge = holder.charge.get();
        self.release(holder);
        *holder.buffer.borrow_mut() = BytesMut::new();
        holder.is_evicted.set(true);
        let task_bytes = charge.map_or(0, |charge| charge.task_bytes);
        holder.leaving_bytes.set(task_bytes);
        self.leaving_bytes.set(self.leaving_bytes.get() + task_bytes);
        self.used_bytes.set(self.used_bytes.get() + task_bytes);
        self.evicted.set(self.evicted.get() + 1);
        if let Some(waker) = holder.waker.take() {
            waker.wake();
        }
        if let (Some(charge), Some(times)) = (charge, self.eviction_log.record()) {
            let (order, bytes) = (charge.order, charge.bytes());
            let Sender { listener, address } = holder.sender;
            let age_ms = order.incomplete_since.elapsed().as_millis() as u64;
            let peer = address.map(|address| address.to_string()).unwrap_or_default();
            let (max_bytes, standing) = (self.max_bytes, order.standing);
            tracing::warn!(
                listener,
                peer,
                bytes,
                age_ms,
                ?standing,
                max_bytes,
                times,
                "incomplete message evicted to free memory for others"
            );
        }
    }

    /// Records that the task of an evicted message has ended.
    fn task_ended(&self, holder: &Holder) {
        let bytes = holder.leaving_bytes.take();
        self.leaving_bytes.set(self.leaving_bytes.get() - bytes);
        self.used_bytes.set(self.used_bytes.get() - bytes);
    }

    /// Logs the figures if any message was evicted since the last report.
    pub fn report(&self) {
        let evicted = self.evicted.get();
        if self.reported_evictions.replace(evicted) != evicted {
            tracing::info!(
                max_bytes = self.max_bytes,
                used_bytes = self.used_bytes.get(),
                peak_bytes = self.peak_bytes.get(),
                messages = self.holders.borrow().len(),
                evicted,
                "incomplete messages were evicted"
            );
        }
    }
}

/// The buffer of one connection or stream for the message that is arriving.
pub struct IncomingMessage {
    account: Rc<IncomingMessages>,
    holder: Rc<Holder>,
    /// What is charged for the task beside the buffer while the message is incomplete, in bytes.
    task_bytes: usize,
    incomplete_since: Cell<Option<Instant>>,
}

impl IncomingMessage {
    /// Creates an empty buffer.
    pub fn new(account: &Rc<IncomingMessages>, sender: Sender) -> Self {
        let holder = Holder {
            sender,
            buffer: RefCell::default(),
            charge: Cell::new(None),
            leaving_bytes: Cell::new(0),
            is_evicted: Cell::new(false),
            waker: Cell::default(),
        };
        Self {
            account: Rc::clone(account),
            holder: Rc::new(holder),
            task_bytes: 0,
            incomplete_since: Cell::new(None),
        }
    }

    /// Sets the bytes that are charged for the task beside the buffer, even if the buffer is empty.
    pub fn set_task_bytes(&mut self, bytes: usize) {
        self.task_bytes = bytes;
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.holder.buffer.borrow().len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the buffer, from which complete messages are taken.
    pub fn buffer(&self) -> RefMut<'_, BytesMut> {
        self.holder.buffer.borrow_mut()
    }

    /// Appends received bytes. `message_bytes` is the size of the whole message, if it is known. The buffer grows to
    /// that size at most, unless more bytes have arrived.
    pub fn append(&self, bytes: &[u8], message_bytes: Option<usize>) {
        let mut buffer = self.holder.buffer.borrow_mut();
        let needed = buffer.len() + bytes.len();
        if needed > buffer.capacity() {
            let doubled = (2 * buffer.len()).min(message_bytes.unwrap_or(usize::MAX));
            let mut grown = BytesMut::with_capacity(needed.max(doubled));
            grown.extend_from_slice(&buffer);
            *buffer = grown;
        }
        buffer.extend_from_slice(bytes);
    }

    /// Charges the account for what the buffer holds. To be called before the task waits, as long as the buffer may
    /// hold bytes.
    pub fn hold(&self, standing: Standing) -> Result<(), Evicted> {
        if self.holder.is_evicted.get() {
            return Err(Evicted);
        }
        if self.is_empty() && self.task_bytes == 0 {
            self.complete();
            return Ok(());
        }
        let incomplete_since = self.incomplete_since.get().unwrap_or_else(Instant::now);
        self.incomplete_since.set(Some(incomplete_since));
        let (buffer_bytes, task_bytes) = (self.holder.buffer.borrow().capacity(), self.task_bytes);
        if self.holder.charge.get().is_none_or(|charge| charge.bytes() != buffer_bytes + task_bytes) {
            let number = self.account.last_number.get() + 1;
            self.account.last_number.set(number);
            let order = EvictionOrder { standing, incomplete_since, number };
            self.account.charge(&self.holder, Charge { order, buffer_bytes, task_bytes });
        }
        if self.holder.is_evicted.get() { Err(Evicted) } else { Ok(()) }
    }

    /// Records that a message has been taken from the buffer, or that nothing has arrived of one. Releases the
    /// charge, and an empty buffer.
    pub fn complete(&self) {
        self.account.release(&self.holder);
        self.incomplete_since.set(None);
        let mut buffer = self.holder.buffer.borrow_mut();
        if buffer.is_empty() {
            // Even without capacity it may share the allocation of the message that was taken.
            *buffer = BytesMut::new();
        }
    }

    /// Takes the complete message, and releases the charge.
    pub fn take(&self) -> BytesMut {
        let message = std::mem::take(&mut *self.holder.buffer.borrow_mut());
        self.complete();
        message
    }

    /// Returns whether the message was evicted.
    pub fn is_evicted(&self) -> bool {
        self.holder.is_evicted.get()
    }

    /// Waits until the message is evicted.
    pub async fn evicted(&self) -> Evicted {
        future::poll_fn(|context| {
            if self.holder.is_evicted.get() {
                return Poll::Ready(Evicted);
            }
            self.holder.waker.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }
}

impl Drop for IncomingMessage {
    fn drop(&mut self) {
        self.account.release(&self.holder);
        self.account.task_ended(&self.holder);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/incoming_messages.rs"]
mod tests;

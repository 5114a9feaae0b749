//! The store of final replies, by correlation id, for calls that come after a request has ended.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};

use crate::timers::Timers;
use crate::{CallReply, RefusalReason, StoredResult};

/// A final reply that later calls with the same correlation id get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FinalReply {
    Rejected(Option<Span>, RefusalReason),
    Failed(RefusalReason),
    Replayed(StoredResult),
}

impl From<FinalReply> for CallReply {
    fn from(reply: FinalReply) -> Self {
        match reply {
            FinalReply::Rejected(retry_after, reason) => Self::Rejected(retry_after, reason),
            FinalReply::Failed(reason) => Self::Failed(reason),
            FinalReply::Replayed(result) => Self::Replayed(result),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    reply: FinalReply,
    expires_at: Moment,
}

/// Final replies, each stored until it expires.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct FinishedRequests {
    entries: BTreeMap<u64, Entry>,
    expiry: Timers<u64>,
}

impl FinishedRequests {
    /// What one entry occupies, in bytes: the nodes of the trees are half full.
    pub const ENTRY_BYTES: usize = 2 * (size_of::<(u64, Entry)>() + size_of::<(Moment, u64)>());

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the reply of a request. `None` if it is not stored or has expired.
    pub fn reply(&self, now: Moment, correlation_id: u64) -> Option<FinalReply> {
        let entry = self.entries.get(&correlation_id).filter(|entry| entry.expires_at > now)?;
        Some(entry.reply)
    }

    /// Stores a reply until `expires_at`.
    pub fn store(&mut self, correlation_id: u64, reply: FinalReply, expires_at: Moment) {
        let previous = self.entries.insert(correlation_id, Entry { reply, expires_at });
        if let Some(previous) = previous {
            self.expiry.cancel(previous.expires_at, correlation_id);
        }
        self.expiry.schedule(expires_at, correlation_id);
    }

    /// Drops the reply that expires first.
    pub fn drop_first(&mut self) {
        if let Some((_, correlation_id)) = self.expiry.pop_first() {
            self.entries.remove(&correlation_id);
        }
    }

    /// Removes the replies that have expired.
    pub fn remove_expired(&mut self, now: Moment) {
        while let Some((_, correlation_id)) = self.expiry.pop_due(now) {
            self.entries.remove(&correlation_id);
        }
    }

    pub fn next_expiry(&self) -> Option<Moment> {
        self.expiry.next()
    }
}

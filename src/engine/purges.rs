//! Purges of objects and groups, which limit the age of copies that may be served (rule 5).

use std::collections::HashMap;

use crate::host::{Host, RequestMeta};
use crate::time::{Moment, Span};

use super::RoutingEngine;

/// The object or group whose copies a purge removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PurgeScope {
    Object(u64),
    Group(u32),
}

/// The newest purge of each object and group.
pub(super) struct Purges {
    newest: HashMap<PurgeScope, Moment>,
    /// When expired purges were last removed.
    cleaned_at: Moment,
}

impl Purges {
    pub(super) fn new(now: Moment) -> Self {
        Self { newest: HashMap::new(), cleaned_at: now }
    }

    fn record(&mut self, scope: PurgeScope, at: Moment) {
        self.newest.entry(scope).and_modify(|newest| *newest = at.max(*newest)).or_insert(at);
    }

    /// Removes purges older than `retention`, after which no copy from before the purge can be left. Does so
    /// at most once per `retention`.
    fn remove_expired(&mut self, now: Moment, retention: Span) {
        if now.since(self.cleaned_at) > retention {
            self.newest.retain(|_, at| now.since(*at) <= retention);
            self.cleaned_at = now;
        }
    }

    /// Returns the time of the newest purge of a request's object or group.
    pub(super) fn newest_for(&self, meta: &RequestMeta) -> Option<Moment> {
        let scopes = [PurgeScope::Object(meta.object), PurgeScope::Group(meta.group)];
        scopes.iter().filter_map(|scope| self.newest.get(scope)).max().copied()
    }
}

impl<H: Host> RoutingEngine<H> {
    /// Handles the purge of an object or, if `object` is `None`, of a whole group. `ago` is the time since
    /// the purge.
    pub fn purged(&mut self, object: Option<u64>, group: u32, ago: Span) {
        let scope = object.map_or(PurgeScope::Group(group), PurgeScope::Object);
        self.purges.record(scope, self.now - ago);
        self.purges.remove_expired(self.now, self.settings.purges.copies_gone_after());
    }
}

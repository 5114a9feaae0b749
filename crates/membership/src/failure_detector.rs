//! Failure detection by heartbeats: which peers have been silent for longer than usual.
//!
//! A suspicion is not a proof. It only decides which peers are sent fewer requests and which voter is
//! replaced, but never whether a router still accepts requests.

use std::collections::{BTreeMap, VecDeque};

use tindoor::time::{Moment, Span};

use crate::Incarnation;

/// The number of intervals between heartbeats that are kept for each peer.
const MAX_INTERVALS: usize = 16;

#[derive(Debug)]
struct Heartbeats {
    last: Moment,
    intervals: VecDeque<Span>,
}

/// A failure detector, which records for each peer the last heartbeat and the recent intervals between
/// heartbeats.
#[derive(Debug, Default)]
pub struct FailureDetector {
    peers: BTreeMap<Incarnation, Heartbeats>,
}

impl FailureDetector {
    /// Records that a peer was known to be alive at `now`.
    pub fn record_heartbeat(&mut self, peer: Incarnation, now: Moment) {
        let first = Heartbeats { last: now, intervals: VecDeque::new() };
        let heartbeats = self.peers.entry(peer).or_insert(first);
        if now > heartbeats.last {
            if heartbeats.intervals.len() == MAX_INTERVALS {
                heartbeats.intervals.pop_front();
            }
            heartbeats.intervals.push_back(now.since(heartbeats.last));
            heartbeats.last = now;
        }
    }

    /// Returns how long a peer has been silent, as a multiple of the mean interval between its heartbeats. A
    /// mean below `min_mean` is treated as `min_mean`. `None` if no heartbeat of the peer was recorded.
    pub fn suspicion(&self, peer: Incarnation, now: Moment, min_mean: Span) -> Option<f64> {
        let heartbeats = self.peers.get(&peer)?;
        let sum: u64 = heartbeats.intervals.iter().map(|interval| interval.as_micros()).sum();
        let count = heartbeats.intervals.len().max(1) as u64;
        let mean = (sum / count).max(min_mean.as_micros()).max(1);
        Some(now.since(heartbeats.last).as_micros() as f64 / mean as f64)
    }

    /// Returns the time since a peer's last heartbeat, or since `from` if that is later or if no heartbeat
    /// was recorded.
    pub fn silence(&self, peer: Incarnation, now: Moment, from: Moment) -> Span {
        now.since(self.peers.get(&peer).map_or(from, |heartbeats| heartbeats.last.max(from)))
    }

    /// Keeps only the peers for which `is_needed` returns true, to bound memory use.
    pub fn retain(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.peers.retain(|peer, _| is_needed(*peer));
    }
}

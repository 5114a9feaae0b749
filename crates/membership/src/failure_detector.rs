//! Who has been silent for longer than is usual. A suspicion is no proof: it only decides whom to ask less
//! and which voter to replace, never that a router accepts no more requests.

use std::collections::{BTreeMap, VecDeque};

use tindoor::time::{Moment, Span};

use crate::Incarnation;

/// Intervals between heartbeats that are kept for one peer.
const INTERVALS: usize = 16;

#[derive(Debug)]
struct Heartbeats {
    last: Moment,
    intervals: VecDeque<Span>,
}

/// When peers were last heard from, and how long the intervals between their heartbeats usually are.
#[derive(Debug, Default)]
pub struct FailureDetector {
    peers: BTreeMap<Incarnation, Heartbeats>,
}

impl FailureDetector {
    /// Records that a peer was heard from.
    pub fn record_heartbeat(&mut self, peer: Incarnation, now: Moment) {
        let unheard = Heartbeats { last: now, intervals: VecDeque::new() };
        let heartbeats = self.peers.entry(peer).or_insert(unheard);
        if now > heartbeats.last {
            if heartbeats.intervals.len() == INTERVALS {
                heartbeats.intervals.pop_front();
            }
            heartbeats.intervals.push_back(now.since(heartbeats.last));
            heartbeats.last = now;
        }
    }

    /// How long a peer has been silent, as a multiple of its mean interval, which is taken for no less than
    /// `min_mean`. None where it was never heard from.
    pub fn suspicion(&self, peer: Incarnation, now: Moment, min_mean: Span) -> Option<f64> {
        let heartbeats = self.peers.get(&peer)?;
        let sum: u64 = heartbeats.intervals.iter().map(|interval| interval.as_micros()).sum();
        let count = heartbeats.intervals.len().max(1) as u64;
        let mean = (sum / count).max(min_mean.as_micros()).max(1);
        Some(now.since(heartbeats.last).as_micros() as f64 / mean as f64)
    }

    /// How long a peer has been silent, counted from `from` at the earliest.
    pub fn silence(&self, peer: Incarnation, now: Moment, from: Moment) -> Span {
        now.since(self.peers.get(&peer).map_or(from, |heartbeats| heartbeats.last.max(from)))
    }

    /// Keeps only these peers, to bound the memory.
    pub fn retain(&mut self, is_needed: impl Fn(Incarnation) -> bool) {
        self.peers.retain(|peer, _| is_needed(*peer));
    }
}

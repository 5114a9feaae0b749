//! Who has been silent for longer than is usual. Silence is not death: what is drawn from it here is only whom to
//! ask less and which voter to replace, never that a router takes no more requests.

use std::collections::{BTreeMap, VecDeque};

use tindoor::time::{Moment, Span};

use crate::Incarnation;

/// Gaps between answers that are kept for one router.
const GAPS: usize = 16;

#[derive(Debug)]
struct Heard {
    last: Moment,
    gaps: VecDeque<Span>,
}

/// When others were last heard, and how long their silences usually are.
#[derive(Debug, Default)]
pub struct FailureDetector {
    heard: BTreeMap<Incarnation, Heard>,
}

impl FailureDetector {
    pub fn record_heartbeat(&mut self, peer: Incarnation, now: Moment) {
        let heard = self.heard.entry(peer).or_insert(Heard { last: now, gaps: VecDeque::new() });
        if now > heard.last {
            if heard.gaps.len() == GAPS {
                heard.gaps.pop_front();
            }
            heard.gaps.push_back(now.since(heard.last));
            heard.last = now;
        }
    }

    /// How many usual silences this one is: the mean of its last gaps, but no less than `usual`. None where it
    /// was never heard.
    pub fn suspicion(&self, peer: Incarnation, now: Moment, usual: Span) -> Option<f64> {
        let heard = self.heard.get(&peer)?;
        let sum: u64 = heard.gaps.iter().map(|gap| gap.as_micros()).sum();
        let mean = (sum / heard.gaps.len().max(1) as u64).max(usual.as_micros()).max(1);
        Some(now.since(heard.last).as_micros() as f64 / mean as f64)
    }

    /// How long it has been silent; since `from` where it was never heard.
    pub fn silence(&self, peer: Incarnation, now: Moment, from: Moment) -> Span {
        now.since(self.heard.get(&peer).map_or(from, |heard| heard.last.max(from)))
    }

    pub fn retain(&mut self, which: impl Fn(Incarnation) -> bool) {
        self.heard.retain(|peer, _| which(*peer));
    }
}

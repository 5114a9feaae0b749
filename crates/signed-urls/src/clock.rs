//! How far our own clock is off, by what independent parties say of the time: dates in answers of caches and
//! the origin, times in the change stream. It moves no clock; it says by how much to read ours differently, and
//! how sure that is.

use std::collections::BTreeMap;

/// The last samples of one party, and the most parties: further ones are not heard.
const SAMPLES: usize = 16;
const PARTIES: usize = 64;
/// The fewest parties that can outvote a liar.
const FEWEST: usize = 3;

/// One party's word: its time less ours at the moment its word came, in milliseconds. A word is old when it
/// comes, by its way here: so the truth is at least this.
#[derive(Default)]
struct Participant {
    offsets: Vec<i64>,
    next: usize,
}

impl Participant {
    fn add(&mut self, offset: i64) {
        match self.offsets.get_mut(self.next) {
            Some(old) => *old = offset,
            None => self.offsets.push(offset),
        }
        self.next = (self.next + 1) % SAMPLES;
    }

    /// Its word that was quickest on its way.
    fn best(&self) -> Option<i64> {
        self.offsets.iter().copied().max()
    }
}

/// What is known of our clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// To be added to our clock, in milliseconds.
    pub offset_ms: i64,
    /// How far the parties near the middle are from each other.
    pub spread_ms: u64,
    pub parties: usize,
}

/// The estimate of our clock's offset, from samples by party.
pub struct Clock {
    parties: BTreeMap<u64, Participant>,
    /// Beyond this an estimate is not believed: somebody has to look.
    longest_ms: u64,
}

impl Clock {
    pub fn new(longest_ms: u64) -> Self {
        Self { parties: BTreeMap::new(), longest_ms }
    }

    /// A party, by a stable number, said a time; both in Unix milliseconds.
    pub fn said(&mut self, participant: u64, theirs: u64, ours: u64) {
        if self.parties.len() >= PARTIES && !self.parties.contains_key(&participant) {
            return;
        }
        let offset = i64::try_from(i128::from(theirs) - i128::from(ours)).unwrap_or(0);
        self.parties.entry(participant).or_default().add(offset);
    }

    /// The middle party's word; none while too few have spoken, as one of two may lie, nor where it is beyond
    /// belief. One liar among three moves it to one of the two others' words, never to its own.
    pub fn estimate(&self) -> Option<Estimate> {
        let mut words: Vec<i64> = self.parties.values().filter_map(Participant::best).collect();
        words.sort_unstable();
        if words.len() < FEWEST {
            return None;
        }
        let middle = words.len() / 2;
        // Of an even number the two in the middle count alike.
        let offset_ms = match words.len() % 2 {
            1 => words[middle],
            _ => words[middle - 1].midpoint(words[middle]),
        };
        let near = &words[words.len() / 4..=(3 * words.len() / 4).min(words.len() - 1)];
        let spread_ms = near.last()?.abs_diff(*near.first()?);
        let parties = words.len();
        (offset_ms.unsigned_abs() <= self.longest_ms).then_some(Estimate { offset_ms, spread_ms, parties })
    }

    /// The time to judge tokens by, with the skew that the settings allow: the estimate moves the time, and
    /// never widens the skew, which is what a key's owner was told.
    pub fn now(&self, ours_unix_ms: u64, skew_ms: u64) -> crate::claims::Now {
        let offset = self.estimate().map_or(0, |estimate| estimate.offset_ms);
        crate::claims::Now { unix_ms: ours_unix_ms.saturating_add_signed(offset), skew_ms }
    }
}

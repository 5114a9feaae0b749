//! A sliding window of the most recent samples.

use std::collections::VecDeque;

/// The last `SIZE` samples, oldest first.
pub(super) struct Samples<T, const SIZE: usize>(VecDeque<T>);

impl<T, const SIZE: usize> Default for Samples<T, SIZE> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T: Copy, const SIZE: usize> Samples<T, SIZE> {
    /// Adds a sample; the oldest one leaves a full window.
    pub(super) fn add(&mut self, sample: T) {
        if self.0.len() == SIZE {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn first(&self) -> Option<&T> {
        self.0.front()
    }

    pub(super) fn last(&self) -> Option<&T> {
        self.0.back()
    }

    /// All samples, oldest first.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.0.iter()
    }

    /// The quantile of the samples' keys, with `fraction` from 0 up to, but not including, 1.
    pub(super) fn quantile<K: Copy + PartialOrd>(&self, fraction: f64, key: impl Fn(&T) -> K) -> Option<K> {
        let mut sorted: Vec<K> = self.0.iter().map(key).collect();
        sorted.sort_by(|a, b| a.partial_cmp(b).expect("samples are numbers"));
        sorted.get((fraction * sorted.len() as f64) as usize).copied()
    }
}

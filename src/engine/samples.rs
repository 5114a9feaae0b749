//! A sliding window of the most recent samples.

use std::collections::VecDeque;

/// The most recent `SIZE` samples, oldest first.
pub(super) struct Samples<T, const SIZE: usize>(VecDeque<T>);

impl<T, const SIZE: usize> Default for Samples<T, SIZE> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<T: Copy, const SIZE: usize> Samples<T, SIZE> {
    /// Adds a sample; if the window is full, the oldest sample is removed first.
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

    /// Iterates over all samples, oldest first.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.0.iter()
    }

    /// Returns the quantile of the samples' keys; `None` if there are no samples. `fraction` is at least 0
    /// and less than 1.
    pub(super) fn quantile<K: Copy + PartialOrd>(&self, fraction: f64, key: impl Fn(&T) -> K) -> Option<K> {
        let mut sorted: Vec<K> = self.0.iter().map(key).collect();
        sorted.sort_by(|a, b| a.partial_cmp(b).expect("samples are numbers"));
        sorted.get((fraction * sorted.len() as f64) as usize).copied()
    }
}

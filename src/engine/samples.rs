//! The most recent values of something measured.

use super::*;

/// The last few of something measured.
#[derive(Default)]
pub(super) struct Samples<T, const SIZE: usize>(pub(super) VecDeque<T>);

impl<T: Copy, const SIZE: usize> Samples<T, SIZE> {
    pub(super) fn add(&mut self, sample: T) {
        if self.0.len() == SIZE {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    pub(super) fn quantile<K: Copy + PartialOrd>(&self, part: f64, key: impl Fn(&T) -> K) -> Option<K> {
        let mut sorted: Vec<K> = self.0.iter().map(key).collect();
        sorted.sort_by(|a, b| a.partial_cmp(b).expect("samples are numbers"));
        sorted.get((part * sorted.len() as f64) as usize).copied()
    }
}

//! The simulated network: loses, delays, duplicates and delivers messages.

use rand::Rng;
use tindoor_consensus::Envelope;

use super::world::{Event, SMALL_FLEET, World};

/// The maximum number of messages that are queued for a paused process; further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// In a fleet larger than [`SMALL_FLEET`], the size of one in this many messages is measured.
const BYTE_SAMPLING: u64 = 64;
/// The probability that a message is delayed if the fault `delay` is injected, and that it is duplicated if
/// the fault `duplicate` is injected.
const FAULT_PROBABILITY: f64 = 0.05;
/// The maximum additional latency of a delayed message, in microseconds.
const MAX_FAULT_DELAY_US: u64 = 600_000;
/// The maximum time from a message to its duplicate, in microseconds.
const MAX_DUPLICATE_DELAY_US: u64 = 300_000;

impl World {
    /// Sends a message, which may be lost, delayed or duplicated.
    pub(super) fn send(&mut self, from: usize, address: &str, envelope: Envelope) {
        let Some(&to) = self.indexes_by_address.get(address) else { return };
        self.outcome.messages += 1;
        self.count_bytes(&envelope);
        let faults_active = !self.faults_over;
        if self.blocked_links.contains(&(from, to))
            || faults_active && self.day.has("drop") && self.rng.random_bool(self.day.loss)
        {
            return;
        }
        let jitter_us = self.rng.random_range(0..self.day.latency_jitter.as_micros().max(1));
        let mut latency_us = self.day.min_latency.as_micros() + jitter_us;
        if faults_active && self.day.has("delay") && self.rng.random_bool(FAULT_PROBABILITY) {
            latency_us += self.rng.random_range(0..MAX_FAULT_DELAY_US);
        }
        if faults_active && self.day.has("duplicate") && self.rng.random_bool(FAULT_PROBABILITY) {
            let duplicate_us = latency_us + self.rng.random_range(0..MAX_DUPLICATE_DELAY_US);
            self.schedule_in(duplicate_us, Event::Message { to, envelope: Box::new(envelope.clone()) });
        }
        self.schedule_in(latency_us, Event::Message { to, envelope: Box::new(envelope) });
    }

    /// Adds the size of a message to the byte count. In a large fleet, the count is extrapolated from a
    /// sample of the messages.
    fn count_bytes(&mut self, envelope: &Envelope) {
        let sampling = if self.day.routers <= SMALL_FLEET { 1 } else { BYTE_SAMPLING };
        if self.outcome.messages.is_multiple_of(sampling) {
            self.outcome.bytes += envelope.to_bytes().len() as u64 * sampling;
        }
    }

    /// Delivers a message to a process, or queues it while the process is paused.
    pub(super) fn deliver(&mut self, to: usize, envelope: Envelope) {
        let process = &mut self.processes[to];
        if !process.paused {
            self.with_node(to, |node, now| node.receive(now, envelope));
        } else if process.queued_messages.len() < MAX_QUEUED_MESSAGES {
            process.queued_messages.push(envelope);
        }
    }
}

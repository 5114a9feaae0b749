//! The policy versions of the experiment, and the values by which they can be recognized.

/// The number of versions besides the initial one. They are proposed in turn, so a long run proposes each
/// version several times.
const PROPOSED_VERSIONS: u64 = 45;

/// The Retry-After of a router without a lease, in milliseconds; no version uses this value.
pub const RETRY_AFTER_WITHOUT_LEASE_MS: u64 = 400;

/// The smallest Retry-After of the initial version, in milliseconds. A smaller value is the longest
/// Retry-After that a proposed version allows.
const INITIAL_RETRY_AFTER_MS: u64 = 50;

/// A policy version, identified by a number. The freshness lifetime and the longest Retry-After of the
/// version are derived from the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyVersion(u64);

impl PolicyVersion {
    /// The version with which the fleet is bootstrapped.
    pub const INITIAL: Self = Self(0);

    /// Returns the version to propose after `count` other proposals.
    pub fn proposed_after(count: usize) -> Self {
        Self(count as u64 % PROPOSED_VERSIONS + 1)
    }

    /// Parses the version number from the note of a proposal.
    pub fn parse(note: &str) -> Option<Self> {
        note.parse().ok().map(Self)
    }

    /// Returns the number of the version.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns the freshness lifetime, in milliseconds.
    pub fn fresh_ms(self) -> u64 {
        if self == Self::INITIAL { 8000 } else { 5000 + 10 * self.0 }
    }

    /// Returns the longest Retry-After, in milliseconds.
    pub fn max_retry_after_ms(self) -> u64 {
        self.0
    }

    /// Returns the version whose attempts accept copies of this age. `None` if there is no such version.
    pub fn of_accepted_age(age_ms: u64) -> Option<Self> {
        (0..=PROPOSED_VERSIONS).map(Self).find(|version| version.fresh_ms() == age_ms)
    }

    /// Returns the version whose rejections state this Retry-After. `None` for the Retry-After of a router
    /// without a lease.
    pub fn of_retry_after(retry_after_ms: u64) -> Option<Self> {
        match retry_after_ms {
            RETRY_AFTER_WITHOUT_LEASE_MS => None,
            number if number < INITIAL_RETRY_AFTER_MS => Some(Self(number)),
            _ => Some(Self::INITIAL),
        }
    }
}

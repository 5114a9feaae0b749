//! The policy versions of the experiment, and how each shows.

/// Versions beside the initial one. They are proposed in turn, so a long run proposes each several times.
const PROPOSED_VERSIONS: u64 = 45;

/// Retry-After of a router without a lease, in milliseconds; no version states it.
pub const RETRY_AFTER_WITHOUT_LEASE_MS: u64 = 400;

/// A Retry-After below this one is the longest that a proposed version allows; others are of the initial
/// version.
const INITIAL_RETRY_AFTER_MS: u64 = 50;

/// A policy version, by a number that its freshness lifetime and its longest Retry-After depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyVersion(u64);

impl PolicyVersion {
    /// The version that the fleet is bootstrapped with.
    pub const INITIAL: Self = Self(0);

    /// The version that is proposed after so many others.
    pub fn proposed_after(count: usize) -> Self {
        Self(count as u64 % PROPOSED_VERSIONS + 1)
    }

    /// The version with this number, as a proposal's note states it.
    pub fn parse(note: &str) -> Option<Self> {
        note.parse().ok().map(Self)
    }

    /// Its number.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Its freshness lifetime, in milliseconds.
    pub fn fresh_ms(self) -> u64 {
        if self == Self::INITIAL { 8000 } else { 5000 + 10 * self.0 }
    }

    /// Its longest Retry-After, in milliseconds.
    pub fn max_retry_after_ms(self) -> u64 {
        self.0
    }

    /// The version whose attempts accept copies of this age; none where no version does.
    pub fn of_accepted_age(age_ms: u64) -> Option<Self> {
        (0..=PROPOSED_VERSIONS).map(Self).find(|version| version.fresh_ms() == age_ms)
    }

    /// The version whose rejections state this Retry-After; none for a router without a lease.
    pub fn of_retry_after(retry_after_ms: u64) -> Option<Self> {
        match retry_after_ms {
            RETRY_AFTER_WITHOUT_LEASE_MS => None,
            number if number < INITIAL_RETRY_AFTER_MS => Some(Self(number)),
            _ => Some(Self::INITIAL),
        }
    }
}

//! Hash functions that give the same result at every router.

/// 2^64 divided by the golden ratio; multiplying by it spreads consecutive numbers evenly.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
/// The multiplier of each mixing round.
const MULTIPLIER: u64 = 0xD6E8_FEB8_6659_FD93;

/// Combines two numbers into an evenly distributed 64-bit hash.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(GOLDEN_RATIO).rotate_left(29);
    for _ in 0..2 {
        x = (x ^ (x >> 32)).wrapping_mul(MULTIPLIER);
    }
    x ^ (x >> 32)
}

/// Maps a hash to a number strictly between 0 and 1.
pub(super) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

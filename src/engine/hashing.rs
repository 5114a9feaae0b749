//! Hashes that are the same at every router.

/// Mixes stable ids into an even 64 bits.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29);
    for _ in 0..2 {
        x = (x ^ (x >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    }
    x ^ (x >> 32)
}

/// A hash as a number above 0 and below 1.
pub(super) fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

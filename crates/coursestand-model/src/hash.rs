//! Hash functions whose results are identical in all processes and on every run.

use twox_hash::XxHash64;

/// Returns the hash of a string.
pub fn hash_of(text: &str) -> u64 {
    XxHash64::oneshot(0, text.as_bytes())
}

/// Combines two hashes into one; the order matters.
pub fn combine(left: u64, right: u64) -> u64 {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    XxHash64::oneshot(0, &bytes)
}

/// Maps a hash to a point in `0.0..1.0`.
pub fn unit_point(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

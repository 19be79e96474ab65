//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
//! Schindelhauer and Schomaker 2005): each key ranks all candidates in a fixed
//! order, and a candidate that comes or goes moves only the keys that rank it
//! first.

use crate::hash::{combine, unit_point};

/// Score of a candidate for a key; the highest comes first. A candidate of twice
/// the weight comes first for twice as many keys.
pub fn score(key: u64, candidate: u64, weight: f64) -> f64 {
    let point = unit_point(combine(key, candidate)).max(f64::MIN_POSITIVE);
    -weight / point.ln()
}

/// The candidates in the order of the key, each with its hash and weight.
pub fn rank<T: Copy>(key: u64, candidates: impl Iterator<Item = (T, u64, f64)>) -> Vec<T> {
    let mut scored: Vec<(f64, T)> = candidates
        .map(|(candidate, hash, weight)| (score(key, hash, weight), candidate))
        .collect();
    scored.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

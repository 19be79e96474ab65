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

/// The first `count` candidates in the order of the key, each given with its hash
/// and weight. Takes one pass: `count` is small, and candidates may be hundreds.
pub fn first_ranked<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = (T, u64, f64)>,
    count: usize,
) -> Vec<T> {
    let mut best: Vec<(f64, T)> = Vec::with_capacity(count + 1);
    for (candidate, hash, weight) in candidates {
        let scored = score(key, hash, weight);
        let place = best.partition_point(|(other, _)| *other >= scored);
        if place < count {
            best.insert(place, (scored, candidate));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, candidate)| candidate).collect()
}

//! Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
//! Schindelhauer and Schomaker 2005): each key ranks all candidates in a fixed
//! order, and adding or removing a candidate moves only the keys that rank it first.

use crate::hash::{combine, unit_point};

/// Returns the score of a candidate for a key; the highest score ranks first. A candidate
/// with twice the weight ranks first for twice as many keys.
pub fn score(key: u64, candidate: u64, weight: f64) -> f64 {
    let point = unit_point(combine(key, candidate)).max(f64::MIN_POSITIVE);
    -weight / point.ln()
}

/// Returns the `count` highest-ranked candidates of the key, in order. Each candidate is
/// given with its hash and its weight. Runs in one pass, since `count` is small and there
/// may be hundreds of candidates.
pub fn first_ranked<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = (T, u64, f64)>,
    count: usize,
) -> Vec<T> {
    let mut best: Vec<(f64, T)> = Vec::with_capacity(count + 1);
    for (candidate, hash, weight) in candidates {
        let candidate_score = score(key, hash, weight);
        let rank = best.partition_point(|(other, _)| *other >= candidate_score);
        if rank < count {
            best.insert(rank, (candidate_score, candidate));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, candidate)| candidate).collect()
}

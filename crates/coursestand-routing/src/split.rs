//! Divides requests among weighted services, evenly over any stretch (smooth
//! weighted round robin).

/// Where a route stands in its round.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    credits: Vec<i64>,
}

impl SplitState {
    /// Index of the service that takes the next request.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        if self.credits.len() != weights.len() {
            self.credits = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let best = (0..weights.len())
            .max_by_key(|index| self.credits[*index])
            .unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}

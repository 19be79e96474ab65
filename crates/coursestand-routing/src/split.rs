//! Divides requests among weighted services, evenly over any stretch (smooth
//! weighted round robin).

/// Where a route stands in its round.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    credits: Vec<i64>,
}

/// Steps after which a split that is drawn stands at most: more than a round of weights in
/// percent takes.
const MOST_STEPS: u64 = 1_000;

impl SplitState {
    /// Stands anywhere in a round, as `number` tells. All that begin at the same place send
    /// their first requests to the same service: at few requests to each life of a daemon,
    /// a service of 40 in 100 got none.
    pub fn drawn(weights: &[u32], number: u64) -> SplitState {
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let mut state = SplitState::default();
        for _ in 0..number % total.clamp(1, MOST_STEPS) {
            state.next(weights);
        }
        state
    }

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

//! Divides requests among weighted services by smooth weighted round robin: evenly over any
//! number of consecutive requests.

/// Position of a route's traffic split in its round.
#[derive(Clone, Debug, Default)]
pub struct SplitState {
    credits: Vec<i64>,
}

/// Maximum offset of a new split: more steps than a round of weights in percent has.
const MAX_OFFSET: u64 = 1_000;

impl SplitState {
    /// Returns a state at an offset into the round that is derived from `number`, which should
    /// be random. If all daemons began at the same offset, their first requests would go to
    /// the same service: with few requests to each incarnation of a daemon, a service of
    /// weight 40 in 100 got none.
    pub fn at_offset(weights: &[u32], number: u64) -> SplitState {
        let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
        let mut state = SplitState::default();
        for _ in 0..number % total.clamp(1, MAX_OFFSET) {
            state.next(weights);
        }
        state
    }

    /// Returns the index of the service to which the next request is sent.
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

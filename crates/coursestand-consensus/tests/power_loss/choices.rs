//! The choices that a test makes: all combinations, or random ones.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The choices of one run.
pub enum Choices {
    /// Each run makes another combination.
    All {
        /// The choices of this run.
        made: Vec<Choice>,
        /// Number of choices made so far.
        position: usize,
    },
    /// Drawn from a seed.
    Random(Box<StdRng>),
}

/// One choice of several options.
pub struct Choice {
    value: usize,
    options: usize,
}

impl Choices {
    /// Returns the first of all combinations.
    pub fn all() -> Choices {
        Choices::All {
            made: Vec::new(),
            position: 0,
        }
    }

    /// Returns choices drawn from `seed`.
    pub fn random(seed: u64) -> Choices {
        Choices::Random(Box::new(StdRng::seed_from_u64(seed)))
    }

    /// Chooses a number below `options`.
    pub fn choose(&mut self, options: usize) -> usize {
        match self {
            Choices::Random(random) => random.random_range(0..options),
            Choices::All { made, position } => {
                if *position == made.len() {
                    made.push(Choice { value: 0, options });
                }
                *position += 1;
                made[*position - 1].value
            }
        }
    }

    /// Moves on to the next combination. Returns whether there is one.
    pub fn advance(&mut self) -> bool {
        let Choices::All { made, position } = self else {
            return true;
        };
        *position = 0;
        while let Some(last) = made.last_mut() {
            last.value += 1;
            if last.value < last.options {
                return true;
            }
            made.pop();
        }
        false
    }
}

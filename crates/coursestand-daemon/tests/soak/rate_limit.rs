//! A back end that announces a rate limit with each complete answer, and the check of the
//! requests that it receives.

use std::time::{Duration, Instant};

use coursestand_lab::rate_limits::{RateBound, exceeded};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};

/// Complete answer with the rate limit.
pub const RATE_LIMITED_ANSWER: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 1\r\n");
/// Bound that holds under all faults.
const BOUND: RateBound = RateBound {
    per_second: 1.0,
    factor: 1.5,
    slack: 5.0,
};
/// Time within which every daemon receives the rate limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];

/// Returns the script with the rate limit in each complete answer of the back end.
pub fn with_rate_limit(script: Vec<Behaviour>) -> Vec<Behaviour> {
    let limited = script.into_iter().map(|behaviour| match behaviour {
        Behaviour::Answer(_)
        | Behaviour::Slow(_)
        | Behaviour::DuplicateAnswer
        | Behaviour::EarlyAnswer => RATE_LIMITED_ANSWER,
        other => other,
    });
    limited.collect()
}

/// Checks that the back end received no more requests in any window than its limit allows.
pub fn check(started_at: Instant, backend: &ScriptedBackend) -> Result<(), String> {
    let arrivals = backend
        .recorded_arrivals()
        .into_iter()
        .map(|arrival| arrival.at);
    let arrivals: Vec<Instant> = arrivals
        .filter(|at| *at >= started_at + PROPAGATION_TIME)
        .collect();
    let violations = exceeded(BOUND, &WINDOWS, &arrivals);
    if violations.is_empty() {
        return Ok(());
    }
    Err(format!("more than the rate limit: {violations:?}"))
}

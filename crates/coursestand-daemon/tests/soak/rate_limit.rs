//! A back end that names a rate limit with each of its proper answers, and the judge of what
//! it gets.

use std::time::{Duration, Instant};

use coursestand_lab::rate_limits::{RateBound, exceeded};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};

/// How it answers properly.
pub const NAMES: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 1\r\n");
/// Holds whatever happens.
const BOUND: RateBound = RateBound {
    per_second: 1.0,
    factor: 1.5,
    slack: 5.0,
};
/// By then every daemon has been told.
const TOLD: Duration = Duration::from_secs(3);
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];

/// The same script for a back end that names its limit: each whole answer of its own does.
pub fn naming(script: Vec<Behaviour>) -> Vec<Behaviour> {
    let naming = script.into_iter().map(|behaviour| match behaviour {
        Behaviour::Answer(_)
        | Behaviour::Slow(_)
        | Behaviour::DuplicateAnswer
        | Behaviour::EarlyAnswer => NAMES,
        other => other,
    });
    naming.collect()
}

/// Checks that no window brought the back end more than its limit allows.
pub fn judge(began: Instant, backend: &ScriptedBackend) -> Result<(), String> {
    let arrived = backend
        .recorded_arrivals()
        .into_iter()
        .map(|arrival| arrival.at);
    let arrived: Vec<Instant> = arrived.filter(|at| *at >= began + TOLD).collect();
    let over = exceeded(BOUND, &WINDOWS, &arrived);
    if over.is_empty() {
        return Ok(());
    }
    Err(format!("more than the rate limit: {over:?}"))
}

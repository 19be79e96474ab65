//! Scenario of a simulation, and its outcome.

use std::time::{Duration, Instant};

use coursestand_model::Millis;

/// Scheme by which daemons keep to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// Tokens, the scheme of the product.
    Tokens,
    /// Each daemon uses the whole limit on its own.
    WholeLimitEach,
    /// Each daemon uses an equal share, and starts with one token.
    ShareEach,
    /// No daemon sends to a limited back end.
    Nothing,
}

/// Fault of a process or a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill {
        daemon: usize,
        duration_ms: Millis,
    },
    Freeze {
        daemon: usize,
        duration_ms: Millis,
    },
    Disconnect {
        daemon: usize,
        duration_ms: Millis,
    },
    /// The leader stops, and another control process leads after this time.
    LoseLeader {
        duration_ms: Millis,
    },
}

/// Scenario of a simulation.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub daemons: usize,
    /// Requests per second whose first choice is the back end, at all daemons together.
    pub demand: f64,
    pub duration_ms: Millis,
    /// Limits of the back end, each with its start; `None` is no limit.
    pub limits: Vec<(Millis, Option<f64>)>,
    pub faults: Vec<(Millis, Fault)>,
    /// Percentage of answers that are truncated.
    pub truncated_answers_percent: u32,
    /// Percentage of token requests that are lost.
    pub lost_token_requests_percent: u32,
}

/// A request that reached the back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Millis,
    /// Time since this incarnation of the daemon first received the limit from the back end.
    pub limit_received_ms_ago: Option<Millis>,
}

/// Outcome of a simulation.
pub struct Outcome {
    pub arrivals: Vec<Arrival>,
    /// Time at which every daemon had received the limit.
    pub known_at: Millis,
    /// Times of the requests whose first choice was the back end.
    pub requested: Vec<Millis>,
}

/// Converts simulation times to instants, for the check of the bounds.
pub fn instants(arrived: impl Iterator<Item = Millis>) -> Vec<Instant> {
    let start = Instant::now();
    let instant = |at| start + Duration::from_millis(at);
    arrived.map(instant).collect()
}

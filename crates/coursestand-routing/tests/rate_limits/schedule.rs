//! What is played, and what it comes to.

use std::time::{Duration, Instant};

use coursestand_model::Millis;

/// How daemons keep to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// By tokens, as the product does.
    Tokens,
    /// Each daemon keeps to the whole limit by itself.
    WholeLimitEach,
    /// Each daemon keeps to its part, and begins with one request.
    PartEach,
    /// No daemon sends to a limited back end.
    Nothing,
}

/// What harms a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    Kill {
        daemon: usize,
        lasts: Millis,
    },
    Freeze {
        daemon: usize,
        lasts: Millis,
    },
    Cut {
        daemon: usize,
        lasts: Millis,
    },
    /// No control process leads; another one does later, or none that knows anything.
    LoseLeader {
        lasts: Millis,
    },
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub daemons: usize,
    /// Requests a second whose first choice is the back end, at all daemons together.
    pub demand: f64,
    pub lasts: Millis,
    /// From when the back end names which limit.
    pub limits: Vec<(Millis, Option<f64>)>,
    pub harms: Vec<(Millis, Harm)>,
    /// Of a hundred answers, those that are cut.
    pub cut_answers: u32,
    /// Of a hundred requests for tokens, those that are lost.
    pub lost_asks: u32,
}

/// A request that reached the back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrived {
    pub at: Millis,
    /// For how long its daemon had been told of the limit by the back end, in this life.
    pub told_ms: Option<Millis>,
}

/// What a run came to.
pub struct Played {
    pub arrived: Vec<Arrived>,
    /// When every daemon first knew the limit.
    pub known_at: Millis,
    /// Requests whose first choice was the back end.
    pub asked: Vec<Millis>,
}

/// Moments of the world as those of a clock, for the judge.
pub fn instants(arrived: impl Iterator<Item = Millis>) -> Vec<Instant> {
    let start = Instant::now();
    let moment = |at| start + Duration::from_millis(at);
    arrived.map(moment).collect()
}

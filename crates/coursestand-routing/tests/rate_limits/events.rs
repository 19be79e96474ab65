//! What happens in the world, in its order.

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{Rate, TokenRequest};

/// The one back end.
pub const BACKEND: u64 = 7;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Request {
        daemon: usize,
    },
    AskArrives {
        daemon: usize,
        life: u32,
        number: u64,
        request: Asked,
    },
    VerdictArrives {
        daemon: usize,
        life: u32,
        number: u64,
        verdict: Verdict,
    },
    RequestArrives {
        daemon: usize,
        life: u32,
        sent_at: Millis,
    },
    AnswerArrives {
        daemon: usize,
        life: u32,
        sent_at: Millis,
        named: Option<Rate>,
        is_cut: bool,
    },
    NewsArrives {
        daemon: usize,
        rate: Option<Rate>,
        at: Millis,
    },
    HeardArrives {
        daemon: usize,
        reporter: usize,
        rate: Rate,
        at: Millis,
    },
    Harmed(usize),
    LeaderComes,
}

/// A request for a token, as events are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Asked {
    pub rate: Rate,
    pub age_ms: Millis,
}

impl From<TokenRequest> for Asked {
    fn from(request: TokenRequest) -> Asked {
        Asked {
            rate: request.rate,
            age_ms: request.age_ms,
        }
    }
}

impl From<Asked> for TokenRequest {
    fn from(asked: Asked) -> TokenRequest {
        TokenRequest {
            backend: BACKEND,
            rate: asked.rate,
            age_ms: asked.age_ms,
            priority: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    Issued,
    Denied(Millis),
    Lifted(Millis),
}

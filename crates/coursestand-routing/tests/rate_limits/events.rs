//! Events of the simulation and their order.

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{Rate, TokenRequest};

/// Incarnation of the only back end.
pub const BACKEND: u64 = 7;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Request {
        daemon: usize,
    },
    TokenRequestArrives {
        daemon: usize,
        incarnation: u32,
        number: u64,
        request: OrderedTokenRequest,
    },
    VerdictArrives {
        daemon: usize,
        incarnation: u32,
        number: u64,
        verdict: Verdict,
    },
    RequestArrives {
        daemon: usize,
        incarnation: u32,
        sent_at: Millis,
    },
    AnswerArrives {
        daemon: usize,
        incarnation: u32,
        sent_at: Millis,
        reported: Option<Rate>,
        is_truncated: bool,
    },
    UpdateArrives {
        daemon: usize,
        rate: Option<Rate>,
        at: Millis,
    },
    ForwardedUpdateArrives {
        daemon: usize,
        reporter: usize,
        rate: Rate,
        at: Millis,
    },
    Fault(usize),
    LeaderElected,
}

/// A token request with a total order, as the event queue requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderedTokenRequest {
    pub rate: Rate,
    pub age_ms: Millis,
}

impl From<TokenRequest> for OrderedTokenRequest {
    fn from(request: TokenRequest) -> OrderedTokenRequest {
        OrderedTokenRequest {
            rate: request.rate,
            age_ms: request.age_ms,
        }
    }
}

impl From<OrderedTokenRequest> for TokenRequest {
    fn from(ordered: OrderedTokenRequest) -> TokenRequest {
        TokenRequest {
            backend: BACKEND,
            rate: ordered.rate,
            age_ms: ordered.age_ms,
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

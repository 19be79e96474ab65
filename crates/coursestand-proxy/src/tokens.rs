//! Asks control for tokens for requests to rate-limited back ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{
    OutstandingTokenRequests, SentTokenRequest, TOKEN_LIFETIME_MS, TokenRequest, TokenRequestMode,
    TokenVerdict,
};
use coursestand_routing::{Rate, RateLimitUpdate, SendToken};
use tokio::sync::{broadcast, oneshot};

/// Notes that wait for a slow connection to control; further ones replace the oldest.
const QUEUE: usize = 64;
/// What this daemon tells control of rate limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitNote {
    /// A back end named a limit, or no longer does.
    News(RateLimitUpdate),
    /// It wants a token.
    Token {
        /// The control process that answers, if one has lately; otherwise all are asked.
        to: Option<SocketAddr>,
        /// Number of the request.
        number: u64,
        /// The request.
        request: TokenRequest,
    },
}

/// Answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAnswer {
    /// The request may be sent.
    Issued(SendToken),
    /// There is no token now.
    Denied {
        /// When to ask again, in milliseconds.
        again_in_ms: Millis,
        /// The limit by which they are issued.
        rate: Rate,
    },
    /// The back end has no limit any more.
    Lifted,
}

impl TokenAnswer {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            TokenAnswer::Issued(_) => "issued",
            TokenAnswer::Denied { .. } => "denied",
            TokenAnswer::Lifted => "lifted",
        }
    }
}

/// A request that control has answered.
pub(crate) struct Answered {
    pub(crate) asked: SentTokenRequest,
    waits: Option<oneshot::Sender<TokenAnswer>>,
}

impl Answered {
    /// Passes the answer on.
    pub(crate) fn tell(self, answer: TokenAnswer) {
        if let Some(waits) = self.waits {
            // Whoever asked may have left.
            let _ = waits.send(answer);
        }
    }
}

#[derive(Default)]
struct Desk {
    asks: OutstandingTokenRequests,
    waits: HashMap<u64, oneshot::Sender<TokenAnswer>>,
    /// The control process that answered last.
    issuer: Option<SocketAddr>,
}

/// Requests for tokens that this daemon has made.
pub struct TokenRequests {
    notes: broadcast::Sender<LimitNote>,
    desk: Mutex<Desk>,
}

impl Default for TokenRequests {
    fn default() -> TokenRequests {
        TokenRequests {
            notes: broadcast::Sender::new(QUEUE),
            desk: Mutex::default(),
        }
    }
}

impl TokenRequests {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether control leaves requests unanswered.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.desk().asks.is_silent(now)
    }

    /// Asks control; what is returned resolves with its answer. While control is silent it is
    /// asked now and then, and nobody waits.
    pub fn ask(
        &self,
        now: Millis,
        request: TokenRequest,
    ) -> Option<oneshot::Receiver<TokenAnswer>> {
        let mut desk = self.desk();
        let asking = desk.asks.ask(now, request.clone());
        desk.waits.retain(|_, waits| !waits.is_closed());
        let (number, answer) = match asking {
            TokenRequestMode::Await(number) => {
                let (waits, answer) = oneshot::channel();
                desk.waits.insert(number, waits);
                (number, Some(answer))
            }
            TokenRequestMode::Probe(number) => {
                // Another process may lead.
                desk.issuer = None;
                (number, None)
            }
            TokenRequestMode::Skip => return None,
        };
        let to = desk.issuer;
        drop(desk);
        let note = LimitNote::Token {
            to,
            number,
            request,
        };
        // Without a connection to control there is nobody to ask.
        self.notes.send(note).ok()?;
        answer
    }

    /// The control process `from` answered.
    pub(crate) fn answered(&self, from: SocketAddr, number: u64) -> Option<Answered> {
        let mut desk = self.desk();
        desk.issuer = Some(from);
        let asked = desk.asks.answered(number)?;
        let waits = desk.waits.remove(&number);
        Some(Answered { asked, waits })
    }

    /// Tells control what a back end named.
    pub fn tell(&self, news: RateLimitUpdate) {
        // Without a connection to control there is nobody to tell.
        let _ = self.notes.send(LimitNote::News(news));
    }

    /// What control is told, from now on.
    pub fn notes(&self) -> broadcast::Receiver<LimitNote> {
        self.notes.subscribe()
    }
}

/// What a verdict on `asked` means for whoever waits.
pub(crate) fn answer_of(verdict: &TokenVerdict, asked: &SentTokenRequest) -> TokenAnswer {
    match verdict {
        TokenVerdict::Issued => TokenAnswer::Issued(SendToken {
            backend: asked.request.backend,
            valid_until: asked.sent_at + TOKEN_LIFETIME_MS,
        }),
        TokenVerdict::Denied { again_in_ms, rate } => TokenAnswer::Denied {
            again_in_ms: *again_in_ms,
            rate: *rate,
        },
        TokenVerdict::Lifted { .. } => TokenAnswer::Lifted,
    }
}

//! Asks control for tokens for requests to rate-limited back ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{TOKEN_LIFETIME_MS, TokenRequest, TokenVerdict};
use coursestand_routing::{LimitNews, Rate, SendToken};
use tokio::sync::{broadcast, oneshot};

/// Notes that wait for a slow connection to control; further ones replace the oldest.
const QUEUE: usize = 64;
/// An answer that has not come by then does not come: control may have no leader.
const ASKED_MS: Millis = 1_000;
/// Tokens that one daemon asks for in a second at most: a bound on what it costs control,
/// however many back ends have a limit.
const MOST_REQUESTS: u32 = 40;
const SECOND_MS: Millis = 1_000;

/// What this daemon tells control of rate limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitNote {
    /// A back end named a limit, or no longer does.
    News(LimitNews),
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

struct Asked {
    at: Millis,
    request: TokenRequest,
    waits: oneshot::Sender<TokenAnswer>,
}

impl Asked {
    fn is_overdue(&self, now: Millis) -> bool {
        now.saturating_sub(self.at) > TOKEN_LIFETIME_MS
    }
}

/// A request that control has answered.
pub(crate) struct Answered {
    pub(crate) request: TokenRequest,
    /// When it was asked.
    pub(crate) asked_at: Millis,
    waits: oneshot::Sender<TokenAnswer>,
}

impl Answered {
    /// Passes the answer on.
    pub(crate) fn tell(self, answer: TokenAnswer) {
        // Whoever asked may have left.
        let _ = self.waits.send(answer);
    }
}

#[derive(Default)]
struct Desk {
    asked: HashMap<u64, Asked>,
    next_number: u64,
    /// The control process that answered last.
    issuer: Option<SocketAddr>,
    /// When the present second began, and the requests in it.
    second: (Millis, u32),
}

impl Desk {
    fn has_place(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.second.0) >= SECOND_MS {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        self.second.1 <= MOST_REQUESTS
    }

    fn is_silent(&self, now: Millis) -> bool {
        self.asked.values().any(|one| one.is_overdue(now))
    }
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

    /// Whether control has left a request unanswered for longer than a token lasts. After a
    /// while it is asked again.
    pub fn is_silent(&self, now: Millis) -> bool {
        let mut desk = self.desk();
        desk.asked
            .retain(|_, one| now.saturating_sub(one.at) < ASKED_MS);
        desk.is_silent(now)
    }

    /// Asks control; what is returned resolves with its answer.
    pub fn ask(
        &self,
        now: Millis,
        request: TokenRequest,
    ) -> Option<oneshot::Receiver<TokenAnswer>> {
        let mut desk = self.desk();
        if !desk.has_place(now) {
            return None;
        }
        let number = desk.next_number;
        desk.next_number += 1;
        let (waits, answer) = oneshot::channel();
        let asked = Asked {
            at: now,
            request: request.clone(),
            waits,
        };
        desk.asked.insert(number, asked);
        let to = desk.issuer;
        drop(desk);
        let note = LimitNote::Token {
            to,
            number,
            request,
        };
        // Without a connection to control there is nobody to ask.
        self.notes.send(note).ok()?;
        Some(answer)
    }

    /// The control process `from` answered.
    pub(crate) fn answered(&self, from: SocketAddr, number: u64) -> Option<Answered> {
        let mut desk = self.desk();
        desk.issuer = Some(from);
        let asked = desk.asked.remove(&number)?;
        Some(Answered {
            request: asked.request,
            asked_at: asked.at,
            waits: asked.waits,
        })
    }

    /// Control is silent: the next request goes to all of its processes.
    pub fn forget_issuer(&self) {
        self.desk().issuer = None;
    }

    /// Tells control what a back end named.
    pub fn tell(&self, news: LimitNews) {
        // Without a connection to control there is nobody to tell.
        let _ = self.notes.send(LimitNote::News(news));
    }

    /// What control is told, from now on.
    pub fn notes(&self) -> broadcast::Receiver<LimitNote> {
        self.notes.subscribe()
    }
}

/// The token of a verdict on a request that was made at `asked_at`.
pub(crate) fn token_of(
    verdict: &TokenVerdict,
    request: &TokenRequest,
    asked_at: Millis,
) -> TokenAnswer {
    match verdict {
        TokenVerdict::Issued => TokenAnswer::Issued(SendToken {
            backend: request.backend,
            valid_until: asked_at + TOKEN_LIFETIME_MS,
        }),
        TokenVerdict::Denied { again_in_ms, rate } => TokenAnswer::Denied {
            again_in_ms: *again_in_ms,
            rate: *rate,
        },
        TokenVerdict::Lifted { .. } => TokenAnswer::Lifted,
    }
}

//! Requests tokens for rate-limited back ends from control.

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

/// Messages queued for a slow connection to control; further ones replace the oldest.
const MESSAGE_QUEUE_LENGTH: usize = 64;

/// A message to control about rate limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateLimitMessage {
    /// A back end announced a limit or lifted it.
    Update(RateLimitUpdate),
    /// Requests a token.
    Token {
        /// The control process that answered last; without one, the request goes to all.
        to: Option<SocketAddr>,
        /// Number of the token request.
        number: u64,
        /// The token request.
        request: TokenRequest,
    },
}

/// Answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAnswer {
    /// The request may be sent to the back end.
    Issued(SendToken),
    /// No token is available at the moment.
    Denied {
        /// When to request a token again, in milliseconds.
        again_in_ms: Millis,
        /// The rate at which tokens are issued.
        rate: Rate,
    },
    /// The back end has lifted its limit.
    Lifted,
}

impl TokenAnswer {
    /// Returns the name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            TokenAnswer::Issued(_) => "issued",
            TokenAnswer::Denied { .. } => "denied",
            TokenAnswer::Lifted => "lifted",
        }
    }
}

/// A token request that control has answered.
pub(crate) struct AnsweredRequest {
    pub(crate) request: SentTokenRequest,
    reply: Option<oneshot::Sender<TokenAnswer>>,
}

impl AnsweredRequest {
    /// Delivers the answer to the request that waits for it.
    pub(crate) fn deliver(self, answer: TokenAnswer) {
        if let Some(reply) = self.reply {
            // The waiting request may have been cancelled.
            let _ = reply.send(answer);
        }
    }
}

#[derive(Default)]
struct PendingRequests {
    outstanding: OutstandingTokenRequests,
    waiters: HashMap<u64, oneshot::Sender<TokenAnswer>>,
    /// The control process that answered last.
    issuer: Option<SocketAddr>,
}

/// Token requests of this daemon.
pub struct TokenRequests {
    messages: broadcast::Sender<RateLimitMessage>,
    pending: Mutex<PendingRequests>,
}

impl Default for TokenRequests {
    fn default() -> TokenRequests {
        TokenRequests {
            messages: broadcast::Sender::new(MESSAGE_QUEUE_LENGTH),
            pending: Mutex::default(),
        }
    }
}

impl TokenRequests {
    fn pending(&self) -> MutexGuard<'_, PendingRequests> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether control leaves token requests unanswered.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.pending().outstanding.is_silent(now)
    }

    /// Requests a token from control. The returned receiver resolves with the answer. While
    /// control does not answer, only occasional probes are sent, and no request waits.
    pub fn ask(
        &self,
        now: Millis,
        request: TokenRequest,
    ) -> Option<oneshot::Receiver<TokenAnswer>> {
        let mut pending = self.pending();
        let decision = pending.outstanding.ask(now, request.clone());
        pending.waiters.retain(|_, reply| !reply.is_closed());
        let (number, answer) = match decision {
            TokenRequestMode::Await(number) => {
                let (reply, answer) = oneshot::channel();
                pending.waiters.insert(number, reply);
                (number, Some(answer))
            }
            TokenRequestMode::Probe(number) => {
                // Another control process may lead.
                pending.issuer = None;
                (number, None)
            }
            TokenRequestMode::Skip => return None,
        };
        let to = pending.issuer;
        drop(pending);
        let message = RateLimitMessage::Token {
            to,
            number,
            request,
        };
        // The send fails when there is no connection to control.
        self.messages.send(message).ok()?;
        answer
    }

    /// Removes the token request that the control process `from` answered, and returns it.
    pub(crate) fn answered(&self, from: SocketAddr, number: u64) -> Option<AnsweredRequest> {
        let mut pending = self.pending();
        pending.issuer = Some(from);
        let request = pending.outstanding.answered(number)?;
        let reply = pending.waiters.remove(&number);
        Some(AnsweredRequest { request, reply })
    }

    /// Reports to control the rate limit that a back end announced.
    pub fn report(&self, update: RateLimitUpdate) {
        // The send fails when there is no connection to control; the report is then dropped.
        let _ = self.messages.send(RateLimitMessage::Update(update));
    }

    /// Subscribes to messages for control.
    pub fn messages(&self) -> broadcast::Receiver<RateLimitMessage> {
        self.messages.subscribe()
    }
}

/// Converts a verdict on `sent` to the answer for the waiting request.
pub(crate) fn answer_of(verdict: &TokenVerdict, sent: &SentTokenRequest) -> TokenAnswer {
    match verdict {
        TokenVerdict::Issued => TokenAnswer::Issued(SendToken {
            backend: sent.request.backend,
            valid_until: sent.sent_at + TOKEN_LIFETIME_MS,
        }),
        TokenVerdict::Denied { again_in_ms, rate } => TokenAnswer::Denied {
            again_in_ms: *again_in_ms,
            rate: *rate,
        },
        TokenVerdict::Lifted { .. } => TokenAnswer::Lifted,
    }
}

//! Obtains tokens for requests to rate-limited back ends.

use std::time::Duration;

use coursestand_model::BackendId;
use coursestand_routing::SendToken;
use coursestand_routing::rate_limit::TOKEN_LIFETIME_MS;
use tokio::time::{Instant, timeout_at};

use super::{Exchange, LOG, PreparedRequest};
use crate::phases::{Attempts, Target};
use crate::tokens::TokenAnswer;

/// Divisor of the time left that gives the limit for waiting for tokens.
const WAIT_TIME_DIVISOR: u32 = 4;
/// Back ends for which tokens are requested before one attempt.
const MAX_TOKEN_REQUESTS: usize = 2;

impl Exchange {
    /// Obtains a token for the next attempt if that would go to a rate-limited back end and
    /// control issues one. Without a token the request goes to another back end.
    pub(super) async fn obtain_token(
        &self,
        prepared: &PreparedRequest,
        attempts: &Attempts,
    ) -> Option<SendToken> {
        let max_wait = Duration::from_millis(TOKEN_LIFETIME_MS);
        let wait_until = Instant::now() + max_wait.min(prepared.time_left() / WAIT_TIME_DIVISOR);
        for _ in 0..MAX_TOKEN_REQUESTS {
            let pending = self.phases.ask_for_token(&prepared.matched, attempts)?;
            let answer = timeout_at(wait_until, pending.answer).await;
            let answer = answer.ok().and_then(Result::ok);
            self.note_token_answer(prepared, &pending.instance, answer);
            match answer {
                Some(TokenAnswer::Issued(token)) => return Some(token),
                Some(_) => {}
                None => return None,
            }
        }
        None
    }

    /// Counts a request that is sent within the daemon's own share of a rate limit.
    pub(super) fn note_own_share(&self, target: &Target, attempts: &Attempts) {
        if target.admitted_until.is_some() && attempts.token.is_none() {
            let counter = self.metrics.rate_tokens.with_label_values(&["own-part"]);
            counter.inc();
        }
    }

    fn note_token_answer(
        &self,
        prepared: &PreparedRequest,
        instance: &BackendId,
        answer: Option<TokenAnswer>,
    ) {
        let name = answer.as_ref().map_or("unanswered", TokenAnswer::name);
        self.metrics.rate_tokens.with_label_values(&[name]).inc();
        let (again_in_ms, rate) = match answer {
            Some(TokenAnswer::Issued(_)) => return,
            Some(TokenAnswer::Denied { again_in_ms, rate }) => (Some(again_in_ms), Some(rate)),
            _ => (None, None),
        };
        log::info!(target: LOG, request = prepared.id, instance = instance.as_str(),
            service = prepared.matched.service.as_str(),
            limit_per_second = rate.map(|rate| rate.as_per_second()),
            again_in_ms = again_in_ms, outcome = name;
            "no token for a rate-limited back end");
    }
}

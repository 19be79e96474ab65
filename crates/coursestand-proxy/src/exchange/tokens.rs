//! Obtains tokens for requests to rate-limited back ends.

use std::time::Duration;

use coursestand_model::BackendId;
use coursestand_routing::SendToken;
use coursestand_routing::rate_limit::TOKEN_LIFETIME_MS;
use tokio::time::{Instant, timeout_at};

use super::{Exchange, LOG, Prepared};
use crate::phases::{Attempts, Target};
use crate::tokens::TokenAnswer;

/// Part of the time left that waiting for tokens may take.
const WAIT_PART: u32 = 4;
/// Back ends for which tokens are asked before one attempt.
const MOST_ASKED: usize = 2;

impl Exchange {
    /// The token for the next attempt, if it would go to a rate-limited back end and control
    /// issues one. Without one the request goes elsewhere.
    pub(super) async fn obtain_token(
        &self,
        prepared: &Prepared,
        attempts: &Attempts,
    ) -> Option<SendToken> {
        let longest = Duration::from_millis(TOKEN_LIFETIME_MS);
        let give_up = Instant::now() + longest.min(prepared.left() / WAIT_PART);
        for _ in 0..MOST_ASKED {
            let asked = self.phases.ask_for_token(&prepared.matched, attempts)?;
            let answer = timeout_at(give_up, asked.answer).await;
            let answer = answer.ok().and_then(Result::ok);
            self.note_token_answer(prepared, &asked.instance, answer);
            match answer {
                Some(TokenAnswer::Issued(token)) => return Some(token),
                Some(_) => {}
                None => return None,
            }
        }
        None
    }

    /// Counts a request that is sent by the daemon's own part of a rate limit.
    pub(super) fn note_own_part(&self, target: &Target, attempts: &Attempts) {
        if target.admitted_until.is_some() && attempts.token.is_none() {
            let counter = self.metrics.rate_tokens.with_label_values(&["own-part"]);
            counter.inc();
        }
    }

    fn note_token_answer(
        &self,
        prepared: &Prepared,
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

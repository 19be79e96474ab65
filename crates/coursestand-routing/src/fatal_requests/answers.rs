//! Counts of recent answers by request.

use std::num::NonZeroUsize;

use coursestand_model::Millis;
use lru::LruCache;

use super::Fingerprint;

/// Answers by this daemon to one request within a window from which the request counts as
/// frequently answered.
const MIN_FREQUENT_ANSWERS: u32 = 3;
const ANSWER_WINDOW_MS: Millis = 10_000;
/// Requests whose answers are counted; each takes about 64 bytes.
const MAX_TRACKED_REQUESTS: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();

/// Answers to one request in the current window and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCount {
    window_started_at: Millis,
    count: u32,
    previous: u32,
}

impl AnswerCount {
    fn record(&mut self, now: Millis) {
        let age = now.saturating_sub(self.window_started_at);
        if age > ANSWER_WINDOW_MS {
            let is_next = age <= 2 * ANSWER_WINDOW_MS;
            self.previous = if is_next { self.count } else { 0 };
            self.count = 0;
            self.window_started_at = now;
        }
        self.count = self.count.saturating_add(1);
    }

    fn recent(&self, now: Millis) -> u32 {
        match now.saturating_sub(self.window_started_at) {
            age if age <= ANSWER_WINDOW_MS => self.previous.max(self.count),
            age if age <= 2 * ANSWER_WINDOW_MS => self.count,
            _ => 0,
        }
    }
}

/// Answers by this daemon, by request; the least recently answered requests are evicted.
#[derive(Clone, Debug)]
pub(super) struct RecentAnswers(LruCache<Fingerprint, AnswerCount>);

impl Default for RecentAnswers {
    fn default() -> RecentAnswers {
        RecentAnswers(LruCache::new(MAX_TRACKED_REQUESTS))
    }
}

impl RecentAnswers {
    /// Counts an answer to the request.
    pub(super) fn record(&mut self, now: Millis, request: Fingerprint) {
        let answers = self.0.get_or_insert_mut(request, AnswerCount::default);
        answers.record(now);
    }

    /// Returns whether the request was answered several times recently. Such a request is in
    /// flight at most crashes, so that a single crash is no evidence against it.
    pub(super) fn is_frequent(&self, now: Millis, request: Fingerprint) -> bool {
        let answers = self.0.peek(&request);
        answers.is_some_and(|answers| answers.recent(now) >= MIN_FREQUENT_ANSWERS)
    }
}

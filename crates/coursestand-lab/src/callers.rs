//! A caller that follows the published interface: looks up at any entry daemon which
//! daemons to use, caches the answer for its lifetime, and retries a request only if it
//! was not run or may run twice.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coursestand_gateway::answer::RETRY_AFTER_MS;
use coursestand_gateway::callers::LookupAnswer;
use coursestand_model::{Outcome, ServiceId, headers};

use crate::backend::{ANSWER_BYTES, TOKEN, WORK_MS, WorkAnswer};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 8;

/// A request to send.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service.
    pub service: ServiceId,
    /// Address of the client.
    pub client: String,
    /// Unique token, which the answer repeats.
    pub token: String,
    /// Idempotency key of a request that must not run more than once.
    pub key: Option<String>,
    /// Length of the body.
    pub body_bytes: usize,
    /// Length of the padding that the answer should have.
    pub answer_bytes: usize,
    /// Work time in milliseconds that replaces the back end's default.
    pub work_ms: Option<u64>,
    /// Time for all attempts together, from the planned start.
    pub timeout: Duration,
}

/// Outcome of a request after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was complete and belongs to the request.
    Answered,
    /// The answer belongs to another request, or is incomplete.
    WrongAnswer(String),
    /// The request was not run, as the answer states.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A request with its outcome.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// The request.
    pub request: CallerRequest,
    /// Its outcome.
    pub outcome: RequestOutcome,
    /// Number of attempts that were not run.
    pub not_run_attempts: usize,
    /// Whether the outcome of any attempt was unknown.
    pub any_unknown: bool,
    /// Time from the planned start to the end.
    pub elapsed: Duration,
}

struct CachedLookup {
    answer: LookupAnswer,
    expires_at: Instant,
}

/// Sends requests to entry daemons; look-ups are cached by service and client address.
pub struct Caller {
    client: reqwest::Client,
    entry_points: Vec<String>,
    latency: Duration,
    cache: Mutex<std::collections::HashMap<(ServiceId, String), Arc<CachedLookup>>>,
}

impl Caller {
    /// Returns a caller that looks up at `entry_points`; `latency` is the one-way latency
    /// between the client and its zone.
    pub fn new(entry_points: Vec<String>, latency: Duration) -> Caller {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(Duration::from_millis(500))
            .build()
            .unwrap_or_default();
        Caller {
            client,
            entry_points,
            latency,
            cache: Mutex::default(),
        }
    }

    /// Returns the daemons to use, from the cache or by a look-up. Returns `None` if no
    /// entry point answers.
    pub async fn lookup(&self, service: &ServiceId, client: &str) -> Option<LookupAnswer> {
        let key = (service.clone(), client.to_owned());
        let cached = self
            .cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&key)
            .cloned();
        if let Some(cached) = cached
            && Instant::now() < cached.expires_at
        {
            return Some(cached.answer.clone());
        }
        let start = key_hash(client) % self.entry_points.len().max(1);
        let points = self.entry_points.iter().cycle().skip(start);
        for point in points.take(self.entry_points.len()) {
            let url = format!("http://{point}/v1/lookup?service={service}&client={client}");
            let sent = self.client.get(url).timeout(Duration::from_secs(1)).send();
            let Ok(answer) = sent.await else {
                continue;
            };
            let Ok(answer) = answer.json::<LookupAnswer>().await else {
                continue;
            };
            let expires_at = Instant::now() + Duration::from_millis(answer.lifetime_ms);
            let cached = Arc::new(CachedLookup {
                answer: answer.clone(),
                expires_at,
            });
            self.cache
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(key, cached);
            return Some(answer);
        }
        None
    }

    /// Sends a request, with retries. Its timeout runs from `planned_start`.
    pub async fn run(&self, request: CallerRequest, planned_start: Instant) -> FinishedRequest {
        let deadline = planned_start + request.timeout;
        let mut not_run_attempts = 0;
        let mut any_unknown = false;
        let mut outcome = RequestOutcome::NotRun;
        for attempt in 0..MAX_ATTEMPTS {
            let attempted = self.attempt(&request, attempt, deadline).await;
            outcome = attempted.outcome;
            match outcome {
                RequestOutcome::NotRun => not_run_attempts += 1,
                RequestOutcome::Unknown => any_unknown = true,
                RequestOutcome::Answered | RequestOutcome::WrongAnswer(_) => break,
            }
            // A retry is safe: a request with a key runs at most once, and one without a
            // key belongs to a service that allows it to run twice.
            let next_attempt_at = Instant::now() + attempted.retry_after;
            if next_attempt_at >= deadline {
                break;
            }
            tokio::time::sleep_until(next_attempt_at.into()).await;
        }
        if any_unknown && outcome == RequestOutcome::NotRun {
            outcome = RequestOutcome::Unknown;
        }
        FinishedRequest {
            request,
            outcome,
            not_run_attempts,
            any_unknown,
            elapsed: planned_start.elapsed(),
        }
    }

    async fn attempt(
        &self,
        request: &CallerRequest,
        attempt: usize,
        deadline: Instant,
    ) -> AttemptResult {
        let Some(lookup) = self.lookup(&request.service, &request.client).await else {
            return AttemptResult::not_run(Duration::from_millis(500));
        };
        let count = lookup.daemons.len();
        if count == 0 {
            return AttemptResult::not_run(Duration::from_millis(500));
        }
        let daemon = &lookup.daemons[attempt % count];
        tokio::time::sleep(self.latency).await;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let sent = self
            .http_request(request, &daemon.address, remaining)
            .send();
        let attempted = match tokio::time::timeout(remaining, sent).await {
            Err(_) => AttemptResult::unknown(),
            // Nothing was sent: the next daemon is tried at once.
            Ok(Err(error)) if error.is_connect() => AttemptResult::not_run(Duration::ZERO),
            Ok(Err(_)) => AttemptResult::unknown(),
            Ok(Ok(answer)) => read(request, answer, remaining).await,
        };
        tokio::time::sleep(self.latency).await;
        attempted
    }

    fn http_request(
        &self,
        request: &CallerRequest,
        address: &str,
        remaining: Duration,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{address}/v1/services/{}/work", request.service);
        let mut builder = if request.key.is_some() || request.body_bytes > 0 {
            self.client.post(url).body(vec![b'p'; request.body_bytes])
        } else {
            self.client.get(url)
        };
        if let Some(key) = &request.key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(work_ms) = request.work_ms {
            builder = builder.header(WORK_MS, work_ms.to_string());
        }
        builder
            .header(TOKEN, &request.token)
            .header(headers::CLIENT, &request.client)
            .header(headers::DEADLINE, remaining.as_millis().to_string())
            .header(ANSWER_BYTES, request.answer_bytes.to_string())
    }
}

struct AttemptResult {
    outcome: RequestOutcome,
    retry_after: Duration,
}

impl AttemptResult {
    fn not_run(retry_after: Duration) -> AttemptResult {
        AttemptResult {
            outcome: RequestOutcome::NotRun,
            retry_after,
        }
    }

    fn unknown() -> AttemptResult {
        AttemptResult {
            outcome: RequestOutcome::Unknown,
            retry_after: Duration::from_millis(200),
        }
    }
}

async fn read(
    request: &CallerRequest,
    answer: reqwest::Response,
    remaining: Duration,
) -> AttemptResult {
    let reported = answer
        .headers()
        .get(headers::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .and_then(Outcome::parse);
    let retry_after = answer
        .headers()
        .get(RETRY_AFTER_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(Duration::from_secs(1), Duration::from_millis);
    match reported {
        Some(Outcome::NotRun) => AttemptResult::not_run(retry_after),
        Some(Outcome::Completed) => {
            let body = tokio::time::timeout(remaining, answer.bytes()).await;
            let Ok(Ok(body)) = body else {
                // The caller detected a truncated or late answer.
                return AttemptResult::unknown();
            };
            AttemptResult {
                outcome: verify(request, &body),
                retry_after,
            }
        }
        Some(Outcome::Unknown) | None => AttemptResult::unknown(),
    }
}

/// Checks that the answer belongs to this request and is complete.
fn verify(request: &CallerRequest, body: &[u8]) -> RequestOutcome {
    let Ok(answer) = serde_json::from_slice::<WorkAnswer>(body) else {
        return RequestOutcome::WrongAnswer(format!(
            "{} bytes that are not a valid answer",
            body.len()
        ));
    };
    let is_token_equal = answer.token == request.token;
    let is_complete = answer.padding.len() == request.answer_bytes
        && answer.received == request.body_bytes as u64;
    if is_token_equal && is_complete {
        RequestOutcome::Answered
    } else {
        RequestOutcome::WrongAnswer(format!("answer to {} for {}", answer.token, request.token))
    }
}

fn key_hash(text: &str) -> usize {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish() as usize
}

//! Relays a request to another daemon, and serves requests that other daemons relay.

use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::{RelayEndpoint, RelayPeer};
use coursestand_model::RegionId;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::{ANSWER_GRACE, CollectedAnswer};
use super::{BackendResponse, Exchange, LOG, PreparedRequest};
use crate::answer::{AnswerBody, Reason, local_response};
use crate::discard::discard;
use crate::guarded_body::CallerBody;
use crate::headers::{closes_connection, keep_alive_of, strip_answer_headers};
use crate::phases::{AttemptFailure, Attempts};
use crate::pool::{Connection, Pool, RequestBody};
use crate::relay::{PeerChoice, RelayOutcome, RelayPeers, RelayedRequest, mark_outcome};
use crate::request_log::RequestLog;
use crate::streamed_body::StreamedBody;
use crate::verdict::STATUSES_THAT_PROMISE_NOT_RUN;

/// Time within which another daemon must accept a connection: more than two round trips between
/// the farthest regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Relays requests to other daemons and accepts requests from them.
pub struct Relay {
    peers: Arc<RelayPeers>,
    /// Connections to other daemons by name and token, which is that of one incarnation.
    pool: Arc<Pool<(String, u128)>>,
    name: String,
    region: RegionId,
    token: u128,
}

impl Relay {
    /// Creates the relay of the daemon with this name and region, which accepts relayed requests
    /// that carry `token`.
    pub fn new(peers: Arc<RelayPeers>, name: String, region: RegionId, token: u128) -> Relay {
        Relay {
            peers,
            pool: Arc::default(),
            name,
            region,
            token,
        }
    }
}

/// How relaying a request to one daemon ended.
enum RelayResult {
    /// A back end answered there.
    Forwarded(Box<BackendResponse>),
    /// The daemon generated this answer itself.
    Local(Box<BackendResponse>),
    /// The daemon did not run the request, and another one may be able to.
    NotHandled,
    /// The request may have run there, and its answer was lost.
    Lost,
    /// The request may have run there, and no answer was received in time.
    TimedOut,
}

impl Exchange {
    /// Sets the relay; called once.
    pub fn set_relay(&self, relay: Relay) {
        // Fails only if it is set already.
        let _ = self.relay.set(relay);
    }

    /// Returns whether callers should use other daemons, because this one relays their requests
    /// to them.
    pub fn leads_callers_away(&self) -> bool {
        self.relay.get().is_some_and(|relay| {
            self.phases.is_partitioned() && relay.peers.are_near(&relay.region)
        })
    }

    /// Closes idle connections to other daemons that have rested for too long.
    pub fn close_idle_relays(&self) {
        if let Some(relay) = self.relay.get() {
            relay.pool.close_idle(|_| true);
        }
    }

    /// Answers one request that another daemon relayed.
    pub async fn serve_relayed(&self, mut request: Request<CallerBody>) -> Response<AnswerBody> {
        let token = self.relay.get().map(|relay| relay.token);
        let relayed = token.and_then(|token| RelayedRequest::take(token, request.headers_mut()));
        let Some(relayed) = relayed else {
            log::warn!(target: LOG, "a relayed request without this daemon's token was rejected");
            discard(request.into_body());
            let mut response = Response::new(Either::Left(Full::default()));
            *response.status_mut() = StatusCode::FORBIDDEN;
            mark_outcome(&mut response, None);
            return response;
        };
        let (mut response, result) = if relayed.catalog_version > self.phases.catalog_version() {
            discard(request.into_body());
            (local_response(Reason::OldCatalog), Err(Reason::OldCatalog))
        } else {
            self.answer(request, Some(relayed)).await
        };
        let outcome = result.map_or_else(Reason::name, |()| "forwarded");
        self.metrics.relayed.with_label_values(&[outcome]).inc();
        mark_outcome(&mut response, Some(result));
        response
    }

    /// Relays a request that this daemon can't send to a back end. Returns `None` if it may not
    /// be relayed, or if no daemon is known that it could be relayed to.
    pub(super) async fn relay(
        &self,
        prepared: &mut PreparedRequest,
        attempts: &mut Attempts,
        request_log: &mut RequestLog<'_>,
    ) -> Option<Result<BackendResponse, Reason>> {
        if prepared.relayed.is_some() {
            self.phases.relayed(&prepared.matched);
            return Some(Err(lost_or(attempts, Reason::Partitioned)));
        }
        let relay = self.relay.get().filter(|relay| relay.peers.count() > 0)?;
        let is_repeatable = prepared.matched.route.route.kind.is_repeatable();
        if prepared.body.is_spent() || (attempts.may_have_run && !is_repeatable) {
            return Some(Err(lost_or(attempts, Reason::Partitioned)));
        }
        self.phases.relayed(&prepared.matched);
        let mut tried: Vec<String> = Vec::new();
        while !prepared.body.is_spent() {
            let route = &prepared.matched.route.route;
            let chosen = relay.peers.choose(
                &prepared.matched.service,
                &relay.region,
                &route.allowed_regions,
                &tried,
            );
            let peer = match chosen {
                Ok(peer) => peer,
                Err(PeerChoice::UnableToo) => {
                    return Some(Err(lost_or(attempts, Reason::NoBackend)));
                }
                Err(PeerChoice::NoPeer) => break,
            };
            request_log.relayed_to(&peer.name);
            let result = self.relay_to(relay, &peer, prepared, attempts).await;
            tried.push(peer.name);
            match result {
                RelayResult::Forwarded(response) => return Some(Ok(*response)),
                RelayResult::Local(response) => {
                    request_log.answered_by_peer();
                    return Some(deliver(attempts, *response));
                }
                RelayResult::NotHandled => {}
                RelayResult::TimedOut => return Some(Err(Reason::TimedOut)),
                RelayResult::Lost => {
                    attempts.arrived += 1;
                    attempts.may_have_run = true;
                    let retry = self.decide_retry(prepared, attempts, AttemptFailure::Lost);
                    self.metrics.count_retry(&prepared.matched.service, retry);
                    if !retry.is_granted() {
                        return Some(Err(Reason::AnswerLost));
                    }
                }
            }
        }
        Some(Err(lost_or(attempts, Reason::Partitioned)))
    }

    /// Relays the request to one daemon.
    async fn relay_to(
        &self,
        relay: &Relay,
        peer: &RelayPeer,
        prepared: &mut PreparedRequest,
        attempts: &Attempts,
    ) -> RelayResult {
        let started = Instant::now();
        let _outstanding = RelayPeers::start(&relay.peers, &peer.name);
        let result = self.exchange_with(relay, peer, prepared, attempts).await;
        let outcome = match &result {
            RelayResult::Forwarded(_) => "forwarded",
            RelayResult::Local(_) => "answered-there",
            RelayResult::NotHandled => "not-handled",
            RelayResult::Lost => "answer-lost",
            RelayResult::TimedOut => "timed-out",
        };
        self.metrics.relays.with_label_values(&[outcome]).inc();
        log::info!(target: LOG, request = prepared.id, peer = peer.name,
            service = prepared.matched.service.as_str(), attempts = attempts.arrived,
            took_ms = started.elapsed().as_millis() as u64,
            left_ms = prepared.time_left().as_millis() as u64, outcome = outcome;
            "a request was relayed to another daemon");
        result
    }

    async fn exchange_with(
        &self,
        relay: &Relay,
        peer: &RelayPeer,
        prepared: &mut PreparedRequest,
        attempts: &Attempts,
    ) -> RelayResult {
        let key = (peer.name.clone(), peer.endpoint.token);
        let Some(mut request) = self.request_to(relay, &peer.endpoint, prepared, attempts) else {
            return RelayResult::Lost;
        };
        let (response, connection) = loop {
            let connection = match relay.pool.take(&key, prepared.id.as_deref()) {
                Some(connection) => Ok(connection),
                None => {
                    relay
                        .pool
                        .open(peer.endpoint.address, CONNECT_TIMEOUT)
                        .await
                }
            };
            let Ok(mut connection) = connection else {
                relay.peers.note_unreachable(&peer.name);
                prepared.body.give_back(request.into_body());
                return RelayResult::NotHandled;
            };
            self.refresh_deadline(prepared, &mut request);
            let sending = connection.send(request);
            let mut error = match self.within_deadline(prepared, sending).await {
                Ok(Ok(response)) => break (response, connection),
                Ok(Err(error)) => error,
                Err(_) => return RelayResult::TimedOut,
            };
            // A request that is handed back whole was not written.
            match error.take_message() {
                Some(unsent) if connection.is_reused => request = unsent,
                Some(unsent) => {
                    relay.peers.note_unreachable(&peer.name);
                    prepared.body.give_back(unsent.into_body());
                    return RelayResult::NotHandled;
                }
                None => {
                    relay.peers.note_unreachable(&peer.name);
                    return RelayResult::Lost;
                }
            }
        };
        self.receive_from(relay, peer, key, prepared, response, connection)
            .await
    }

    /// Reads the answer of another daemon.
    async fn receive_from(
        &self,
        relay: &Relay,
        peer: &RelayPeer,
        key: (String, u128),
        prepared: &PreparedRequest,
        response: Response<Incoming>,
        connection: Connection,
    ) -> RelayResult {
        let (mut head, body) = response.into_parts();
        let outcome = RelayOutcome::take(&mut head.headers);
        let service = &prepared.matched.service;
        if outcome.permits_other_peer() {
            if outcome.has_no_back_end() {
                relay.peers.note_unable(&peer.name, service);
            } else {
                relay.peers.note_unreachable(&peer.name);
            }
            log::info!(target: LOG, request = prepared.id, peer = peer.name,
                outcome:? = outcome; "another daemon could not serve a relayed request");
            return RelayResult::NotHandled;
        }
        if outcome == RelayOutcome::Unknown {
            return RelayResult::Lost;
        }
        relay.peers.note_able(&peer.name, service);
        let collected = match self.collect_answer(prepared, body).await {
            Ok(Ok(collected)) => collected,
            Ok(Err(_)) => return RelayResult::Lost,
            Err(_) => return RelayResult::TimedOut,
        };
        let keeps_open = !closes_connection(&head.headers);
        let keep_alive = keep_alive_of(&head.headers);
        strip_answer_headers(&prepared.parts.method, &mut head.headers);
        let body = match collected {
            CollectedAnswer::Complete(bytes) => {
                connection.answer_completed();
                if keeps_open {
                    let pool = Arc::clone(&relay.pool);
                    tokio::spawn(async move { pool.give_back(key, connection, keep_alive).await });
                }
                Either::Left(Full::new(bytes))
            }
            CollectedAnswer::Partial {
                first,
                rest,
                memory,
            } => {
                let ends_at = prepared.deadline.latest + ANSWER_GRACE;
                Either::Right(StreamedBody::new(first, rest, connection, ends_at, memory))
            }
        };
        let response = Box::new(BackendResponse {
            status: head.status,
            headers: head.headers,
            body,
        });
        match outcome {
            RelayOutcome::Forwarded => RelayResult::Forwarded(response),
            _ => RelayResult::Local(response),
        }
    }

    /// Returns the request for another daemon, unless its body is spent.
    fn request_to(
        &self,
        relay: &Relay,
        endpoint: &RelayEndpoint,
        prepared: &mut PreparedRequest,
        attempts: &Attempts,
    ) -> Option<Request<RequestBody>> {
        let mut request = Request::new(prepared.body.take()?);
        *request.method_mut() = prepared.parts.method.clone();
        *request.uri_mut() = prepared.parts.uri.clone();
        let mut headers: HeaderMap = prepared.parts.headers.clone();
        let relayed = RelayedRequest {
            origin: relay.name.clone(),
            attempts: attempts.arrived,
            catalog_version: self.phases.catalog_version(),
        };
        relayed.write(endpoint, &mut headers);
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Returns an answer that another daemon generated for the caller. A promise that the request was not run
/// holds only for that daemon.
fn deliver(attempts: &Attempts, response: BackendResponse) -> Result<BackendResponse, Reason> {
    let promises_not_run = STATUSES_THAT_PROMISE_NOT_RUN.contains(&response.status);
    match promises_not_run && attempts.may_have_run {
        true => Err(Reason::AnswerLost),
        false => Ok(response),
    }
}

/// Returns the reason for a request that was not relayed successfully. Once any attempt may have
/// run, the answer must not promise that none did.
fn lost_or(attempts: &Attempts, reason: Reason) -> Reason {
    match attempts.may_have_run {
        true => Reason::AnswerLost,
        false => reason,
    }
}

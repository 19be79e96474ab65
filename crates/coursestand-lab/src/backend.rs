//! An emulated back end: request slots, a connection limit, cold caches after the start,
//! and the published protocol for probes, cancellation, deadlines, load shedding and
//! leaving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coursestand_gateway::backend_edge::ProbeAnswer;
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{ZoneId, headers};
use poem::http::{HeaderMap, StatusCode};
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path};
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::counting_acceptor::{ConnectionCount, CountingAcceptor};
use crate::latencies::Latencies;
use crate::records::{Ending, Record, Records};

/// Header with the caller's unique token of a request.
pub const TOKEN: &str = "x-token";
/// Header with the work time in milliseconds that replaces the back end's default.
pub const WORK_MS: &str = "x-work-ms";
/// Header with the length of the padding that the answer should have, in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// Number of requests after a start that find a cold cache.
const COLD_REQUESTS: u64 = 20;
/// Factor by which a cold cache prolongs a request.
const COLD_FACTOR: u32 = 4;
/// Set-up time of a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);

/// Answer of an emulated back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The token of the request.
    pub token: String,
    /// The back end.
    pub backend: String,
    /// Length of the request's body in bytes.
    pub received: u64,
    /// Padding of the requested length.
    pub padding: String,
}

struct State {
    description: PlatformBackend,
    work_time: Duration,
    probe_time: Duration,
    latencies: Latencies,
    records: Records,
    running: AtomicU32,
    served: AtomicU64,
    connections: ConnectionCount,
    leaving_since: Mutex<Option<u64>>,
    cancellations: Mutex<HashMap<String, Arc<Notify>>>,
}

/// Response times of an emulated back end.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Work time of a request with a warm cache.
    pub work_time: Duration,
    /// Time to answer a probe.
    pub probe_time: Duration,
}

/// A running emulated back end.
pub struct EmulatedBackend {
    state: Arc<State>,
    task: JoinHandle<()>,
    killed: watch::Sender<bool>,
}

impl EmulatedBackend {
    /// Starts the back end that `description` states.
    pub async fn start(
        description: PlatformBackend,
        behaviour: Behaviour,
        latencies: Latencies,
        records: Records,
    ) -> std::io::Result<EmulatedBackend> {
        let address: SocketAddr = description.address.parse().map_err(std::io::Error::other)?;
        let listener = TcpListener::bind(address).await?;
        let connections = ConnectionCount::default();
        let (killed, killed_receiver) = watch::channel(false);
        let acceptor = CountingAcceptor::new(
            TcpAcceptor::from_tokio(listener)?,
            Arc::clone(&connections),
            description.connections,
            CONNECT_TIME,
            killed_receiver,
        );
        let state = Arc::new(State {
            description,
            work_time: behaviour.work_time,
            probe_time: behaviour.probe_time,
            latencies,
            records,
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            connections,
            leaving_since: Mutex::new(None),
            cancellations: Mutex::default(),
        });
        let routes = routes(Arc::clone(&state));
        let task = tokio::spawn(async move {
            // Runs until the task is aborted.
            let _ = Server::new_with_acceptor(acceptor).run(routes).await;
        });
        Ok(EmulatedBackend {
            state,
            task,
            killed,
        })
    }

    /// Makes the back end report that it is leaving; it continues to serve.
    pub fn leave(&self) {
        let now = self.state.records.now_ms();
        let mut since = self
            .state
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert(now);
    }

    /// Stops the back end at once, aborts its running requests and resets its connections.
    pub fn kill(&self) {
        self.task.abort();
        self.killed.send_replace(true);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Returns the description of the back end with its current state.
    pub fn description(&self) -> PlatformBackend {
        PlatformBackend {
            state: self.state.backend_state(),
            ..self.state.description.clone()
        }
    }
}

impl Drop for EmulatedBackend {
    fn drop(&mut self) {
        self.kill();
    }
}

impl State {
    fn leaving_since(&self) -> Option<u64> {
        *self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn backend_state(&self) -> BackendState {
        if self.leaving_since().is_some() {
            BackendState::Leaving
        } else {
            BackendState::Live
        }
    }

    /// Records a request and starts it. Returns [`Ending::Shed`] if no slot is free.
    fn begin(self: &Arc<Self>, headers: &HeaderMap) -> Result<Run, Ending> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let has_slot = running <= self.description.slots;
        let now = self.records.now_ms();
        let position = self.records.add(Record {
            token: text(headers, TOKEN),
            request_id: text(headers, headers::REQUEST_ID),
            service: self.description.service.clone(),
            backend: self.description.id.clone(),
            zone: self.description.zone.clone(),
            origin: ZoneId(text(headers, headers::ORIGIN_ZONE)),
            started_ms: now,
            ended_ms: None,
            ending: Ending::Running,
            running,
            connections: self.connections.load(Ordering::SeqCst),
            leaving_for_ms: self.leaving_since().map(|since| now.saturating_sub(since)),
        });
        let run = Run {
            state: Arc::clone(self),
            position,
            request_id: text(headers, headers::REQUEST_ID),
            ending: Ending::Cancelled,
            cancelled: Arc::default(),
        };
        if !has_slot {
            run.end(Ending::Shed);
            return Err(Ending::Shed);
        }
        self.cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(run.request_id.clone(), Arc::clone(&run.cancelled));
        Ok(run)
    }

    fn work_time(&self, headers: &HeaderMap) -> Duration {
        if let Ok(work_ms) = text(headers, WORK_MS).parse() {
            return Duration::from_millis(work_ms);
        }
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        if served < COLD_REQUESTS {
            self.work_time * COLD_FACTOR
        } else {
            self.work_time
        }
    }
}

/// A running request; recorded as cancelled if dropped before [`Run::end`].
struct Run {
    state: Arc<State>,
    position: usize,
    request_id: String,
    ending: Ending,
    cancelled: Arc<Notify>,
}

impl Run {
    fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.state.records.end(self.position, self.ending);
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        self.state
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.request_id);
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn routes(state: Arc<State>) -> impl Endpoint {
    Route::new()
        .at("/probe", get(probe))
        .at("/cancel/:id", post(cancel))
        .at("/*path", work)
        .data(state)
}

#[handler]
async fn probe(state: Data<&Arc<State>>) -> Json<ProbeAnswer> {
    tokio::time::sleep(state.probe_time).await;
    Json(ProbeAnswer {
        epoch: state.description.epoch,
        state: state.backend_state(),
        running: state.running.load(Ordering::SeqCst),
    })
}

/// Cancels a request and answers once it has stopped.
#[handler]
async fn cancel(state: Data<&Arc<State>>, Path(id): Path<String>) -> StatusCode {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    loop {
        let cancelled = state
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned();
        let Some(cancelled) = cancelled else {
            return StatusCode::OK;
        };
        cancelled.notify_one();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[handler]
async fn work(state: Data<&Arc<State>>, request: &Request, body: Body) -> Response {
    let headers = request.headers();
    let entry_zone = ZoneId(text(headers, headers::ENTRY_ZONE));
    let one_way = state
        .latencies
        .between(&entry_zone, &state.description.zone);
    tokio::time::sleep(one_way).await;
    let run = match state.begin(headers) {
        Ok(run) => run,
        Err(_) => {
            return answer_head(&state, headers, StatusCode::SERVICE_UNAVAILABLE)
                .header(headers::SHED, "1")
                .finish();
        }
    };
    let deadline = text(headers, headers::DEADLINE)
        .parse()
        .map_or(Duration::from_secs(3600), Duration::from_millis);
    let cancelled = Arc::clone(&run.cancelled);
    let work = async {
        let received = body.into_bytes().await.map_or(0, |bytes| bytes.len());
        tokio::time::sleep(state.work_time(headers)).await;
        received as u64
    };
    let received = tokio::select! {
        received = tokio::time::timeout(deadline, work) => received,
        () = cancelled.notified() => {
            run.end(Ending::Cancelled);
            return answer_head(&state, headers, StatusCode::CONFLICT).finish();
        }
    };
    let Ok(received) = received else {
        run.end(Ending::Expired);
        return answer_head(&state, headers, StatusCode::GATEWAY_TIMEOUT).finish();
    };
    run.end(Ending::Completed);
    tokio::time::sleep(one_way).await;
    let padding = text(headers, ANSWER_BYTES).parse().unwrap_or(0);
    let answer = WorkAnswer {
        token: text(headers, TOKEN),
        backend: state.description.id.0.clone(),
        received,
        padding: "x".repeat(padding),
    };
    let content = serde_json::to_vec(&answer).unwrap_or_default();
    answer_head(&state, headers, StatusCode::OK).body(content)
}

fn answer_head(state: &State, headers: &HeaderMap, status: StatusCode) -> poem::ResponseBuilder {
    let state = match state.backend_state() {
        BackendState::Live => "live",
        BackendState::Leaving => "leaving",
    };
    Response::builder()
        .status(status)
        .header(headers::REQUEST_ID, text(headers, headers::REQUEST_ID))
        .header(headers::BACKEND_STATE, state)
        .header("content-type", "application/json")
}

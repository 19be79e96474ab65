//! An emulated back end: a few slots, a limit on connections, cold caches at the
//! start, and the published protocol for probes, cancellation, deadlines,
//! shedding and leaving.

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

use crate::counted::{ConnectionCount, CountedAcceptor};
use crate::places::Latencies;
use crate::records::{Ending, Record, Records};

/// The caller's unique text for a request.
pub const TOKEN: &str = "x-token";
/// Milliseconds of work that a request asks for, in place of the usual time.
pub const WORK_MS: &str = "x-work-ms";
/// Bytes of padding that the answer should have.
pub const ANSWER_BYTES: &str = "x-answer-bytes";
/// Requests after a start that meet a cold cache.
const COLD_REQUESTS: u64 = 20;
/// How much slower a request is that meets a cold cache.
const COLD_FACTOR: u32 = 4;
/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);

/// Answer of an emulated back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The token of the request.
    pub token: String,
    /// The back end.
    pub backend: String,
    /// Bytes of the request's body.
    pub received: u64,
    /// Padding.
    pub padding: String,
}

struct State {
    description: PlatformBackend,
    work: Duration,
    probe: Duration,
    latencies: Latencies,
    records: Records,
    running: AtomicU32,
    served: AtomicU64,
    connections: ConnectionCount,
    leaving_since: Mutex<Option<u64>>,
    cancellations: Mutex<HashMap<String, Arc<Notify>>>,
}

/// How an emulated back end behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Time of a request with a warm cache.
    pub work: Duration,
    /// Time to answer a probe.
    pub probe: Duration,
}

/// A running emulated back end.
pub struct EmulatedBackend {
    state: Arc<State>,
    task: JoinHandle<()>,
    killed: watch::Sender<bool>,
}

impl EmulatedBackend {
    /// Starts the back end that `description` tells of.
    pub async fn start(
        description: PlatformBackend,
        behaviour: Behaviour,
        latencies: Latencies,
        records: Records,
    ) -> std::io::Result<EmulatedBackend> {
        let address: SocketAddr = description.address.parse().map_err(std::io::Error::other)?;
        let listener = TcpListener::bind(address).await?;
        let connections = ConnectionCount::default();
        let (killed, told) = watch::channel(false);
        let acceptor = CountedAcceptor::new(
            TcpAcceptor::from_tokio(listener)?,
            Arc::clone(&connections),
            description.connections,
            CONNECT_TIME,
            told,
        );
        let state = Arc::new(State {
            description,
            work: behaviour.work,
            probe: behaviour.probe,
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
            // Ends with its task.
            let _ = Server::new_with_acceptor(acceptor).run(routes).await;
        });
        Ok(EmulatedBackend {
            state,
            task,
            killed,
        })
    }

    /// From now on the back end says that it is leaving; it still serves.
    pub fn leave(&self) {
        let now = self.state.records.now_ms();
        let mut since = self
            .state
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.get_or_insert(now);
    }

    /// Ends the back end at once, with everything that runs on it.
    pub fn kill(&self) {
        self.task.abort();
        self.killed.send_replace(true);
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// What the back end is, as it is now.
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

    /// Starts a request if a slot is free; records it either way.
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
        if let Ok(wanted) = text(headers, WORK_MS).parse() {
            return Duration::from_millis(wanted);
        }
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        if served < COLD_REQUESTS {
            self.work * COLD_FACTOR
        } else {
            self.work
        }
    }
}

/// A request that runs. Dropped before its end, it was cancelled.
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
    tokio::time::sleep(state.probe).await;
    Json(ProbeAnswer {
        epoch: state.description.epoch,
        state: state.backend_state(),
        running: state.running.load(Ordering::SeqCst),
    })
}

/// Answers once the request doesn't run any more.
#[handler]
async fn cancel(state: Data<&Arc<State>>, Path(id): Path<String>) -> StatusCode {
    const LOOK: Duration = Duration::from_millis(5);
    loop {
        let running = state
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned();
        let Some(running) = running else {
            return StatusCode::OK;
        };
        running.notify_one();
        tokio::time::sleep(LOOK).await;
    }
}

#[handler]
async fn work(state: Data<&Arc<State>>, request: &Request, body: Body) -> Response {
    let headers = request.headers();
    let entry = ZoneId(text(headers, headers::ENTRY_ZONE));
    let one_way = state.latencies.between(&entry, &state.description.zone);
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
    let worked = async {
        let received = body.into_bytes().await.map_or(0, |bytes| bytes.len());
        tokio::time::sleep(state.work_time(headers)).await;
        received as u64
    };
    let received = tokio::select! {
        received = tokio::time::timeout(deadline, worked) => received,
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

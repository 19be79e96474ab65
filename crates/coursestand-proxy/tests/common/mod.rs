//! An entry daemon's request path in front of scripted back ends, and a caller that
//! speaks HTTP over a raw socket.
#![allow(dead_code, missing_docs)]

pub mod hooked_phases;
pub mod narrow_link;
pub mod relays;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::{Catalog, Patch, Route, RouteKind};
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_kernel::MonotonicClock;
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::{BackendId, RegionId, ServiceId, ZoneId};
use coursestand_proxy::caller_limits::CallerLimits;
use coursestand_proxy::edge_state::EdgeBounds;
use coursestand_proxy::exchange::PlannedStop;
use coursestand_proxy::metrics::ProxyMetrics;
use coursestand_proxy::phases::RequestPhases;
use coursestand_proxy::pool::Pool;
use coursestand_proxy::router::Router;
use coursestand_proxy::{EdgeState, Exchange, HeaderNames, ProxyServer};
use coursestand_routing::RetryLimits;
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::ColdLimits;
use coursestand_routing::picker::{Balance, PickerConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

pub const MAX_BODY: u64 = items::MAX_BODY_BYTES;
/// Statuses that guarantee that a request was not run.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Longer than any step of a test should take.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Far below the timeout of idle connections.
const LATE_CALLER_TIMEOUT: Duration = Duration::from_secs(8);

pub struct Edge {
    pub state: Arc<EdgeState>,
    pub exchange: Arc<Exchange>,
    pub server: Arc<ProxyServer>,
    pub backends: Vec<ScriptedBackend>,
}

/// Settings of the routes `/safe/` and `/once/`, which lead to one service.
#[derive(Clone, Copy)]
pub struct RouteSettings {
    pub max_attempts: u32,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    /// Upper bound of retries per request; each request earns half of this.
    pub retry_ratio: f64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        RouteSettings {
            max_attempts: 2,
            timeout_ms: 5_000,
            target_latency_ms: 100,
            retry_ratio: 4.0,
        }
    }
}

pub fn catalog(settings: RouteSettings) -> Catalog {
    let route = |name: &str, kind| {
        let route = Route {
            max_attempts: settings.max_attempts,
            target_latency_ms: settings.target_latency_ms,
            ..items::route(name, "s", kind, settings.timeout_ms)
        };
        items::route_item(name, 1, route)
    };
    let patch = Patch {
        upserts: vec![
            items::service("s"),
            items::limits(),
            route("safe", RouteKind::Repeatable),
            route("once", RouteKind::Once),
        ],
        removals: Vec::new(),
    };
    let mut catalog = Catalog::default();
    catalog.merge(&patch, 1).expect("valid");
    catalog
}

pub fn instance_update(number: usize, address: SocketAddr, phase: InstancePhase) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId(format!("i-{number}")),
            born: None,
            service: ServiceId::from("s"),
            address,
            zone: ZoneId::from("z"),
            capacity: 4,
            software: "v1".to_owned(),
            sequence: if phase == InstancePhase::Ready { 1 } else { 2 },
            phase,
        },
        cold_ms: 0,
    }
}

pub fn empty_state(settings: RouteSettings) -> Arc<EdgeState> {
    let config = PickerConfig {
        daemon: "edge-1".to_owned(),
        region: RegionId::from("r"),
        zones: BTreeMap::from([(ZoneId::from("z"), RegionId::from("r"))]),
        cold: ColdLimits {
            overage: 1.5,
            slack: 5.0,
        },
        balance: Balance {
            hard_load: 1.6,
            report_decay: ReportDecay {
                hold_ms: 250,
                half_life_ms: 400,
            },
        },
    };
    let bounds = EdgeBounds {
        retries: RetryLimits {
            ratio: settings.retry_ratio,
            extra: 0.0,
            window_ms: 10_000,
        },
        settle_ms: 1_000,
        hand_over_ms: 0,
    };
    let state = EdgeState::new(MonotonicClock::default(), config, bounds);
    // The state after the first synchronization, whether or not control is connected.
    state.routing().is_synced = true;
    Arc::new(state)
}

pub async fn start_server(phases: Arc<dyn RequestPhases>) -> (Arc<Exchange>, Arc<ProxyServer>) {
    let metrics = ProxyMetrics::new(&prometheus::Registry::new()).expect("metrics");
    let pool = Arc::new(Pool::default());
    let exchange = Arc::new(Exchange::new(phases, HeaderNames::default(), pool, metrics));
    exchange.limits().set(CallerLimits {
        body_bytes: MAX_BODY,
        ..exchange.limits().get()
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start(address, Arc::clone(&exchange)).await;
    (exchange, Arc::new(server.expect("a server")))
}

impl Edge {
    /// Starts one back end per pair of a script and the behaviour that follows the script.
    pub async fn start(settings: RouteSettings, scripts: Vec<(Vec<Behaviour>, Behaviour)>) -> Edge {
        Edge::start_with(settings, scripts, |state| Arc::new(Router::new(state))).await
    }

    pub async fn start_with(
        settings: RouteSettings,
        scripts: Vec<(Vec<Behaviour>, Behaviour)>,
        phases: impl FnOnce(Arc<EdgeState>) -> Arc<dyn RequestPhases>,
    ) -> Edge {
        let state = empty_state(settings);
        state.adopt_catalog(catalog(settings).delta(0));
        let mut backends = Vec::new();
        for (number, (script, otherwise)) in scripts.into_iter().enumerate() {
            let backend = ScriptedBackend::start(script, otherwise)
                .await
                .expect("a back end");
            state.adopt_instances(vec![instance_update(
                number,
                backend.address(),
                InstancePhase::Ready,
            )]);
            backends.push(backend);
        }
        let (exchange, server) = start_server(phases(Arc::clone(&state))).await;
        Edge {
            state,
            exchange,
            server,
            backends,
        }
    }

    /// Begins a planned stop in which requests are taken until its end.
    pub fn set_stop_time(&self, ends_at: Instant) {
        let late_from = ends_at;
        self.exchange.begin_stop(PlannedStop { late_from, ends_at });
    }

    pub fn runs_of(&self, id: &str) -> usize {
        self.backends
            .iter()
            .flat_map(ScriptedBackend::runs)
            .filter(|run| run.id == id)
            .count()
    }

    pub fn arrival_count(&self) -> usize {
        self.backends
            .iter()
            .map(ScriptedBackend::arrival_count)
            .sum()
    }

    pub async fn request(&self, path: &str, id: &str) -> Answer {
        let mut caller = Caller::connect(self.server.address()).await;
        caller.request(path, id, "").await
    }
}

/// The answer that a caller received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// 0 when the connection ended without an answer.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether all bytes of the stated `content-length` arrived.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        Caller::from_stream(TcpStream::connect(address).await.expect("connected"))
    }

    pub fn from_stream(stream: TcpStream) -> Caller {
        Caller {
            stream,
            unread: Vec::new(),
        }
    }

    pub async fn send(&mut self, path: &str, id: &str, headers: &str, body: &[u8]) {
        self.send_with_key(path, id, "k", headers, body).await;
    }

    /// Sends a request for the object `key`.
    pub async fn send_for_object(&mut self, path: &str, id: &str, key: &str) {
        self.send_with_key(path, id, key, "", b"a body").await;
    }

    pub async fn send_with_key(
        &mut self,
        path: &str,
        id: &str,
        key: &str,
        headers: &str,
        body: &[u8],
    ) {
        let names = HeaderNames::default();
        let method = if path.starts_with("/once/") {
            "POST"
        } else {
            "GET"
        };
        let (length, body) = match method {
            "GET" => (String::new(), &b""[..]),
            _ => (format!("content-length: {}\r\n", body.len()), body),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\n{}: {key}\r\n{headers}{length}\r\n",
            names.request_id, names.affinity_key
        );
        // The daemon may answer and close before it has read everything.
        let _ = self.stream.write_all(head.as_bytes()).await;
        let _ = self.stream.write_all(body).await;
    }

    /// Sends the head and the first `part` bytes of a body of `length` bytes.
    pub async fn send_partial_body(&mut self, path: &str, id: &str, length: usize, part: usize) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\ncontent-length: {length}\r\n\r\n",
            HeaderNames::default().request_id
        );
        let _ = self.stream.write_all(head.as_bytes()).await;
        self.send_more_body(part).await;
    }

    /// Sends `count` more bytes of a body. Returns whether the write succeeded.
    pub async fn send_more_body(&mut self, count: usize) -> bool {
        self.stream.write_all(&vec![b'x'; count]).await.is_ok()
    }

    /// Sends a body with chunked transfer coding, so that its length is unknown in advance.
    pub async fn send_chunked(&mut self, path: &str, id: &str, body: &[u8]) {
        let names = HeaderNames::default();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\ntransfer-encoding: chunked\r\n\r\n",
            names.request_id
        );
        // The daemon may answer and close before it has read everything.
        let _ = self.stream.write_all(head.as_bytes()).await;
        for piece in body.chunks(50_000) {
            let size = format!("{:x}\r\n", piece.len());
            let _ = self.stream.write_all(size.as_bytes()).await;
            let _ = self.stream.write_all(piece).await;
            let _ = self.stream.write_all(b"\r\n").await;
        }
        let _ = self.stream.write_all(b"0\r\n\r\n").await;
    }

    pub async fn request(&mut self, path: &str, id: &str, headers: &str) -> Answer {
        self.send(path, id, headers, b"a body").await;
        self.receive().await
    }

    pub async fn receive(&mut self) -> Answer {
        tokio::time::timeout(TEST_TIMEOUT, self.read_answer())
            .await
            .expect("no answer and no end of the connection within the timeout")
    }

    async fn read_more(&mut self) -> bool {
        let mut piece = [0; 4096];
        match self.stream.read(&mut piece).await {
            Ok(count) if count > 0 => {
                self.unread.extend_from_slice(&piece[..count]);
                true
            }
            _ => false,
        }
    }

    async fn read_answer(&mut self) -> Answer {
        let end = loop {
            if let Some(end) = self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !self.read_more().await {
                return Answer::default();
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let mut answer = Answer {
            status: head[9..12].parse().expect("a status"),
            head,
            ..Answer::default()
        };
        let length: usize = answer
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.unread.len() < length && self.read_more().await {}
        let got = length.min(self.unread.len());
        let body: Vec<u8> = self.unread.drain(..got).collect();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        answer.is_complete = got == length;
        answer
    }
}

/// Connects `count` callers before the server, which runs on this thread, accepts any.
pub fn connect_many(address: SocketAddr, count: usize) -> Vec<std::net::TcpStream> {
    let connect = |_| std::net::TcpStream::connect(address).expect("connected");
    (0..count).map(connect).collect()
}

/// Sends a request over a connection that is already open. Returns the status of its
/// answer, or `None` if there is none within `LATE_CALLER_TIMEOUT`.
pub async fn request_status(stream: std::net::TcpStream) -> Option<u16> {
    stream.set_nonblocking(true).expect("set");
    let mut caller = Caller::from_stream(TcpStream::from_std(stream).expect("a stream"));
    let exchange = caller.request("/safe/a", "late", "");
    let answer = tokio::time::timeout(LATE_CALLER_TIMEOUT, exchange).await;
    answer.ok().map(|answer| answer.status)
}

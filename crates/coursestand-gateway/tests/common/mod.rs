//! Shared parts of the gateway tests: prepared control state, and fakes of back ends and of
//! the once ledger.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_coordination::Tables;
use coursestand_coordination::once::{ClaimAnswer, ClaimId, OnceKey, RecordedAnswer};
use coursestand_coordination::shares::{ShareKey, ShareVector};
use coursestand_coordination::tables::BundleInForce;
use coursestand_gateway::Gateway;
use coursestand_gateway::Shared;
use coursestand_gateway::backend_edge::{
    BackendAnswer, BackendEdge, Dispatch, DispatchError, ProbeAnswer,
};
use coursestand_gateway::lease::DecisionLease;
use coursestand_gateway::metrics::GatewayMetrics;
use coursestand_gateway::once_edge::{OnceEdge, OnceError};
use coursestand_kernel::MonotonicClock;
use coursestand_model::bundle::{Bundle, Latency, Lookup, Once, Policy, Region, Service, ShiftCap};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{BackendId, DaemonId, Outcome, ServiceId, ZoneId, headers};
use futures::StreamExt;
use poem::http::{HeaderMap, Method, StatusCode};
use poem::{Body, Request, Response};

pub const DEADLINE_MS: u64 = 2_000;
pub const LEASE_MS: u64 = 3_600_000;

fn service(id: &str, repeatable: bool) -> Service {
    Service {
        id: id.into(),
        repeatable,
        policy: Policy::Nearest {},
        shift_cap: ShiftCap {
            share_bp: 1000,
            window_ms: 1000,
        },
        deadline_ms: DEADLINE_MS,
        queue_ms: 50,
        max_body_bytes: 200_000,
    }
}

pub fn bundle() -> Bundle {
    Bundle {
        name: "test".to_owned(),
        version: 1,
        regions: vec![Region {
            id: "r".into(),
            zones: vec!["z".into()],
            capacity: 100,
        }],
        links: Vec::new(),
        latency_ms: Latency {
            between_zones: 1.0,
            between_regions: 1.0,
            to_clients: 1.0,
        },
        services: vec![service("page", true), service("pay", false)],
        clients: Vec::new(),
        lookup: Lookup {
            lifetime_ms: 1000,
            answers: 2,
        },
        once: Once {
            retention_ms: 100_000,
            clock_skew_ms: 1000,
        },
    }
}

pub fn daemon() -> DaemonId {
    DaemonId {
        name: "d".to_owned(),
        incarnation: 1,
    }
}

/// Returns tables with `slots` slots on each of these back ends, for both services.
pub fn tables(addresses: &[&str], slots: u32) -> Tables {
    let mut tables = Tables {
        version: 1,
        ..Tables::default()
    };
    let content = serde_json::to_string(&bundle()).expect("JSON");
    tables.bundle.set(
        (),
        BundleInForce {
            revision: 7,
            content,
        },
        1,
    );
    let mut slots_by_backend = BTreeMap::new();
    for service in ["page", "pay"] {
        for (index, address) in addresses.iter().enumerate() {
            let id = BackendId(format!("{service}-{index}"));
            let record = PlatformBackend {
                id: id.clone(),
                service: ServiceId::from(service),
                zone: "z".into(),
                address: (*address).to_owned(),
                slots,
                connections: 100,
                epoch: 1,
                state: BackendState::Live,
            };
            tables.backends.set(id.clone(), record, 1);
            slots_by_backend.insert(id, slots);
        }
        let key = ShareKey {
            service: service.into(),
            origin: "z".into(),
        };
        tables
            .shares
            .set(key, ShareVector::all_to(&ZoneId::from("z")), 1);
    }
    tables.slots.set(daemon(), slots_by_backend, 1);
    tables
}

pub struct Fixture {
    pub gateway: Arc<Gateway>,
    pub shared: Arc<Shared>,
    pub lease: Arc<DecisionLease>,
    pub clock: MonotonicClock,
    pub once: Arc<NaiveOnce>,
}

pub fn fixture(backends: Arc<dyn BackendEdge>, once: NaiveOnce, tables: &Tables) -> Fixture {
    fixture_with_clock(MonotonicClock::default(), backends, once, tables)
}

/// Returns a fixture whose lease is measured on `clock`.
pub fn fixture_with_clock(
    clock: MonotonicClock,
    backends: Arc<dyn BackendEdge>,
    once: NaiveOnce,
    tables: &Tables,
) -> Fixture {
    let lease = Arc::new(DecisionLease::new(clock));
    lease.extend(LEASE_MS);
    let shared = Arc::new(Shared::new(daemon(), Arc::clone(&lease), backends));
    shared.steering().apply(tables).expect("valid");
    let once = Arc::new(once);
    let metrics = GatewayMetrics::new(&prometheus::Registry::new()).expect("metrics");
    let edge: Arc<dyn OnceEdge> = once.clone();
    let gateway = Gateway::new(daemon(), "z".into(), Arc::clone(&shared), edge, metrics);
    Fixture {
        gateway: Arc::new(gateway),
        shared,
        lease,
        clock,
        once,
    }
}

/// Model of the once ledger: one map behind one lock.
#[derive(Default)]
pub struct NaiveOnce {
    pub claims: Mutex<BTreeMap<OnceKey, (ClaimId, Option<RecordedAnswer>)>>,
    pub released: Mutex<Vec<OnceKey>>,
    /// Duration of each claim.
    pub delay: Duration,
    pub unreachable: bool,
}

#[async_trait]
impl OnceEdge for NaiveOnce {
    async fn claim(
        &self,
        key: &OnceKey,
        claim: &ClaimId,
        _deadline: Duration,
    ) -> Result<ClaimAnswer, OnceError> {
        tokio::time::sleep(self.delay).await;
        if self.unreachable {
            return Err(OnceError {
                reason: "unreachable".to_owned(),
            });
        }
        let mut claims = self.claims.lock().expect("not poisoned");
        match claims.get(key) {
            Some((_, Some(answer))) => Ok(ClaimAnswer::Completed(answer.clone())),
            Some((_, None)) => Ok(ClaimAnswer::Taken),
            None => {
                claims.insert(key.clone(), (claim.clone(), None));
                Ok(ClaimAnswer::Granted)
            }
        }
    }

    fn complete(&self, key: OnceKey, claim: ClaimId, answer: RecordedAnswer) {
        self.claims
            .lock()
            .expect("not poisoned")
            .insert(key, (claim, Some(answer)));
    }

    fn release(&self, key: OnceKey, claim: ClaimId) {
        let mut claims = self.claims.lock().expect("not poisoned");
        let is_holder = claims
            .get(&key)
            .is_some_and(|(holder, answer)| *holder == claim && answer.is_none());
        if is_holder {
            claims.remove(&key);
        }
        self.released.lock().expect("not poisoned").push(key);
    }
}

/// Scripted course of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Script {
    /// The request runs and is answered.
    Answer,
    /// The request runs, and the answer is truncated.
    TruncatedAnswer,
    /// The dispatch is refused before anything is sent.
    NotRun,
    /// The request runs, and the connection is lost before the answer.
    LostAfterRun,
    /// The connection is lost before the request runs.
    LostBeforeRun,
}

impl Script {
    pub fn runs(self) -> bool {
        !matches!(self, Script::NotRun | Script::LostBeforeRun)
    }
}

/// Back ends that handle each dispatch by the next step of a script.
#[derive(Default)]
pub struct ScriptedBackends {
    pub script: Mutex<VecDeque<Script>>,
    pub dispatched: Mutex<Vec<(Script, String)>>,
    pub cancel_works: bool,
}

#[async_trait]
impl BackendEdge for ScriptedBackends {
    async fn dispatch(&self, dispatch: Dispatch) -> Result<BackendAnswer, DispatchError> {
        let next = self.script.lock().expect("not poisoned").pop_front();
        let script = next.unwrap_or(Script::Answer);
        let id = dispatch.request_id.clone();
        self.dispatched
            .lock()
            .expect("not poisoned")
            .push((script, id.clone()));
        let lost = || DispatchError::Unknown {
            reason: "lost".to_owned(),
        };
        let chunks = match script {
            Script::Answer => vec![Ok(id.clone().into())],
            Script::TruncatedAnswer => vec![
                Ok(id.as_bytes()[..1].to_vec().into()),
                Err(std::io::Error::other("broken")),
            ],
            Script::NotRun => {
                return Err(DispatchError::NotRun {
                    reason: "refused".to_owned(),
                });
            }
            Script::LostAfterRun | Script::LostBeforeRun => return Err(lost()),
        };
        Ok(BackendAnswer {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            length: Some(id.len() as u64),
            body: futures::stream::iter(chunks).boxed(),
        })
    }

    async fn cancel(&self, _address: &str, _request_id: &str) -> bool {
        self.cancel_works
    }

    async fn probe(&self, _address: &str) -> Option<ProbeAnswer> {
        None
    }
}

pub fn request(service: &str, key: Option<&str>) -> Request {
    let method = if key.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let uri = format!("/v1/services/{service}/path")
        .parse()
        .expect("a URI");
    let mut builder = Request::builder()
        .method(method)
        .uri(uri)
        .header(headers::CLIENT, "z");
    if let Some(key) = key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    builder.finish()
}

impl Fixture {
    pub async fn serve(&self, service: &str, key: Option<&str>) -> Response {
        let request = request(service, key);
        self.gateway.serve(service, &request, Body::empty()).await
    }

    /// Returns the number of slots in use on all back ends.
    pub fn in_use(&self) -> u32 {
        let steering = self.shared.steering();
        steering
            .backends()
            .iter()
            .map(|backend| backend.in_use)
            .sum()
    }

    /// Waits until `count` slots are in use.
    pub async fn wait_until_in_use(&self, count: u32) {
        let deadline = std::time::Instant::now() + Duration::from_secs(20);
        while self.in_use() != count {
            assert!(
                std::time::Instant::now() < deadline,
                "{} slots in use",
                self.in_use()
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

pub fn outcome_of(response: &Response) -> Outcome {
    response
        .headers()
        .get(headers::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .and_then(Outcome::parse)
        .expect("every answer has an outcome")
}

//! Open-loop load: requests start at their planned times independently of earlier ones, so
//! that the latency figures include the delay that slow answers cause (no coordinated
//! omission).

use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_kernel::clock::wall_ms;
use coursestand_model::ServiceId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

use crate::callers::{Caller, CallerRequest, FinishedRequest};
use crate::deployment::Deployment;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests per second.
    pub rate: f64,
    /// Period in which requests are started.
    pub duration: Duration,
    /// Time for all attempts of a request together.
    pub timeout: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// Name of the run; prefix of every token.
    pub run: String,
}

/// Share of requests with a large body or a large answer, among the services that allow
/// them.
const LARGE_SHARE: f64 = 0.02;
const LARGE_BYTES: usize = 300 * 1024;
const SMALL_BYTES: usize = 200;

/// Runs the load and returns all finished requests. Calls `progress` with the number of
/// requests finished so far.
pub async fn run_load(
    deployment: &Deployment,
    caller: Arc<Caller>,
    plan: &LoadPlan,
    mut progress: impl FnMut(usize),
) -> Vec<FinishedRequest> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let started_at = Instant::now();
    let total = (plan.rate * plan.duration.as_secs_f64()) as usize;
    let mut finished = Vec::with_capacity(total);
    for number in 0..total {
        let planned_start = started_at + Duration::from_secs_f64(number as f64 / plan.rate);
        tokio::time::sleep_until(planned_start.into()).await;
        let request = next_request(deployment, plan, number, &mut random);
        let caller = Arc::clone(&caller);
        let sender = sender.clone();
        tokio::spawn(async move {
            // The receiver outlives all senders.
            let _ = sender.send(caller.run(request, planned_start).await);
        });
        while let Ok(request) = receiver.try_recv() {
            finished.push(request);
        }
        progress(finished.len());
    }
    drop(sender);
    while let Some(request) = receiver.recv().await {
        finished.push(request);
        progress(finished.len());
    }
    finished
}

fn next_request(
    deployment: &Deployment,
    plan: &LoadPlan,
    number: usize,
    random: &mut StdRng,
) -> CallerRequest {
    let services = &deployment.bundle.services;
    let service = &services[weighted_service(services.len(), random)];
    let zones = deployment.zones().len();
    let zone = random.random_range(0..zones);
    let host = random.random_range(1..200);
    let allows_large = service.max_body_bytes > LARGE_BYTES as u64 || service.repeatable;
    let is_large = allows_large && random.random_bool(LARGE_SHARE);
    let accepts_large = service.max_body_bytes > LARGE_BYTES as u64;
    let key = (!service.repeatable).then(|| format!("{}-{}-{number}", wall_ms(), plan.run));
    CallerRequest {
        service: service.id.clone(),
        client: Deployment::client_address(zone, host),
        token: format!("{}-{number}", plan.run),
        body_bytes: match (is_large && accepts_large, key.is_some()) {
            (true, _) => LARGE_BYTES,
            (false, true) => SMALL_BYTES,
            (false, false) => 0,
        },
        answer_bytes: if is_large { LARGE_BYTES } else { SMALL_BYTES },
        key,
        work_ms: None,
        timeout: plan.timeout,
    }
}

/// Picks a service: the first gets half of the requests, the others share the rest.
fn weighted_service(count: usize, random: &mut StdRng) -> usize {
    if count == 1 || random.random_bool(0.5) {
        0
    } else {
        random.random_range(1..count)
    }
}

/// Returns a small request without key, body or work time, for tests.
pub fn default_request(
    service: &str,
    client: String,
    token: &str,
    timeout: Duration,
) -> CallerRequest {
    CallerRequest {
        service: ServiceId::from(service),
        client,
        token: token.to_owned(),
        key: None,
        body_bytes: 0,
        answer_bytes: SMALL_BYTES,
        work_ms: None,
        timeout,
    }
}

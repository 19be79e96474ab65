//! Open-loop load: requests start at their planned times, whatever became of the
//! ones before, so a slow answer can't hide the requests that it delayed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_kernel::clock::wall_ms;
use coursestand_model::ServiceId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

use crate::callers::{Caller, Errand, Finished};
use crate::deployment::Deployment;

/// A load to make.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate: f64,
    /// How long requests start.
    pub duration: Duration,
    /// Time for each request with all attempts.
    pub patience: Duration,
    /// Seed of the choices.
    pub seed: u64,
    /// Names the run; part of every token.
    pub run: String,
}

/// Requests of each service that carry a large body or ask for a large answer.
const LARGE_SHARE: f64 = 0.02;
const LARGE_BYTES: usize = 300 * 1024;
const SMALL_BYTES: usize = 200;

/// Makes the load and returns every finished errand. `progress` is told of each.
pub async fn run_load(
    deployment: &Deployment,
    caller: Arc<Caller>,
    plan: &LoadPlan,
    mut progress: impl FnMut(usize),
) -> Vec<Finished> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let began = Instant::now();
    let total = (plan.rate * plan.duration.as_secs_f64()) as usize;
    let mut finished = Vec::with_capacity(total);
    for number in 0..total {
        let planned = began + Duration::from_secs_f64(number as f64 / plan.rate);
        tokio::time::sleep_until(planned.into()).await;
        let errand = next_errand(deployment, plan, number, &mut random);
        let caller = Arc::clone(&caller);
        let sender = sender.clone();
        tokio::spawn(async move {
            // The receiver lives until the last sender is gone.
            let _ = sender.send(caller.run(errand, planned).await);
        });
        while let Ok(one) = receiver.try_recv() {
            finished.push(one);
        }
        progress(finished.len());
    }
    drop(sender);
    while let Some(one) = receiver.recv().await {
        finished.push(one);
        progress(finished.len());
    }
    finished
}

fn next_errand(
    deployment: &Deployment,
    plan: &LoadPlan,
    number: usize,
    random: &mut StdRng,
) -> Errand {
    let services = &deployment.bundle.services;
    let service = &services[weighted_service(services.len(), random)];
    let zones = deployment.zones().len();
    let zone = random.random_range(0..zones);
    let host = random.random_range(1..200);
    let large = service.max_body_bytes > LARGE_BYTES as u64 || service.repeatable;
    let is_large = large && random.random_bool(LARGE_SHARE);
    let accepts_large = service.max_body_bytes > LARGE_BYTES as u64;
    let key = (!service.repeatable).then(|| format!("{}-{}-{number}", wall_ms(), plan.run));
    Errand {
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
        patience: plan.patience,
    }
}

/// The first service gets half of the requests, the others share the rest.
fn weighted_service(count: usize, random: &mut StdRng) -> usize {
    if count == 1 || random.random_bool(0.5) {
        0
    } else {
        random.random_range(1..count)
    }
}

/// One errand for a test, with everything else as usual.
pub fn errand(service: &str, client: String, token: &str, patience: Duration) -> Errand {
    Errand {
        service: ServiceId::from(service),
        client,
        token: token.to_owned(),
        key: None,
        body_bytes: 0,
        answer_bytes: SMALL_BYTES,
        work_ms: None,
        patience,
    }
}

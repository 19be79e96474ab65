//! Costs of the request path, each compared with a baseline in the same run: look-ups with a
//! bare handler, the gateway with direct requests to the back end and with a naive
//! pass-through proxy without steering.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coursestand_daemon::Daemon;
use coursestand_kernel::http::HttpServer;
use coursestand_lab::address::AddressAllocator;
use coursestand_lab::demo::{Simulation, put_first_bundle_in_force, test_operator};
use coursestand_lab::deployment::hut;
use hdrhistogram::Histogram;
use poem::web::Data;
use poem::{EndpointExt, Response, Route, get, handler};

const LOOKUP_DURATION: Duration = Duration::from_secs(3);
const LOOKUP_CONNECTIONS: usize = 32;
const REQUESTS_PER_SECOND: u64 = 1_000;
const GATEWAY_DURATION: Duration = Duration::from_secs(5);
const DAEMONS: usize = 3;
/// Upper bound of the latency histogram in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const STOP_GRACE: Duration = Duration::from_millis(100);

#[handler]
fn get_bare() -> Response {
    Response::builder()
        .header("content-type", "application/json")
        .body(r#"{"daemons":[{"name":"hut-00","address":"127.0.0.1:20000"}],"lifetime_ms":1000}"#)
}

#[handler]
async fn get_naive(naive: Data<&Naive>) -> Response {
    let sent = naive.client.get(&naive.backend).header("x-work-ms", "1");
    match sent.send().await {
        Ok(answer) => {
            let body = answer.bytes().await.unwrap_or_default();
            Response::builder().body(body)
        }
        Err(_) => Response::builder()
            .status(poem::http::StatusCode::BAD_GATEWAY)
            .finish(),
    }
}

#[derive(Clone)]
struct Naive {
    client: reqwest::Client,
    backend: String,
}

/// Returns the requests per second that `url` answers on a fixed number of connections.
async fn throughput(url: &str) -> f64 {
    let count = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + LOOKUP_DURATION;
    let workers = (0..LOOKUP_CONNECTIONS).map(|_| {
        let count = Arc::clone(&count);
        let url = url.to_owned();
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .unwrap_or_default();
        tokio::spawn(async move {
            while Instant::now() < end {
                let answer = client
                    .get(&url)
                    .send()
                    .await
                    .and_then(|answer| answer.error_for_status());
                if let Ok(answer) = answer
                    && answer.bytes().await.is_ok()
                {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("the worker ends");
    }
    count.load(Ordering::Relaxed) as f64 / LOOKUP_DURATION.as_secs_f64()
}

/// Measures latencies in microseconds at a fixed rate (open loop). Returns them with the
/// number of failed requests.
async fn latencies(url: &str) -> (Histogram<u64>, usize) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .unwrap_or_default();
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..REQUESTS_PER_SECOND * GATEWAY_DURATION.as_secs() {
        let planned_start =
            started_at + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_SECOND);
        tokio::time::sleep_until(planned_start.into()).await;
        let client = client.clone();
        let url = url.to_owned();
        tasks.push(tokio::spawn(async move {
            let sent = client
                .get(&url)
                .header("x-work-ms", "1")
                .header("x-client", "in-kempton");
            let answer = sent
                .send()
                .await
                .and_then(|answer| answer.error_for_status());
            let is_complete = match answer {
                Ok(answer) => answer.bytes().await.is_ok(),
                Err(_) => false,
            };
            (planned_start.elapsed().as_micros() as u64, is_complete)
        }));
    }
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    let mut failed = 0;
    for task in tasks {
        let (micros, is_complete) = task.await.expect("the request ends");
        if is_complete {
            histogram.saturating_record(micros);
        } else {
            failed += 1;
        }
    }
    (histogram, failed)
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(run());
}

async fn run() {
    let mut addresses = AddressAllocator::reserve().expect("an address");
    let mut deployment = hut(&mut addresses);
    deployment.daemons = DAEMONS;
    deployment.bundle.latency_ms.between_zones = 0.0;
    deployment.bundle.latency_ms.between_regions = 0.0;
    for region in &mut deployment.bundle.regions {
        region.capacity = 10_000;
    }
    for group in &mut deployment.backends {
        group.slots = 64;
    }
    let folder = std::env::temp_dir().join(format!("coursestand-bench-{}", std::process::id()));
    let settings = deployment.daemon_settings(&mut addresses, &folder);
    let simulation = Simulation::start(deployment)
        .await
        .expect("the simulation starts");
    let mut daemons = Vec::new();
    for settings in &settings {
        daemons.push(Daemon::start(settings).await.expect("the daemon starts"));
    }
    put_first_bundle_in_force(&test_operator(&settings), &simulation.deployment, DAEMONS)
        .await
        .expect("the bundle is in force");
    let entry = settings[0].entry_role.as_ref().expect("an entry").listen;
    measure(&simulation, entry, &mut addresses).await;
    for daemon in &daemons {
        daemon.stop().await;
    }
    // A failure is harmless: the folder is in the directory for temporary files.
    let _ = std::fs::remove_dir_all(&folder);
}

async fn measure(simulation: &Simulation, entry: SocketAddr, addresses: &mut AddressAllocator) {
    let backend = format!(
        "http://{}/work",
        simulation.backends[0].description().address
    );
    let naive = Naive {
        client: reqwest::Client::builder()
            .no_proxy()
            .build()
            .unwrap_or_default(),
        backend: backend.clone(),
    };
    let routes = Route::new()
        .at("/bare", get(get_bare))
        .at("/naive", get(get_naive))
        .data(naive);
    let baseline = HttpServer::start(addresses.next_address(), routes, STOP_GRACE)
        .await
        .expect("the baseline starts");
    let base = baseline.address();

    let bare_url = format!("http://{base}/bare");
    let lookup_url = format!("http://{entry}/v1/lookup?service=bunkview&client=10.1.0.9");
    // Two rounds; the first warms up.
    let mut bare = throughput(&bare_url).await;
    let mut lookup = throughput(&lookup_url).await;
    bare = bare.max(throughput(&bare_url).await);
    lookup = lookup.max(throughput(&lookup_url).await);
    println!(
        "look-ups: {lookup:.0}/s, bare handler {bare:.0}/s, ratio {:.2}",
        lookup / bare
    );

    // Warms up connections and adapts the slots to the demand.
    let gateway_url = format!("http://{entry}/v1/services/bunkview/work");
    latencies(&gateway_url).await;
    for (name, url) in [
        ("direct", backend),
        ("naive pass-through", format!("http://{base}/naive")),
        ("gateway", gateway_url),
    ] {
        let (histogram, failed) = latencies(&url).await;
        println!(
            "{name}: p50 {:.2} ms, p99 {:.2} ms, failed {failed}",
            histogram.value_at_quantile(0.5) as f64 / 1000.0,
            histogram.value_at_quantile(0.99) as f64 / 1000.0,
        );
    }
}

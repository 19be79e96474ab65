//! Calls at a control process that stops as planned, on connections that are kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coursestand_discovery::InstancePhase;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::deployment::{Deployment, TEST_TIMEOUT, first_items, heartbeat_of, one_route};
use crate::{ALL_CONTROLS, form_group};

/// A call that is sent later than this before the close of its connection crosses the close.
const CROSSING_TIME: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(5);
/// Calls on both sides of the begin of the stop.
const TIME_BEFORE_STOP: Duration = Duration::from_millis(500);

/// What became of the calls of one caller.
#[derive(Debug, Default)]
struct Calls {
    answered: usize,
    /// For each call without an answer, how long before the end of its connection it was sent.
    unanswered: Vec<Duration>,
}

/// Reads one answer. Returns false if the connection ends before it is complete.
async fn read_answer(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let mut piece = vec![0; 16 * 1024];
    loop {
        let text = String::from_utf8_lossy(&answer).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return true;
            }
        }
        match timeout(TEST_TIMEOUT, stream.read(&mut piece)).await {
            Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&piece[..count]),
            _ => return false,
        }
    }
}

/// Calls an address over one connection after the other until it refuses connections.
fn call_until_refused(
    address: SocketAddr,
    mut request: impl FnMut() -> String + Send + 'static,
) -> JoinHandle<Calls> {
    tokio::spawn(async move {
        let mut calls = Calls::default();
        while let Ok(mut stream) = TcpStream::connect(address).await {
            loop {
                let sent_at = Instant::now();
                let request = request();
                if stream.write_all(request.as_bytes()).await.is_err() {
                    break;
                }
                if !read_answer(&mut stream).await {
                    calls.unanswered.push(sent_at.elapsed());
                    break;
                }
                calls.answered += 1;
                sleep(PAUSE).await;
            }
        }
        calls
    })
}

fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: control\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn address_of(url: &str) -> SocketAddr {
    let rest = url.strip_prefix("http://").expect("an URL");
    let address = rest.split('/').next().expect("an address");
    address.parse().expect("an address")
}

/// Starts a caller of each kind at a control process.
fn start_callers(deployment: &Deployment, host: u8) -> Vec<(&'static str, JoinHandle<Calls>)> {
    let control = address_of(&deployment.control_url(host));
    let lookup = address_of(&deployment.lookup_url(host));
    let look_up = || request("GET", "/v1/entry-daemons?region=z&zone=z-1", "");
    let backend = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut sequence = 0;
    let heartbeat = move || {
        sequence += 1;
        let update = heartbeat_of("i", backend, sequence, InstancePhase::Ready);
        let body = serde_json::to_string(&update).expect("JSON");
        request("POST", "/v1/backends/i", &body)
    };
    let mut version = 1;
    let name = format!("of-{host}");
    let change = move || {
        version += 1;
        let body = serde_json::to_string(&one_route(&name, version)).expect("JSON");
        request("POST", "/v1/catalog", &body)
    };
    let is_open = Arc::new(AtomicBool::new(false));
    let order = move || {
        let method = match is_open.fetch_not(Ordering::Relaxed) {
            true => "DELETE",
            false => "PUT",
        };
        request(method, "/v1/closed-zones/z-1", "")
    };
    vec![
        ("look-up", call_until_refused(lookup, look_up)),
        ("heartbeat", call_until_refused(control, heartbeat)),
        ("change", call_until_refused(control, change)),
        ("order", call_until_refused(control, order)),
        (
            "read",
            call_until_refused(control, || request("GET", "/v1/catalog", "")),
        ),
    ]
}

/// Guards against look-ups, heartbeats, changes and orders that a stopping control process has
/// read and closes the connection on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_control_process_answers_the_calls_that_it_has_read() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let leader = deployment.leader().expect("a leader");
    let follower = ALL_CONTROLS.into_iter().find(|host| *host != leader);
    for host in [follower.expect("a follower"), leader] {
        let callers = start_callers(&deployment, host);
        sleep(TIME_BEFORE_STOP).await;
        let stopping = deployment.nodes.remove(&host).expect("it runs");
        let stop = timeout(TEST_TIMEOUT, stopping.drain_and_stop());
        expect_that!(stop.await.is_ok(), eq(true));
        for (kind, calls) in callers {
            let calls = calls.await.expect("no panic");
            println!("{kind} at {host}: {calls:?}");
            expect_that!(calls.answered, ge(1), "{kind} at {host}");
            let cut = calls
                .unanswered
                .iter()
                .filter(|waited| **waited > CROSSING_TIME);
            expect_that!(cut.count(), eq(0), "{kind} at {host}: {calls:?}");
        }
    }
}

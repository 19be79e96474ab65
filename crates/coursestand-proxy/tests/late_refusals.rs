//! A back end that refuses a request may send a second answer to it, late. It carries the id of
//! the request, so that only the connection tells which sending it answers.
//!
//! Incident: the extra answer of a refusal was taken for the answer to a later sending of the same
//! request on the same connection. The caller was told that a booking had not run, and it ran.
#![allow(missing_docs)]

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Edge, NOT_RUN_STATUSES, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use coursestand_proxy::HeaderNames;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time before a refusal, in which the connection of the one before becomes idle.
const REFUSAL_DELAY: Duration = Duration::from_millis(30);
/// Time for an idle connection whose peer has sent something to be closed.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// A back end that refuses each request some times before it runs it, and sends an extra answer of
/// the refusal if the request arrives again on the same connection.
struct RefusingBackEnd {
    address: SocketAddr,
    refusals: usize,
    extra: Extra,
    /// Ids of all requests that arrived.
    arrivals: Mutex<Vec<String>>,
    connections: AtomicUsize,
    runs: AtomicUsize,
    extra_answers: AtomicUsize,
}

/// When an extra answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extra {
    /// In place of the answer to the next sending on the connection.
    NextSending,
    /// While the connection is idle.
    Idle,
    /// Its first part while the connection is idle, the rest in place of the next answer.
    Split,
    /// Before the answer to each sending, with this status line and without an id.
    WithoutId(&'static str),
}

impl RefusingBackEnd {
    async fn start(refusals: usize, extra: Extra) -> Arc<RefusingBackEnd> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let back_end = Arc::new(RefusingBackEnd {
            address: listener.local_addr().expect("an address"),
            refusals,
            extra,
            arrivals: Mutex::default(),
            connections: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            extra_answers: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&back_end);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, Ordering::SeqCst);
                let serving = Arc::clone(&accepting);
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        back_end
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut refused = HashSet::new();
        loop {
            let id = read_request(&mut stream).await?;
            let arrivals = {
                let mut arrivals = self.arrivals.lock().expect("not poisoned");
                arrivals.push(id.clone());
                arrivals.iter().filter(|arrival| **arrival == id).count()
            };
            if refused.contains(&id) {
                self.extra_answers.fetch_add(1, Ordering::SeqCst);
                let refusal = refusal(&id);
                let rest = match self.extra {
                    Extra::Split => &refusal[refusal.len() / 2..],
                    _ => &refusal,
                };
                stream.write_all(rest.as_bytes()).await.ok()?;
            }
            if let Extra::WithoutId(status) = self.extra {
                let answer = answer_without_id(status);
                stream.write_all(answer.as_bytes()).await.ok()?;
            }
            if arrivals > self.refusals {
                self.runs.fetch_add(1, Ordering::SeqCst);
                stream.write_all(success(&id).as_bytes()).await.ok()?;
                continue;
            }
            sleep(REFUSAL_DELAY).await;
            let refusal = refusal(&id);
            stream.write_all(refusal.as_bytes()).await.ok()?;
            refused.insert(id);
            match self.extra {
                Extra::NextSending | Extra::WithoutId(_) => continue,
                Extra::Idle | Extra::Split => sleep(REFUSAL_DELAY / 2).await,
            }
            let early = match self.extra {
                Extra::Split => &refusal[..refusal.len() / 2],
                _ => &refusal,
            };
            stream.write_all(early.as_bytes()).await.ok()?;
        }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    fn extra_answers(&self) -> usize {
        self.extra_answers.load(Ordering::SeqCst)
    }
}

/// Reads a request with a body of known length, and returns its id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let header = |name: &str| {
        let prefix = format!("{name}: ");
        head.lines()
            .find_map(|line| line.strip_prefix(&prefix).map(str::to_owned))
    };
    let length = header("content-length").map_or(0, |length| length.parse().expect("a length"));
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    header(HeaderNames::default().request_id.as_str())
}

fn refusal(id: &str) -> String {
    let names = HeaderNames::default();
    format!(
        "HTTP/1.1 429 X\r\n{}: {id}\r\n{}: 1\r\n{}: 0,0,4\r\ncontent-length: 0\r\n\r\n",
        names.request_id, names.not_executed, names.server_load
    )
}

fn answer_without_id(status: &str) -> String {
    let names = HeaderNames::default();
    format!(
        "HTTP/1.1 {status}\r\n{}: 1\r\n{}: s\r\n{}: 0,0,4\r\ncontent-length: 0\r\n\r\n",
        names.not_executed, names.signature, names.server_load
    )
}

fn success(id: &str) -> String {
    let names = HeaderNames::default();
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s\r\ncontent-length: 4\r\n\r\ndone",
        names.request_id, names.signature
    )
}

/// Starts a daemon in front of this back end alone.
async fn edge_before(back_end: &RefusingBackEnd, max_attempts: u32) -> Edge {
    let settings = RouteSettings {
        max_attempts,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, Vec::new()).await;
    let instance = instance_update(0, back_end.address, InstancePhase::Ready);
    edge.state.adopt_instances(vec![instance]);
    edge
}

/// Guards against a late extra answer that is taken for the answer to a later sending of the same
/// request: a caller is told that a request has not run although it runs, or it runs twice.
#[gtest]
#[tokio::test]
async fn a_request_is_not_sent_again_on_a_connection_that_has_carried_it() {
    for extra in [Extra::NextSending, Extra::Idle, Extra::Split] {
        for (max_attempts, path) in [(3, "/once/a"), (4, "/once/a"), (3, "/safe/a")] {
            let back_end = RefusingBackEnd::start(2, extra).await;
            let edge = edge_before(&back_end, max_attempts).await;
            let answer = edge.request(path, "r").await;
            expect_that!(answer.status, eq(200), "{extra:?} {max_attempts} {path}");
            expect_that!(back_end.runs(), eq(1), "{extra:?} {max_attempts} {path}");
            expect_that!(back_end.extra_answers(), eq(0), "{extra:?} {max_attempts}");
        }
    }
}

/// Guards against the same answer if the next sending comes with another exchange: daemons that
/// relay a request to this one, or a caller that uses an id twice.
#[gtest]
#[tokio::test]
async fn a_refused_request_that_comes_again_takes_another_connection() {
    let back_end = RefusingBackEnd::start(1, Extra::NextSending).await;
    let edge = edge_before(&back_end, 1).await;
    let refused = edge.request("/once/a", "r").await;
    expect_that!(refused.status, eq(503));
    sleep(CLOSE_TIME).await;
    let answer = edge.request("/once/a", "r").await;
    expect_that!(back_end.extra_answers(), eq(0));
    expect_that!(back_end.runs(), eq(1));
    expect_that!(NOT_RUN_STATUSES.contains(&answer.status), eq(false));
}

/// Guards against a connection for each request: the connection of a refused request is kept for
/// others.
#[gtest]
#[tokio::test]
async fn the_connection_of_a_refused_request_carries_other_requests() {
    let back_end = RefusingBackEnd::start(1, Extra::NextSending).await;
    let edge = edge_before(&back_end, 2).await;
    for number in 0..10 {
        let answer = edge.request("/once/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
        sleep(CLOSE_TIME).await;
    }
    expect_that!(back_end.runs(), eq(10));
    expect_that!(back_end.connections(), eq(2));
}

/// Guards against an extra answer without an id that is believed: a request that must not be
/// repeated is sent again although it runs, or its caller is told that it has not run.
#[gtest]
#[tokio::test]
async fn an_answer_without_an_id_proves_nothing() {
    for status in [
        "429 X", "503 X", "421 X", "400 X", "500 X", "404 X", "200 OK",
    ] {
        let back_end = RefusingBackEnd::start(0, Extra::WithoutId(status)).await;
        let edge = edge_before(&back_end, 3).await;
        let answer = edge.request("/once/a", "r").await;
        sleep(CLOSE_TIME).await;
        expect_that!(back_end.runs(), eq(1), "{status}");
        expect_that!(answer.status, eq(502), "{status}");
    }
}

//! Answers that arrive while the caller still sends the body of its request.
//!
//! Guards against the rest of the body being taken for a request, other bytes being sent where the
//! rest of the body is due, and an early answer that is lost or framed as whole although it is cut.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::relays::start_relaying_to;
use common::{Edge, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// More than a daemon buffers.
const BODY_BYTES: usize = 3_000_000;
/// Part of the body that is sent before the answer is read.
const FIRST_BYTES: usize = 1_500_000;
/// Longer than a daemon waits for the end of a body once the answer is complete.
const PAUSE: Duration = Duration::from_millis(800);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The body consists of these: a daemon that loses count sees a request.
const BODY_LINE: &str = "GET /safe/smuggled HTTP/1.1\r\nhost: h.example\r\nx-request-id: x\r\n\r\n";

/// What the back end does once it has sent its early answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    ReadOn,
    Close,
    StopReading,
}

#[derive(Clone, Copy, Debug)]
struct EarlyAnswer {
    status: u16,
    headers: &'static str,
    body: &'static str,
    is_cut: bool,
    then: Then,
}

fn early_answers() -> Vec<EarlyAnswer> {
    let mut answers = Vec::new();
    let shapes = [
        ("content-length: 2\r\n", "ok", false),
        (
            "transfer-encoding: chunked\r\n",
            "2\r\nok\r\n0\r\n\r\n",
            false,
        ),
        ("content-length: 9\r\n", "ok", true),
        ("transfer-encoding: chunked\r\n", "2\r\nok\r\n", true),
    ];
    for status in [200, 400, 500] {
        for (headers, body, is_cut) in shapes {
            for then in [Then::ReadOn, Then::Close, Then::StopReading] {
                let answer = EarlyAnswer {
                    status,
                    headers,
                    body,
                    is_cut,
                    then,
                };
                // An answer is cut by the end of its connection.
                if !is_cut || then == Then::Close {
                    answers.push(answer);
                }
            }
        }
    }
    answers
}

/// The bytes that arrived on each connection, as text.
type Arrivals = Arc<Mutex<Vec<String>>>;

async fn start_backend(answer: EarlyAnswer) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let arrivals = Arrivals::default();
    let recorded = Arc::clone(&arrivals);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connections = recorded.lock().expect("no panic");
            connections.push(String::new());
            let index = connections.len() - 1;
            tokio::spawn(serve(stream, answer, Arc::clone(&recorded), index));
        }
    });
    (address, arrivals)
}

/// Records what arrives. Returns false at the end of the connection.
async fn record(stream: &mut TcpStream, arrivals: &Arrivals, index: usize) -> bool {
    let mut piece = vec![0; 64 * 1024];
    match stream.read(&mut piece).await {
        Ok(count) if count > 0 => {
            let text = String::from_utf8_lossy(&piece[..count]).into_owned();
            arrivals.lock().expect("no panic")[index].push_str(&text);
            true
        }
        _ => false,
    }
}

async fn serve(mut stream: TcpStream, answer: EarlyAnswer, arrivals: Arrivals, index: usize) {
    let head = loop {
        if !record(&mut stream, &arrivals, index).await {
            return;
        }
        let text = arrivals.lock().expect("no panic")[index].clone();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            break head.to_owned();
        }
    };
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "))
        .unwrap_or_default();
    let signed = format!("x-request-id: {id}\r\nx-signature: of-{id}\r\n");
    if id != "upload" {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{signed}content-length: 4\r\nconnection: close\r\n\r\ngood"
        );
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    }
    let EarlyAnswer {
        status,
        headers,
        body,
        then,
        ..
    } = answer;
    let text = format!("HTTP/1.1 {status} Early\r\n{signed}{headers}\r\n{body}");
    let _ = stream.write_all(text.as_bytes()).await;
    match then {
        Then::ReadOn => while record(&mut stream, &arrivals, index).await {},
        Then::Close => {
            // What is unread resets the connection: the answer has to be delivered first.
            sleep(Duration::from_millis(100)).await;
        }
        Then::StopReading => sleep(2 * PAUSE).await,
    }
}

fn upload_body() -> Vec<u8> {
    BODY_LINE.bytes().cycle().take(BODY_BYTES).collect()
}

/// Returns a part of a body as it is sent.
fn framed(body: &[u8], is_chunked: bool) -> Vec<u8> {
    match is_chunked {
        true => [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat(),
        false => body.to_vec(),
    }
}

/// Sends an upload whose answer comes early, then another request on the same connection. Returns
/// what the caller received.
async fn upload(address: SocketAddr, is_chunked: bool) -> String {
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {BODY_BYTES}"),
    };
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: upload\r\n{framing}\r\n\r\n"
    );
    let body = upload_body();
    let (first, rest) = body.split_at(FIRST_BYTES);
    let (mut reader, mut writer) = TcpStream::connect(address)
        .await
        .expect("connected")
        .into_split();
    let sent = [head.as_bytes(), &framed(first, is_chunked)].concat();
    let end: &[u8] = if is_chunked { b"0\r\n\r\n" } else { b"" };
    let next = b"GET /safe/next HTTP/1.1\r\nhost: h.example\r\nx-request-id: next\r\n\r\n";
    let later = [&framed(rest, is_chunked), end, &next[..]].concat();
    let sending = tokio::spawn(async move {
        // The daemon may close the connection.
        if writer.write_all(&sent).await.is_ok() {
            sleep(PAUSE).await;
            let _ = writer.write_all(&later).await;
        }
        sleep(PAUSE).await;
    });
    let mut answers = Vec::new();
    let mut piece = vec![0; 64 * 1024];
    while let Ok(Ok(count @ 1..)) = timeout(READ_TIMEOUT, reader.read(&mut piece)).await {
        answers.extend_from_slice(&piece[..count]);
    }
    sending.abort();
    String::from_utf8_lossy(&answers).into_owned()
}

/// Returns what is wrong with the bytes on one connection to the back end.
fn fault_of_connection(text: &str, is_chunked: bool) -> Option<String> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    if !head.contains("x-request-id: upload") {
        let is_next = head.starts_with("GET /safe/next ") || head.starts_with("GET /safe/after ");
        return (!is_next).then(|| format!("another request: {head}"));
    }
    let expected = String::from_utf8(upload_body()).expect("text");
    let is_part = match is_chunked {
        // The daemon may choose other chunks.
        true => !body.contains("GET /safe/next") && !body.contains("GET /safe/after"),
        false => expected.starts_with(body),
    };
    (!is_part).then(|| "other bytes where the body is due".to_owned())
}

async fn play(answer: EarlyAnswer, is_chunked: bool, is_relayed: bool) -> Vec<String> {
    let settings = RouteSettings {
        timeout_ms: 2_500,
        ..RouteSettings::default()
    };
    let (backend, arrivals) = start_backend(answer).await;
    let edge = Edge::start(settings, Vec::new()).await;
    let ready = instance_update(0, backend, InstancePhase::Ready);
    edge.state.adopt_instances(vec![ready]);
    let relaying = match is_relayed {
        true => Some(start_relaying_to(&edge, settings).await),
        false => None,
    };
    let entry = relaying.as_ref().map_or(&edge, |(entry, _)| entry);
    let text = upload(entry.server.address(), is_chunked).await;
    let mut faults = Vec::new();
    let status = text.get(9..12).unwrap_or_default().to_owned();
    let is_lost = ["502", "504", ""].contains(&status.as_str());
    let is_forwarded =
        status == answer.status.to_string() && text.contains("x-signature: of-upload");
    if !(is_lost || (is_forwarded && !answer.is_cut)) {
        faults.push(format!(
            "answer: {}",
            text.lines().next().unwrap_or_default()
        ));
    }
    if answer.then == Then::ReadOn && !is_forwarded {
        faults.push(format!("lost though the back end reads on: {status}"));
    }
    // At most one more answer, that of the next request.
    let more = text.matches("HTTP/1.1 ").count().saturating_sub(1);
    if more > 1 || text.contains("x-request-id: x\r\n") {
        faults.push(format!("{} answers", more + 1));
    }
    let after = entry.request("/safe/after", "after").await;
    if after.status == 200 && after.header("x-signature") != Some("of-after") {
        faults.push(format!("after: {}", after.head));
    }
    let connections = arrivals.lock().expect("no panic").clone();
    faults.extend(
        connections
            .iter()
            .filter_map(|text| fault_of_connection(text, is_chunked)),
    );
    faults
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn an_early_answer_belongs_to_its_request_and_the_rest_of_the_body_to_no_other() {
    let permits = Arc::new(tokio::sync::Semaphore::new(16));
    let mut plays = tokio::task::JoinSet::new();
    for answer in early_answers() {
        for is_chunked in [false, true] {
            for is_relayed in [false, true] {
                let permits = Arc::clone(&permits);
                plays.spawn(async move {
                    let _permit = permits.acquire_owned().await;
                    let faults = play(answer, is_chunked, is_relayed).await;
                    (
                        format!("{answer:?}, chunked {is_chunked}, relayed {is_relayed}"),
                        faults,
                    )
                });
            }
        }
    }
    while let Some(played) = plays.join_next().await {
        let (label, faults) = played.expect("no panic");
        expect_that!(faults, is_empty(), "{label}");
    }
}

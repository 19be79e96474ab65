//! Callers that send requests to each entry daemon at a constant rate, each on a new connection,
//! and record the first answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request and its answer as the caller sees them.
#[derive(Clone, Debug)]
pub struct Answered {
    pub id: String,
    /// Host of the daemon.
    pub host: u8,
    pub sent_at: Instant,
    pub took: Duration,
    /// 0 when there was no answer.
    pub status: u16,
}

/// Number of distinct objects.
const OBJECTS: u64 = 50;
/// Time that callers wait for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time between two requests to one daemon.
const PAUSE: Duration = Duration::from_millis(50);

/// The answers of a run.
#[derive(Clone, Default)]
pub struct Answers(Arc<Mutex<Vec<Answered>>>);

impl Answers {
    fn add(&self, answered: Answered) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(answered);
    }

    pub fn all(&self) -> Vec<Answered> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Sends requests to the daemon of `host` until `end` and waits for their answers. Every fourth
/// one may run at most once.
pub async fn call_daemon(host: u8, front: SocketAddr, end: Instant, answers: Answers) {
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let request = call(host, front, number, answers.clone());
        requests.push(tokio::spawn(request));
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
    for request in requests {
        request.await.expect("no panic in a caller");
    }
}

async fn call(host: u8, front: SocketAddr, number: u64, answers: Answers) {
    let is_once = number % 4 == 3;
    let kind = if is_once { "once" } else { "safe" };
    let id = format!("{kind}-{host}-{number}");
    let object = number % OBJECTS;
    let sent_at = Instant::now();
    let request = format!(
        "GET /{kind}/{object} HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n\
         x-request-id: {id}\r\nx-object-key: {object}\r\nx-deadline-ms: {}\r\n\r\n",
        CALLER_TIMEOUT.as_millis()
    );
    let answer = tokio::time::timeout(CALLER_TIMEOUT, exchange(front, &request)).await;
    let status = answer.ok().and_then(Result::ok).unwrap_or(0);
    answers.add(Answered {
        id,
        host,
        sent_at,
        took: sent_at.elapsed(),
        status,
    });
}

/// Sends a request on a new connection. Returns the status of the answer, or 0 if it is not
/// complete.
async fn exchange(front: SocketAddr, request: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(front).await?;
    // Closed connections would fill the kernel's table of sockets.
    stream.set_zero_linger()?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let answer = String::from_utf8_lossy(&bytes);
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return Ok(0);
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok())?
    });
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    match length == Some(body.len()) {
        true => Ok(status.unwrap_or(0)),
        false => Ok(0),
    }
}

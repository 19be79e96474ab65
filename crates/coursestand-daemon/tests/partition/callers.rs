//! Callers that send requests to each entry daemon at a constant rate, each on a new connection,
//! and record the first answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;

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
    let client = Client::builder()
        .timeout(CALLER_TIMEOUT)
        .pool_max_idle_per_host(0)
        .build()
        .expect("a client");
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let request = call(client.clone(), host, front, number, answers.clone());
        requests.push(tokio::spawn(request));
        number += 1;
        tokio::time::sleep(PAUSE).await;
    }
    for request in requests {
        request.await.expect("no panic in a caller");
    }
}

async fn call(client: Client, host: u8, front: SocketAddr, number: u64, answers: Answers) {
    let is_once = number % 4 == 3;
    let kind = if is_once { "once" } else { "safe" };
    let id = format!("{kind}-{host}-{number}");
    let object = number % OBJECTS;
    let sent_at = Instant::now();
    let request = client
        .get(format!("http://{front}/{kind}/{object}"))
        .header("host", "h.example")
        .header("x-request-id", &id)
        .header("x-object-key", object.to_string())
        .header("x-deadline-ms", CALLER_TIMEOUT.as_millis().to_string());
    let status = match request.send().await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            // An answer with an incomplete body counts as no answer.
            let body = answer.text().await;
            if body.is_ok() { status } else { 0 }
        }
        Err(_) => 0,
    };
    answers.add(Answered {
        id,
        host,
        sent_at,
        took: sent_at.elapsed(),
        status,
    });
}

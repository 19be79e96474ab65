//! Callers that send requests over persistent connections and record the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;

/// A request and its answer as the caller sees them.
#[derive(Clone, Debug, Default)]
pub struct SentRequest {
    pub id: String,
    /// When it was sent; `None` in requests that a test constructs.
    pub at: Option<Instant>,
    /// 0 when there was no answer.
    pub status: u16,
    /// Request id in the head of the answer.
    pub echoed: Option<String>,
    pub body: String,
}

/// All requests of a run.
#[derive(Default)]
pub struct RequestLog {
    requests: Mutex<Vec<SentRequest>>,
    next_number: AtomicU64,
    is_closed: AtomicBool,
}

impl RequestLog {
    pub fn requests(&self) -> Vec<SentRequest> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn add(&self, request: SentRequest) {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }
}

/// Sends requests until the log is closed, and switches to the next front after each failure.
/// Every second request may run at most once.
pub async fn call(log: Arc<RequestLog>, fronts: Vec<SocketAddr>, caller: usize, pause: Duration) {
    let client = Client::builder()
        .timeout(Duration::from_millis(2_500))
        .build()
        .expect("a client");
    let mut front = caller;
    while !log.is_closed() {
        let number = log.next_number.fetch_add(1, Ordering::Relaxed);
        let request = send(&client, fronts[front % fronts.len()], number).await;
        if request.status != 200 {
            front += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        log.add(request);
        tokio::time::sleep(pause).await;
    }
}

async fn send(client: &Client, front: SocketAddr, number: u64) -> SentRequest {
    let at = Some(Instant::now());
    let is_once = number % 2 == 1;
    let id = format!("{}-{number}", if is_once { "once" } else { "safe" });
    let prepared = if is_once {
        let url = format!("http://{front}/once/{number}");
        client.post(url).body(id.clone())
    } else {
        client.get(format!("http://{front}/safe/{number}"))
    };
    let answer = prepared
        .header("host", "h.example")
        .header("x-request-id", &id)
        .header("x-object-key", (number % 40).to_string())
        .send()
        .await;
    let mut request = SentRequest {
        id,
        at,
        ..SentRequest::default()
    };
    if let Ok(answer) = answer {
        let status = answer.status().as_u16();
        let echoed = answer.headers().get("x-request-id");
        request.echoed = echoed.and_then(|id| id.to_str().ok()).map(str::to_owned);
        // An answer with an incomplete body counts as no answer.
        if let Ok(body) = answer.text().await {
            request.status = status;
            request.body = body;
        }
    }
    request
}

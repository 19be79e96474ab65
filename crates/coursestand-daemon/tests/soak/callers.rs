//! Callers that look daemons up, keep their connections, and note what they got.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;

/// What a caller asked, and what it got.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    pub id: String,
    /// When it was sent; not told in records made by hand.
    pub at: Option<Instant>,
    /// 0 when there was no answer.
    pub status: u16,
    /// Identity in the head of the answer.
    pub echoed: Option<String>,
    pub body: String,
}

/// All that was asked.
#[derive(Default)]
pub struct Record {
    asked: Mutex<Vec<Asked>>,
    numbers: AtomicU64,
    has_ended: AtomicBool,
}

impl Record {
    pub fn asked(&self) -> Vec<Asked> {
        self.asked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn note(&self, asked: Asked) {
        self.asked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(asked);
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Asks the fronts one after the other until the record ends. Every second
/// request may run once only.
pub async fn call(record: Arc<Record>, fronts: Vec<SocketAddr>, caller: usize, pause: Duration) {
    let client = Client::builder()
        .timeout(Duration::from_millis(2_500))
        .build()
        .expect("a client");
    let mut front = caller;
    while !record.has_ended() {
        let number = record.numbers.fetch_add(1, Ordering::Relaxed);
        let asked = ask(&client, fronts[front % fronts.len()], number).await;
        if asked.status != 200 {
            front += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        record.note(asked);
        tokio::time::sleep(pause).await;
    }
}

async fn ask(client: &Client, front: SocketAddr, number: u64) -> Asked {
    let at = Some(Instant::now());
    let is_once = number % 2 == 1;
    let id = format!("{}-{number}", if is_once { "once" } else { "safe" });
    let request = if is_once {
        let url = format!("http://{front}/once/{number}");
        client.post(url).body(id.clone())
    } else {
        client.get(format!("http://{front}/safe/{number}"))
    };
    let answer = request
        .header("host", "h.example")
        .header("x-request-id", &id)
        .header("x-object-key", (number % 40).to_string())
        .send()
        .await;
    let mut asked = Asked {
        id,
        at,
        ..Asked::default()
    };
    if let Ok(answer) = answer {
        let status = answer.status().as_u16();
        let echoed = answer.headers().get("x-request-id");
        asked.echoed = echoed.and_then(|id| id.to_str().ok()).map(str::to_owned);
        // An answer without its whole body is none.
        if let Ok(body) = answer.text().await {
            asked.status = status;
            asked.body = body;
        }
    }
    asked
}

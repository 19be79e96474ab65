//! Operators who read and change the configuration at one control process each, whatever happens to
//! it, over connections that stay open.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coursestand_catalog::Patch;
use reqwest::{Client, RequestBuilder};
use tokio::task::JoinHandle;

use crate::deployment::{Deployment, one_route};
use crate::evacuations::CONTROLS;
use crate::operators::versions_in;
use crate::power_losses::ledger::{Ledger, check_read};

/// Time within which a process that runs answers, also by a refusal.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(150);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// A read or an order, which is repeated until the process answers or the time is over.
#[derive(Clone, Debug)]
pub struct Question {
    pub host: u8,
    pub what: &'static str,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub is_answered: bool,
    /// Whether the process took the first call and did not answer it in time.
    pub is_held: bool,
}

/// The questions at all control processes.
pub struct Questioners {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<(Vec<Question>, Vec<String>)>>,
}

impl Questioners {
    pub fn start(deployment: &Deployment, ledger: &Arc<Ledger>) -> Questioners {
        let is_over = Arc::new(AtomicBool::new(false));
        let questioner = |host, what| Questioner {
            host,
            what,
            url: format!("{}/v1/catalog", deployment.control_url(host)),
            client: client(),
            ledger: Arc::clone(ledger),
            is_over: Arc::clone(&is_over),
            version: 0,
            violations: Vec::new(),
        };
        let tasks = CONTROLS.into_iter().flat_map(|host| {
            let reads = questioner(host, "read").read_repeatedly();
            let orders = questioner(host, "order").order_repeatedly();
            [tokio::spawn(reads), tokio::spawn(orders)]
        });
        Questioners {
            tasks: tasks.collect(),
            is_over: Arc::clone(&is_over),
        }
    }

    /// Returns all questions, and reads that broke a promise.
    pub async fn finish(self) -> (Vec<Question>, Vec<String>) {
        self.is_over.store(true, Ordering::Relaxed);
        let (mut questions, mut violations) = (Vec::new(), Vec::new());
        for task in self.tasks {
            let (asked, found) = task.await.expect("no panic in a questioner");
            questions.extend(asked);
            violations.extend(found);
        }
        (questions, violations)
    }
}

fn client() -> Client {
    let client = Client::builder().timeout(ANSWER_LIMIT);
    client.build().expect("a client")
}

struct Questioner {
    host: u8,
    what: &'static str,
    url: String,
    client: Client,
    ledger: Arc<Ledger>,
    is_over: Arc<AtomicBool>,
    version: u64,
    violations: Vec<String>,
}

impl Questioner {
    async fn read_repeatedly(mut self) -> (Vec<Question>, Vec<String>) {
        let mut questions = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let acknowledged = self.ledger.acknowledged();
            let (question, answer) = self.ask(|it| it.client.get(&it.url)).await;
            questions.push(question);
            if let Some((200, text)) = answer {
                let sent = self.ledger.sent();
                let checked =
                    versions_in(&text).and_then(|found| check_read(&acknowledged, &sent, &found));
                if let Err(reason) = checked {
                    self.violations
                        .push(format!("read at {}: {reason}", self.host));
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        (questions, self.violations)
    }

    async fn order_repeatedly(mut self) -> (Vec<Question>, Vec<String>) {
        let mut questions = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let patch = self.next_change();
            let body = serde_json::to_string(&patch).expect("JSON");
            self.ledger.send(&patch);
            let call = |it: &Questioner| it.client.post(&it.url).body(body.clone());
            let (question, answer) = self.ask(call).await;
            if let Some((200, _)) = answer {
                self.ledger.acknowledge(&patch);
            }
            questions.push(question);
            tokio::time::sleep(PAUSE).await;
        }
        (questions, self.violations)
    }

    fn next_change(&mut self) -> Patch {
        self.version += 1;
        one_route(&format!("asked-{}", self.host), self.version)
    }

    /// Calls until there is an answer, and returns it with its status.
    async fn ask(
        &self,
        call: impl Fn(&Questioner) -> RequestBuilder,
    ) -> (Question, Option<(u16, String)>) {
        let sent_at = Instant::now();
        let mut is_held = None;
        let mut answer = None;
        while answer.is_none() && sent_at.elapsed() < ANSWER_LIMIT {
            let outcome = answer_to(call(self)).await;
            let is_timeout = |error: &reqwest::Error| error.is_timeout() && !error.is_connect();
            is_held.get_or_insert(outcome.as_ref().is_err_and(is_timeout));
            match outcome {
                Ok(found) => answer = Some(found),
                Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
        }
        let question = Question {
            host: self.host,
            what: self.what,
            sent_at,
            ended_at: Instant::now(),
            is_answered: answer.is_some(),
            is_held: is_held.unwrap_or_default(),
        };
        (question, answer)
    }
}

async fn answer_to(call: RequestBuilder) -> Result<(u16, String), reqwest::Error> {
    let answer = call.send().await?;
    let status = answer.status().as_u16();
    Ok((status, answer.text().await?))
}

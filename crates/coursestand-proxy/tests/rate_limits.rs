//! Requests to back ends that name a rate limit, from one daemon beside a control process
//! that a test plays.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Answer, Caller, Edge, Rules};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::EdgeState;
use coursestand_proxy::tokens::RateLimitMessage;
use coursestand_routing::rate_limit::TokenIssuer;
use coursestand_routing::{Rate, RateLimitUpdate};
use googletest::prelude::*;
use tokio::task::JoinHandle;

const LIMITED: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 5\r\n");
const NAMES_LITTLE: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 0.2\r\n");
const GOOD: Behaviour = Behaviour::Answer(200);
/// Far less than any time-out.
const AT_ONCE: Duration = Duration::from_millis(300);

fn control() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Answers requests for tokens as a control process that leads. Returns how many it got.
fn issue_tokens(state: &Arc<EdgeState>) -> JoinHandle<()> {
    state.set_following(true);
    let mut notes = state.rate_limit_messages();
    let state = Arc::clone(state);
    let mut issuer = TokenIssuer::default();
    tokio::spawn(async move {
        while let Ok(note) = notes.recv().await {
            let now = state.now();
            match note {
                RateLimitMessage::Update(news) => {
                    let named_at = now.saturating_sub(news.age_ms);
                    issuer.apply_update(now, news.backend, news.rate, named_at);
                }
                RateLimitMessage::Token {
                    number, request, ..
                } => {
                    let verdict = issuer.ask(now, &request);
                    state.handle_token_verdict(control(), number, &verdict);
                }
            }
        }
    })
}

async fn ask(edge: &Edge, id: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_about("/safe/a", id, id).await;
    caller.receive().await
}

/// Asks about an object each time, every 10 ms.
async fn ask_for(edge: &Edge, name: &str, time: Duration) -> Vec<Answer> {
    let begin = Instant::now();
    let mut answers = Vec::new();
    while begin.elapsed() < time {
        answers.push(ask(edge, &format!("{name}-{}", answers.len())).await);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Guards against a limit that costs callers their answers: what one back end can't take goes
/// to the next of the key.
#[gtest]
#[tokio::test]
async fn what_a_limited_back_end_cannot_take_goes_to_others() {
    let scripts = vec![(vec![], LIMITED), (vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start(Rules::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    ask_for(&edge, "before", Duration::from_millis(200)).await;
    let before = edge.backends[0].arrival_count();
    let answers = ask_for(&edge, "after", Duration::from_secs(3)).await;
    let arrived = edge.backends[0].arrival_count() - before;
    expect_that!(arrived, all![ge(10), le(17)]);
    expect_that!(answers.iter().all(|answer| answer.status == 200), eq(true));
    control.abort();
}

/// Guards against requests that wait for a token which can't come in time.
#[gtest]
#[tokio::test]
async fn with_all_back_ends_limited_a_request_is_refused_at_once() {
    let scripts = vec![(vec![], NAMES_LITTLE), (vec![], NAMES_LITTLE)];
    let edge = Edge::start(Rules::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    ask_for(&edge, "before", Duration::from_millis(300)).await;
    let asked = Instant::now();
    let answer = ask(&edge, "last").await;
    expect_that!(asked.elapsed(), le(AT_ONCE));
    expect_that!(
        (answer.status, answer.body.as_str()),
        eq((503, "rate-limited\n"))
    );
    let seconds: Option<f64> = answer
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    expect_that!(seconds, some(all![gt(0.1_f64), lt(8.0_f64)]));
    control.abort();
}

/// Guards against a limit that outlasts the back end's word.
#[gtest]
#[tokio::test]
async fn a_back_end_that_names_no_limit_any_more_is_in_full_use() {
    let scripts = vec![(vec![LIMITED; 6], GOOD)];
    let edge = Edge::start(Rules::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    ask_for(&edge, "limited", Duration::from_secs(2)).await;
    let before = edge.arrivals();
    let answers = ask_for(&edge, "after", Duration::from_secs(1)).await;
    expect_that!(edge.arrivals() - before, eq(answers.len()));
    expect_that!(edge.state.routing().backends.limited_count(), eq(0));
    control.abort();
}

/// Guards against a daemon that goes without control and keeps to no limit, or to the whole.
#[gtest]
#[tokio::test]
async fn without_control_a_daemon_keeps_to_its_own_part() {
    for follows in [false, true] {
        let edge = Edge::start(Rules::default(), vec![(vec![], LIMITED), (vec![], GOOD)]).await;
        // Connected with control, of which no process leads.
        edge.state.set_following(follows);
        ask_for(&edge, "before", Duration::from_millis(500)).await;
        let before = edge.backends[0].arrival_count();
        ask_for(&edge, "after", Duration::from_secs(4)).await;
        // Two a second are the part of all daemons; it knows no other.
        let arrived = edge.backends[0].arrival_count() - before;
        expect_that!(arrived, all![ge(1), le(9)], "follows: {follows}");
    }
}

/// Guards against one daemon that errs or lies and limits a back end at all others.
#[gtest]
#[tokio::test]
async fn a_limit_is_believed_of_two_other_daemons() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let state = &edge.state;
    let backend = state
        .routing()
        .backends
        .iter()
        .next()
        .map(|one| one.incarnation_hash);
    let news = |reporter| RateLimitUpdate {
        reporter,
        backend: backend.expect("a back end"),
        rate: Some(Rate::per_second(5.0)),
        age_ms: 0,
    };
    state.adopt_rate_limits(&[news(1), news(1)]);
    expect_that!(state.routing().backends.limited_count(), eq(0));
    state.adopt_rate_limits(&[news(2)]);
    expect_that!(state.routing().backends.limited_count(), eq(1));
}

/// Guards against a later incarnation that is bound by what an earlier one named.
#[gtest]
#[tokio::test]
async fn a_limit_belongs_to_the_incarnation_that_named_it() {
    let edge = Edge::start(Rules::default(), vec![(vec![], LIMITED)]).await;
    let address = edge.backends[0].address();
    let incarnation = |born| {
        let mut news = common::news(0, address, InstancePhase::Ready);
        news.instance.born = Some(born);
        news
    };
    edge.state.adopt_instances(vec![incarnation(1)]);
    ask(&edge, "first").await;
    expect_that!(edge.state.routing().backends.limited_count(), eq(1));
    edge.state.adopt_instances(vec![incarnation(2)]);
    expect_that!(edge.state.routing().backends.limited_count(), eq(0));
}

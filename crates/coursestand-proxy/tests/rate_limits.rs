//! Requests of one daemon to back ends that report a rate limit; the test acts as the
//! control process that issues tokens.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Answer, Caller, Edge, RouteSettings};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::EdgeState;
use coursestand_proxy::tokens::RateLimitMessage;
use coursestand_routing::rate_limit::TokenIssuer;
use coursestand_routing::{Rate, RateLimitUpdate};
use googletest::prelude::*;
use tokio::task::JoinHandle;

const LIMITED: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 5\r\n");
const LOW_LIMIT: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 0.2\r\n");
const GOOD: Behaviour = Behaviour::Answer(200);
/// Upper bound for an immediate refusal, far below any timeout.
const REFUSED_WITHIN: Duration = Duration::from_millis(300);

fn control() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Answers token requests as the leading control process does.
fn issue_tokens(state: &Arc<EdgeState>) -> JoinHandle<()> {
    state.set_following(true);
    let mut messages = state.rate_limit_messages();
    let state = Arc::clone(state);
    let mut issuer = TokenIssuer::default();
    tokio::spawn(async move {
        while let Ok(message) = messages.recv().await {
            let now = state.now();
            match message {
                RateLimitMessage::Update(update) => {
                    let reported_at = now.saturating_sub(update.age_ms);
                    issuer.apply_update(now, update.backend, update.rate, reported_at);
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

async fn request(edge: &Edge, id: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_for_object("/safe/a", id, id).await;
    caller.receive().await
}

/// Sends a request for another object every 10 ms.
async fn request_for(edge: &Edge, name: &str, time: Duration) -> Vec<Answer> {
    let begin = Instant::now();
    let mut answers = Vec::new();
    while begin.elapsed() < time {
        answers.push(request(edge, &format!("{name}-{}", answers.len())).await);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Guards against failed requests at the limit: what one back end can't take goes to the
/// next one in the preference order of the key.
#[gtest]
#[tokio::test]
async fn requests_above_the_limit_of_a_back_end_go_to_others() {
    let scripts = vec![(vec![], LIMITED), (vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    request_for(&edge, "before", Duration::from_millis(200)).await;
    let before = edge.backends[0].arrival_count();
    let answers = request_for(&edge, "after", Duration::from_secs(3)).await;
    let arrived = edge.backends[0].arrival_count() - before;
    expect_that!(arrived, all![ge(10), le(17)]);
    expect_that!(answers.iter().all(|answer| answer.status == 200), eq(true));
    control.abort();
}

/// Guards against requests that wait for a token which can't come in time.
#[gtest]
#[tokio::test]
async fn with_all_back_ends_limited_a_request_is_refused_at_once() {
    let scripts = vec![(vec![], LOW_LIMIT), (vec![], LOW_LIMIT)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    request_for(&edge, "before", Duration::from_millis(300)).await;
    let started = Instant::now();
    let answer = request(&edge, "last").await;
    expect_that!(started.elapsed(), le(REFUSED_WITHIN));
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

/// Guards against a limit that stays in force after the back end stopped reporting it.
#[gtest]
#[tokio::test]
async fn a_back_end_that_stops_reporting_a_limit_gets_all_requests() {
    let scripts = vec![(vec![LIMITED; 6], GOOD)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    let control = issue_tokens(&edge.state);
    request_for(&edge, "limited", Duration::from_secs(2)).await;
    let before = edge.arrival_count();
    let answers = request_for(&edge, "after", Duration::from_secs(1)).await;
    expect_that!(edge.arrival_count() - before, eq(answers.len()));
    expect_that!(edge.state.routing().backends.limited_count(), eq(0));
    control.abort();
}

/// Guards against a daemon that ignores the limit without control, or uses all of it alone.
#[gtest]
#[tokio::test]
async fn without_control_a_daemon_keeps_to_its_share_of_the_limit() {
    for is_following in [false, true] {
        let edge = Edge::start(
            RouteSettings::default(),
            vec![(vec![], LIMITED), (vec![], GOOD)],
        )
        .await;
        // If connected with control, then without a leader that issues tokens.
        edge.state.set_following(is_following);
        request_for(&edge, "before", Duration::from_millis(500)).await;
        let before = edge.backends[0].arrival_count();
        request_for(&edge, "after", Duration::from_secs(4)).await;
        // All daemons together may send two a second, and no other daemon is listed.
        let arrived = edge.backends[0].arrival_count() - before;
        expect_that!(arrived, all![ge(1), le(9)], "following: {is_following}");
    }
}

/// Guards against one faulty daemon that limits a back end at all others.
#[gtest]
#[tokio::test]
async fn a_limit_applies_when_two_other_daemons_report_it() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let state = &edge.state;
    let backend = state
        .routing()
        .backends
        .iter()
        .next()
        .map(|backend| backend.incarnation_hash);
    let update = |reporter| RateLimitUpdate {
        reporter,
        backend: backend.expect("a back end"),
        rate: Some(Rate::per_second(5.0)),
        age_ms: 0,
    };
    state.adopt_rate_limits(&[update(1), update(1)]);
    expect_that!(state.routing().backends.limited_count(), eq(0));
    state.adopt_rate_limits(&[update(2)]);
    expect_that!(state.routing().backends.limited_count(), eq(1));
}

/// Guards against applying the limit of an earlier incarnation to a later one.
#[gtest]
#[tokio::test]
async fn a_limit_applies_only_to_the_incarnation_that_reported_it() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], LIMITED)]).await;
    let address = edge.backends[0].address();
    let incarnation = |born| {
        let mut update = common::instance_update(0, address, InstancePhase::Ready);
        update.instance.born = Some(born);
        update
    };
    edge.state.adopt_instances(vec![incarnation(1)]);
    request(&edge, "first").await;
    expect_that!(edge.state.routing().backends.limited_count(), eq(1));
    edge.state.adopt_instances(vec![incarnation(2)]);
    expect_that!(edge.state.routing().backends.limited_count(), eq(0));
}

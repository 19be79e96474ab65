//! A caller receives the complete answer to its own request or a failure, never a part of
//! an answer or the answer to another request.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, NOT_RUN_STATUSES, RouteSettings};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const GOOD: Behaviour = Behaviour::Answer(200);

/// Behaviours that don't give the complete answer to the request.
fn broken_answers() -> Vec<Behaviour> {
    vec![
        Behaviour::CloseWithoutAnswer,
        Behaviour::TruncatedAnswer,
        Behaviour::TruncatedChunks,
        Behaviour::UnframedReset,
        Behaviour::Garbage,
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::UnrequestedEncoding,
        Behaviour::UnprovenRefusal,
    ]
}

/// Returns whether a caller received a success that is not the answer to its request.
fn is_wrong_answer(answer: &Answer, id: &str) -> bool {
    let is_success = (200..300).contains(&answer.status);
    let is_correct = answer.is_complete
        && answer.body == format!("body of {id}")
        && answer.header("x-signature").is_some()
        && answer.header("x-request-id") == Some(id)
        && answer.header("content-encoding").is_none();
    is_success && !is_correct
}

#[gtest]
#[tokio::test]
async fn a_complete_answer_is_forwarded_unchanged() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let answer = edge.request("/safe/a?b=c", "r1").await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body.as_str(), eq("body of r1"));
    expect_that!(answer.header("x-signature"), some(eq("signed-r1")));
    let runs = edge.backends[0].runs();
    expect_that!(runs[0].target.as_str(), eq("GET /safe/a?b=c"));
    expect_that!(runs[0].instance.as_str(), eq("i-0"));
}

#[gtest]
#[tokio::test]
async fn a_broken_answer_is_never_reported_as_a_success() {
    for behaviour in broken_answers() {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour.clone())]).await;
        for path in ["/safe/a", "/once/a"] {
            let answer = edge.request(path, "r1").await;
            expect_that!(answer.status, eq(502), "{behaviour:?} at {path}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_repeatable_request_is_retried_at_another_back_end_after_a_broken_answer() {
    for behaviour in broken_answers() {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], GOOD)];
        let edge = Edge::start(RouteSettings::default(), scripts).await;
        for number in 0..4 {
            let id = format!("r{number}");
            let answer = edge.request("/safe/a", &id).await;
            expect_that!(answer.status, eq(200), "{behaviour:?}");
            expect_that!(is_wrong_answer(&answer, &id), eq(false));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_surplus_answer_is_not_matched_to_the_next_request() {
    for behaviour in [Behaviour::DuplicateAnswer, Behaviour::EarlyAnswer] {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![behaviour], GOOD)]).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        let long = vec![b'x'; 300_000];
        caller.send("/once/a", "r1", "", &long).await;
        let first = caller.receive().await;
        expect_that!(first.status == 0 || first.is_complete, eq(true));
        for number in 2..6 {
            let id = format!("r{number}");
            let answer = edge.request("/once/a", &id).await;
            expect_that!(is_wrong_answer(&answer, &id), eq(false));
            expect_that!(answer.status, any![eq(200), eq(502)]);
        }
        // Each request ran with its own body or not at all.
        for run in edge.backends[0].runs() {
            let body = run.body.as_slice();
            expect_that!(body == b"a body" || body == long, eq(true));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_failure_of_the_back_end_is_forwarded_with_its_status() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], Behaviour::Answer(500))],
    )
    .await;
    let answer = edge.request("/once/a", "r1").await;
    expect_that!(answer.status, eq(500));
    expect_that!(answer.header("x-signature"), some(eq("signed-r1")));
}

#[gtest]
#[tokio::test]
async fn an_answer_to_a_disconnected_caller_is_not_given_to_the_next_caller() {
    let slow = Behaviour::Slow(Duration::from_millis(300));
    let edge = Edge::start(RouteSettings::default(), vec![(vec![slow], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "r1", "", b"").await;
    while edge.arrival_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    // The daemon closes the connection to the back end, which cancels the request.
    tokio::time::timeout(common::TEST_TIMEOUT, edge.backends[0].wait_for_abandoned(1))
        .await
        .expect("the request was not cancelled at the back end");
    let answer = edge.request("/safe/a", "r2").await;
    expect_that!(answer.body.as_str(), eq("body of r2"));
}

/// A naive relay that copies bytes without looking at requests and answers.
async fn naive_relay(backend: &ScriptedBackend) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let to = backend.address();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let Ok(mut backend) = tokio::net::TcpStream::connect(to).await else {
                continue;
            };
            tokio::spawn(async move {
                let mut piece = vec![0; 65_536];
                let count = caller.read(&mut piece).await.unwrap_or(0);
                let _ = backend.write_all(&piece[..count]).await;
                let _ = tokio::io::copy_bidirectional(&mut caller, &mut backend).await;
            });
        }
    });
    address
}

#[gtest]
#[tokio::test]
async fn the_check_detects_the_wrong_answers_of_a_naive_relay() {
    let mut detected = 0;
    for behaviour in [
        Behaviour::TruncatedAnswer,
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::UnrequestedEncoding,
    ] {
        let backend = ScriptedBackend::start(vec![], behaviour)
            .await
            .expect("a back end");
        let mut caller = Caller::connect(naive_relay(&backend).await).await;
        let answer = caller.request("/safe/a", "r1", "").await;
        detected += usize::from(is_wrong_answer(&answer, "r1"));
    }
    expect_that!(detected, eq(4));
}

#[gtest]
#[tokio::test]
async fn a_not_run_status_of_a_back_end_counts_only_with_its_proof() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], Behaviour::UnprovenRefusal)],
    )
    .await;
    let answer = edge.request("/once/a", "r1").await;
    expect_that!(NOT_RUN_STATUSES.contains(&answer.status), eq(false));
    expect_that!(edge.runs_of("r1"), eq(1));
}

/// Guards against decoding, merging or normalizing paths and queries: the back end receives
/// the bytes that the caller sent.
#[gtest]
#[tokio::test]
async fn a_back_end_receives_method_path_and_query_unchanged() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], Behaviour::Answer(200))],
    )
    .await;
    let targets = [
        "/safe/a?b=c&b=d&e",
        "/safe/%2e%2e/a%20b?x=%26",
        "/safe//a/./b/../c/",
        "/safe/a;v=1,2?",
        "/safe/~!$'()*+:@?q=/?:@",
    ];
    for (number, target) in targets.iter().enumerate() {
        let id = format!("r{number}");
        expect_that!(edge.request(target, &id).await.status, eq(200), "{target}");
        let runs = edge.backends[0].runs();
        let run = runs.iter().find(|run| run.id == id).expect("run");
        expect_that!(run.target, eq(&format!("GET {target}")));
    }
}

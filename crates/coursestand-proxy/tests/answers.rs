//! Callers get the whole answer to their own request, or a failure; never part
//! of an answer, and never another one.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, PROMISES, Rules};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const GOOD: Behaviour = Behaviour::Answer(200);

/// Everything that is not the back end's whole answer to the request.
fn broken() -> Vec<Behaviour> {
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

/// Whether a caller was given something that is not the answer to its request.
fn is_mixed(answer: &Answer, id: &str) -> bool {
    let is_success = (200..300).contains(&answer.status);
    let is_own = answer.is_whole
        && answer.body == format!("body of {id}")
        && answer.header("x-signature").is_some()
        && answer.header("x-request-id") == Some(id)
        && answer.header("content-encoding").is_none();
    is_success && !is_own
}

#[gtest]
#[tokio::test]
async fn a_whole_answer_is_passed_on_unchanged() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let answer = edge.ask("/safe/a?b=c", "r1").await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body.as_str(), eq("body of r1"));
    expect_that!(answer.header("x-signature"), some(eq("signed-r1")));
    let runs = edge.backends[0].runs();
    expect_that!(runs[0].target.as_str(), eq("GET /safe/a?b=c"));
    expect_that!(runs[0].instance.as_str(), eq("i-0"));
}

#[gtest]
#[tokio::test]
async fn a_broken_answer_is_never_told_as_a_success() {
    for behaviour in broken() {
        let edge = Edge::start(Rules::default(), vec![(vec![], behaviour.clone())]).await;
        for path in ["/safe/a", "/once/a"] {
            let answer = edge.ask(path, "r1").await;
            expect_that!(answer.status, eq(502), "{behaviour:?} at {path}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_repeatable_request_is_served_by_another_back_end() {
    for behaviour in broken() {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], GOOD)];
        let edge = Edge::start(Rules::default(), scripts).await;
        for number in 0..4 {
            let id = format!("r{number}");
            let answer = edge.ask("/safe/a", &id).await;
            expect_that!(answer.status, eq(200), "{behaviour:?}");
            expect_that!(is_mixed(&answer, &id), eq(false));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_second_answer_is_not_taken_for_the_next_request() {
    for behaviour in [Behaviour::DuplicateAnswer, Behaviour::EarlyAnswer] {
        let edge = Edge::start(Rules::default(), vec![(vec![behaviour], GOOD)]).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        let long = vec![b'x'; 300_000];
        caller.send("/once/a", "r1", "", &long).await;
        let first = caller.receive().await;
        expect_that!(first.status == 0 || first.is_whole, eq(true));
        for number in 2..6 {
            let id = format!("r{number}");
            let answer = edge.ask("/once/a", &id).await;
            expect_that!(is_mixed(&answer, &id), eq(false));
            expect_that!(answer.status, any![eq(200), eq(502)]);
        }
        // Each ran with its own body, or not at all.
        for run in edge.backends[0].runs() {
            let body = run.body.as_slice();
            expect_that!(body == b"a body" || body == long, eq(true));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_failure_of_the_back_end_is_passed_on_with_its_status() {
    let edge = Edge::start(Rules::default(), vec![(vec![], Behaviour::Answer(500))]).await;
    let answer = edge.ask("/once/a", "r1").await;
    expect_that!(answer.status, eq(500));
    expect_that!(answer.header("x-signature"), some(eq("signed-r1")));
}

#[gtest]
#[tokio::test]
async fn an_answer_to_a_caller_that_left_is_not_given_to_the_next() {
    let slow = Behaviour::Slow(Duration::from_millis(300));
    let edge = Edge::start(Rules::default(), vec![(vec![slow], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "r1", "", b"").await;
    while edge.arrivals() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    // The back end sees that its caller has gone.
    tokio::time::timeout(common::WITHIN, edge.backends[0].wait_for_abandoned(1))
        .await
        .expect("the request is cancelled");
    let answer = edge.ask("/safe/a", "r2").await;
    expect_that!(answer.body.as_str(), eq("body of r2"));
}

/// The naive version: passes bytes on over one kept connection, unseen.
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
async fn the_check_finds_what_a_naive_relay_mixes() {
    let mut found = 0;
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
        let answer = caller.ask("/safe/a", "r1", "").await;
        found += usize::from(is_mixed(&answer, "r1"));
    }
    expect_that!(found, eq(4));
}

#[gtest]
#[tokio::test]
async fn a_promise_of_a_back_end_counts_only_with_its_proof() {
    let edge = Edge::start(Rules::default(), vec![(vec![], Behaviour::UnprovenRefusal)]).await;
    let answer = edge.ask("/once/a", "r1").await;
    expect_that!(PROMISES.contains(&answer.status), eq(false));
    expect_that!(edge.runs_of("r1"), eq(1));
}

/// What a back end runs is what the caller sent, to the letter: paths and queries are not
/// decoded, joined or cleaned on the way.
#[gtest]
#[tokio::test]
async fn a_back_end_gets_method_path_and_query_as_they_were_sent() {
    let edge = Edge::start(Rules::default(), vec![(vec![], Behaviour::Answer(200))]).await;
    let targets = [
        "/safe/a?b=c&b=d&e",
        "/safe/%2e%2e/a%20b?x=%26",
        "/safe//a/./b/../c/",
        "/safe/a;v=1,2?",
        "/safe/~!$'()*+:@?q=/?:@",
    ];
    for (number, target) in targets.iter().enumerate() {
        let id = format!("r{number}");
        expect_that!(edge.ask(target, &id).await.status, eq(200), "{target}");
        let runs = edge.backends[0].runs();
        let run = runs.iter().find(|run| run.id == id).expect("run");
        expect_that!(run.target, eq(&format!("GET {target}")));
    }
}

//! Small bodies of calls whose callers stop sending.
#![allow(missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use coursestand_daemon::fleet::call_body::{
    BodyError, BodyLimits, CallBodies, CallBody, MAX_BODY_BYTES,
};
use googletest::prelude::*;
use poem::Body;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::JoinSet;

const KIB: usize = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(200);
const CROWD: usize = 100;

type ReadResult = std::result::Result<CallBody, BodyError>;

/// Returns a body whose sender stops after `sent` bytes and keeps the connection open.
async fn unfinished_body(sent: usize) -> (Body, DuplexStream) {
    let (mut sender, receiver) = tokio::io::duplex(sent);
    sender.write_all(&vec![b' '; sent]).await.expect("sent");
    (Body::from_async_read(receiver), sender)
}

/// Returns the limits of a reader that has room for eight small bodies at their full length.
fn low_limits() -> BodyLimits {
    BodyLimits {
        small_bytes: 8 * 64 * KIB,
        small_timeout: Duration::from_secs(3_600),
        ..BodyLimits::default()
    }
}

/// Guards against callers that stop in the middle of a heartbeat: what they had sent was kept for
/// as long as they stayed connected.
#[gtest]
#[tokio::test]
async fn a_small_body_that_stops_is_given_up() {
    let bodies = CallBodies::new(BodyLimits {
        small_timeout: SHORT,
        ..BodyLimits::default()
    });
    let (body, _sender) = unfinished_body(1_000).await;
    let reading = tokio::time::timeout(TIMEOUT, bodies.read(body, Some(2_000)));
    let result = reading.await.expect("given up");
    let is_too_slow = matches!(result.err(), Some(BodyError::TooSlow { .. }));
    expect_that!(is_too_slow, eq(true));
}

/// Guards against many small bodies at once that stop just short of their end: those that began
/// first give way, and a heartbeat is read all the same.
#[gtest]
#[tokio::test]
async fn small_bodies_are_bounded_together() {
    let bodies = Arc::new(CallBodies::new(low_limits()));
    let mut senders = Vec::new();
    let mut reading: JoinSet<ReadResult> = JoinSet::new();
    for _ in 0..CROWD {
        let (body, sender) = unfinished_body(60 * KIB).await;
        senders.push(sender);
        let bodies = Arc::clone(&bodies);
        reading.spawn(async move { bodies.read(body, None).await });
    }
    // At least 92 of them exceed the limit.
    for _ in 0..CROWD - 8 {
        let joining = tokio::time::timeout(TIMEOUT, reading.join_next());
        let result = joining.await.expect("given up").expect("one of the crowd");
        let error = result.expect("no panic").err();
        expect_that!(matches!(error, Some(BodyError::Overloaded)), eq(true));
    }
    let heartbeat = bodies.read(Body::from(vec![0; 300]), Some(300)).await;
    expect_that!(heartbeat.is_ok(), eq(true));
}

/// Guards against a bound that is never released.
#[gtest]
#[tokio::test]
async fn small_bodies_that_arrive_one_after_the_other_are_all_read() {
    let bodies = CallBodies::new(low_limits());
    for _ in 0..CROWD {
        let body = Body::from(vec![0; 60 * KIB]);
        expect_that!(bodies.read(body, None).await.is_ok(), eq(true));
    }
}

/// Guards against the buffer of a large body without a length, which grew to twice the limit.
#[gtest]
#[tokio::test]
async fn the_buffer_of_a_large_body_stays_within_the_limit() {
    let bodies = CallBodies::default();
    let body = bodies.read(Body::from(vec![0; MAX_BODY_BYTES - 1]), None);
    let body = body.await.expect("read");
    expect_that!(body.bytes.len(), eq(MAX_BODY_BYTES - 1));
    expect_that!(body.bytes.capacity(), le(MAX_BODY_BYTES));
    drop(body);
    let announced = bodies.read(Body::from(vec![0; 100 * KIB]), Some(100 * KIB));
    let announced = announced.await.expect("read");
    expect_that!(announced.bytes.len(), eq(100 * KIB));
}

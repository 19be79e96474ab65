//! Bodies of calls that are read with a bound on the bytes of large ones.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_daemon::fleet::call_body::{BodyError, CallBodies, MAX_BODY_BYTES};
use googletest::prelude::*;
use poem::Body;
use tokio::io::AsyncWriteExt;

const LARGE: usize = 1024 * 1024;
const TIMEOUT: Duration = Duration::from_millis(200);

/// Returns a body whose sender stops after `sent` bytes and keeps the connection open.
async fn unfinished_body(sent: usize) -> (Body, tokio::io::DuplexStream) {
    let (mut sender, receiver) = tokio::io::duplex(sent);
    sender.write_all(&vec![b' '; sent]).await.expect("sent");
    (Body::from_async_read(receiver), sender)
}

/// Guards against a caller that stops in the middle of a large change, for example because its
/// machine loses power: all later large changes would be refused.
#[gtest]
#[tokio::test]
async fn a_caller_that_stops_sending_loses_its_share() {
    let bodies = CallBodies::with_timeout(TIMEOUT);
    let (body, _sender) = unfinished_body(LARGE).await;
    let unfinished = bodies.read(body, Some(MAX_BODY_BYTES)).await;
    let is_too_slow = matches!(unfinished.err(), Some(BodyError::TooSlow { .. }));
    expect_that!(is_too_slow, eq(true));
    let next = bodies.read(Body::from(vec![0; LARGE]), Some(LARGE)).await;
    expect_that!(next.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_body_keeps_its_share_until_it_is_dropped() {
    let bodies = CallBodies::default();
    let large = || Body::from(vec![0; LARGE]);
    let first = bodies.read(large(), None).await.expect("read");
    expect_that!(first.bytes.len(), eq(LARGE));
    let refused = bodies.read(large(), Some(LARGE)).await;
    expect_that!(
        matches!(refused.err(), Some(BodyError::Overloaded)),
        eq(true)
    );
    let small = bodies.read(Body::from(vec![0; 1_000]), Some(1_000)).await;
    expect_that!(small.is_ok(), eq(true));
    drop(first);
    let next = bodies.read(large(), Some(LARGE)).await;
    expect_that!(next.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let bodies = CallBodies::default();
    let announced = bodies.read(Body::empty(), Some(MAX_BODY_BYTES + 1)).await;
    expect_that!(
        matches!(announced.err(), Some(BodyError::TooLong)),
        eq(true)
    );
    let unannounced = Body::from(vec![0; MAX_BODY_BYTES + 1]);
    let read = bodies.read(unannounced, None).await;
    expect_that!(matches!(read.err(), Some(BodyError::TooLong)), eq(true));
}

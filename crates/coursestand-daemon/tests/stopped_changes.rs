//! Large changes that stop, at a control process that others call too.
#![allow(missing_docs)]

use coursestand_daemon::fleet::call_body::{BodyError, CallBodies, MAX_BODY_BYTES};
use googletest::prelude::*;
use poem::Body;
use tokio::io::AsyncWriteExt;
use tokio::time::{Duration, sleep, timeout};

const LARGE: usize = 200 * 1024;
const SENT: usize = 65 * 1024;
const PAUSE: Duration = Duration::from_millis(300);
/// Operators try another process after a second.
const MAX_TIME: Duration = Duration::from_secs(1);

/// Guards against one caller that announces a large body and stops: for half a minute, every
/// other large change would be refused.
#[gtest]
#[tokio::test]
async fn a_large_body_that_stops_gives_way_to_one_that_arrives() {
    let bodies = CallBodies::default();
    let (mut sender, receiver) = tokio::io::duplex(SENT);
    sender.write_all(&[b' '; SENT]).await.expect("sent");
    let stopped = bodies.read(Body::from_async_read(receiver), Some(MAX_BODY_BYTES));
    let arriving = async {
        sleep(PAUSE).await;
        bodies.read(Body::from(vec![0; LARGE]), Some(LARGE)).await
    };
    let both = async { tokio::join!(stopped, arriving) };
    let (stopped, arrived) = timeout(MAX_TIME, both).await.expect("in time");
    expect_that!(arrived.is_ok(), eq(true));
    let is_refused = matches!(stopped.err(), Some(BodyError::Overloaded));
    expect_that!(is_refused, eq(true));
    drop(sender);
}

/// Guards against a large body that arrives, and is refused in favour of one that came later.
#[gtest]
#[tokio::test]
async fn a_large_body_that_arrives_keeps_its_room() {
    let bodies = CallBodies::default();
    let (mut sender, receiver) = tokio::io::duplex(SENT);
    let sending = async {
        for _ in 0..20 {
            sender.write_all(&[b' '; SENT]).await.expect("sent");
            sleep(PAUSE / 10).await;
        }
        drop(sender);
    };
    let first = bodies.read(Body::from_async_read(receiver), Some(20 * SENT));
    let second = async {
        sleep(PAUSE).await;
        let body = Body::from(vec![0; MAX_BODY_BYTES]);
        bodies.read(body, Some(MAX_BODY_BYTES)).await
    };
    let (first, second, ()) = tokio::join!(first, second, sending);
    expect_that!(first.is_ok(), eq(true));
    expect_that!(second.is_err(), eq(true));
}

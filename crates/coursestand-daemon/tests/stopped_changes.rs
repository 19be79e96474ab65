//! Large changes that stop, at a control process that others call too.
#![allow(missing_docs)]

use coursestand_daemon::fleet::call_body::{CallBodies, MAX_BODY_BYTES};
use googletest::prelude::*;
use poem::Body;
use tokio::io::AsyncWriteExt;
use tokio::time::{Duration, sleep};

const LARGE: usize = 200 * 1024;
const SENT: usize = 65 * 1024;
const PAUSE: Duration = Duration::from_millis(300);

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
    let arrived = tokio::select! {
        _ = stopped => panic!("the body has no end"),
        arrived = arriving => arrived,
    };
    expect_that!(arrived.is_ok(), eq(true));
    drop(sender);
}

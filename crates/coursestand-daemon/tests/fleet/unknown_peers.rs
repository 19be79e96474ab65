//! Connections to the internal port of a control process that don't say who they are.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{first_items, one_route};
use crate::{ALL_CONTROLS, form_group};

const MIB: u32 = 1024 * 1024;
/// Less than the time for a first message.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against unknown callers for which a control process reserves as much memory as they
/// announce: 64 MiB for each connection, which a limit on data counts at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_large_first_message_ends_the_connection() {
    let deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let mut connections = Vec::new();
    for _ in 0..20 {
        let address = deployment.internal(1);
        let mut connection = TcpStream::connect(address).await.expect("connected");
        let announced = 63 * MIB;
        let announcement = announced.to_be_bytes();
        connection.write_all(&announcement).await.expect("sent");
        connections.push(connection);
    }
    for connection in &mut connections {
        let closed = tokio::time::timeout(TIMEOUT, connection.read(&mut [0])).await;
        expect_that!(matches!(closed, Ok(Ok(0) | Err(_))), eq(true));
    }
    expect_that!(deployment.patch(&[1], &one_route("b", 1)).await, eq(200));
}

//! Guards against any number of large changes being read at the same time: operators that repeat
//! them while there is no leader would fill the memory of a control process.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{Deployment, first_items, one_route};
use crate::{ALL_CONTROLS, form_group};

const MIB: usize = 1024 * 1024;

/// Sends a call that announces a body of `length` bytes, and `sent` bytes of it.
async fn begin_call(deployment: &Deployment, length: usize, sent: usize) -> TcpStream {
    let authority = deployment.control_url(1).replace("http://", "");
    let mut connection = TcpStream::connect(&authority).await.expect("connected");
    let head = format!(
        "POST /v1/catalog HTTP/1.1\r\nhost: {authority}\r\ncontent-length: {length}\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.expect("sent");
    connection.write_all(&vec![b' '; sent]).await.expect("sent");
    connection
}

/// Returns the head of the response.
async fn response_head(connection: &mut TcpStream) -> String {
    let mut buffer = vec![0; 1_024];
    let reading = connection.read(&mut buffer);
    let count = tokio::time::timeout(Duration::from_secs(5), reading)
        .await
        .expect("a response in time")
        .expect("data");
    String::from_utf8_lossy(&buffer[..count]).to_lowercase()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_large_change_is_refused_while_others_fill_the_limit() {
    let deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let _unfinished = begin_call(&deployment, 12 * MIB, MIB).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut refused = begin_call(&deployment, 8 * MIB, MIB).await;
    let head = response_head(&mut refused).await;
    expect_that!(head, starts_with("http/1.1 503"));
    expect_that!(head, contains_substring("retry-after: 1"));
    // Small calls are not affected.
    expect_that!(deployment.patch(&[1], &one_route("b", 1)).await, eq(200));
}

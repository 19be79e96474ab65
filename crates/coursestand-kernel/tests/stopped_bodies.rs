//! Callers of an HTTP server whose heads are long and whose bodies stop.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_kernel::http::{HttpServer, ServerOptions};
use coursestand_kernel::open_connections::IncomingCall;
use coursestand_kernel::server_limits::ServerLimits;
use googletest::prelude::*;
use poem::{Request, Response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MIB: u64 = 1024 * 1024;
const MEMORY_BYTES: u64 = 260 * MIB;
const CALLERS: usize = 400;
const HEAD_BYTES: usize = 60_000;
const PAGE_BYTES: u64 = 4_096;

async fn answer(mut request: Request) -> poem::Result<Response> {
    let call = request.extensions().get::<IncomingCall>().cloned();
    let receiving = call.expect("a call").receive_body();
    let body = request.take_body().into_vec().await?;
    drop(receiving);
    Ok(Response::builder().body(body))
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("read");
    let pages: u64 = statm
        .split(' ')
        .nth(1)
        .expect("a figure")
        .parse()
        .expect("a number");
    pages * PAGE_BYTES
}

/// Guards against heads that count for nothing while the bodies of their calls arrive.
#[gtest]
#[tokio::test]
async fn heads_of_calls_whose_bodies_stop_are_bounded() {
    let limits = ServerLimits {
        max_connections: CALLERS,
        ..ServerLimits::for_memory(MEMORY_BYTES)
    };
    let options = ServerOptions {
        grace: Duration::ZERO,
        limits,
    };
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start(any, poem::endpoint::make(answer), options);
    let server = server.await.expect("a server");
    let mut head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\nx-padding: ".to_vec();
    head.resize(HEAD_BYTES, b'x');
    head.extend_from_slice(b"\r\n\r\nx");
    let before = resident_bytes();
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(server.address())
            .await
            .expect("connected");
        stream.write_all(&head).await.expect("sent");
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let grown = resident_bytes().saturating_sub(before);
    println!(
        "grown by {} KiB, bound {} KiB",
        grown / 1024,
        limits.max_incomplete_bytes / 1024
    );
    expect_that!(grown, le(limits.max_incomplete_bytes as u64));
    drop(streams);
}

//! Kept connections between processes.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use coursestand_transport::stream;
use googletest::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

/// Before the first attempt's repeat, after its failure.
const STARTS_AFTER: Duration = Duration::from_millis(50);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

async fn listen_later(address: SocketAddr) -> TcpListener {
    tokio::time::sleep(STARTS_AFTER).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("set");
    socket.bind(address).expect("bound");
    socket.listen(8).expect("listening")
}

#[gtest]
#[tokio::test]
async fn a_process_that_starts_meanwhile_is_reached_by_the_same_call() {
    let address = free_address();
    let listening = tokio::spawn(listen_later(address));
    let connected = stream::connect::<u8, u8>(address).await;
    expect_that!(connected.is_ok(), eq(true));
    drop(listening.await.expect("a listener"));
}

/// Fills the queue of connections that wait to be accepted, so that the next one's
/// opening packets get no answer, as behind a link that is full.
async fn fill_queue(address: SocketAddr) -> Vec<tokio::net::TcpStream> {
    let mut waiting = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(connected) =
        tokio::time::timeout(limit, tokio::net::TcpStream::connect(address)).await
    {
        waiting.push(connected.expect("a connection"));
    }
    waiting
}

#[gtest]
#[tokio::test]
async fn an_answer_that_takes_over_a_second_is_waited_for() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(free_address()).expect("bound");
    let listener = socket.listen(1).expect("listening");
    let address = listener.local_addr().expect("an address");
    let waiting = fill_queue(address).await;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let mut kept_open = Vec::new();
        while let Ok((accepted, _)) = listener.accept().await {
            kept_open.push(accepted);
        }
    });
    let connected = stream::connect::<u8, u8>(address).await;
    expect_that!(connected.is_ok(), eq(true));
    drop(waiting);
}

#[gtest]
#[tokio::test]
async fn nobody_at_the_address_is_an_error() {
    let connected = stream::connect::<u8, u8>(free_address()).await;
    expect_that!(connected.is_err(), eq(true));
}

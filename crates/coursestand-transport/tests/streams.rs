//! Connecting of persistent streams between processes.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use coursestand_transport::stream;
use googletest::prelude::*;
use tokio::net::{TcpListener, TcpSocket};

/// After the first attempt has failed and before the next one.
const LISTEN_DELAY: Duration = Duration::from_millis(50);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

async fn listen_later(address: SocketAddr) -> TcpListener {
    tokio::time::sleep(LISTEN_DELAY).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("set");
    socket.bind(address).expect("bound");
    socket.listen(8).expect("listening")
}

#[gtest]
#[tokio::test]
async fn connect_reaches_a_process_that_starts_during_the_call() {
    let address = free_address();
    let listening = tokio::spawn(listen_later(address));
    let connected = stream::connect::<u8, u8>(address).await;
    expect_that!(connected.is_ok(), eq(true));
    drop(listening.await.expect("a listener"));
}

/// Fills the listener's accept queue, so that the handshake packets of the next
/// connection get no answer, as on a saturated link.
async fn fill_queue(address: SocketAddr) -> Vec<tokio::net::TcpStream> {
    let mut queued = Vec::new();
    let limit = Duration::from_millis(100);
    while let Ok(connected) =
        tokio::time::timeout(limit, tokio::net::TcpStream::connect(address)).await
    {
        queued.push(connected.expect("a connection"));
    }
    queued
}

#[gtest]
#[tokio::test]
async fn connect_waits_for_a_handshake_of_more_than_a_second() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(free_address()).expect("bound");
    let listener = socket.listen(1).expect("listening");
    let address = listener.local_addr().expect("an address");
    let queued = fill_queue(address).await;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let mut kept_open = Vec::new();
        while let Ok((accepted, _)) = listener.accept().await {
            kept_open.push(accepted);
        }
    });
    let connected = stream::connect::<u8, u8>(address).await;
    expect_that!(connected.is_ok(), eq(true));
    drop(queued);
}

#[gtest]
#[tokio::test]
async fn connect_fails_if_no_process_listens() {
    let connected = stream::connect::<u8, u8>(free_address()).await;
    expect_that!(connected.is_err(), eq(true));
}

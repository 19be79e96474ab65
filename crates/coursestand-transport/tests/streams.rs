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

#[gtest]
#[tokio::test]
async fn nobody_at_the_address_is_an_error() {
    let connected = stream::connect::<u8, u8>(free_address()).await;
    expect_that!(connected.is_err(), eq(true));
}

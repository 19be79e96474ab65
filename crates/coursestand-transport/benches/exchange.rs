//! Latency of an exchange, with sequential requests to one peer and with concurrent
//! requests to 11 peers.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_transport::{Client, Handler, Server};

const EXCHANGES: usize = 5_000;
const PEERS: usize = 11;
const DEADLINE: Duration = Duration::from_secs(5);

struct Echo;

impl Handler<Vec<u8>, Vec<u8>> for Echo {
    async fn handle(&self, request: Vec<u8>) -> Vec<u8> {
        request
    }
}

fn address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.77.4.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

async fn latencies(client: &Client<Vec<u8>, Vec<u8>>, count: usize) -> Vec<u128> {
    let message = vec![7; 200];
    let mut micros = Vec::with_capacity(count);
    for _ in 0..count {
        let began = Instant::now();
        client
            .exchange(&message, DEADLINE)
            .await
            .expect("an answer");
        micros.push(began.elapsed().as_micros());
    }
    micros
}

fn print(name: &str, mut micros: Vec<u128>) {
    micros.sort_unstable();
    let at = |quantile: f64| micros[((micros.len() - 1) as f64 * quantile) as usize];
    println!("{name}: p50 {} us, p99 {} us", at(0.5), at(0.99));
}

#[tokio::main]
async fn main() {
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        let address = address();
        let server = Server::start(address, 16, Arc::new(Echo)).expect("listens");
        let client = Arc::new(Client::new(address).expect("a client"));
        peers.push((server, client));
    }
    let first = &peers[0].1;
    latencies(first, EXCHANGES / 10).await;
    print(
        "one exchange after the other",
        latencies(first, EXCHANGES).await,
    );
    let tasks: Vec<_> = peers
        .iter()
        .map(|(_, client)| {
            let client = Arc::clone(client);
            tokio::spawn(async move { latencies(&client, EXCHANGES / PEERS).await })
        })
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.expect("ends"));
    }
    print("with 11 peers at the same time", all);
}

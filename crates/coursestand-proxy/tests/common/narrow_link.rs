//! The link of an emulated machine: what passes it in one direction shares one queue,
//! whatever connection it is on.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Bytes that one read takes: about a segment.
const SEGMENT: usize = 1_400;

/// One direction of the link.
pub struct Direction {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new(bytes_per_second: f64) -> Direction {
        Direction {
            bytes_per_second,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns once so many bytes, and all that came before them, have passed.
    async fn pass(&self, bytes: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().expect("not poisoned");
            let took = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + took;
            *free_at
        };
        sleep_until(passed_at).await;
    }
}

/// The link of a machine.
#[derive(Clone)]
pub struct NarrowLink {
    inbound: Arc<Direction>,
    outbound: Arc<Direction>,
}

impl NarrowLink {
    /// A link that carries so many bytes a second in each direction.
    pub fn new(bytes_per_second: f64) -> NarrowLink {
        NarrowLink {
            inbound: Arc::new(Direction::new(bytes_per_second)),
            outbound: Arc::new(Direction::new(bytes_per_second)),
        }
    }

    /// Where callers reach the machine's server at `server` through the link.
    pub async fn in_front_of(&self, server: SocketAddr) -> SocketAddr {
        relay(
            server,
            Arc::clone(&self.inbound),
            Arc::clone(&self.outbound),
        )
        .await
    }

    /// Where the machine reaches `peer` through the link.
    pub async fn behind(&self, peer: SocketAddr) -> SocketAddr {
        relay(peer, Arc::clone(&self.outbound), Arc::clone(&self.inbound)).await
    }
}

async fn relay(to: SocketAddr, there: Arc<Direction>, back: Arc<Direction>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(carry(near_read, far_write, Arc::clone(&there)));
            tokio::spawn(carry(far_read, near_write, Arc::clone(&back)));
        }
    });
    address
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Arc<Direction>) {
    let mut segment = [0; SEGMENT];
    while let Ok(count) = from.read(&mut segment).await {
        if count == 0 {
            break;
        }
        direction.pass(count).await;
        if to.write_all(&segment[..count]).await.is_err() {
            break;
        }
    }
    // The peer may be gone already.
    let _ = to.shutdown().await;
}

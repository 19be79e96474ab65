//! The emulated network link of a machine: all connections share one queue per direction.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// Upper bound of a read, about one TCP segment.
const SEGMENT_BYTES: usize = 1_400;

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

    /// Waits until these bytes, and all that were queued before them, have passed.
    async fn pass(&self, bytes: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().expect("not poisoned");
            let transmission_time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + transmission_time;
            *free_at
        };
        sleep_until(passed_at).await;
    }
}

/// The network link of a machine.
#[derive(Clone)]
pub struct NarrowLink {
    inbound: Arc<Direction>,
    outbound: Arc<Direction>,
}

impl NarrowLink {
    /// Creates a link with this rate in each direction.
    pub fn new(bytes_per_second: f64) -> NarrowLink {
        NarrowLink {
            inbound: Arc::new(Direction::new(bytes_per_second)),
            outbound: Arc::new(Direction::new(bytes_per_second)),
        }
    }

    /// Returns the address at which callers reach the machine's server through the link.
    pub async fn in_front_of(&self, server: SocketAddr) -> SocketAddr {
        relay(
            server,
            Arc::clone(&self.inbound),
            Arc::clone(&self.outbound),
        )
        .await
    }

    /// Returns the address at which the machine reaches `peer` through the link.
    pub async fn behind(&self, peer: SocketAddr) -> SocketAddr {
        relay(peer, Arc::clone(&self.outbound), Arc::clone(&self.inbound)).await
    }
}

async fn relay(to: SocketAddr, forward: Arc<Direction>, backward: Arc<Direction>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(copy_through(near_read, far_write, Arc::clone(&forward)));
            tokio::spawn(copy_through(far_read, near_write, Arc::clone(&backward)));
        }
    });
    address
}

async fn copy_through(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Arc<Direction>) {
    let mut segment = [0; SEGMENT_BYTES];
    while let Ok(count) = from.read(&mut segment).await {
        if count == 0 {
            break;
        }
        direction.pass(count).await;
        if to.write_all(&segment[..count]).await.is_err() {
            break;
        }
    }
    // The peer may have closed the connection already.
    let _ = to.shutdown().await;
}

//! Relays between the control processes that have the delay and the bandwidth of distant regions.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// One way.
const DELAY: Duration = Duration::from_millis(35);
/// 280 Mbit/s, for all connections of a relay together.
const BYTES_PER_S: f64 = 35.0e6;
/// Bytes of one connection that are on their way and not acknowledged.
const WINDOW_BYTES: usize = 236 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;

/// When the relay's line is free again, in each direction.
type Line = Arc<Mutex<Instant>>;

/// Forwards connections to one process until it is dropped.
pub struct DistantLink {
    target_ip: IpAddr,
    accepting: JoinHandle<()>,
}

impl Drop for DistantLink {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl DistantLink {
    /// Starts a relay that listens on `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> DistantLink {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let (to_target, from_target) = (new_line(), new_line());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let lines = (Arc::clone(&to_target), Arc::clone(&from_target));
                tokio::spawn(forward(stream, target, lines));
            }
        });
        DistantLink {
            target_ip: target.ip(),
            accepting,
        }
    }

    /// Returns the IP address on which the process has to listen.
    pub fn target_ip(&self) -> IpAddr {
        self.target_ip
    }
}

fn new_line() -> Line {
    Arc::new(Mutex::new(Instant::now()))
}

/// Returns when `bytes` that enter the line now arrive at its other end.
fn arrival(line: &Line, bytes: usize) -> Instant {
    let mut free_at = line.lock().unwrap_or_else(PoisonError::into_inner);
    let began_at = (*free_at).max(Instant::now());
    *free_at = began_at + Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
    *free_at + DELAY
}

async fn forward(caller: TcpStream, target: SocketAddr, lines: (Line, Line)) {
    let Ok(process) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = process.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_process, to_process) = process.into_split();
    // The end of one direction ends the other.
    tokio::select! {
        () = carry(from_caller, to_process, lines.0) => {}
        () = carry(from_process, to_caller, lines.1) => {}
    }
}

struct Segment {
    bytes: Vec<u8>,
    arrives_at: Instant,
    window: OwnedSemaphorePermit,
}

async fn carry(from: OwnedReadHalf, to: OwnedWriteHalf, line: Line) {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::join!(collect(from, line, sender), deliver(receiver, to));
}

async fn collect(mut from: OwnedReadHalf, line: Line, sender: mpsc::UnboundedSender<Segment>) {
    let window = Arc::new(Semaphore::new(WINDOW_BYTES));
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        let permits = Arc::clone(&window).acquire_many_owned(count as u32).await;
        let segment = Segment {
            bytes: chunk[..count].to_vec(),
            arrives_at: arrival(&line, count),
            window: permits.expect("an open semaphore"),
        };
        if count == 0 || sender.send(segment).is_err() {
            return;
        }
    }
}

async fn deliver(mut receiver: mpsc::UnboundedReceiver<Segment>, mut to: OwnedWriteHalf) {
    while let Some(segment) = receiver.recv().await {
        tokio::time::sleep_until(segment.arrives_at).await;
        if to.write_all(&segment.bytes).await.is_err() {
            return;
        }
        // The acknowledgement takes the same way back.
        let window = segment.window;
        tokio::spawn(async move {
            tokio::time::sleep(DELAY).await;
            drop(window);
        });
    }
}

//! A loopback relay in front of a back end or a control process, which injects faults into its connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A fault that the relay injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards all data.
    None,
    /// Delays each chunk.
    Delay(Duration),
    /// Forwards requests but no answers.
    SilentAnswers,
    /// Forwards no data.
    Silent,
    /// Resets open and new connections.
    Reset,
}

/// Forwards connections to one address until it is dropped.
pub struct Relay {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    accepting: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Relay {
        Relay::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Starts a relay that listens on `address`; port 0 stands for any free one.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let address = listener.local_addr().expect("an address");
        let fault = watch::Sender::new(LinkFault::None);
        let receiver = fault.subscribe();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, receiver.clone()));
            }
        });
        Relay {
            address,
            fault,
            accepting,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    let Ok(mut backend) = TcpStream::connect(target).await else {
        return;
    };
    // With zero linger, dropping a connection resets it.
    let _ = caller.set_zero_linger();
    let _ = backend.set_zero_linger();
    // Owned halves would shut their connections down gracefully when they are dropped.
    let (from_caller, to_caller) = caller.split();
    let (from_backend, to_backend) = backend.split();
    let mut resetting = fault.clone();
    let requests = copy(from_caller, to_backend, fault.clone(), LinkFault::Silent);
    let answers = copy(from_backend, to_caller, fault, LinkFault::SilentAnswers);
    tokio::select! {
        // A reset of one side resets the other.
        _ = async { tokio::try_join!(requests, answers) } => {}
        // Also completes if the relay was dropped.
        _ = resetting.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

/// Copies data in one direction. Pauses while the fault is `silenced` or `LinkFault::Silent`.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<LinkFault>,
    silenced: LinkFault,
) -> std::io::Result<()> {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let current = *fault.borrow();
        if let LinkFault::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        let forwards = |fault: &LinkFault| *fault != LinkFault::Silent && *fault != silenced;
        // Fails if the relay was dropped.
        let _ = fault.wait_for(forwards).await;
        to.write_all(&chunk[..count]).await?;
    }
}

//! A loopback relay before a back end, which harms connections on order.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Passes everything on.
    None,
    /// Holds each piece up.
    Delay(Duration),
    /// Passes requests on, and no answers.
    SilentAnswers,
    /// Passes nothing on.
    Silent,
    /// Resets what is open and what comes.
    Reset,
}

/// A relay to one address.
pub struct Relay {
    address: SocketAddr,
    harm: watch::Sender<Harm>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let harm = watch::Sender::new(Harm::None);
        let watching = harm.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watching.clone()));
            }
        });
        Relay { address, harm }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn pass(mut caller: TcpStream, target: SocketAddr, harm: watch::Receiver<Harm>) {
    let Ok(mut backend) = TcpStream::connect(target).await else {
        return;
    };
    // Dropped without a proper end, both connections are reset.
    let _ = caller.set_zero_linger();
    let _ = backend.set_zero_linger();
    // Owned halves would end their connections properly when they are dropped.
    let (from_caller, to_caller) = caller.split();
    let (from_backend, to_backend) = backend.split();
    let mut resetting = harm.clone();
    let requests = copy(from_caller, to_backend, harm.clone(), Harm::Silent);
    let answers = copy(from_backend, to_caller, harm, Harm::SilentAnswers);
    tokio::select! {
        // A reset of one side ends both, and resets the other.
        _ = async { tokio::try_join!(requests, answers) } => {}
        // The sender lives as long as the relay.
        _ = resetting.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

/// Copies one direction, which `silenced` stops as well as `Harm::Silent` does.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut harm: watch::Receiver<Harm>,
    silenced: Harm,
) -> std::io::Result<()> {
    let mut piece = [0; 16 * 1024];
    loop {
        let count = from.read(&mut piece).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        let now = *harm.borrow();
        if let Harm::Delay(pause) = now {
            tokio::time::sleep(pause).await;
        }
        let passes = |harm: &Harm| *harm != Harm::Silent && *harm != silenced;
        // The sender lives as long as the relay.
        let _ = harm.wait_for(passes).await;
        to.write_all(&piece[..count]).await?;
    }
}

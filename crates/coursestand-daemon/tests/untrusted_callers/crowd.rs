//! Callers that send more than they may, or stop before the end, and keep their connections
//! open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time in which the callers of a crowd send.
pub const SEND_TIME: Duration = Duration::from_secs(3);

/// What one caller sends: the start, then the pieces. It reads nothing and closes nothing.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: Vec<u8>,
    pub piece: Vec<u8>,
    /// Number of times that the piece is sent.
    pub pieces: usize,
    /// Time between two pieces.
    pub pause: Duration,
}

impl Message {
    /// A message that is sent at once.
    pub fn once(start: impl Into<Vec<u8>>) -> Message {
        Message {
            start: start.into(),
            ..Message::default()
        }
    }

    /// Appends `piece` as often as it takes to send about `bytes` bytes of it.
    pub fn then_repeat(self, piece: impl Into<Vec<u8>>, bytes: usize) -> Message {
        let piece = piece.into();
        Message {
            pieces: bytes / piece.len(),
            piece,
            ..self
        }
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.start).await?;
        for _ in 0..self.pieces {
            stream.write_all(&self.piece).await?;
            if !self.pause.is_zero() {
                sleep(self.pause).await;
            }
        }
        Ok(())
    }
}

/// The callers at one address, whose connections are closed on drop.
#[derive(Default)]
pub struct Crowd {
    callers: JoinSet<()>,
}

impl Crowd {
    /// Starts callers that send `message` until `send_time` has passed.
    pub fn add(
        &mut self,
        address: SocketAddr,
        callers: usize,
        message: &Message,
        send_time: Duration,
    ) {
        let message = Arc::new(message.clone());
        for _ in 0..callers {
            let message = Arc::clone(&message);
            self.callers.spawn(async move {
                // A caller whose connection is refused or closed does not come again.
                let connecting = timeout(send_time, TcpStream::connect(address)).await;
                if let Ok(Ok(mut stream)) = connecting {
                    let _ = timeout(send_time, message.send(&mut stream)).await;
                    std::future::pending::<()>().await;
                }
            });
        }
    }
}

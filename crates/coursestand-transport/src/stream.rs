//! Kept TCP connections that carry typed messages both ways.
//!
//! `nng` gives no hold on a connection's time-outs: behind a silent cut, its
//! connections wait for the system's retransmissions, which take longer with each
//! try. These connections end by themselves when the peer confirms nothing.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::select_ok;
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::frame::{MAX_FRAME_BYTES, TransportError, decode, encode};

/// A peer that confirms no bytes for this long is lost.
pub const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time to make a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Why a stream ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StreamError {
    /// The connection failed.
    #[snafu(display("connection: {source}"))]
    Connection {
        /// Cause.
        source: io::Error,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("message: {source}"))]
    Message {
        /// Cause.
        source: TransportError,
    },
    /// Nothing came for too long.
    #[snafu(display("nothing came for {limit_ms} ms"))]
    Silent {
        /// Longest time without a message.
        limit_ms: u128,
    },
    /// The peer ended the connection.
    #[snafu(display("the peer ended the connection"))]
    Ended,
}

impl StreamError {
    /// Whether the peer fell silent, as one without power or behind a cut does. One
    /// whose process ended resets or ends its connections.
    pub fn is_silence(&self) -> bool {
        match self {
            StreamError::Silent { .. } => true,
            StreamError::Connection { source } => source.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }
}

/// Receives messages of one type.
pub struct Receiver<T> {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    message: PhantomData<T>,
}

/// Sends messages of one type.
pub struct Sender<T> {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    message: PhantomData<T>,
}

/// Times at which attempts to connect begin. A machine that comes back does not
/// answer what was sent to it before, and the system repeats that a second later:
/// a fresh attempt finds it sooner.
const ATTEMPTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
];

async fn connect_after(pause: Duration, address: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::sleep(pause).await;
    TcpStream::connect(address).await
}

/// Connects to `address`: the first attempt that succeeds counts.
pub async fn connect<In, Out>(
    address: SocketAddr,
) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    let attempts = ATTEMPTS.map(|pause| Box::pin(connect_after(pause, address)));
    let connecting = tokio::time::timeout(CONNECT_LIMIT, select_ok(attempts));
    let (stream, _) = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
        .context(ConnectionSnafu)?
        .context(ConnectionSnafu)?;
    split(stream)
}

/// Messages over a connection that was made or accepted.
pub fn split<In, Out>(stream: TcpStream) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    stream.set_nodelay(true).context(ConnectionSnafu)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(SILENCE))
        .context(ConnectionSnafu)?;
    let (read, write) = stream.into_split();
    let receiver = Receiver {
        frames: FramedRead::new(read, codec()),
        message: PhantomData,
    };
    let sender = Sender {
        frames: FramedWrite::new(write, codec()),
        message: PhantomData,
    };
    Ok((receiver, sender))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl<T: DeserializeOwned> Receiver<T> {
    /// The next message.
    pub async fn next(&mut self) -> Result<T, StreamError> {
        let frame = self.frames.next().await.ok_or(StreamError::Ended)?;
        let frame = frame.context(ConnectionSnafu)?;
        decode(&frame).context(MessageSnafu)
    }

    /// The next message, which has to come within `limit`.
    pub async fn next_within(&mut self, limit: Duration) -> Result<T, StreamError> {
        match tokio::time::timeout(limit, self.next()).await {
            Ok(result) => result,
            Err(_) => Err(StreamError::Silent {
                limit_ms: limit.as_millis(),
            }),
        }
    }
}

impl<T> Sender<T> {
    /// The same connection for messages of another type, once the first message
    /// from the peer has told which it expects.
    pub fn retyped<U>(self) -> Sender<U> {
        Sender {
            frames: self.frames,
            message: PhantomData,
        }
    }
}

impl<T: Serialize> Sender<T> {
    /// Sends a message.
    pub async fn send(&mut self, message: &T) -> Result<(), StreamError> {
        let frame = encode(message).context(MessageSnafu)?;
        self.send_frame(Bytes::from(frame)).await
    }

    /// Sends a message that [`encode`] has encoded, for many receivers at once.
    pub async fn send_frame(&mut self, frame: Bytes) -> Result<(), StreamError> {
        self.frames.send(frame).await.context(ConnectionSnafu)
    }
}

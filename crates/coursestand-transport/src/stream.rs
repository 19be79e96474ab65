//! Persistent TCP connections that carry typed messages in both directions.
//!
//! `nng` offers no control over a connection's time-outs: during a network partition,
//! its connections wait for TCP retransmissions, whose intervals grow with each attempt.
//! These connections are closed when the peer acknowledges no data in time.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::FuturesUnordered;
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::frame::{MAX_FRAME_BYTES, TransportError, decode, encode};

/// Time without TCP acknowledgement of sent data after which a connection is closed.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time to establish a connection. On a saturated link the handshake packets wait
/// in queues: 1.3 s at entry daemons with ten times their usual requests. A limit of
/// 0.5 s would keep such daemons from connecting to control.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(3_000);

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
    /// No message arrived in time.
    #[snafu(display("no message received for {limit_ms} ms"))]
    ReceiveTimeout {
        /// Maximum time without a message in milliseconds.
        limit_ms: u128,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Ended,
}

/// Receives messages of one type.
pub struct Receiver<T> {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Encoded length in bytes of the latest message.
    last_message_length: usize,
    message: PhantomData<T>,
}

/// Sends messages of one type.
pub struct Sender<T> {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    message: PhantomData<T>,
}

/// Interval between two attempts to connect. A machine that has just recovered does not
/// answer packets sent before that, and TCP retransmits them only after a second: a new
/// attempt reaches it sooner. Earlier attempts continue, in case their answers are slow.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of failed attempts after which connecting fails if no attempt is pending: no
/// process listens on the address.
const MAX_FAILED_ATTEMPTS: usize = 3;

/// Connects to `address` with overlapping attempts; the first success wins.
pub async fn connect<In, Out>(
    address: SocketAddr,
) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, attempt_until_connected(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
        .context(ConnectionSnafu)?
        .context(ConnectionSnafu)?;
    split(stream)
}

async fn attempt_until_connected(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    let mut attempt_interval = tokio::time::interval(ATTEMPT_INTERVAL);
    let mut failed_attempts = 0;
    loop {
        tokio::select! {
            _ = attempt_interval.tick() => attempts.push(TcpStream::connect(address)),
            Some(result) = attempts.next(), if !attempts.is_empty() => match result {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    failed_attempts += 1;
                    if failed_attempts >= MAX_FAILED_ATTEMPTS && attempts.is_empty() {
                        return Err(error);
                    }
                }
            },
        }
    }
}

/// Closes the connection if the peer acknowledges no data for `ack_timeout`.
fn set_tcp_ack_timeout(stream: &TcpStream, ack_timeout: Duration) -> Result<(), StreamError> {
    SockRef::from(stream)
        .set_tcp_user_timeout(Some(ack_timeout))
        .context(ConnectionSnafu)
}

/// Splits a connection into a receiver and a sender of messages.
pub fn split<In, Out>(stream: TcpStream) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    stream.set_nodelay(true).context(ConnectionSnafu)?;
    set_tcp_ack_timeout(&stream, ACK_TIMEOUT)?;
    let (read, write) = stream.into_split();
    let receiver = Receiver {
        frames: FramedRead::new(read, codec()),
        last_message_length: 0,
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
    /// Receives the next message.
    pub async fn next(&mut self) -> Result<T, StreamError> {
        let frame = self.frames.next().await.ok_or(StreamError::Ended)?;
        let frame = frame.context(ConnectionSnafu)?;
        self.last_message_length = frame.len();
        decode(&frame).context(MessageSnafu)
    }

    /// Receives the next message; fails if none arrives within `limit`.
    pub async fn next_within(&mut self, limit: Duration) -> Result<T, StreamError> {
        match tokio::time::timeout(limit, self.next()).await {
            Ok(result) => result,
            Err(_) => Err(StreamError::ReceiveTimeout {
                limit_ms: limit.as_millis(),
            }),
        }
    }
}

impl<T> Receiver<T> {
    /// Replaces the limit of [`MAX_FRAME_BYTES`] on the length of the messages that follow. A
    /// message that announces more ends the connection before memory is reserved for it.
    pub fn set_max_message_bytes(&mut self, max_bytes: usize) {
        let max_bytes = max_bytes.min(MAX_FRAME_BYTES);
        self.frames.decoder_mut().set_max_frame_length(max_bytes);
    }

    /// Returns the encoded length in bytes of the latest message, without TCP/IP and
    /// length headers.
    pub fn last_message_length(&self) -> usize {
        self.last_message_length
    }
}

impl<T> Sender<T> {
    /// Replaces [`ACK_TIMEOUT`] for this connection, for a peer behind a link that may be
    /// saturated.
    pub fn set_ack_timeout(&self, ack_timeout: Duration) -> Result<(), StreamError> {
        set_tcp_ack_timeout(self.frames.get_ref().as_ref(), ack_timeout)
    }

    /// Returns the same connection for messages of another type. Used once the peer's first
    /// message shows which type it expects.
    pub fn with_message_type<U>(self) -> Sender<U> {
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

    /// Sends a message that is already encoded by [`encode`], so that it can be encoded
    /// once for many receivers.
    pub async fn send_frame(&mut self, frame: Bytes) -> Result<(), StreamError> {
        self.frames.send(frame).await.context(ConnectionSnafu)
    }
}

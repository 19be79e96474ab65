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

/// A peer that confirms no bytes for this long is lost.
pub const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time to make a connection. Over a link that is full, the first packet and
/// its answer wait in queues: 1.3 s were measured at entry daemons that had ten times
/// their usual requests, and a limit of 0.5 s kept such daemons from control.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(3_000);

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

/// Receives messages of one type.
pub struct Receiver<T> {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Length of the newest message in bytes.
    last_length: usize,
    message: PhantomData<T>,
}

/// Sends messages of one type.
pub struct Sender<T> {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    message: PhantomData<T>,
}

/// Time between two attempts to connect. A machine that comes back does not answer
/// what was sent to it before, and the system repeats that a second later: a fresh
/// attempt finds it sooner. Earlier attempts go on, for those whose answer is slow.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// Attempts after which refusals alone are an error: nobody listens there.
const MOST_REFUSALS: usize = 3;

/// Connects to `address`: the first attempt that succeeds counts.
pub async fn connect<In, Out>(
    address: SocketAddr,
) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    let connecting = tokio::time::timeout(CONNECT_LIMIT, attempt_until_connected(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
        .context(ConnectionSnafu)?
        .context(ConnectionSnafu)?;
    split(stream)
}

async fn attempt_until_connected(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    let mut pause = tokio::time::interval(ATTEMPT_PAUSE);
    let mut refusals = 0;
    loop {
        tokio::select! {
            _ = pause.tick() => attempts.push(TcpStream::connect(address)),
            Some(result) = attempts.next(), if !attempts.is_empty() => match result {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    refusals += 1;
                    if refusals >= MOST_REFUSALS && attempts.is_empty() {
                        return Err(error);
                    }
                }
            },
        }
    }
}

/// Ends the connection when the peer confirms no bytes for `silence`.
fn set_silence(stream: &TcpStream, silence: Duration) -> Result<(), StreamError> {
    SockRef::from(stream)
        .set_tcp_user_timeout(Some(silence))
        .context(ConnectionSnafu)
}

/// Messages over a connection that was made or accepted.
pub fn split<In, Out>(stream: TcpStream) -> Result<(Receiver<In>, Sender<Out>), StreamError> {
    stream.set_nodelay(true).context(ConnectionSnafu)?;
    set_silence(&stream, SILENCE)?;
    let (read, write) = stream.into_split();
    let receiver = Receiver {
        frames: FramedRead::new(read, codec()),
        last_length: 0,
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
        self.last_length = frame.len();
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

impl<T> Receiver<T> {
    /// Length in bytes of the message that came last, without what the network adds.
    pub fn last_length(&self) -> usize {
        self.last_length
    }
}

impl<T> Sender<T> {
    /// Waits this long for the peer to confirm bytes, in place of [`SILENCE`]: for a
    /// peer behind a link that may be full.
    pub fn bear_silence(&self, silence: Duration) -> Result<(), StreamError> {
        set_silence(self.frames.get_ref().as_ref(), silence)
    }

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

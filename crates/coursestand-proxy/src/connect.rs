//! Opens TCP connections that detect a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The system sets the time between probes in whole seconds.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes before the connection is closed: one is sent at half of the
/// time, and the connection is closed when the next is due.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Configures a connection: disables the delay of small segments, and has the system close the
/// connection when the peer has acknowledged nothing for `user_timeout`, whether or not sent
/// bytes wait for an acknowledgement.
///
/// `TCP_USER_TIMEOUT` alone covers sent bytes; keep-alive probes extend it to a connection
/// that is idle or waits for an answer. While it is set, it also decides when the probes give up,
/// whatever their number: a probe must be sent before the time is over. When the connection is
/// closed this way, the peer has acknowledged nothing, but it may have received something.
pub fn configure(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let probe_interval = (user_timeout / KEEP_ALIVE_PROBES).max(MIN_PROBE_INTERVAL);
    let probes = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval);
    socket.set_tcp_keepalive(&probes)
}

/// Connects within `limit` and configures the connection.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    user_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream, user_timeout)?;
    Ok(stream)
}

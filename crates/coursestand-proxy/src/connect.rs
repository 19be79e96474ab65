//! TCP connections that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The system counts the time between probes in whole seconds.
const LEAST_PROBE_TIME: Duration = Duration::from_secs(1);
/// Keep-alive probes that go unanswered before a connection ends: one at half of the
/// time, and the end with the next.
const PROBES: u32 = 2;

/// Sets a connection up: no delay of small segments, and an end to it when the
/// peer confirms nothing for `silence`, whether bytes wait for that or not.
///
/// `TCP_USER_TIMEOUT` alone covers bytes that were sent; probes let it cover a
/// connection that rests or waits for an answer. The end says that the peer confirmed
/// nothing, not that it received nothing.
pub fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let between = (silence / PROBES).max(LEAST_PROBE_TIME);
    let probes = TcpKeepalive::new()
        .with_time(between)
        .with_interval(between);
    socket.set_tcp_keepalive(&probes)
}

/// Connects within `limit`.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    silence: Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream, silence)?;
    Ok(stream)
}

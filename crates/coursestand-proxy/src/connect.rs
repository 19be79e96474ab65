//! TCP connections that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets a connection up: no delay of small segments, and an end to it when the
/// peer confirms nothing for `silence`.
pub fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(silence))
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

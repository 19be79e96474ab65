//! A relay in front of a back end that can stop forwarding on its open connections for
//! good, without closing or resetting them, while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Traffic that an open connection still forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Both directions.
    Both,
    /// Requests only: they reach the back end, and their answers are lost.
    RequestsOnly,
    /// Nothing, but the operating system still acknowledges received segments, as at a
    /// proxy that has lost its upstream connection.
    Discard,
    /// Nothing, and received segments are dropped without acknowledgement, as behind a
    /// stateful firewall that has lost the state of the connection.
    DropSegments,
}

const BUFFER_BYTES: usize = 16 * 1024;
/// Instruction of a classic socket filter that drops the segment: `ret #0`.
const DROP_SEGMENT: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// A relay in front of one back end.
pub struct SilentRelay {
    address: SocketAddr,
    /// Forwarding of the connections that are open at a change, from then on.
    forwarding: Arc<watch::Sender<Forwarding>>,
    accepted: watch::Receiver<usize>,
    task: JoinHandle<()>,
}

impl Drop for SilentRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SilentRelay {
    /// Starts a relay to `backend`.
    pub async fn start(backend: SocketAddr) -> std::io::Result<SilentRelay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let forwarding = Arc::new(watch::Sender::new(Forwarding::Both));
        let (accepting, accepted) = watch::channel(0);
        let changes = Arc::clone(&forwarding);
        let task = tokio::spawn(accept(listener, backend, changes, accepting));
        Ok(SilentRelay {
            address,
            forwarding,
            accepted,
            task,
        })
    }

    /// Returns its listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        *self.accepted.borrow()
    }

    /// Restricts the connections that are open at this moment to `forwarding`; later
    /// connections forward everything.
    pub fn restrict_open_connections(&self, forwarding: Forwarding) {
        self.forwarding.send_replace(forwarding);
    }
}

async fn accept(
    listener: TcpListener,
    backend: SocketAddr,
    changes: Arc<watch::Sender<Forwarding>>,
    accepting: watch::Sender<usize>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        // A new subscriber receives later changes only.
        let changes = changes.subscribe();
        accepting.send_modify(|accepted| *accepted += 1);
        tokio::spawn(async move {
            // An error of either side closes the connection.
            let _ = relay(caller, backend, changes).await;
        });
    }
}

async fn relay(
    mut caller: TcpStream,
    backend: SocketAddr,
    mut changes: watch::Receiver<Forwarding>,
) -> std::io::Result<()> {
    let mut backend = TcpStream::connect(backend).await?;
    let mut request = vec![0; BUFFER_BYTES];
    let mut answer = vec![0; BUFFER_BYTES];
    let mut forwarding = Forwarding::Both;
    loop {
        tokio::select! {
            read = caller.read(&mut request) => {
                let count = read?;
                if count == 0 {
                    return close_unless_restricted(forwarding, &caller, &backend).await;
                }
                if matches!(forwarding, Forwarding::Both | Forwarding::RequestsOnly) {
                    backend.write_all(&request[..count]).await?;
                }
            }
            read = backend.read(&mut answer) => {
                let count = read?;
                if count == 0 {
                    return close_unless_restricted(forwarding, &caller, &backend).await;
                }
                if forwarding == Forwarding::Both {
                    caller.write_all(&answer[..count]).await?;
                }
            }
            Ok(()) = changes.changed() => forwarding = *changes.borrow_and_update(),
        }
        if forwarding == Forwarding::DropSegments {
            SockRef::from(&caller).attach_filter(&[DROP_SEGMENT])?;
            return close_unless_restricted(forwarding, &caller, &backend).await;
        }
    }
}

/// Returns at once for a connection that forwards everything, which closes it. Keeps a
/// restricted one open on both sides.
async fn close_unless_restricted(
    forwarding: Forwarding,
    _caller: &TcpStream,
    _backend: &TcpStream,
) -> std::io::Result<()> {
    if forwarding != Forwarding::Both {
        std::future::pending::<()>().await;
    }
    Ok(())
}

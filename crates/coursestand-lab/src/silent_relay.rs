//! A relay in front of a back end whose open connections can be made to fall silent
//! for good, without an end or a reset, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What an open connection still carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carriage {
    /// Bytes in both directions.
    Both,
    /// Requests only: they reach the back end, and their answers are lost.
    Requests,
    /// Nothing, though the system confirms what was sent, as a proxy does that has
    /// lost its other side.
    Nothing,
    /// No segment arrives, so that nothing is confirmed either, as behind a stateful
    /// firewall that has forgotten the connection.
    NoSegment,
}

const PIECE_BYTES: usize = 16 * 1024;
/// Instruction of a classic socket filter that drops the segment: `ret #0`.
const DROP_SEGMENT: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// A relay in front of one back end.
pub struct SilentRelay {
    address: SocketAddr,
    /// What the connections that are open at a change carry from then on.
    carriage: Arc<watch::Sender<Carriage>>,
    accepted: watch::Receiver<usize>,
    task: JoinHandle<()>,
}

impl Drop for SilentRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SilentRelay {
    /// A relay to `backend`.
    pub async fn start(backend: SocketAddr) -> std::io::Result<SilentRelay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let carriage = Arc::new(watch::Sender::new(Carriage::Both));
        let (accepting, accepted) = watch::channel(0);
        let changes = Arc::clone(&carriage);
        let task = tokio::spawn(accept(listener, backend, changes, accepting));
        Ok(SilentRelay {
            address,
            carriage,
            accepted,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that were made so far.
    pub fn connections(&self) -> usize {
        *self.accepted.borrow()
    }

    /// All connections that are open now carry only this from now on; connections
    /// made later carry everything.
    pub fn silence(&self, carriage: Carriage) {
        self.carriage.send_replace(carriage);
    }
}

async fn accept(
    listener: TcpListener,
    backend: SocketAddr,
    changes: Arc<watch::Sender<Carriage>>,
    accepting: watch::Sender<usize>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        // A new subscriber sees only later changes.
        let changes = changes.subscribe();
        accepting.send_modify(|accepted| *accepted += 1);
        tokio::spawn(async move {
            // A side that breaks off ends the connection.
            let _ = relay(caller, backend, changes).await;
        });
    }
}

async fn relay(
    mut caller: TcpStream,
    backend: SocketAddr,
    mut changes: watch::Receiver<Carriage>,
) -> std::io::Result<()> {
    let mut backend = TcpStream::connect(backend).await?;
    let mut request = vec![0; PIECE_BYTES];
    let mut answer = vec![0; PIECE_BYTES];
    let mut carriage = Carriage::Both;
    loop {
        tokio::select! {
            read = caller.read(&mut request) => {
                let count = read?;
                if count == 0 {
                    return hold(carriage, &caller, &backend).await;
                }
                if matches!(carriage, Carriage::Both | Carriage::Requests) {
                    backend.write_all(&request[..count]).await?;
                }
            }
            read = backend.read(&mut answer) => {
                let count = read?;
                if count == 0 {
                    return hold(carriage, &caller, &backend).await;
                }
                if carriage == Carriage::Both {
                    caller.write_all(&answer[..count]).await?;
                }
            }
            Ok(()) = changes.changed() => carriage = *changes.borrow_and_update(),
        }
        if carriage == Carriage::NoSegment {
            SockRef::from(&caller).attach_filter(&[DROP_SEGMENT])?;
            return hold(carriage, &caller, &backend).await;
        }
    }
}

/// Ends a connection that carries everything; a silent one tells neither side.
async fn hold(
    carriage: Carriage,
    _caller: &TcpStream,
    _backend: &TcpStream,
) -> std::io::Result<()> {
    if carriage != Carriage::Both {
        std::future::pending::<()>().await;
    }
    Ok(())
}

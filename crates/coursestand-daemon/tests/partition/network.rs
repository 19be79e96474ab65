//! A network between entry daemons and back ends that can be partitioned for single daemons.
//!
//! Each back end has a relay in front of it. The relay identifies the daemon at the other end of
//! a connection by the process that owns the socket.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a partition shows to the daemon that is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Open connections fall silent, and new ones are established but carry nothing.
    Silent,
    /// Open connections are reset, and new ones as soon as they are established.
    Reset,
    /// Open connections continue to work; new ones are reset as soon as they are established.
    OnlyNewReset,
}

/// The hosts of the daemons that are partitioned from the back ends.
#[derive(Clone, Debug)]
pub struct Partition {
    pub shape: Shape,
    pub hosts: BTreeSet<u8>,
}

impl Partition {
    pub fn none() -> Partition {
        Partition {
            shape: Shape::Silent,
            hosts: BTreeSet::new(),
        }
    }

    fn applies_to(&self, host: Option<u8>) -> bool {
        host.is_some_and(|host| self.hosts.contains(&host))
    }
}

/// Hosts of entry daemons by process id.
pub type Hosts = BTreeMap<u32, u8>;

/// Forwards connections of daemons to one back end.
pub struct PartitionableRelay {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for PartitionableRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PartitionableRelay {
    /// Starts a relay to `target`. `daemons` are the hosts of all entry daemons by process id.
    pub async fn start(
        target: SocketAddr,
        daemons: watch::Receiver<Hosts>,
        partition: watch::Receiver<Partition>,
    ) -> PartitionableRelay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let task = tokio::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let daemons = daemons.borrow().clone();
                let partition = partition.clone();
                tokio::spawn(async move {
                    // Reads many files.
                    let owner =
                        tokio::task::spawn_blocking(move || owner_of(peer, address, &daemons));
                    let owner = owner.await.expect("no panic");
                    forward(stream, target, owner, partition).await;
                });
            }
        });
        PartitionableRelay { address, task }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// State of a closed connection in the kernel's table of sockets.
const TIME_WAIT: &str = " 06 ";

/// Sockets by local and remote address, in the format of the kernel, with their inodes.
type SocketTable = HashMap<(String, String), String>;

/// The last reading of the kernel's table of sockets; reading it takes milliseconds.
static SOCKETS: Mutex<Option<SocketTable>> = Mutex::new(None);

fn read_sockets() -> SocketTable {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let open = table.lines().filter(|line| !line.contains(TIME_WAIT));
    let sockets = open.filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode = fields.get(9).filter(|inode| **inode != "0")?;
        let addresses = (fields[1].to_owned(), fields[2].to_owned());
        Some((addresses, format!("socket:[{inode}]")))
    });
    sockets.collect()
}

/// Returns the host of the daemon that owns the socket that is bound to `local` and connected to
/// `remote`.
fn owner_of(local: SocketAddr, remote: SocketAddr, daemons: &Hosts) -> Option<u8> {
    let addresses = (kernel_format(local)?, kernel_format(remote)?);
    let mut sockets = SOCKETS.lock().unwrap_or_else(PoisonError::into_inner);
    // An entry is removed when it is used, since its addresses may be reused.
    let known = sockets
        .as_mut()
        .and_then(|sockets| sockets.remove(&addresses));
    let inode = known.or_else(|| sockets.insert(read_sockets()).remove(&addresses))?;
    drop(sockets);
    let owns = |process: &u32| {
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
        let mut descriptors = descriptors.into_iter().flatten().flatten();
        descriptors.any(|entry| {
            std::fs::read_link(entry.path())
                .is_ok_and(|target| target.as_os_str() == inode.as_str())
        })
    };
    let owner = daemons.iter().find(|(process, _)| owns(process));
    owner.map(|(_, host)| *host)
}

/// Formats an address as in `/proc/net/tcp`.
fn kernel_format(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

async fn forward(
    mut daemon: TcpStream,
    target: SocketAddr,
    owner: Option<u8>,
    partition: watch::Receiver<Partition>,
) {
    // With zero linger, dropping a connection resets it.
    let _ = daemon.set_zero_linger();
    let is_reset_at_once = {
        let partition = partition.borrow();
        partition.applies_to(owner) && partition.shape != Shape::Silent
    };
    if is_reset_at_once {
        return;
    }
    let Ok(mut backend) = TcpStream::connect(target).await else {
        return;
    };
    let _ = backend.set_zero_linger();
    let (from_daemon, to_daemon) = daemon.split();
    let (from_backend, to_backend) = backend.split();
    let mut resetting = partition.clone();
    let requests = copy(from_daemon, to_backend, owner, partition.clone());
    let answers = copy(from_backend, to_daemon, owner, partition);
    tokio::select! {
        _ = async { tokio::try_join!(requests, answers) } => {}
        _ = resetting.wait_for(|partition| {
            partition.shape == Shape::Reset && partition.applies_to(owner)
        }) => {}
    }
}

/// Copies data in one direction, and holds it back while the daemon's connections are silent.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    owner: Option<u8>,
    mut partition: watch::Receiver<Partition>,
) -> std::io::Result<()> {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).await?;
        // Fails if the test has ended.
        let _ = partition
            .wait_for(|partition| partition.shape != Shape::Silent || !partition.applies_to(owner))
            .await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}

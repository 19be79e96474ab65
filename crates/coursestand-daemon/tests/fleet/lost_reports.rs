//! Guards against look-ups that name an entry daemon for good because the message in which one
//! control process tells another that it lost the daemon was itself lost: a full queue drops it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_daemon::fleet::control_service::ControlMesh;
use coursestand_daemon::fleet::wire::{PeerMessage, ToControl, TrailingFlag};
use coursestand_daemon::names;
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::frame::encode;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::{Deployment, first_items};
use crate::relay::{LinkFault, Relay};
use crate::{EDGE, SEEDS};

/// Time after the end of a daemon until no look-up names it.
const MAX_TIME_NAMED: Duration = Duration::from_secs(6);
const REPORTER: u8 = SEEDS[0];
/// The control process that misses a report, behind a relay.
const RECEIVER: u8 = SEEDS[1];
const MIB: usize = 1024 * 1024;
/// More than the buffers of the connections to the relay and from it hold.
const LARGE_MESSAGES: usize = 24;
/// More than the queue of a connection holds.
const SMALL_MESSAGES: usize = 5_000;
const SMALL_MESSAGE_BYTES: usize = 100;
/// Time for the queue to stop moving.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// A connection whose peer does not answer is replaced after this time.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// A connection with one control process, as an entry daemon would open it.
struct EndingDaemon {
    address: SocketAddr,
    _connection: TcpStream,
}

impl EndingDaemon {
    async fn start(control: SocketAddr) -> EndingDaemon {
        let address = SocketAddr::from(([127, 0, 0, 9], 9));
        let hello = ToControl::EdgeHello {
            record: EdgeRecord {
                name: "ending".to_owned(),
                incarnation: 1,
                address,
                // Nothing listens there, so that probes fail.
                admin_address: address,
                zone: ZoneId::from("z-1"),
                region: RegionId::from("z"),
                phase: EdgePhase::Ready,
            },
            catalog_version: 0,
            reads_findings: TrailingFlag::default(),
            reads_crash_records: TrailingFlag::default(),
            reads_limits: TrailingFlag::default(),
            reads_relays: TrailingFlag::default(),
        };
        let mut connection = TcpStream::connect(control).await.expect("connected");
        let frame = encode(&hello).expect("encoded");
        connection
            .write_u32(frame.len() as u32)
            .await
            .expect("sent");
        connection.write_all(&frame).await.expect("sent");
        EndingDaemon {
            address,
            _connection: connection,
        }
    }
}

/// Starts a group in which all connections to [`RECEIVER`] pass through a relay.
async fn group_with_a_relay() -> (Deployment, Relay) {
    let mut deployment = Deployment::new(&SEEDS);
    let address = deployment.internal(RECEIVER);
    let mut target = address;
    target.set_ip(deployment.hidden_ip(RECEIVER));
    let relay = Relay::start_at(address, target).await;
    for host in SEEDS {
        let mut settings = deployment.control_settings(host, true);
        settings.listen_ip = (host == RECEIVER).then_some(target.ip());
        deployment.start(host, settings).await;
    }
    deployment.wait_for_voters(&SEEDS).await;
    expect_that!(deployment.patch(&[REPORTER], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    (deployment, relay)
}

fn mesh_of(deployment: &Deployment, host: u8) -> Arc<ControlMesh> {
    let registry = deployment.nodes[&host].kernel().registry();
    registry.find(names::HUB).expect("a control process")
}

/// Fills the queue from [`REPORTER`] to [`RECEIVER`], whose connection carries nothing.
async fn fill_queue(deployment: &Deployment) {
    let mesh = mesh_of(deployment, REPORTER);
    let receiver = deployment.internal(RECEIVER);
    for _ in 0..LARGE_MESSAGES {
        mesh.links
            .send_to(receiver, PeerMessage::Consensus(vec![0; MIB]));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    for _ in 0..SMALL_MESSAGES {
        mesh.links.send_to(
            receiver,
            PeerMessage::Consensus(vec![0; SMALL_MESSAGE_BYTES]),
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_leaves_the_look_ups_although_the_report_of_its_end_was_lost() {
    let (deployment, relay) = group_with_a_relay().await;
    let ending = EndingDaemon::start(deployment.internal(REPORTER)).await;
    let ended = ending.address.to_string();
    let front = deployment.front(EDGE).to_string();
    for host in SEEDS {
        let has_both = |addresses: &[String]| {
            addresses.contains(&ended) && addresses.contains(&front) && addresses.len() == 2
        };
        deployment
            .wait_for_lookup(host, "both daemons are in look-ups", has_both)
            .await;
    }
    let started = Instant::now();
    relay.set(LinkFault::Silent);
    fill_queue(&deployment).await;
    drop(ending);
    tokio::time::sleep(SETTLE_TIME).await;
    relay.set(LinkFault::None);
    // Else the connection has been replaced, and a new one begins with a full report.
    assert_that!(started.elapsed(), lt(PEER_TIMEOUT));
    tokio::time::sleep(MAX_TIME_NAMED).await;
    for host in SEEDS {
        let addresses = deployment.lookup(host).await;
        expect_that!(addresses, elements_are![eq(&front)], "at {host}");
    }
}

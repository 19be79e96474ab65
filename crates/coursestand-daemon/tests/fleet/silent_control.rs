//! Guards against look-ups that name an entry daemon on the word of a control process which has
//! fallen silent, or has restarted without the daemon. It may stop just before it would have noticed
//! the daemon's end, two seconds after that; the answers are judged from six seconds on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_daemon::fleet::wire::{PeerMessage, PeerReply, ToControl, TrailingDigest};
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::stream::{self, Receiver, Sender};
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items};
use crate::{EDGE, SEEDS, form_group};

/// Of the four seconds from the moment when a control process would have noticed a daemon's end,
/// half a second is left for messages.
const MAX_TIME_REPORTED: Duration = Duration::from_millis(3_500);
/// Answers are judged three seconds after a control process started; it may take a second to start
/// and to connect.
const MAX_TIME_TO_RECONNECT: Duration = Duration::from_millis(2_000);
/// Control processes that fall silent at different times within a second.
const SILENT_PROCESSES: u8 = 5;
const INTERVAL: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for reports to be read.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// A stand-in for a control process, with one entry daemon that nobody else is connected with.
struct Reporter {
    daemon: EdgeRecord,
    address: SocketAddr,
    _receiver: Receiver<PeerReply>,
    sender: Sender<ToControl>,
}

impl Reporter {
    async fn connect(number: u8, control: SocketAddr) -> Reporter {
        let address = SocketAddr::from(([127, 0, 0, 9], 1_000 + u16::from(number)));
        let daemon = EdgeRecord {
            name: format!("ended-{number}"),
            incarnation: 1,
            address,
            // Nothing listens there, so that probes fail.
            admin_address: address,
            zone: ZoneId::from("z-1"),
            region: RegionId::from("z"),
            phase: EdgePhase::Ready,
        };
        let connecting = stream::connect::<PeerReply, ToControl>(control).await;
        let (receiver, mut sender) = connecting.expect("connected");
        sender
            .send(&ToControl::PeerHello(address))
            .await
            .expect("sent");
        Reporter {
            daemon,
            address,
            _receiver: receiver,
            sender,
        }
    }

    async fn report(&mut self, is_connected: bool) {
        let message = PeerMessage::Edge {
            record: self.daemon.clone(),
            is_connected,
        };
        self.sender
            .send(&ToControl::Peer(message))
            .await
            .expect("sent");
    }

    async fn ping(&mut self) {
        let ping = ToControl::Ping(TrailingDigest(None));
        self.sender.send(&ping).await.expect("sent");
    }
}

async fn group_with_a_sound_daemon() -> Deployment {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let front = deployment.front(EDGE).to_string();
    let is_named = |addresses: &[String]| addresses.contains(&front);
    deployment
        .wait_for_lookup(SEEDS[0], "the sound daemon is in look-ups", is_named)
        .await;
    deployment
}

/// Returns for how long the look-ups name a daemon.
async fn time_named(deployment: &Deployment, daemon: &EdgeRecord) -> Duration {
    let started = Instant::now();
    let address = daemon.address.to_string();
    while deployment.lookup(SEEDS[0]).await.contains(&address) {
        assert_that!(started.elapsed(), lt(crate::deployment::TEST_TIMEOUT));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_a_silent_control_process_reported_expires_in_time() {
    let deployment = group_with_a_sound_daemon().await;
    let control = deployment.internal(SEEDS[0]);
    let mut reporters = Vec::new();
    for number in 0..SILENT_PROCESSES {
        let mut reporter = Reporter::connect(number, control).await;
        reporter.report(true).await;
        reporter.ping().await;
        let silent_since = Instant::now();
        let address = reporter.address.to_string();
        let is_named = |addresses: &[String]| addresses.contains(&address);
        deployment
            .wait_for_lookup(SEEDS[0], "the daemon is reported", is_named)
            .await;
        reporters.push((reporter, silent_since));
        tokio::time::sleep(INTERVAL).await;
    }
    for (reporter, silent_since) in &reporters {
        time_named(&deployment, &reporter.daemon).await;
        expect_that!(silent_since.elapsed(), le(MAX_TIME_REPORTED));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_a_restarted_control_process_lacks_has_little_time_to_reconnect() {
    let deployment = group_with_a_sound_daemon().await;
    let control = deployment.internal(SEEDS[0]);
    let mut reporter = Reporter::connect(0, control).await;
    reporter.report(true).await;
    reporter.ping().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let address = reporter.address.to_string();
    expect_that!(deployment.lookup(SEEDS[0]).await, contains(eq(&address)));
    let mut restarted = Reporter::connect(0, control).await;
    restarted.ping().await;
    let named = time_named(&deployment, &reporter.daemon).await;
    expect_that!(named, le(MAX_TIME_TO_RECONNECT));
}

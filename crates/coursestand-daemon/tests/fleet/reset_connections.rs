//! Guards against an entry daemon that stays in look-ups because its connection was reset while a
//! control process was greeting it: only later ends of a connection removed the daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_daemon::fleet::wire::{ToControl, TrailingFlag};
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::frame::encode;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::{Deployment, TEST_TIMEOUT, first_items};
use crate::{EDGE, SEEDS, form_group};

/// Time after the end of a daemon until no look-up names it.
const MAX_TIME_NAMED: Duration = Duration::from_secs(6);
/// Maximum time between a daemon's first message and the reset: a control process answers it
/// within that time.
const MAX_DELAY_US: u64 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Which optional messages a daemon accepts: they decide what a control process sends first.
#[derive(Clone, Copy)]
struct Accepts {
    findings: bool,
    crash_records: bool,
}

fn hello(number: u64, accepts: Accepts) -> ToControl {
    let record = EdgeRecord {
        name: format!("reset-{number}"),
        incarnation: number,
        address: SocketAddr::from(([127, 0, 0, 9], 1_000 + number as u16)),
        admin_address: SocketAddr::from(([127, 0, 0, 9], 9)),
        zone: ZoneId::from("z-1"),
        region: RegionId::from("z"),
        phase: EdgePhase::Ready,
    };
    ToControl::EdgeHello {
        record,
        catalog_version: 0,
        reads_findings: TrailingFlag(accepts.findings),
        reads_crash_records: TrailingFlag(accepts.crash_records),
        reads_limits: TrailingFlag(true),
        reads_relays: TrailingFlag(true),
    }
}

/// Connects with a control process, sends the first message, and resets the connection.
async fn connect_and_reset(control: SocketAddr, hello: &ToControl, delay: Duration) {
    let mut stream = TcpStream::connect(control).await.expect("connected");
    stream.set_zero_linger().expect("set");
    let frame = encode(hello).expect("encoded");
    stream.write_u32(frame.len() as u32).await.expect("sent");
    stream.write_all(&frame).await.expect("sent");
    if !delay.is_zero() {
        // The timer of the runtime has a resolution of a millisecond.
        tokio::task::spawn_blocking(move || std::thread::sleep(delay))
            .await
            .expect("no panic");
    }
}

async fn group_with_a_sound_daemon() -> Deployment {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let front = deployment.front(EDGE).to_string();
    for host in SEEDS {
        let is_named = |addresses: &[String]| addresses.contains(&front);
        deployment
            .wait_for_lookup(host, "the sound daemon is in look-ups", is_named)
            .await;
    }
    deployment
}

/// Resets many connections, then checks that no control process names their daemons.
async fn reset_many(count: u64, accepts: Accepts, max_delay_us: u64) {
    let deployment = group_with_a_sound_daemon().await;
    let control = deployment.internal(SEEDS[0]);
    let mut random = StdRng::seed_from_u64(1);
    for number in 0..count {
        let delay = Duration::from_micros(random.random_range(0..=max_delay_us));
        connect_and_reset(control, &hello(number, accepts), delay).await;
    }
    tokio::time::sleep(MAX_TIME_NAMED).await;
    let front = deployment.front(EDGE).to_string();
    for host in SEEDS {
        let addresses = deployment.lookup(host).await;
        let ended = addresses.iter().filter(|address| **address != front);
        expect_that!(ended.count(), eq(0), "at {host}");
        expect_that!(addresses, contains(eq(&front)), "at {host}");
    }
    wait_until_alone(&deployment).await;
}

/// Waits until the sound daemon shares the allowance for retries with no other one. A daemon that
/// has ended may have used its part, so it counts for a while.
async fn wait_until_alone(deployment: &Deployment) {
    let started = Instant::now();
    let is_alone = |metrics: &str| metrics.contains("\ncoursestand_edge_retry_daemons 1\n");
    while !is_alone(&deployment.metrics(EDGE).await) {
        assert_that!(started.elapsed(), lt(TEST_TIMEOUT));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The control process's first message follows the entry in the directory, so that each reset
/// meets it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_leaves_the_look_ups_if_its_connection_is_reset_at_once() {
    let accepts = Accepts {
        findings: false,
        crash_records: false,
    };
    reset_many(50, accepts, 0).await;
}

/// A daemon of this version: its connection has to be reset between two messages.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_leaves_the_look_ups_if_its_connection_is_reset_during_the_greeting() {
    let accepts = Accepts {
        findings: true,
        crash_records: true,
    };
    reset_many(5_000, accepts, MAX_DELAY_US).await;
}

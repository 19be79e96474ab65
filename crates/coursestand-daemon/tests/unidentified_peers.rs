//! Connections to the internal port that have not sent their first message yet.
#![allow(missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use coursestand_daemon::fleet::unidentified_peers::{
    UnidentifiedPeer, UnidentifiedPeers, max_unidentified_peers,
};
use coursestand_kernel::server_limits::{ServerLimits, descriptor_limit};
use googletest::prelude::*;
use tokio::task::JoinSet;

const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_OPEN: usize = 8;
const CROWD: usize = 40;

async fn accept(unidentified_peers: &Arc<UnidentifiedPeers>) -> UnidentifiedPeer {
    let waiting = tokio::time::timeout(TIMEOUT, unidentified_peers.wait_for_room());
    waiting.await.expect("room in time");
    unidentified_peers.register()
}

/// Guards against silent connections that take all descriptors of a control process: the oldest
/// give way.
#[gtest]
#[tokio::test]
async fn silent_connections_give_way() {
    let unidentified_peers = Arc::new(UnidentifiedPeers::new(MAX_OPEN));
    let mut silent = JoinSet::new();
    for _ in 0..CROWD {
        let peer = accept(&unidentified_peers).await;
        silent.spawn(async move { peer.displaced().await });
    }
    for _ in 0..CROWD - MAX_OPEN {
        let closing = tokio::time::timeout(TIMEOUT, silent.join_next());
        expect_that!(closing.await.expect("closed").is_some(), eq(true));
    }
}

/// Guards against daemons that displace each other when all connect at once: each has time for its
/// first message.
#[gtest]
#[tokio::test]
async fn connections_that_say_who_they_are_displace_none() {
    let unidentified_peers = Arc::new(UnidentifiedPeers::new(MAX_OPEN));
    let mut daemons = JoinSet::new();
    for _ in 0..CROWD {
        let peer = accept(&unidentified_peers).await;
        daemons.spawn(async move {
            tokio::select! {
                () = peer.displaced() => false,
                () = tokio::time::sleep(Duration::from_millis(50)) => true,
            }
        });
    }
    for is_identified in daemons.join_all().await {
        expect_that!(is_identified, eq(true));
    }
}

/// Guards against crowds at all ports of a control process at once that leave no descriptors for
/// the daemons that are connected with it, and for its files.
#[gtest]
fn crowds_leave_half_of_the_descriptors() {
    let memory_bytes = u64::MAX;
    let server = ServerLimits::for_memory(memory_bytes);
    let control_and_lookup = 2 * server.max_connections;
    let admin = server.for_few_callers().max_connections;
    let crowds = control_and_lookup + admin + max_unidentified_peers(memory_bytes);
    expect_that!(crowds as u64, le(descriptor_limit() / 2));
}

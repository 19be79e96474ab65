//! The seeds of a changed settings file are applied, with a signal or without. An invalid
//! or missing file changes nothing.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_daemon::fleet::seeds::follow_file;
use googletest::prelude::*;
use tokio::sync::{Notify, watch};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn settings(seed: &str) -> String {
    serde_json::json!({
        "name": "edge-1", "zone": "z-1", "region": "z", "zones": {"z-1": "z"},
        "ip": "127.0.0.1", "internal_ports": [7540, 7555],
        "seeds": [seed], "bootstrap": true, "admin_listen": "127.0.0.1:0",
        "edge": {"listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0"},
        "bounds": {
            "lost_disks": 2, "heartbeat": "1500ms", "stop": "6s", "lookup_ttl": "5s",
            "retry_ratio": 0.2, "retry_extra": 64, "retry_window": "10s",
            "cold_overage": 1.5, "cold_slack": 5
        }
    })
    .to_string()
}

async fn wait_for(seeds: &mut watch::Receiver<Vec<SocketAddr>>, seed: &str) {
    let seed: SocketAddr = seed.parse().expect("an address");
    let has_seed = |seeds: &Vec<SocketAddr>| seeds.contains(&seed);
    tokio::time::timeout(TEST_TIMEOUT, seeds.wait_for(has_seed))
        .await
        .expect("in time")
        .expect("followed");
}

#[gtest]
#[tokio::test]
async fn seeds_follow_the_file_and_invalid_files_change_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fleet.json");
    std::fs::write(&file, settings("10.0.0.1:8544")).expect("written");
    let reload = Arc::new(Notify::new());
    let (sender, mut seeds) = watch::channel(Vec::new());
    let following = tokio::spawn(follow_file(file.clone(), Arc::clone(&reload), sender));
    // With a signal. The follower first reads the original file.
    tokio::task::yield_now().await;
    std::fs::write(&file, settings("10.0.0.2:8544")).expect("written");
    reload.notify_one();
    wait_for(&mut seeds, "10.0.0.2:7540").await;
    // Truncated, then missing: logged without further effect.
    std::fs::write(&file, &settings("10.0.0.3:8544")[..40]).expect("written");
    reload.notify_one();
    std::fs::remove_file(&file).expect("removed");
    reload.notify_one();
    // Valid again, without a signal.
    std::fs::write(&file, settings("10.0.0.4:8544")).expect("written");
    wait_for(&mut seeds, "10.0.0.4:7540").await;
    following.abort();
}

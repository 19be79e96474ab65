//! Guards against granting a lease on slots that are being freed. The command that frees the
//! slots of a daemon with an expired lease is committed only once the disks have synced it,
//! and the daemon may request a lease earlier.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_coordination::followers::{LEASE_MS, Progress};
use coursestand_coordination::signing::{SignoffPolicy, public_key_text, sign};
use coursestand_coordination::tables::{MemberPhase, SlotMap, Tables};
use coursestand_coordination::wire::{ControlReply, ControlRequest, FollowRequest};
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_daemon::control::exchange::ControlExchange;
use coursestand_daemon::control::handle::ControlHandle;
use coursestand_daemon::control::leader::Leader;
use coursestand_daemon::names;
use coursestand_kernel::{Registry, Service};
use coursestand_lab::address::AddressAllocator;
use coursestand_lab::deployment::hut;
use coursestand_model::bundle::Bundle;
use coursestand_model::platform::PlatformBackend;
use coursestand_model::settings::ControlSettings;
use coursestand_model::{DaemonId, SignedBundle};
use coursestand_transport::Handler;
use ed25519_dalek::SigningKey;
use googletest::prelude::*;

use crate::group::{Group, POLL_INTERVAL, TEST_TIMEOUT};

const DEADLINE_MS: u64 = 500;
const OPERATOR: &str = "ada";

/// A daemon that requests a lease only when the test makes it.
struct Follower {
    daemon: DaemonId,
    tables: Tables,
}

impl Follower {
    /// Sends one follow request. Returns whether a lease was granted.
    async fn request_lease(&mut self, exchange: &ControlExchange) -> bool {
        let version = self.tables.version;
        let request = FollowRequest {
            daemon: self.daemon.clone(),
            zone: "in-kempton".into(),
            address: Some("127.0.0.1:1".to_owned()),
            phase: MemberPhase::Serving,
            have: version,
            progress: Progress {
                applied: version,
                settled: version,
            },
        };
        match exchange.handle(ControlRequest::Follow(request)).await {
            ControlReply::Follow(delta) => {
                self.tables.apply(delta);
                true
            }
            _ => false,
        }
    }

    fn slots(&self) -> SlotMap {
        let slots = self.tables.slots.get(&self.daemon);
        slots.cloned().unwrap_or_default()
    }
}

fn bundle_and_backends() -> (Bundle, Vec<PlatformBackend>) {
    let mut addresses = AddressAllocator::reserve().expect("a free address");
    let mut deployment = hut(&mut addresses);
    for service in &mut deployment.bundle.services {
        service.deadline_ms = DEADLINE_MS;
    }
    let backends = deployment.platform_backends(1);
    (deployment.bundle, backends)
}

async fn initialize_control(control: &ControlHandle) {
    let key = SigningKey::from_bytes(&[9; 32]);
    let (bundle, backends) = bundle_and_backends();
    let content = serde_json::to_string(&bundle).expect("JSON");
    let signatures = vec![sign(OPERATOR, &key, content.as_bytes())];
    let policy = SignoffPolicy {
        operators: [(OPERATOR.to_owned(), public_key_text(&key))].into(),
        required: 1,
    };
    for command in [
        Command::Initialize(policy),
        Command::SubmitBundle {
            bundle: SignedBundle {
                content,
                signatures,
            },
            expected_revision: 0,
            submission: "first".to_owned(),
        },
        Command::UpdateBackends(backends),
    ] {
        let answer = control.propose(command).await.expect("committed");
        assert!(!matches!(answer, CommandAnswer::Refused(_)), "{answer:?}");
    }
}

async fn start_duties(control: &Arc<ControlHandle>) -> Leader {
    let unused = "127.0.0.1:1".parse().expect("an address");
    let duties = Leader::new(ControlSettings {
        listen: unused,
        data_folder: PathBuf::new(),
        platform_list: None,
        platform_poll_ms: 1_000,
        operator_listen: unused,
    });
    let registry = Arc::new(Registry::default());
    registry.publish(names::CONTROL, Arc::clone(control));
    duties.start(&registry).await.expect("started");
    duties
}

/// Whether control counts every slot that the follower uses as assigned to it or being
/// released by it, and none as free.
fn are_used_slots_occupied(control: &ControlHandle, follower: &Follower) -> bool {
    let state = control.shared.state();
    let assigned = state.tables().slots.get(&follower.daemon);
    follower.slots().iter().all(|(backend, count)| {
        let assigned = assigned.and_then(|slots| slots.get(backend)).copied();
        let releases = state.releases().iter();
        let released: u32 = releases
            .filter(|release| release.daemon == follower.daemon && release.backend == *backend)
            .map(|release| release.count)
            .sum();
        assigned.unwrap_or(0) + released >= *count
    })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_gets_no_lease_on_slots_that_are_being_freed() {
    let group = Group::start().await;
    let leader = group.wait_for_leader().await;
    let control = &group.members[&leader].control;
    initialize_control(control).await;
    let duties = start_duties(control).await;
    let exchange = ControlExchange::new(Arc::clone(control));
    let mut follower = Follower {
        daemon: DaemonId {
            name: "hut-00".to_owned(),
            incarnation: 1,
        },
        tables: Tables::default(),
    };
    let started = Instant::now();
    while follower.slots().is_empty() {
        assert!(started.elapsed() < TEST_TIMEOUT, "no slots assigned");
        follower.request_lease(&exchange).await;
    }
    // The daemon is suspended until its lease and its longest request have ended. The
    // stalled disks delay the command that frees its slots.
    let freed_after = Duration::from_millis(LEASE_MS + DEADLINE_MS);
    tokio::time::sleep(freed_after - Duration::from_millis(200)).await;
    for member in group.members.values() {
        member.disk.stall(Duration::from_millis(2_500));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    // The daemon is resumed, requests a lease until it is granted one, and uses the slots
    // that the lease covers.
    let resumed_at = Instant::now();
    while !follower.request_lease(&exchange).await {
        assert!(resumed_at.elapsed() < TEST_TIMEOUT, "no lease granted");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let leased_at = Instant::now();
    while leased_at.elapsed() < Duration::from_millis(LEASE_MS / 2) {
        assert!(
            are_used_slots_occupied(control, &follower),
            "the daemon uses slots that count as free: {:?}",
            follower.slots()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    expect_that!(group.leader(), some(eq(leader)));
    duties.stop().await;
}

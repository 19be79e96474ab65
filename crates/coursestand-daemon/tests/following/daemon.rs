//! An entry daemon that is connected with scripted control processes, without the request
//! path.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_daemon::fleet::edge_follower::{EdgeFollower, HAND_OVER_MS};
use coursestand_daemon::fleet::follower_metrics::FollowerMetrics;
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{RegionId, ZoneId};
use coursestand_proxy::EdgeState;
use coursestand_proxy::edge_state::EdgeBounds;
use coursestand_routing::RetryLimits;
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::ColdLimits;
use coursestand_routing::picker::{Balance, PickerConfig};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::scripted_control::{FIRST_CHANGE, ScriptedControl};

pub const CONTROLS: usize = 5;
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longer than any step of a test should take.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Daemon {
    pub state: Arc<EdgeState>,
    pub follower: Arc<EdgeFollower>,
    /// Kept because the follower ends when the sender is dropped.
    _seeds: watch::Sender<Vec<SocketAddr>>,
}

fn state(clock: MonotonicClock) -> EdgeState {
    let config = PickerConfig {
        daemon: "edge".to_owned(),
        region: RegionId::from("z"),
        zones: BTreeMap::from([(ZoneId::from("z-1"), RegionId::from("z"))]),
        cold: ColdLimits {
            overage: 1.5,
            slack: 5.0,
        },
        balance: Balance {
            hard_load: 2.0,
            report_decay: ReportDecay {
                hold_ms: 500,
                half_life_ms: 500,
            },
        },
    };
    let bounds = EdgeBounds {
        retries: RetryLimits {
            ratio: 0.2,
            extra: 64.0,
            window_ms: 10_000,
        },
        settle_ms: 3_000,
        hand_over_ms: HAND_OVER_MS,
    };
    EdgeState::new(clock, config, bounds)
}

impl Daemon {
    pub fn start(seeds: &[SocketAddr]) -> Daemon {
        Daemon::start_with(MonotonicClock::default(), seeds)
    }

    /// Starts a daemon whose time-outs and ages are computed with this clock.
    pub fn start_with(clock: MonotonicClock, seeds: &[SocketAddr]) -> Daemon {
        let state = Arc::new(state(clock));
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let record = EdgeRecord {
            name: "edge".to_owned(),
            incarnation: 1,
            address: unused_address,
            admin_address: unused_address,
            zone: ZoneId::from("z-1"),
            region: RegionId::from("z"),
            phase: EdgePhase::Starting,
        };
        let (seeds, seeds_receiver) = watch::channel(seeds.to_vec());
        let metrics = FollowerMetrics::new(&prometheus::Registry::new()).expect("metrics");
        let follower = EdgeFollower::new(
            Arc::clone(&state),
            record,
            seeds_receiver,
            metrics,
            Arc::default(),
        );
        let follower = Arc::new(follower);
        tokio::spawn(Arc::clone(&follower).run());
        Daemon {
            state,
            follower,
            _seeds: seeds,
        }
    }

    pub fn catalog_version(&self) -> u64 {
        self.state.routing().catalog.version()
    }

    pub fn is_ready(&self) -> bool {
        self.follower.phase() == EdgePhase::Ready
    }
}

/// Starts the control processes of one group.
pub async fn start_controls(delay: Duration) -> Vec<ScriptedControl> {
    let mut controls = Vec::new();
    for _ in 0..CONTROLS {
        controls.push(ScriptedControl::start(delay).await);
    }
    let addresses = addresses(&controls);
    for control in &controls {
        control.set_group(&addresses, FIRST_CHANGE);
    }
    controls
}

pub fn addresses(controls: &[ScriptedControl]) -> Vec<SocketAddr> {
    controls.iter().map(|control| control.address).collect()
}

/// Waits until the condition holds and returns the time that it took.
pub async fn time_until(description: &str, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out waiting for: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

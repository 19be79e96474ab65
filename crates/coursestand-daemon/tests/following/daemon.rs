//! A daemon that follows control processes of a script, without the request path.

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
pub const LOOK: Duration = Duration::from_millis(5);
/// Nothing here should come near it.
const WITHIN: Duration = Duration::from_secs(30);

pub struct Daemon {
    pub state: Arc<EdgeState>,
    pub follower: Arc<EdgeFollower>,
    /// Kept, since the follower ends without it.
    _seeds: watch::Sender<Vec<SocketAddr>>,
}

fn state(clock: MonotonicClock) -> EdgeState {
    let place = PickerConfig {
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
    EdgeState::new(clock, place, bounds)
}

impl Daemon {
    pub fn start(seeds: &[SocketAddr]) -> Daemon {
        Daemon::start_with(MonotonicClock::default(), seeds)
    }

    /// With this clock for its promises.
    pub fn start_with(clock: MonotonicClock, seeds: &[SocketAddr]) -> Daemon {
        let state = Arc::new(state(clock));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let record = EdgeRecord {
            name: "edge".to_owned(),
            incarnation: 1,
            address: nowhere,
            admin_address: nowhere,
            zone: ZoneId::from("z-1"),
            region: RegionId::from("z"),
            phase: EdgePhase::Starting,
        };
        let (seeds, seeds_seen) = watch::channel(seeds.to_vec());
        let metrics = FollowerMetrics::new(&prometheus::Registry::new()).expect("metrics");
        let follower = EdgeFollower::new(
            Arc::clone(&state),
            record,
            seeds_seen,
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

    pub fn catalog(&self) -> u64 {
        self.state.routing().catalog.version()
    }

    pub fn is_ready(&self) -> bool {
        self.follower.phase() == EdgePhase::Ready
    }
}

pub async fn controls(delay: Duration) -> Vec<ScriptedControl> {
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

/// How long it takes until something is so.
pub async fn time_until(what: &str, is_so: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < WITHIN, "not in time: {what}");
        tokio::time::sleep(LOOK).await;
    }
    started.elapsed()
}

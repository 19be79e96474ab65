//! Follows the control group: applies new control state and renews the lease.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_coordination::Tables;
use coursestand_coordination::followers::{MAX_POLL_WAIT_MS, follower_lease_ms};
use coursestand_coordination::tables::MemberPhase;
use coursestand_coordination::wire::{ControlReply, ControlRequest, FollowRequest};
use coursestand_gateway::Shared;
use coursestand_kernel::{Health, MonotonicClock, Registry, Service, ServiceError, Tasks};
use coursestand_model::{DaemonId, Millis, ZoneId};
use log::{error, info, warn};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::entry::control_client::ControlClient;
use crate::names;

const LOG: &str = "follower";
/// Timeout at one replica: the long poll and two slow round trips.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(MAX_POLL_WAIT_MS + 500);
/// Delay after a failed request to the control group.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of the last request, which releases lease and slots.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which look-ups exclude this daemon after it announced that it leaves.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// What this daemon reports of itself to the control group.
#[derive(Clone, Debug)]
pub struct LocalDaemon {
    /// Name and incarnation.
    pub daemon: DaemonId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Address for callers.
    pub address: Option<String>,
}

/// The service that follows the control group.
pub struct Follower {
    inner: Arc<Inner>,
    tasks: Tasks,
}

struct Inner {
    local_daemon: LocalDaemon,
    shared: Arc<Shared>,
    control: Arc<ControlClient>,
    clock: MonotonicClock,
    tables: Mutex<Tables>,
    phase: Mutex<MemberPhase>,
    phase_changed: Notify,
}

impl Follower {
    /// Returns a follower that sends its requests through `control` and updates `shared`.
    pub fn new(
        local_daemon: LocalDaemon,
        shared: Arc<Shared>,
        control: Arc<ControlClient>,
        clock: MonotonicClock,
    ) -> Follower {
        Follower {
            inner: Arc::new(Inner {
                local_daemon,
                shared,
                control,
                clock,
                tables: Mutex::default(),
                phase: Mutex::new(MemberPhase::Serving),
                phase_changed: Notify::new(),
            }),
            tasks: Tasks::default(),
        }
    }
}

/// Handle of the follower for other services.
pub struct FollowerHandle {
    inner: Arc<Inner>,
}

impl FollowerHandle {
    /// Announces that this daemon leaves. Returns after the time within which look-ups exclude
    /// it.
    pub async fn announce_leaving(&self) {
        self.inner.set_phase(MemberPhase::Leaving);
        tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    }
}

#[async_trait]
impl Service for Follower {
    fn name(&self) -> &'static str {
        names::FOLLOWER
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let handle = FollowerHandle {
            inner: Arc::clone(&self.inner),
        };
        registry.publish(names::FOLLOWER, Arc::new(handle));
        self.tasks.start(run(Arc::clone(&self.inner)));
        Ok(())
    }

    /// Releases the lease and the slots. Called once this daemon has no requests in flight.
    async fn drain(&self) {
        self.tasks.abort();
        self.inner.set_phase(MemberPhase::Gone);
        let request = ControlRequest::Follow(self.inner.request());
        let released = self
            .inner
            .control
            .send(&request, RELEASE_TIMEOUT, RELEASE_TIMEOUT)
            .await;
        if let Err(error) = released {
            warn!(target: LOG, "the slots were not released: {error}");
        }
    }

    async fn stop(&self) {
        self.tasks.abort();
    }

    fn dump(&self) -> Value {
        let tables = self.inner.tables();
        let bundle = tables.bundle_in_force();
        let shares: Vec<Value> = tables
            .shares
            .iter()
            .map(|(key, shares)| {
                json!({ "service": key.service, "origin": key.origin, "shares": shares })
            })
            .collect();
        json!({
            "shares": shares,
            "daemon": self.inner.local_daemon.daemon,
            "zone": self.inner.local_daemon.zone,
            "version": tables.version,
            "revision": bundle.map(|bundle| bundle.revision),
            "lease_ms": self.inner.shared.lease.remaining(),
            "asks": self.inner.control.current_address(),
            "phase": format!("{:?}", self.inner.phase()),
        })
    }

    fn health(&self) -> Health {
        if self.inner.shared.lease.is_valid() {
            return Health::Ready;
        }
        Health::NotReady {
            reason: "no lease: the control group can't be reached".to_owned(),
        }
    }
}

impl Inner {
    fn tables(&self) -> std::sync::MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn phase(&self) -> MemberPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_phase(&self, phase: MemberPhase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
        self.phase_changed.notify_one();
    }

    fn request(&self) -> FollowRequest {
        FollowRequest {
            daemon: self.local_daemon.daemon.clone(),
            zone: self.local_daemon.zone.clone(),
            address: self.local_daemon.address.clone(),
            phase: self.phase(),
            have: self.tables().version,
            progress: self.shared.steering().progress(),
        }
    }

    /// Applies a delta, and only then extends the lease: the tables on which this daemon bases
    /// its decisions are never older than the version for which the lease was granted.
    fn apply_delta(&self, sent_at: Millis, delta: coursestand_coordination::Delta) {
        let mut tables = self.tables();
        let previous_revision = tables.bundle_in_force().map(|bundle| bundle.revision);
        if delta.version < tables.version {
            // A late answer of an earlier leader must not revert the tables.
            return;
        }
        tables.apply(delta);
        if let Err(failure) = self.shared.steering().apply(&tables) {
            error!(target: LOG, "the bundle can't be used: {failure}");
            return;
        }
        let revision = tables.bundle_in_force().map(|bundle| bundle.revision);
        if revision != previous_revision {
            info!(target: LOG, "revision {} is in force here", revision.unwrap_or(0));
        }
        drop(tables);
        self.shared.lease.extend(sent_at + follower_lease_ms());
        self.shared.wake_waiting();
    }
}

async fn run(inner: Arc<Inner>) {
    loop {
        let sent_at = inner.clock.now();
        let request = ControlRequest::Follow(inner.request());
        let exchange = inner
            .control
            .send(&request, ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT);
        let answer = tokio::select! {
            answer = exchange => answer,
            () = inner.phase_changed.notified() => continue,
        };
        match answer {
            Ok(ControlReply::Follow(delta)) => inner.apply_delta(sent_at, delta),
            Ok(_) => tokio::time::sleep(RETRY_DELAY).await,
            Err(failure) => {
                warn!(target: LOG, "no update from the control group: {failure}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

//! Follows the control group: takes new control state over and keeps the lease.

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
/// Time for one replica to answer: the hold and two slow round trips.
const ATTEMPT: Duration = Duration::from_millis(MAX_POLL_WAIT_MS + 500);
/// Pause after the control group gave no answer.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the control group to take the last message.
const FAREWELL: Duration = Duration::from_secs(2);
/// Look-ups stop naming this daemon within this time after it announced it.
const ANNOUNCE: Duration = Duration::from_millis(500);

/// The daemon as the control group sees it.
#[derive(Clone, Debug)]
pub struct Myself {
    /// Name and incarnation.
    pub daemon: DaemonId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Address for callers.
    pub address: Option<String>,
}

/// Follows the control group.
pub struct Follower {
    inner: Arc<Inner>,
    tasks: Tasks,
}

struct Inner {
    myself: Myself,
    shared: Arc<Shared>,
    control: Arc<ControlClient>,
    clock: MonotonicClock,
    tables: Mutex<Tables>,
    phase: Mutex<MemberPhase>,
    phase_changed: Notify,
}

impl Follower {
    /// Follows through `control` and keeps `shared` up to date.
    pub fn new(
        myself: Myself,
        shared: Arc<Shared>,
        control: Arc<ControlClient>,
        clock: MonotonicClock,
    ) -> Follower {
        Follower {
            inner: Arc::new(Inner {
                myself,
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

/// What other services ask of the follower.
pub struct FollowerHandle {
    inner: Arc<Inner>,
}

impl FollowerHandle {
    /// Announces that this daemon leaves; returns once look-ups have had time to
    /// stop naming it.
    pub async fn announce_leaving(&self) {
        self.inner.set_phase(MemberPhase::Leaving);
        tokio::time::sleep(ANNOUNCE).await;
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

    /// Nothing of this daemon is in flight any more: gives its lease and slots
    /// back at once.
    async fn drain(&self) {
        self.tasks.abort();
        self.inner.set_phase(MemberPhase::Gone);
        let request = ControlRequest::Follow(self.inner.request());
        let told = self.inner.control.ask(&request, FAREWELL, FAREWELL).await;
        if let Err(error) = told {
            warn!(target: LOG, "the slots were not given back: {error}");
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
            "daemon": self.inner.myself.daemon,
            "zone": self.inner.myself.zone,
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
            daemon: self.myself.daemon.clone(),
            zone: self.myself.zone.clone(),
            address: self.myself.address.clone(),
            phase: self.phase(),
            have: self.tables().version,
            progress: self.shared.steering().progress(),
        }
    }

    /// Takes news over, and only then extends the lease: what this daemon
    /// decides on is never older than what the lease was granted for.
    fn take(&self, sent_at: Millis, delta: coursestand_coordination::Delta) {
        let mut tables = self.tables();
        let before = tables.bundle_in_force().map(|bundle| bundle.revision);
        if delta.version < tables.version {
            // A late answer of an earlier leader: nothing is taken back.
            return;
        }
        tables.apply(delta);
        if let Err(failure) = self.shared.steering().apply(&tables) {
            error!(target: LOG, "the bundle can't be used: {failure}");
            return;
        }
        let revision = tables.bundle_in_force().map(|bundle| bundle.revision);
        if revision != before {
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
        let asked = inner.control.ask(&request, ATTEMPT, ATTEMPT);
        let answer = tokio::select! {
            answer = asked => answer,
            () = inner.phase_changed.notified() => continue,
        };
        match answer {
            Ok(ControlReply::Follow(delta)) => inner.take(sent_at, delta),
            Ok(_) => tokio::time::sleep(PAUSE).await,
            Err(failure) => {
                warn!(target: LOG, "no news: {failure}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

//! The control service: opens the log, runs the driver and serves daemons and other
//! replicas.

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use async_trait::async_trait;
use coursestand_kernel::{Health, MonotonicClock, Registry, Service, ServiceError};
use coursestand_model::settings::ControlSettings;
use coursestand_transport::Server;
use serde_json::{Value, json};
use tokio::runtime::Handle;

use crate::control::driver::Driver;
use crate::control::event::Event;
use crate::control::exchange::ControlExchange;
use crate::control::handle::ControlHandle;
use crate::control::peers::Peers;
use crate::control::shared::ControlShared;
use crate::names;

/// Maximum number of concurrent exchanges. Each follower occupies one with its long poll.
/// A replica with this many uses 3 MB more memory than a daemon without the control role
/// (see `docs/CAPACITY.md`).
const MAX_EXCHANGES: usize = 2_048;

/// Required copies of a command when a majority suffices.
const NO_MIN_COPIES: usize = 0;

/// The service that runs a replica of the control group.
pub struct ControlReplica {
    settings: ControlSettings,
    clock: MonotonicClock,
    running: Mutex<Option<Running>>,
    handle: Mutex<Option<Arc<ControlHandle>>>,
}

struct Running {
    server: Server,
    driver: JoinHandle<()>,
}

impl ControlReplica {
    /// Returns a replica with these settings, not started.
    pub fn new(settings: ControlSettings, clock: MonotonicClock) -> ControlReplica {
        ControlReplica {
            settings,
            clock,
            running: Mutex::new(None),
            handle: Mutex::new(None),
        }
    }

    fn handle(&self) -> Option<Arc<ControlHandle>> {
        self.handle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

#[async_trait]
impl Service for ControlReplica {
    fn name(&self) -> &'static str {
        names::CONTROL
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::CONTROL, error);
        let shared = Arc::new(ControlShared::new(self.clock));
        let (events, incoming) = channel();
        let handle = Arc::new(ControlHandle::new(Arc::clone(&shared), events));
        let driver = Driver::open(
            shared,
            Box::new(Peers::new(Handle::current(), self.settings.listen)),
            self.settings.data_folder.clone(),
            NO_MIN_COPIES,
        )
        .map_err(|error| failed(&error))?;
        let thread = std::thread::Builder::new()
            .name("consensus".to_owned())
            .spawn(move || driver.run(&incoming))
            .map_err(|error| failed(&error))?;
        let exchange = Arc::new(ControlExchange::new(Arc::clone(&handle)));
        let server = Server::start(self.settings.listen, MAX_EXCHANGES, exchange)
            .map_err(|error| failed(&error))?;
        registry.publish(names::CONTROL, Arc::clone(&handle));
        *self.handle.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle);
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(Running {
            server,
            driver: thread,
        });
        Ok(())
    }

    /// Transfers the leadership to another voter before the replica stops.
    async fn drain(&self) {
        const MAX_TRANSFER_TIME: std::time::Duration = std::time::Duration::from_secs(2);
        const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
        let Some(handle) = self.handle() else {
            return;
        };
        let started = std::time::Instant::now();
        if handle.shared.leading_term().is_some()
            && handle.deliver(Event::TransferLeadership).is_ok()
        {
            while handle.shared.status().role == "leader" && started.elapsed() < MAX_TRANSFER_TIME {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn stop(&self) {
        let running = self
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(running) = running else {
            return;
        };
        running.server.stop();
        if let Some(handle) = self.handle() {
            // Fails if the driver has already stopped.
            let _ = handle.deliver(Event::Stop);
        }
        let joined = tokio::task::spawn_blocking(move || running.driver.join());
        let _ = joined.await;
    }

    fn dump(&self) -> Value {
        let Some(handle) = self.handle() else {
            return Value::Null;
        };
        let state = handle.shared.state();
        json!({
            "replica": handle.shared.status(),
            "leading_term": handle.shared.leading_term(),
            "version": state.tables().version,
            "revision": state.history().current(),
            "clock_ms": state.clock(),
            "once_keys": state.once().len(),
            "backends": state.tables().backends.len(),
            "members": state.tables().members.iter().map(|(name, member)| json!({
                "name": name,
                "incarnation": member.incarnation,
                "zone": member.zone,
                "phase": format!("{:?}", member.phase),
            })).collect::<Vec<_>>(),
            "releases": state.releases().len(),
        })
    }

    fn health(&self) -> Health {
        let Some(handle) = self.handle() else {
            return Health::NotReady {
                reason: "not started".to_owned(),
            };
        };
        let status = handle.shared.status();
        let reason = match (status.role, status.leader) {
            ("blank", _) => "has not joined a control group",
            ("failed", _) => "its storage failed",
            (_, None) => "has no leader: it may be partitioned",
            _ => return Health::Ready,
        };
        Health::NotReady {
            reason: reason.to_owned(),
        }
    }
}

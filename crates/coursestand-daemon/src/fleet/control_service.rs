//! The control role of a fleet: the replica, the hub of the soft state, and the
//! connections to the other control processes and to entry daemons.

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coursestand_kernel::{Health, MonotonicClock, Registry, Service, ServiceError, Tasks};
use coursestand_model::fleet::FleetSettings;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::control::driver::Driver;
use crate::control::event::Event;
use crate::control::handle::ControlHandle;
use crate::control::shared::ControlShared;
use crate::fleet::formation::{Formation, FormationRules};
use crate::fleet::hub::Hub;
use crate::fleet::listener::{Serving, accept};
use crate::fleet::metrics::{ControlCounts, ControlMetrics};
use crate::fleet::peer_links::{MeshPeers, PeerLinks};
use crate::names;

/// Time between two rounds of the hub's regular work.
const HUB_ROUND: Duration = Duration::from_secs(1);
/// Longest wait for another replica to take over the leadership.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_500);

/// Handles of the control role for the other services.
pub struct ControlMesh {
    /// The replica.
    pub control: Arc<ControlHandle>,
    /// The soft state.
    pub hub: Arc<Hub>,
    /// Connections to the other control processes.
    pub links: Arc<PeerLinks>,
    /// Metrics of the role.
    pub metrics: ControlMetrics,
}

impl ControlMesh {
    fn update_metrics(&self) {
        let (ready, draining, edges) = self.hub.counts();
        let shared = &self.control.shared;
        self.metrics.update(&ControlCounts {
            status: shared.status(),
            leads: shared.leading_term().is_some(),
            catalog: shared.state().catalog().version(),
            ready,
            draining,
            edges,
            limited: self.hub.limited_backends(),
        });
    }
}

/// Runs the control role.
pub struct FleetControl {
    settings: FleetSettings,
    clock: MonotonicClock,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    tasks: Arc<Tasks>,
    driver: Mutex<Option<JoinHandle<()>>>,
    mesh: Mutex<Option<Arc<ControlMesh>>>,
}

impl FleetControl {
    /// A control role with these settings; the seeds may change.
    pub fn new(
        settings: FleetSettings,
        clock: MonotonicClock,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> FleetControl {
        FleetControl {
            settings,
            clock,
            seeds,
            tasks: Arc::default(),
            driver: Mutex::new(None),
            mesh: Mutex::new(None),
        }
    }

    fn mesh(&self) -> Option<Arc<ControlMesh>> {
        self.mesh
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn formation(&self, control: &Arc<ControlHandle>, hub: &Arc<Hub>) -> Arc<Formation> {
        let rules = FormationRules {
            own: self.settings.internal_address(),
            bootstrap: self.settings.bootstrap,
            lost_disks: self.settings.bounds.lost_disks,
        };
        Arc::new(Formation::new(
            rules,
            self.clock,
            Arc::clone(control),
            Arc::clone(hub),
            self.seeds.clone(),
        ))
    }
}

#[async_trait]
impl Service for FleetControl {
    fn name(&self) -> &'static str {
        names::HUB
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::HUB, error);
        let Some(role) = &self.settings.control else {
            return Err(failed(&"the process has no control role"));
        };
        let own = self.settings.internal_address();
        let listener = TcpListener::bind(own)
            .await
            .map_err(|error| failed(&format!("cannot listen on {own}: {error}")))?;
        let heartbeat = self.settings.bounds.heartbeat.0;
        let hub = Arc::new(Hub::new(own, self.clock, heartbeat));
        let snapshot_hub = Arc::clone(&hub);
        let links = Arc::new(PeerLinks::new(
            own,
            Arc::new(move || snapshot_hub.snapshot()),
            Arc::clone(&self.tasks),
        ));
        let shared = Arc::new(ControlShared::new(self.clock));
        let (events, incoming) = channel();
        let control = Arc::new(ControlHandle::new(Arc::clone(&shared), events));
        let driver = Driver::open(
            shared,
            Box::new(MeshPeers(Arc::clone(&links))),
            role.data_folder.clone(),
            self.settings.bounds.lost_disks + 1,
        )
        .map_err(|error| failed(&error))?;
        let thread = std::thread::Builder::new()
            .name("consensus".to_owned())
            .spawn(move || driver.run(&incoming))
            .map_err(|error| failed(&error))?;
        let formation = self.formation(&control, &hub);
        hub.connect(Arc::clone(&links));
        formation.connect(Arc::clone(&links));
        let serving = Arc::new(Serving {
            control: Arc::clone(&control),
            hub: Arc::clone(&hub),
            formation: Arc::clone(&formation),
        });
        let accepting = accept(listener, serving, Arc::clone(&self.tasks));
        self.tasks.start(accepting);
        self.tasks.start(formation.run());
        let metrics = ControlMetrics::new(registry.metrics()).map_err(|error| failed(&error))?;
        let mesh = Arc::new(ControlMesh {
            control,
            hub,
            links,
            metrics,
        });
        self.tasks.start(run_rounds(Arc::clone(&mesh)));
        registry.publish(names::HUB, Arc::clone(&mesh));
        *self.mesh.lock().unwrap_or_else(PoisonError::into_inner) = Some(mesh);
        *self.driver.lock().unwrap_or_else(PoisonError::into_inner) = Some(thread);
        Ok(())
    }

    /// A leader hands its leadership over before it stops.
    async fn drain(&self) {
        const LOOK: Duration = Duration::from_millis(20);
        let Some(mesh) = self.mesh() else {
            return;
        };
        let started = Instant::now();
        let leads = mesh.control.shared.leading_term().is_some();
        if leads && mesh.control.deliver(Event::TransferLeadership).is_ok() {
            while mesh.control.shared.status().role == "leader"
                && started.elapsed() < HAND_OVER_LIMIT
            {
                tokio::time::sleep(LOOK).await;
            }
        }
    }

    async fn stop(&self) {
        self.tasks.abort();
        if let Some(mesh) = self.mesh() {
            // A driver that stopped by itself takes no events.
            let _ = mesh.control.deliver(Event::Stop);
        }
        let driver = self
            .driver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(driver) = driver {
            // A driver that panicked has stopped as well.
            let _ = tokio::task::spawn_blocking(move || driver.join()).await;
        }
    }

    fn dump(&self) -> Value {
        let Some(mesh) = self.mesh() else {
            return Value::Null;
        };
        let catalog_version = mesh.control.shared.state().catalog().version();
        json!({
            "replica": mesh.control.shared.status(),
            "leading_term": mesh.control.shared.leading_term(),
            "catalog_version": catalog_version,
            "soft_state": mesh.hub.dump(),
            "requests_that_end_back_ends": mesh.hub.case_views(),
            "rate_limits": mesh.hub.token_views(),
        })
    }

    fn health(&self) -> Health {
        let leader = self
            .mesh()
            .and_then(|mesh| mesh.control.shared.status().leader);
        match leader {
            Some(_) => Health::Ready,
            None => Health::NotReady {
                reason: "knows no leader".to_owned(),
            },
        }
    }
}

async fn run_rounds(mesh: Arc<ControlMesh>) {
    loop {
        mesh.update_metrics();
        tokio::time::sleep(HUB_ROUND).await;
        mesh.hub.tick();
        mesh.hub.note_lease(mesh.control.shared.leading_term());
    }
}

//! The control role of a fleet process: the replica, the hub of the soft state, and the
//! connections to other control processes and entry daemons.

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
use crate::fleet::departures::follow_departures;
use crate::fleet::dumps;
use crate::fleet::formation::{Formation, FormationRules};
use crate::fleet::hub::Hub;
use crate::fleet::listener::{ConnectionContext, accept};
use crate::fleet::memory::process_memory_bytes;
use crate::fleet::metrics::{ControlCounts, ControlMetrics};
use crate::fleet::peer_links::{PeerLinkSender, PeerLinks, PeerState};
use crate::fleet::unidentified_peers::{UnidentifiedPeers, max_unidentified_peers};
use crate::names;

/// Time between two rounds of the hub's periodic work.
const HUB_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for another replica to take over the leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for the leader to remove this replica from the group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Components of the control role for other services.
pub struct ControlMesh {
    /// Handle of the replica.
    pub control: Arc<ControlHandle>,
    /// Soft state of back ends and entry daemons.
    pub hub: Arc<Hub>,
    /// Connections to the other control processes.
    pub links: Arc<PeerLinks>,
    /// Membership of the control group.
    pub formation: Arc<Formation>,
    /// Metrics of the role.
    pub metrics: ControlMetrics,
}

impl ControlMesh {
    fn update_metrics(&self) {
        let (ready, draining, edges) = self.hub.counts();
        let shared = &self.control.shared;
        self.metrics.update(&ControlCounts {
            status: shared.status(),
            is_leader: shared.leading_term().is_some(),
            catalog: shared.state().catalog().version(),
            evacuated_zones: shared.state().catalog().evacuated_zone_count(),
            ready,
            draining,
            peer_queue_bytes: self.links.queued_bytes(),
            edges,
            edges_named_without_connection: self.hub.named_without_connection().len(),
            rate_limited_backends: self.hub.limited_backends(),
            departures: shared.state().departures().len(),
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
    /// Creates a control role with these settings; the seeds may change later.
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
            local_address: self.settings.internal_address(),
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
        let local_address = self.settings.internal_address();
        let listen_address = self.settings.internal_listen_address();
        let listener = TcpListener::bind(listen_address)
            .await
            .map_err(|error| failed(&format!("cannot listen on {listen_address}: {error}")))?;
        let heartbeat = self.settings.bounds.heartbeat.0;
        let hub = Arc::new(Hub::new(local_address, self.clock, heartbeat));
        let links = Arc::new(PeerLinks::new(
            local_address,
            Arc::clone(&hub) as Arc<dyn PeerState>,
            Arc::clone(&self.tasks),
        ));
        let shared = Arc::new(ControlShared::new(self.clock));
        let (events, incoming) = channel();
        let control = Arc::new(ControlHandle::new(Arc::clone(&shared), events));
        let driver = Driver::open(
            shared,
            Box::new(PeerLinkSender(Arc::clone(&links))),
            role.data_folder.clone(),
            self.settings.bounds.lost_disks + 1,
        )
        .map_err(|error| failed(&error))?;
        let thread = std::thread::Builder::new()
            .name("consensus".to_owned())
            .spawn(move || driver.run(&incoming))
            .map_err(|error| failed(&error))?;
        let formation = self.formation(&control, &hub);
        hub.set_links(Arc::clone(&links));
        formation.set_links(Arc::clone(&links));
        let memory_bytes = process_memory_bytes(&self.settings);
        let unidentified = Arc::new(UnidentifiedPeers::new(max_unidentified_peers(memory_bytes)));
        let context = Arc::new(ConnectionContext {
            control: Arc::clone(&control),
            hub: Arc::clone(&hub),
            formation: Arc::clone(&formation),
            unidentified,
        });
        let accepting = accept(listener, context, Arc::clone(&self.tasks));
        self.tasks.start(accepting);
        self.tasks.start(Arc::clone(&formation).run());
        let metrics = ControlMetrics::new(registry.metrics()).map_err(|error| failed(&error))?;
        let mesh = Arc::new(ControlMesh {
            control,
            hub,
            links,
            formation,
            metrics,
        });
        self.tasks.start(run_periodic_work(Arc::clone(&mesh)));
        self.tasks.start(follow_departures(Arc::clone(&mesh)));
        registry.publish(names::HUB, Arc::clone(&mesh));
        *self.mesh.lock().unwrap_or_else(PoisonError::into_inner) = Some(mesh);
        *self.driver.lock().unwrap_or_else(PoisonError::into_inner) = Some(thread);
        Ok(())
    }

    /// Transfers the leadership to another voter before the process stops, and leaves the group if
    /// that has voters to spare.
    async fn drain(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let Some(mesh) = self.mesh() else {
            return;
        };
        let started = Instant::now();
        let is_leader = mesh.control.shared.leading_term().is_some();
        if is_leader && mesh.control.deliver(Event::TransferLeadership).is_ok() {
            while mesh.control.shared.status().role == "leader"
                && started.elapsed() < TRANSFER_TIMEOUT
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        mesh.formation.leave(LEAVE_TIMEOUT).await;
    }

    async fn stop(&self) {
        self.tasks.abort();
        if let Some(mesh) = self.mesh() {
            // Fails only if the driver has stopped by itself.
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
        let catalog = mesh.control.shared.state().shared_catalog();
        json!({
            "replica": mesh.control.shared.status(),
            "leading_term": mesh.control.shared.leading_term(),
            "catalog_version": catalog.version(),
            "evacuations": dumps::evacuations(&catalog),
            "departures": mesh.control.shared.state().departures().len(),
            "soft_state": mesh.hub.dump(),
            "requests_that_end_back_ends": mesh.hub.crash_record_views(),
            "rate_limits": mesh.hub.token_bucket_views(),
        })
    }

    fn health(&self) -> Health {
        let leader = self
            .mesh()
            .and_then(|mesh| mesh.control.shared.status().leader);
        match leader {
            Some(_) => Health::Ready,
            None => Health::NotReady {
                reason: "no leader is known".to_owned(),
            },
        }
    }
}

async fn run_periodic_work(mesh: Arc<ControlMesh>) {
    loop {
        mesh.update_metrics();
        tokio::time::sleep(HUB_INTERVAL).await;
        mesh.hub.tick();
        mesh.hub.note_lease(mesh.control.shared.leading_term());
    }
}

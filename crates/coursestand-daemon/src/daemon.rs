//! Composes the services of a daemon from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_gateway::Gateway;
use coursestand_gateway::Shared;
use coursestand_gateway::http_backend::{HttpBackendError, HttpBackends};
use coursestand_gateway::lease::DecisionLease;
use coursestand_gateway::metrics::GatewayMetrics;
use coursestand_kernel::admin::Admin;
use coursestand_kernel::clock::wall_ms;
use coursestand_kernel::http::HttpError;
use coursestand_kernel::{Kernel, MonotonicClock, ServiceError};
use coursestand_model::DaemonId;
use coursestand_model::settings::{ControlSettings, DaemonSettings, EntrySettings};
use coursestand_transport::TransportError;
use snafu::{ResultExt, Snafu};

use crate::control::leader::Leader;
use crate::control::operators::OperatorApi;
use crate::control::replica::ControlReplica;
use crate::entry::control_client::{ControlClient, OnceClient};
use crate::entry::follower::{Follower, LocalDaemon};
use crate::entry::gateway_service::GatewayService;
use crate::entry::prober::Prober;
use crate::entry::reporter::Reporter;

/// Errors of starting a daemon.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A service failed.
    #[snafu(display("{source}"))]
    Service {
        /// Cause.
        source: ServiceError,
    },
    /// The admin interface failed.
    #[snafu(display("the admin interface: {source}"))]
    Admin {
        /// Cause.
        source: HttpError,
    },
    /// The client for the control group can't be created.
    #[snafu(display("the control client: {source}"))]
    Control {
        /// Cause.
        source: TransportError,
    },
    /// The client for back ends can't be created.
    #[snafu(display("{source}"))]
    BackEnds {
        /// Cause.
        source: HttpBackendError,
    },
    /// Metrics can't be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    kernel: Kernel,
    admin: Admin,
}

impl Daemon {
    /// Starts a daemon with these settings.
    pub async fn start(settings: &DaemonSettings) -> Result<Daemon, DaemonError> {
        let clock = MonotonicClock::for_process();
        let mut kernel = Kernel::new();
        if let Some(control) = &settings.control_role {
            add_control(&mut kernel, control, clock);
        }
        if let Some(entry) = &settings.entry_role {
            add_entry(&mut kernel, settings, entry, clock)?;
        }
        kernel.start().await.context(ServiceSnafu)?;
        let started = Admin::start(settings.admin_listen, kernel.clone()).await;
        match started.context(AdminSnafu) {
            Ok(admin) => Ok(Daemon { kernel, admin }),
            Err(error) => {
                kernel.stop().await;
                Err(error)
            }
        }
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the kernel, which runs the services.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Stops the daemon without interrupting requests.
    pub async fn drain_and_stop(&self) {
        self.kernel.drain_and_stop().await;
        self.admin.stop().await;
    }

    /// Stops the daemon immediately.
    pub async fn stop(&self) {
        self.kernel.stop().await;
        self.admin.stop().await;
    }
}

fn add_control(kernel: &mut Kernel, settings: &ControlSettings, clock: MonotonicClock) {
    kernel.add(Arc::new(ControlReplica::new(settings.clone(), clock)));
    kernel.add(Arc::new(Leader::new(settings.clone())));
    kernel.add(Arc::new(OperatorApi::new(settings.clone())));
}

fn add_entry(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    entry: &EntrySettings,
    clock: MonotonicClock,
) -> Result<(), DaemonError> {
    let daemon = DaemonId {
        name: settings.name.clone(),
        incarnation: wall_ms(),
    };
    let control = Arc::new(ControlClient::new(&settings.control).context(ControlSnafu)?);
    let lease = Arc::new(DecisionLease::new(clock));
    let backends = Arc::new(HttpBackends::new().context(BackEndsSnafu)?);
    let shared = Arc::new(Shared::new(daemon.clone(), lease, backends));
    let metrics = GatewayMetrics::new(kernel.registry().metrics()).context(MetricsSnafu)?;
    let once = Arc::new(OnceClient::new(Arc::clone(&control)));
    let gateway = Arc::new(Gateway::new(
        daemon.clone(),
        settings.zone.clone(),
        Arc::clone(&shared),
        once,
        metrics,
    ));
    let local_daemon = LocalDaemon {
        daemon: daemon.clone(),
        zone: settings.zone.clone(),
        address: Some(entry.advertise.unwrap_or(entry.listen).to_string()),
    };
    let follower = Follower::new(
        local_daemon,
        Arc::clone(&shared),
        Arc::clone(&control),
        clock,
    );
    let prober = Prober::new(Arc::clone(&shared), Duration::from_millis(entry.probe_ms));
    let reporter = Reporter::new(daemon, shared, control);
    let drain_timeout = Duration::from_millis(settings.stop_ms);
    let service = GatewayService::new(entry.listen, gateway, drain_timeout);
    // Services are drained in reverse order: callers first, the lease last.
    kernel.add(Arc::new(follower));
    kernel.add(Arc::new(reporter));
    kernel.add(Arc::new(prober));
    kernel.add(Arc::new(service));
    Ok(())
}

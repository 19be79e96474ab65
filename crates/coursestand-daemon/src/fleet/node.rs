//! Assembles the services of a fleet process from its settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use coursestand_dialect::Dialect;
use coursestand_kernel::admin::Admin;
use coursestand_kernel::http::HttpError;
use coursestand_kernel::logging;
use coursestand_kernel::{Kernel, MonotonicClock, ServiceError, Tasks};
use coursestand_model::fleet::FleetSettings;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Notify, watch};

use crate::fleet::control_api::ControlApi;
use crate::fleet::control_service::FleetControl;
use crate::fleet::edge_service::FleetEdge;
use crate::fleet::seeds;

/// Reasons why a process fails to start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A service failed to start.
    #[snafu(display("{source}"))]
    Service {
        /// Cause.
        source: ServiceError,
    },
    /// Metrics could not be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// The admin interface failed to start.
    #[snafu(display("the admin interface: {source}"))]
    Admin {
        /// Cause.
        source: HttpError,
    },
}

/// A running fleet process.
pub struct Node {
    kernel: Kernel,
    admin: Admin,
    tasks: Tasks,
    reload: Arc<Notify>,
}

impl Node {
    /// Starts the process that `settings` describe. `file` is the settings file, which is
    /// watched for changes. Fails if a service, the metrics or the admin interface can't be
    /// started.
    pub async fn start(
        settings: &FleetSettings,
        file: Option<PathBuf>,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Node, NodeError> {
        let clock = MonotonicClock::for_process();
        let (seeds, following) = watch::channel(settings.seed_addresses());
        let mut kernel = Kernel::new();
        logging::register(kernel.registry().metrics()).context(MetricsSnafu)?;
        if settings.control.is_some() {
            kernel.add(Arc::new(FleetControl::new(
                settings.clone(),
                clock,
                following.clone(),
            )));
            let api = ControlApi::new(settings.clone(), Arc::clone(&dialect));
            kernel.add(Arc::new(api));
        }
        if settings.edge.is_some() {
            let edge = FleetEdge::new(settings.clone(), dialect, clock, following);
            kernel.add(Arc::new(edge));
        }
        kernel.start().await.context(ServiceSnafu)?;
        let started = Admin::start(settings.admin_listen, kernel.clone()).await;
        let admin = match started.context(AdminSnafu) {
            Ok(admin) => admin,
            Err(error) => {
                kernel.stop().await;
                return Err(error);
            }
        };
        let tasks = Tasks::default();
        let reload = Arc::new(Notify::new());
        if let Some(file) = file {
            tasks.start(seeds::follow_file(file, Arc::clone(&reload), seeds));
        }
        Ok(Node {
            kernel,
            admin,
            tasks,
            reload,
        })
    }

    /// Returns the address of the admin interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the kernel that runs the services.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Reads the settings file without waiting for the next check.
    pub fn reload(&self) {
        self.reload.notify_one();
    }

    /// Stops the process after requests in flight have finished.
    pub async fn drain_and_stop(&self) {
        self.kernel.drain_and_stop().await;
        self.tasks.abort();
        self.admin.stop().await;
    }

    /// Stops the process immediately.
    pub async fn stop(&self) {
        self.kernel.stop().await;
        self.tasks.abort();
        self.admin.stop().await;
    }
}

//! Runs a whole deployment in one process, on loopback, for a limited time.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coursestand_coordination::bundles::SubmitAnswer;
use coursestand_daemon::{Daemon, DaemonError};
use coursestand_kernel::http::HttpError;
use coursestand_model::settings::DaemonSettings;
use ed25519_dalek::SigningKey;
use indicatif::{ProgressBar, ProgressStyle};
use snafu::{ResultExt, Snafu};

use crate::address::{AddressAllocator, NoAddress};
use crate::backend::EmulatedBackend;
use crate::callers::Caller;
use crate::deployment::{CONTROL_REPLICAS, Deployment};
use crate::latencies::Latencies;
use crate::load::{LoadPlan, run_load};
use crate::operator::{Operator, OperatorError};
use crate::platform::EmulatedPlatform;
use crate::records::Records;
use crate::report::{Figures, figures};

/// Timeout of each step of the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that the control group gets to distribute slots after the first bundle.
const SLOT_DISTRIBUTION_TIME: Duration = Duration::from_millis(1_500);

/// Errors that prevent a deployment from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// No loopback address is free.
    #[snafu(display("{source}"))]
    Address {
        /// Cause.
        source: NoAddress,
    },
    /// A daemon did not start.
    #[snafu(display("daemon {name}: {source}"))]
    StartDaemon {
        /// Its name.
        name: String,
        /// Cause.
        source: DaemonError,
    },
    /// A back end did not start.
    #[snafu(display("back end {name}: {source}"))]
    StartBackend {
        /// Its name.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The platform list did not start.
    #[snafu(display("the platform list: {source}"))]
    StartPlatform {
        /// Cause.
        source: HttpError,
    },
    /// A request to the control group failed.
    #[snafu(display("{source}"))]
    Control {
        /// Cause.
        source: OperatorError,
    },
    /// The first bundle was not accepted.
    #[snafu(display("the first bundle was not accepted: {answer:?}"))]
    NotAccepted {
        /// The answer.
        answer: SubmitAnswer,
    },
}

/// Emulated environment of the daemons: back ends and platform list.
pub struct Simulation {
    /// The deployment.
    pub deployment: Deployment,
    /// Requests that the back ends recorded.
    pub records: Records,
    /// The back ends.
    pub backends: Vec<EmulatedBackend>,
    /// The platform list.
    pub platform: EmulatedPlatform,
}

impl Simulation {
    /// Starts the back ends and the platform list.
    pub async fn start(deployment: Deployment) -> Result<Simulation, DemoError> {
        let records = Records::default();
        let latencies = Latencies::new(deployment.bundle.clone());
        let rows = deployment.platform_backends(1);
        let mut backends = Vec::new();
        for row in rows.clone() {
            let name = row.id.0.clone();
            let behaviour = deployment.behaviour(&row.service);
            let backend =
                EmulatedBackend::start(row, behaviour, latencies.clone(), records.clone())
                    .await
                    .context(StartBackendSnafu { name })?;
            backends.push(backend);
        }
        let lag = Duration::from_millis(deployment.platform_lag_ms);
        let platform = EmulatedPlatform::start(deployment.platform, lag, rows, records.clone())
            .await
            .context(StartPlatformSnafu)?;
        Ok(Simulation {
            deployment,
            records,
            backends,
            platform,
        })
    }

    /// Publishes the current state of the back ends in the platform list.
    pub fn update_platform_list(&self) {
        let rows = self
            .backends
            .iter()
            .map(EmulatedBackend::description)
            .collect();
        self.platform.update(rows);
    }

    /// Returns a caller that uses the entry daemons of `settings`.
    pub fn caller(&self, settings: &[DaemonSettings]) -> Caller {
        let entry_points = settings
            .iter()
            .filter_map(|settings| settings.entry_role.as_ref())
            .map(|entry| entry.listen.to_string())
            .collect();
        let latencies = Latencies::new(self.deployment.bundle.clone());
        Caller::new(entry_points, latencies.to_client())
    }
}

/// Returns the addresses of the control replicas' operator interfaces.
pub fn operator_addresses(settings: &[DaemonSettings]) -> Vec<SocketAddr> {
    settings
        .iter()
        .filter_map(|settings| settings.control_role.as_ref())
        .map(|control| control.operator_listen)
        .collect()
}

/// Returns an operator with a fixed key, for demos and tests.
pub fn test_operator(settings: &[DaemonSettings]) -> Operator {
    let key = SigningKey::from_bytes(&[7; 32]);
    Operator::new(operator_addresses(settings), "operator", key)
}

/// Initializes the control group, submits the first bundle and waits until `daemons`
/// daemons apply it.
pub async fn put_first_bundle_in_force(
    operator: &Operator,
    deployment: &Deployment,
    daemons: usize,
) -> Result<(), DemoError> {
    let policy = operator.single_operator_policy();
    operator
        .form_group(rand::random(), &policy, START_TIMEOUT)
        .await
        .context(ControlSnafu)?;
    let bundle = operator
        .sign_bundle(&deployment.bundle)
        .context(ControlSnafu)?;
    let answer = operator
        .submit_bundle(bundle, 0, "first", START_TIMEOUT)
        .await
        .context(ControlSnafu)?;
    if !matches!(answer, SubmitAnswer::Accepted { .. }) {
        return Err(DemoError::NotAccepted { answer });
    }
    operator
        .until_in_force(daemons, START_TIMEOUT)
        .await
        .context(ControlSnafu)?;
    tokio::time::sleep(SLOT_DISTRIBUTION_TIME).await;
    Ok(())
}

/// Runs a deployment under load and returns the figures of the run.
pub async fn run_demo(
    construct: fn(&mut AddressAllocator) -> Deployment,
    folder: &Path,
    plan: &LoadPlan,
) -> Result<Figures, DemoError> {
    let mut addresses = AddressAllocator::reserve().context(AddressSnafu)?;
    let deployment = construct(&mut addresses);
    let settings = deployment.daemon_settings(&mut addresses, folder);
    let simulation = Simulation::start(deployment).await?;
    let mut daemons = Vec::new();
    for settings in &settings {
        let name = settings.name.clone();
        let daemon = Daemon::start(settings)
            .await
            .context(StartDaemonSnafu { name })?;
        daemons.push(daemon);
    }
    println!(
        "{} entry daemons ({CONTROL_REPLICAS} of them control replicas), {} back ends",
        daemons.len(),
        simulation.backends.len()
    );
    let operator = test_operator(&settings);
    put_first_bundle_in_force(&operator, &simulation.deployment, daemons.len()).await?;
    let caller = Arc::new(simulation.caller(&settings));
    let bar = progress_bar(plan);
    let finished = run_load(&simulation.deployment, caller, plan, |done| {
        bar.set_position(done as u64);
    })
    .await;
    bar.finish();
    for daemon in &daemons {
        daemon.stop().await;
    }
    Ok(figures(
        &simulation.deployment.bundle,
        &finished,
        &simulation.records.all(),
    ))
}

fn progress_bar(plan: &LoadPlan) -> ProgressBar {
    let total = plan.rate * plan.duration.as_secs_f64();
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} requests {elapsed}")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(total as u64).with_style(style)
}

//! A whole deployment in one process, on loopback, for a bounded time.

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

use crate::address::{AddressBook, NoAddress};
use crate::backend::EmulatedBackend;
use crate::callers::Caller;
use crate::deployment::{CONTROL_REPLICAS, Deployment};
use crate::load::{LoadPlan, run_load};
use crate::operator::{Operator, OperatorError};
use crate::places::Latencies;
use crate::platform::EmulatedPlatform;
use crate::records::Records;
use crate::report::{Figures, figures};

/// Longest wait for a step of the start.
const START_WITHIN: Duration = Duration::from_secs(20);
/// Time after the first bundle in which slots are shared out.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Why a deployment could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// No address is free.
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
    /// The control group did not do what it should.
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

/// The emulated world around the daemons.
pub struct World {
    /// The deployment.
    pub deployment: Deployment,
    /// What the back ends saw.
    pub records: Records,
    /// The back ends.
    pub backends: Vec<EmulatedBackend>,
    /// The platform list.
    pub platform: EmulatedPlatform,
}

impl World {
    /// Starts the back ends and the platform list.
    pub async fn start(deployment: Deployment) -> Result<World, DemoError> {
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
        Ok(World {
            deployment,
            records,
            backends,
            platform,
        })
    }

    /// Tells the platform list how the back ends are now.
    pub fn tell_platform(&self) {
        let rows = self
            .backends
            .iter()
            .map(EmulatedBackend::description)
            .collect();
        self.platform.update(rows);
    }

    /// A caller that knows all entry daemons of these settings.
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

/// Operators' addresses of the control replicas.
pub fn operator_addresses(settings: &[DaemonSettings]) -> Vec<SocketAddr> {
    settings
        .iter()
        .filter_map(|settings| settings.control_role.as_ref())
        .map(|control| control.operator_listen)
        .collect()
}

/// An operator with a fixed key, for demos and tests.
pub fn test_operator(settings: &[DaemonSettings]) -> Operator {
    let key = SigningKey::from_bytes(&[7; 32]);
    Operator::new(operator_addresses(settings), "operator", key)
}

/// Forms the control group and puts the first bundle in force.
pub async fn put_first_bundle_in_force(
    operator: &Operator,
    deployment: &Deployment,
    daemons: usize,
) -> Result<(), DemoError> {
    let policy = operator.own_policy();
    operator
        .form_group(rand::random(), &policy, START_WITHIN)
        .await
        .context(ControlSnafu)?;
    let bundle = operator
        .sign_bundle(&deployment.bundle)
        .context(ControlSnafu)?;
    let answer = operator
        .submit_bundle(bundle, 0, "first", START_WITHIN)
        .await
        .context(ControlSnafu)?;
    if !matches!(answer, SubmitAnswer::Accepted { .. }) {
        return Err(DemoError::NotAccepted { answer });
    }
    operator
        .until_in_force(daemons, START_WITHIN)
        .await
        .context(ControlSnafu)?;
    tokio::time::sleep(SETTLE).await;
    Ok(())
}

/// Runs a deployment under load and returns its figures.
pub async fn run_demo(
    make: fn(&mut AddressBook) -> Deployment,
    folder: &Path,
    plan: &LoadPlan,
) -> Result<Figures, DemoError> {
    let mut addresses = AddressBook::take().context(AddressSnafu)?;
    let deployment = make(&mut addresses);
    let settings = deployment.daemon_settings(&mut addresses, folder);
    let world = World::start(deployment).await?;
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
        world.backends.len()
    );
    let operator = test_operator(&settings);
    put_first_bundle_in_force(&operator, &world.deployment, daemons.len()).await?;
    let caller = Arc::new(world.caller(&settings));
    let bar = progress_bar(plan);
    let finished = run_load(&world.deployment, caller, plan, |done| {
        bar.set_position(done as u64);
    })
    .await;
    bar.finish();
    for daemon in &daemons {
        daemon.stop().await;
    }
    Ok(figures(
        &world.deployment.bundle,
        &finished,
        &world.records.all(),
    ))
}

fn progress_bar(plan: &LoadPlan) -> ProgressBar {
    let total = plan.rate * plan.duration.as_secs_f64();
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} requests {elapsed}")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(total as u64).with_style(style)
}

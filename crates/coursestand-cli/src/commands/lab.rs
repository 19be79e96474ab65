//! `coursestand lab …`.

use std::path::Path;
use std::sync::Arc;

use coursestand_lab::Deployment;
use coursestand_lab::address::AddressAllocator;
use coursestand_lab::callers::Caller;
use coursestand_lab::demo::Simulation;
use coursestand_lab::latencies::Latencies;
use coursestand_lab::load::run_load;
use coursestand_lab::records::Record;
use coursestand_lab::report::figures;
use coursestand_model::load::load;
use serde::Serialize;
use snafu::{ResultExt, ensure};
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::{LabCommand, LabOptions, LoadOptions, PrepareOptions, WorldOptions};
use crate::commands::bundle::usage_error;
use crate::commands::demo::{deployment_by_name, load_plan, print_figures};
use crate::commands::scale;
use crate::error::{DemoSnafu, FileSnafu, HttpSnafu, JsonSnafu, LoadSnafu, ToolError, UsageSnafu};

/// Runs a lab command.
pub async fn run(options: LabOptions) -> Result<(), ToolError> {
    match options.command {
        Some(LabCommand::Prepare(options)) => prepare(&options),
        Some(LabCommand::World(options)) => run_simulation(&options).await,
        Some(LabCommand::Load(options)) => generate_load(options).await,
        Some(LabCommand::Scale(options)) => scale::run(options).await,
        None => usage_error("lab needs a command: prepare, world, load, scale"),
    }
}

fn prepare(options: &PrepareOptions) -> Result<(), ToolError> {
    let construct = deployment_by_name(&options.deployment)?;
    let mut addresses = AddressAllocator::fixed(options.port);
    let deployment = construct(&mut addresses);
    let folder = &options.folder;
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    for settings in deployment.daemon_settings(&mut addresses, &options.data) {
        write_json(&folder.join(format!("{}.json", settings.name)), &settings)?;
    }
    write_json(&folder.join("bundle.json"), &deployment.bundle)?;
    write_json(&folder.join("deployment.json"), &deployment)
}

fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), ToolError> {
    let mut text = serde_json::to_string_pretty(value).context(JsonSnafu)?;
    text.push('\n');
    std::fs::write(path, text).context(FileSnafu { path })
}

/// Runs the emulated back ends and the platform list until SIGTERM or SIGINT.
async fn run_simulation(options: &WorldOptions) -> Result<(), ToolError> {
    let deployment: Deployment = load(&options.deployment).context(LoadSnafu)?;
    let simulation = Simulation::start(deployment).await.context(DemoSnafu)?;
    println!(
        "{} back ends; platform list at {}",
        simulation.backends.len(),
        simulation.platform.url()
    );
    let path = &options.deployment;
    let mut terminate = signal(SignalKind::terminate()).context(FileSnafu { path })?;
    let mut interrupt = signal(SignalKind::interrupt()).context(FileSnafu { path })?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn generate_load(options: LoadOptions) -> Result<(), ToolError> {
    let deployment: Deployment = load(&options.deployment).context(LoadSnafu)?;
    ensure!(
        !options.entry.is_empty(),
        UsageSnafu {
            reason: "--entry is needed: addresses of entry daemons",
        }
    );
    let run = format!("load-{}", rand::random::<u32>());
    let plan = load_plan(&run, options.seconds, options.rate, options.seed)?;
    let entry_points = options.entry.iter().map(ToString::to_string).collect();
    let latency = Latencies::new(deployment.bundle.clone()).to_client();
    let caller = Arc::new(Caller::new(entry_points, latency));
    let finished = run_load(&deployment, caller, &plan, |_| {}).await;
    let url = format!("http://{}/lab/records", deployment.platform);
    let answer = reqwest::get(url).await.context(HttpSnafu)?;
    let records: Vec<Record> = answer.json().await.context(HttpSnafu)?;
    let run_records: Vec<Record> = records
        .into_iter()
        .filter(|record| record.token.starts_with(&run))
        .collect();
    print_figures(
        &figures(&deployment.bundle, &finished, &run_records),
        options.json,
    )
}

//! `coursestandd`: the daemon. `--settings FILE` runs a daemon steered by
//! bundles, `--fleet FILE` a process of a fleet steered by the catalog.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use coursestand_daemon::Daemon;
use coursestand_daemon::fleet::Node;
use coursestand_dialect::{Dialect, Native};
use coursestand_kernel::logging;
use coursestand_model::fleet::FleetSettings;
use coursestand_model::load::{Validate, load};
use coursestand_model::settings::DaemonSettings;
use coursestand_platform::Platform;
use gumdrop::Options;
use log::{error, info};
use serde::de::DeserializeOwned;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

const LOG: &str = "daemon";
/// Exit code for settings that are refused.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const NOT_STARTED: u8 = 1;
/// Threads that serve requests of a daemon steered by bundles.
const WORKERS: usize = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the settings of a daemon", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(
        help = "JSON file with the settings of a fleet's process",
        meta = "FILE"
    )]
    fleet: Option<PathBuf>,
    #[options(help = "wording of the fleet's calls: native (default) or platform")]
    dialect: Option<String>,
    #[options(help = "check the settings and exit")]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match (&arguments.settings, &arguments.fleet) {
        (Some(file), None) => run_daemon(file, arguments.check),
        (None, Some(file)) => run_node(file, &arguments),
        _ => {
            eprintln!("coursestandd: give either --settings FILE or --fleet FILE");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

/// Settings that are valid; else the exit code.
fn settings_of<T: DeserializeOwned + Validate>(file: &Path) -> Result<T, ExitCode> {
    load(file).map_err(|error| {
        eprintln!("coursestandd: {error}");
        ExitCode::from(BAD_SETTINGS)
    })
}

fn set_up_logging(name: &str, level: &str) -> Result<(), ExitCode> {
    logging::set_up(name, level).map_err(|error| {
        eprintln!("coursestandd: {error}");
        ExitCode::from(BAD_SETTINGS)
    })
}

fn run_daemon(file: &Path, only_check: bool) -> ExitCode {
    let settings: DaemonSettings = match settings_of(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if only_check {
        return valid(file);
    }
    if let Err(code) = set_up_logging(&settings.name, &settings.log_level) {
        return code;
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    with_runtime(runtime, |runtime| runtime.block_on(serve_daemon(&settings)))
}

fn run_node(file: &Path, arguments: &Arguments) -> ExitCode {
    let settings: FleetSettings = match settings_of(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let dialect: Arc<dyn Dialect> = match arguments.dialect.as_deref() {
        None | Some("native") => Arc::new(Native),
        Some("platform") => Arc::new(Platform),
        Some(other) => {
            eprintln!("coursestandd: --dialect: found {other}, allowed: native, platform");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        return valid(file);
    }
    if let Err(code) = set_up_logging(&settings.name, &settings.log_level) {
        return code;
    }
    // One thread: the machines have one core, and wake-ups cost.
    let runtime = Builder::new_current_thread().enable_all().build();
    with_runtime(runtime, |runtime| {
        runtime.block_on(serve_node(&settings, file, dialect))
    })
}

/// Told to people as well as in the logs.
fn not_started(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("coursestandd: not started: {reason}");
    error!(target: LOG, "not started: {reason}");
    ExitCode::from(NOT_STARTED)
}

fn valid(file: &Path) -> ExitCode {
    println!("{}: the settings are valid", file.display());
    ExitCode::SUCCESS
}

fn with_runtime(
    runtime: std::io::Result<Runtime>,
    run: impl FnOnce(&Runtime) -> ExitCode,
) -> ExitCode {
    match runtime {
        Ok(runtime) => {
            let code = run(&runtime);
            logging::flush();
            code
        }
        Err(error) => not_started(format!("no runtime: {error}")),
    }
}

/// Signals that ask the process to stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn serve_daemon(settings: &DaemonSettings) -> ExitCode {
    let Ok(mut stop) = StopSignals::new() else {
        return not_started("signals can't be received");
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            return not_started(error);
        }
    };
    info!(target: LOG, "started in zone {}", settings.zone);
    stop.next().await;
    info!(target: LOG, "a planned stop begins");
    tokio::select! {
        () = daemon.drain_and_stop() => {}
        // A second signal ends the daemon at once.
        () = stop.next() => daemon.stop().await,
    }
    info!(target: LOG, "stopped");
    ExitCode::SUCCESS
}

async fn serve_node(settings: &FleetSettings, file: &Path, dialect: Arc<dyn Dialect>) -> ExitCode {
    let signals = (StopSignals::new(), signal(SignalKind::hangup()));
    let (Ok(mut stop), Ok(mut reload)) = signals else {
        return not_started("signals can't be received");
    };
    let node = match Node::start(settings, Some(file.to_owned()), dialect).await {
        Ok(node) => node,
        Err(error) => {
            return not_started(error);
        }
    };
    info!(target: LOG, zone = settings.zone.as_str(); "started");
    loop {
        tokio::select! {
            () = stop.next() => break,
            _ = reload.recv() => node.reload(),
        }
    }
    info!(target: LOG, "a planned stop begins");
    // Whoever asks to stop repeats the signal; the stop has its own time-out.
    node.drain_and_stop().await;
    info!(target: LOG, "stopped");
    ExitCode::SUCCESS
}

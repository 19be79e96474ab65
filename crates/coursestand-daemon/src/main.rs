//! `coursestandd`: the daemon. `--settings FILE` runs a daemon configured by bundles,
//! `--fleet FILE` runs a process of a fleet configured by the catalog.

use std::num::{NonZeroU64, ParseIntError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;

use coursestand_daemon::Daemon;
use coursestand_daemon::fleet::Node;
use coursestand_dialect::{Dialect, Native};
use coursestand_kernel::{logging, memory_limit_bytes};
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
/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a daemon that failed to start.
const EXIT_NOT_STARTED: u8 = 1;
/// Worker threads of a daemon configured by bundles.
const WORKER_THREADS: usize = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the settings of a daemon", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "JSON file with the settings of a fleet process", meta = "FILE")]
    fleet: Option<PathBuf>,
    #[options(help = "API dialect of the fleet: native (default) or platform")]
    dialect: Option<String>,
    #[options(
        no_short,
        help = "memory that a fleet process may use if its settings don't say; empty: unknown",
        meta = "MEGABYTES"
    )]
    memory_mb: Option<MemoryLimit>,
    #[options(help = "check the settings and exit")]
    check: bool,
}

/// Memory in megabytes, or an empty text if it is unknown.
#[derive(Clone, Copy, Debug)]
struct MemoryLimit(Option<NonZeroU64>);

impl FromStr for MemoryLimit {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<MemoryLimit, ParseIntError> {
        match text {
            "" => Ok(MemoryLimit(None)),
            _ => text.parse().map(|megabytes| MemoryLimit(Some(megabytes))),
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match (&arguments.settings, &arguments.fleet) {
        (Some(file), None) => run_daemon(file, arguments.check),
        (None, Some(file)) => run_node(file, &arguments),
        _ => {
            eprintln!("coursestandd: give either --settings FILE or --fleet FILE");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Loads and validates settings. Prints an error and returns the exit code if they are invalid.
fn load_settings<T: DeserializeOwned + Validate>(file: &Path) -> Result<T, ExitCode> {
    load(file).map_err(|error| {
        eprintln!("coursestandd: {error}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

fn set_up_logging(name: &str, level: &str) -> Result<(), ExitCode> {
    logging::set_up(name, level).map_err(|error| {
        eprintln!("coursestandd: {error}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

fn run_daemon(file: &Path, check_only: bool) -> ExitCode {
    let settings: DaemonSettings = match load_settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if check_only {
        return report_valid(file);
    }
    if let Err(code) = set_up_logging(&settings.name, &settings.log_level) {
        return code;
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    with_runtime(runtime, |runtime| runtime.block_on(serve_daemon(&settings)))
}

fn run_node(file: &Path, arguments: &Arguments) -> ExitCode {
    let mut settings: FleetSettings = match load_settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let limit = arguments.memory_mb.and_then(|limit| limit.0);
    settings.memory_mb = settings.memory_mb.or(limit.map(NonZeroU64::get));
    let dialect: Arc<dyn Dialect> = match arguments.dialect.as_deref() {
        None | Some("native") => Arc::new(Native),
        Some("platform") => Arc::new(Platform),
        Some(other) => {
            eprintln!("coursestandd: --dialect: found {other}, allowed: native, platform");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        return report_valid(file);
    }
    if let Err(code) = set_up_logging(&settings.name, &settings.log_level) {
        return code;
    }
    // A single thread: the machines have one core, and wake-ups across threads are expensive.
    let runtime = Builder::new_current_thread().enable_all().build();
    with_runtime(runtime, |runtime| {
        runtime.block_on(serve_node(&settings, file, dialect))
    })
}

/// Reports a failed start on standard error as well as in the log.
fn not_started(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("coursestandd: not started: {reason}");
    error!(target: LOG, "not started: {reason}");
    ExitCode::from(EXIT_NOT_STARTED)
}

fn report_valid(file: &Path) -> ExitCode {
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

/// The signals that request a stop.
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
        // A second signal stops the daemon immediately.
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
    info!(target: LOG, zone = settings.zone.as_str(), memory_setting_mb = settings.memory_mb,
        memory_bytes = memory_limit_bytes(settings.memory_bytes()); "started");
    loop {
        tokio::select! {
            () = stop.next() => break,
            _ = reload.recv() => node.reload(),
        }
    }
    info!(target: LOG, "a planned stop begins");
    // Further signals don't speed the stop up: supervisors repeat them, and the stop has its
    // own timeout.
    node.drain_and_stop().await;
    info!(target: LOG, "stopped");
    ExitCode::SUCCESS
}

//! `coursestandd --settings FILE`: the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use coursestand_daemon::Daemon;
use coursestand_kernel::logging;
use coursestand_model::load::load;
use coursestand_model::settings::DaemonSettings;
use gumdrop::Options;
use log::{error, info};
use tokio::signal::unix::{SignalKind, signal};

const LOG: &str = "daemon";
/// Exit code for settings that are refused.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const NOT_STARTED: u8 = 1;
/// Threads that serve requests; the machines are small.
const WORKERS: usize = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "JSON file with the settings", meta = "FILE", required)]
    settings: PathBuf,
    #[options(help = "check the settings and exit")]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings: DaemonSettings = match load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("coursestandd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::set_up(&settings.name, &settings.log_level) {
        eprintln!("coursestandd: {error}");
        return ExitCode::from(BAD_SETTINGS);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(&settings)),
        Err(error) => {
            error!(target: LOG, "no runtime: {error}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

async fn run(settings: &DaemonSettings) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        error!(target: LOG, "signals can't be received");
        return ExitCode::from(NOT_STARTED);
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            error!(target: LOG, "not started: {error}");
            return ExitCode::from(NOT_STARTED);
        }
    };
    info!(target: LOG, "started in zone {}", settings.zone);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(target: LOG, "a planned stop begins");
    tokio::select! {
        () = daemon.drain_and_stop() => {}
        // A second signal ends the daemon at once.
        _ = terminate.recv() => daemon.stop().await,
        _ = interrupt.recv() => daemon.stop().await,
    }
    info!(target: LOG, "stopped");
    ExitCode::SUCCESS
}

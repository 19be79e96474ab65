//! Daemons as real processes, which are signalled by process id.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, Once, PoisonError, mpsc};
use std::time::{Duration, Instant};

use coursestand_model::fleet::FleetSettings;
use tokio::signal::unix::{SignalKind, signal};

/// Maximum time from a process's start until its signal handlers are installed.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Number of the signal that kills.
const SIGKILL: i32 = 9;

/// Returns the path of a host's daemon: that of this build, or the version that
/// `COURSESTAND_PROGRAM` names; `COURSESTAND_PROGRAM_OF_ODD_HOSTS` names another one for every
/// second host, so that two versions run side by side.
fn program(host: u8) -> PathBuf {
    let of_odd_hosts = match host % 2 {
        1 => std::env::var_os("COURSESTAND_PROGRAM_OF_ODD_HOSTS"),
        _ => None,
    };
    let override_path = of_odd_hosts.or_else(|| std::env::var_os("COURSESTAND_PROGRAM"));
    override_path.map_or_else(|| env!("CARGO_BIN_EXE_coursestandd").into(), PathBuf::from)
}

/// Returns a folder in memory, where there is such a file system: times are judged, not the disk of
/// the machine.
pub fn folder_in_memory() -> tempfile::TempDir {
    let folder = tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir());
    folder.expect("a folder")
}

/// Returns the settings as JSON without unset fields, some of which earlier versions
/// reject.
fn settings_json(settings: &FleetSettings) -> String {
    let mut value = serde_json::to_value(settings).expect("JSON");
    let fields = value.as_object_mut().expect("an object");
    fields.retain(|_, value| !value.is_null());
    value.to_string()
}

/// A signal that `kill` sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Stop,
    Continue,
    Terminate,
    Hangup,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
            Signal::Hangup => "-HUP",
        }
    }
}

/// Resource limits of a process, which it can read and not exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Private writable memory in KiB, stacks of threads included.
    pub data_kib: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// Lowers the resource limits of the shell, which then becomes the program.
const LIMIT_SCRIPT: &str = r#"ulimit -d "$1" && ulimit -n "$2" && shift 2 && exec "$@""#;

/// Returns the command that runs a program under these limits. They apply when its `main`
/// begins.
fn limited_command(program: &Path, limits: ResourceLimits) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", LIMIT_SCRIPT, "sh"]);
    command.arg(limits.data_kib.to_string());
    command.arg(limits.descriptors.to_string());
    command.arg(program);
    // Symbols for a backtrace would take the memory of a process that ends for lack of it.
    command.env_remove("RUST_BACKTRACE");
    command
}

/// Ids of the running processes of all deployments of this test process.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());
static SIGNAL_WATCHER: Once = Once::new();

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all processes when this process gets a termination signal, since no destructors run then,
/// and exits. Reports once its signal handlers are installed.
fn kill_all_on_signal(installed: mpsc::Sender<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut hangup = signal(SignalKind::hangup()).expect("a handler");
        let mut terminate = signal(SignalKind::terminate()).expect("a handler");
        let mut interrupt = signal(SignalKind::interrupt()).expect("a handler");
        installed.send(()).expect("the starter waits");
        tokio::select! {
            _ = hangup.recv() => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    // The lock is held until the exit, so that no further process starts.
    let running = running();
    let ids = running.iter().map(u32::to_string);
    // Fails if one of them has already exited.
    let _ = Command::new("kill").arg("-KILL").args(ids).status();
    std::process::exit(1);
}

/// A process that exited before it was killed.
#[derive(Clone, Debug)]
pub struct Exit {
    pub host: u8,
    pub status: ExitStatus,
    pub log: PathBuf,
}

/// Processes by host, which are killed on drop.
pub struct Processes {
    folder: PathBuf,
    children: BTreeMap<u8, Child>,
    logs: BTreeMap<u8, PathBuf>,
    started_at: BTreeMap<u8, Instant>,
    /// Number of the latest start of each host, which is in the name of its log.
    log_numbers: BTreeMap<u8, u32>,
    starts: u32,
}

impl Processes {
    pub fn new(folder: &Path) -> Processes {
        std::fs::create_dir_all(folder).expect("a folder");
        SIGNAL_WATCHER.call_once(|| {
            let (sender, installed) = mpsc::channel();
            std::thread::spawn(|| kill_all_on_signal(sender));
            // A signal before that would end this process and leave its daemons running.
            installed.recv().expect("the handlers are installed");
        });
        Processes {
            folder: folder.to_owned(),
            children: BTreeMap::new(),
            logs: BTreeMap::new(),
            started_at: BTreeMap::new(),
            log_numbers: BTreeMap::new(),
            starts: 0,
        }
    }

    /// Starts a daemon with these settings. Its log is written to a file.
    pub fn start(&mut self, host: u8, settings: &FleetSettings) {
        self.spawn(host, settings, Command::new(program(host)));
    }

    /// As `start`, under resource limits.
    pub fn start_limited(&mut self, host: u8, settings: &FleetSettings, limits: ResourceLimits) {
        self.spawn(host, settings, limited_command(&program(host), limits));
    }

    fn spawn(&mut self, host: u8, settings: &FleetSettings, mut command: Command) {
        self.starts += 1;
        let file = self.folder.join(format!("{host}.json"));
        std::fs::write(&file, settings_json(settings)).expect("written");
        let log = self.folder.join(format!("{host}-{}.log", self.starts));
        self.logs.insert(host, log.clone());
        let log = File::create(log).expect("a log");
        let mut running = running();
        let child = command
            .arg("--fleet")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            // When the process group of a shell in the background becomes orphaned, the kernel
            // continues the suspended processes in it.
            .process_group(0)
            .spawn()
            .expect("started");
        running.insert(child.id());
        drop(running);
        self.children.insert(host, child);
        self.started_at.insert(host, Instant::now());
        self.log_numbers.insert(host, self.starts);
    }

    /// Returns the process id of a host's daemon.
    pub fn id(&self, host: u8) -> u32 {
        self.children
            .get(&host)
            .expect("the process was started")
            .id()
    }

    /// Returns the peak resident memory in bytes of a host's daemon since its start, or `None`
    /// if it does not run.
    pub fn peak_memory(&self, host: u8) -> Option<u64> {
        self.memory(host, "VmHWM")
    }

    /// Returns a figure in bytes of a host's daemon from `/proc/PID/status`, or `None` if the
    /// process does not run.
    pub fn memory(&self, host: u8, field: &str) -> Option<u64> {
        let id = self.children.get(&host)?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'))?;
        let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kib * 1024)
    }

    /// Returns the number of open descriptors of a host's daemon, or `None` if the process does
    /// not run.
    pub fn open_descriptors(&self, host: u8) -> Option<usize> {
        let id = self.children.get(&host)?.id();
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?;
        Some(descriptors.count())
    }

    /// Returns the last lines of the log of a host's latest start.
    pub fn log_end(&self, host: u8, lines: usize) -> String {
        let path = self
            .folder
            .join(format!("{host}-{}.log", self.log_numbers[&host]));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let mut last: Vec<&str> = log.lines().rev().take(lines).collect();
        last.reverse();
        last.join("\n")
    }

    /// Whether the process of this host has run long enough to handle signals: before its
    /// handlers are installed, a signal terminates it.
    pub fn handles_signals(&self, host: u8) -> bool {
        let started_at = self.started_at.get(&host);
        started_at.is_some_and(|at| at.elapsed() > STARTUP_TIME)
    }

    pub fn signal(&self, host: u8, signal: Signal) {
        if let Some(child) = self.children.get(&host) {
            let id = child.id().to_string();
            let status = Command::new("kill").arg(signal.name()).arg(id).status();
            assert!(
                status.is_ok_and(|status| status.success()),
                "the signal was not sent"
            );
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, host: u8) {
        if let Some(mut child) = self.children.remove(&host) {
            // Fails if the process has already exited; it still has to be waited for.
            let _ = child.kill();
            let _ = child.wait();
            running().remove(&child.id());
        }
    }

    /// Kills processes at the same time. Returns those that had exited before.
    pub fn kill_at_once(&mut self, hosts: &[u8]) -> Vec<Exit> {
        for host in hosts {
            if let Some(child) = self.children.get_mut(host) {
                // Fails if the process has already exited.
                let _ = child.kill();
            }
        }
        let mut exits = Vec::new();
        for host in hosts {
            let Some(mut child) = self.children.remove(host) else {
                continue;
            };
            let status = child.wait().expect("a status");
            running().remove(&child.id());
            if status.signal() != Some(SIGKILL) {
                exits.push(self.exit(*host, status));
            }
        }
        exits
    }

    fn exit(&self, host: u8, status: ExitStatus) -> Exit {
        let log = self.logs[&host].clone();
        Exit { host, status, log }
    }

    /// Returns the processes that have exited without being killed or waited for.
    pub fn exits(&mut self) -> Vec<Exit> {
        let children = self.children.iter_mut();
        let exited: Vec<(u8, ExitStatus)> = children
            .filter_map(|(host, child)| Some((*host, child.try_wait().ok().flatten()?)))
            .collect();
        let exits = exited.into_iter();
        exits
            .map(|(host, status)| self.exit(host, status))
            .collect()
    }

    /// Whether a process that received a termination signal has exited.
    pub fn has_exited(&mut self, host: u8) -> bool {
        let child = self
            .children
            .get_mut(&host)
            .expect("the process was started");
        let has_exited = child.try_wait().expect("a status").is_some();
        if has_exited && let Some(child) = self.children.remove(&host) {
            running().remove(&child.id());
        }
        has_exited
    }

    /// Returns the hosts whose processes exited unexpectedly.
    pub fn exited_unexpectedly(&mut self) -> Vec<u8> {
        let children = self.children.iter_mut();
        children
            .filter_map(|(host, child)| child.try_wait().ok().flatten().map(|_| *host))
            .collect()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let hosts: Vec<u8> = self.children.keys().copied().collect();
        for host in hosts {
            self.kill(host);
        }
    }
}

//! The real programs as processes, and signals to them by their ids.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};

use coursestand_model::fleet::FleetSettings;
use tokio::signal::unix::{SignalKind, signal};

/// Longest time from a program's start until its signal handlers stand.
const TIME_TO_START: Duration = Duration::from_secs(2);

/// The daemon: the one of this build, or another version of it that is to be played.
fn program() -> PathBuf {
    let other = std::env::var_os("COURSESTAND_PROGRAM");
    other.map_or_else(|| env!("CARGO_BIN_EXE_coursestandd").into(), PathBuf::from)
}

/// The settings as JSON, without those that aren't set: earlier versions don't know all.
fn text_of(settings: &FleetSettings) -> String {
    let mut value = serde_json::to_value(settings).expect("JSON");
    let fields = value.as_object_mut().expect("an object");
    fields.retain(|_, value| !value.is_null());
    value.to_string()
}

/// A signal as `kill` names it.
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

/// Identities of the processes that run now, of all deployments of this test.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());
static WATCHES_SIGNALS: Once = Once::new();

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends all processes, and this one, when this one is told to end: nothing is dropped then.
fn end_with_this_process() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut hangup = signal(SignalKind::hangup()).expect("a handler");
        let mut terminate = signal(SignalKind::terminate()).expect("a handler");
        let mut interrupt = signal(SignalKind::interrupt()).expect("a handler");
        tokio::select! {
            _ = hangup.recv() => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    // Held until the end, so that no further one starts.
    let running = running();
    let ids = running.iter().map(u32::to_string);
    // One of them may have ended meanwhile.
    let _ = Command::new("kill").arg("-KILL").args(ids).status();
    std::process::exit(1);
}

/// Processes by host. Dropped, it ends those that it started.
pub struct Processes {
    folder: PathBuf,
    children: BTreeMap<u8, Child>,
    started_at: BTreeMap<u8, Instant>,
    starts: u32,
}

impl Processes {
    pub fn new(folder: &Path) -> Processes {
        std::fs::create_dir_all(folder).expect("a folder");
        WATCHES_SIGNALS.call_once(|| {
            std::thread::spawn(end_with_this_process);
        });
        Processes {
            folder: folder.to_owned(),
            children: BTreeMap::new(),
            started_at: BTreeMap::new(),
            starts: 0,
        }
    }

    /// Starts the daemon with these settings; its log goes to a file.
    pub fn start(&mut self, host: u8, settings: &FleetSettings) {
        self.starts += 1;
        let file = self.folder.join(format!("{host}.json"));
        std::fs::write(&file, text_of(settings)).expect("written");
        let log = self.folder.join(format!("{host}-{}.log", self.starts));
        let log = File::create(log).expect("a log");
        let mut running = running();
        let child = Command::new(program())
            .arg("--fleet")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn()
            .expect("started");
        running.insert(child.id());
        drop(running);
        self.children.insert(host, child);
        self.started_at.insert(host, Instant::now());
    }

    /// Identity of the process of a host.
    pub fn id(&self, host: u8) -> u32 {
        self.children.get(&host).expect("it was started").id()
    }

    /// Whether the process of this host has run long enough to handle signals: until
    /// a program has set its handlers, the system ends it on a signal.
    pub fn handles_signals(&self, host: u8) -> bool {
        let started_at = self.started_at.get(&host);
        started_at.is_some_and(|at| at.elapsed() > TIME_TO_START)
    }

    pub fn signal(&self, host: u8, signal: Signal) {
        if let Some(child) = self.children.get(&host) {
            let id = child.id().to_string();
            let status = Command::new("kill").arg(signal.name()).arg(id).status();
            assert!(status.is_ok_and(|status| status.success()), "no signal");
        }
    }

    /// Ends a process at once.
    pub fn kill(&mut self, host: u8) {
        if let Some(mut child) = self.children.remove(&host) {
            // One that has ended by itself is waited for all the same.
            let _ = child.kill();
            let _ = child.wait();
            running().remove(&child.id());
        }
    }

    /// Whether a process that was told to end has done so.
    pub fn has_ended(&mut self, host: u8) -> bool {
        let child = self.children.get_mut(&host).expect("it was started");
        let has_ended = child.try_wait().expect("a status").is_some();
        if has_ended && let Some(child) = self.children.remove(&host) {
            running().remove(&child.id());
        }
        has_ended
    }

    /// Hosts whose processes ended though nobody ended them.
    pub fn ended_by_themselves(&mut self) -> Vec<u8> {
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

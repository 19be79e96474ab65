//! Scale run: a real control group with hollow daemons, which follow it and acknowledge its
//! tables but serve no requests.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coursestand_coordination::Tables;
use coursestand_coordination::bundles::{OrderAction, SubmitAnswer};
use coursestand_coordination::followers::Progress;
use coursestand_coordination::tables::{DrainTarget, MemberPhase};
use coursestand_coordination::wire::{ControlReply, ControlRequest, FollowRequest, ReportRequest};
use coursestand_daemon::Daemon;
use coursestand_daemon::entry::control_client::ControlClient;
use coursestand_model::DaemonId;
use serde::Serialize;
use snafu::ResultExt;
use tokio::task::JoinHandle;

use crate::address::AddressAllocator;
use crate::demo::{AddressSnafu, ControlSnafu, DemoError, NotAcceptedSnafu, StartDaemonSnafu};
use crate::demo::{put_first_bundle_in_force, test_operator};
use crate::deployment::{CONTROL_REPLICAS, Deployment, hut};
use crate::operator::Operator;
use crate::process::{cpu_seconds, resident_bytes};

/// Timeout of each operation of a step.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3_000);
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Duration of the idle measurement of each step.
const IDLE_DURATION: Duration = Duration::from_secs(5);
/// Number of hollow daemons that share one connection to the control group.
const DAEMONS_PER_CLIENT: usize = 50;

/// Parameters of a scale run.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// Number of hollow daemons of each step.
    pub steps: Vec<usize>,
    /// Number of timed changes of each step.
    pub changes: u64,
}

/// Figures of one step.
#[derive(Clone, Debug, Serialize)]
pub struct ScalePoint {
    /// Number of hollow daemons.
    pub daemons: usize,
    /// Processor use of the whole process while idle, in cores: control replicas and
    /// hollow daemons together.
    pub idle_cores: f64,
    /// Resident memory of the whole process in bytes.
    pub resident_bytes: u64,
    /// Messages per second between hollow daemons and the leader while idle.
    pub messages_per_second: f64,
    /// Bytes of encoded messages per second and daemon while idle.
    pub bytes_per_second_per_daemon: f64,
    /// Median time from the submission of a change until every daemon has applied it.
    pub in_force_p50_ms: f64,
    /// Maximum of these times.
    pub in_force_max_ms: f64,
}

impl fmt::Display for ScalePoint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "daemons {:>5}  idle cores {:.3}  resident {:.1} MB  messages/s {:.0}  \
             bytes/s/daemon {:.0}  in force p50 {:.0} ms max {:.0} ms",
            self.daemons,
            self.idle_cores,
            self.resident_bytes as f64 / 1e6,
            self.messages_per_second,
            self.bytes_per_second_per_daemon,
            self.in_force_p50_ms,
            self.in_force_max_ms
        )
    }
}

/// Counters of all hollow daemons.
#[derive(Default)]
struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
    stop: AtomicBool,
}

struct HollowDaemon {
    version: Arc<AtomicU64>,
    tasks: [JoinHandle<()>; 2],
}

/// Runs all steps against one control group and returns their figures.
pub async fn run_scale(plan: &ScalePlan) -> Result<Vec<ScalePoint>, DemoError> {
    let folder = std::env::temp_dir().join(format!("coursestand-scale-{}", std::process::id()));
    let result = run_steps(plan, &folder).await;
    // A failure is harmless: the folder is in the directory for temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    result
}

async fn run_steps(plan: &ScalePlan, folder: &Path) -> Result<Vec<ScalePoint>, DemoError> {
    let mut addresses = AddressAllocator::reserve().context(AddressSnafu)?;
    let deployment = hut(&mut addresses);
    let mut settings = deployment.daemon_settings(&mut addresses, folder);
    settings.truncate(CONTROL_REPLICAS);
    let mut daemons = Vec::new();
    for settings in &mut settings {
        settings.entry_role = None;
        let name = settings.name.clone();
        let daemon = Daemon::start(settings)
            .await
            .context(StartDaemonSnafu { name })?;
        daemons.push(daemon);
    }
    let operator = test_operator(&settings);
    put_first_bundle_in_force(&operator, &deployment, 0).await?;
    let mut points = Vec::new();
    for count in &plan.steps {
        let control = &settings[0].control;
        let point = run_step(&operator, &deployment, control, *count, plan.changes).await?;
        eprintln!("{point}");
        points.push(point);
    }
    for daemon in &daemons {
        daemon.stop().await;
    }
    Ok(points)
}

async fn run_step(
    operator: &Operator,
    deployment: &Deployment,
    control: &[SocketAddr],
    count: usize,
    changes: u64,
) -> Result<ScalePoint, DemoError> {
    let traffic = Arc::new(Traffic::default());
    let hollow_daemons = start_hollow_daemons(deployment, control, count, &traffic);
    operator
        .until_in_force(count, STEP_TIMEOUT)
        .await
        .context(ControlSnafu)?;
    let (messages, bytes) = traffic_totals(&traffic);
    let cpu = cpu_seconds();
    let started_at = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let elapsed = started_at.elapsed().as_secs_f64();
    let (messages_after, bytes_after) = traffic_totals(&traffic);
    let idle_cores = (cpu_seconds() - cpu) / elapsed;
    let mut times = Vec::new();
    for change in 0..changes {
        times.push(time_change(operator, &hollow_daemons, change).await?);
    }
    times.sort_by(f64::total_cmp);
    traffic.stop.store(true, Ordering::Relaxed);
    let resident = resident_bytes();
    for hollow in hollow_daemons {
        for task in hollow.tasks {
            task.abort();
        }
    }
    Ok(ScalePoint {
        daemons: count,
        idle_cores,
        resident_bytes: resident,
        messages_per_second: (messages_after - messages) as f64 / elapsed,
        bytes_per_second_per_daemon: (bytes_after - bytes) as f64 / elapsed / count as f64,
        in_force_p50_ms: times.get(times.len() / 2).copied().unwrap_or(0.0),
        in_force_max_ms: times.last().copied().unwrap_or(0.0),
    })
}

fn traffic_totals(traffic: &Traffic) -> (u64, u64) {
    (
        traffic.messages.load(Ordering::Relaxed),
        traffic.bytes.load(Ordering::Relaxed),
    )
}

/// Returns the time in milliseconds until a change has reached every daemon.
async fn time_change(
    operator: &Operator,
    hollow_daemons: &[HollowDaemon],
    change: u64,
) -> Result<f64, DemoError> {
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    let current = operator.status().await.context(ControlSnafu)?;
    let target = DrainTarget::Backend("not-there".into());
    let action = if change.is_multiple_of(2) {
        OrderAction::Drain { target }
    } else {
        OrderAction::Restore { target }
    };
    let submission = format!("scale-{}", current.revision);
    let started_at = Instant::now();
    let answer = operator
        .submit_order(action, current.revision, &submission, STEP_TIMEOUT)
        .await
        .context(ControlSnafu)?;
    if !matches!(answer, SubmitAnswer::Accepted { .. }) {
        return NotAcceptedSnafu { answer }.fail();
    }
    let before = current.version;
    while hollow_daemons
        .iter()
        .any(|hollow| hollow.version.load(Ordering::Relaxed) <= before)
        && started_at.elapsed() < STEP_TIMEOUT
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started_at.elapsed().as_secs_f64() * 1000.0)
}

fn start_hollow_daemons(
    deployment: &Deployment,
    control: &[SocketAddr],
    count: usize,
    traffic: &Arc<Traffic>,
) -> Vec<HollowDaemon> {
    let zones = deployment.zones();
    let mut hollow_daemons = Vec::new();
    let mut client = None;
    for number in 0..count {
        if number % DAEMONS_PER_CLIENT == 0 {
            client = ControlClient::new(control).ok().map(Arc::new);
        }
        let Some(client) = &client else {
            continue;
        };
        let version = Arc::new(AtomicU64::new(0));
        let daemon = DaemonId {
            name: format!("hollow-{count}-{number}"),
            incarnation: 1,
        };
        let request = FollowRequest {
            daemon: daemon.clone(),
            zone: zones[number % zones.len()].clone(),
            address: None,
            phase: MemberPhase::Serving,
            have: 0,
            progress: Progress::default(),
        };
        let follow = tokio::spawn(follow(
            Arc::clone(client),
            request,
            Arc::clone(&version),
            Arc::clone(traffic),
        ));
        let report = tokio::spawn(report(Arc::clone(client), daemon, Arc::clone(traffic)));
        hollow_daemons.push(HollowDaemon {
            version,
            tasks: [follow, report],
        });
    }
    hollow_daemons
}

async fn follow(
    client: Arc<ControlClient>,
    mut request: FollowRequest,
    version: Arc<AtomicU64>,
    traffic: Arc<Traffic>,
) {
    let mut tables = Tables::default();
    while !traffic.stop.load(Ordering::Relaxed) {
        let message = ControlRequest::Follow(request.clone());
        let answer = client
            .send(&message, ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT)
            .await;
        if let Ok(ControlReply::Follow(delta)) = answer {
            count(&traffic, &message);
            count(&traffic, &delta);
            tables.apply(delta);
            request.have = tables.version;
            request.progress = Progress {
                applied: tables.version,
                settled: tables.version,
            };
            version.store(tables.version, Ordering::Relaxed);
        }
    }
}

async fn report(client: Arc<ControlClient>, daemon: DaemonId, traffic: Arc<Traffic>) {
    let message = ControlRequest::Report(ReportRequest {
        daemon,
        demand: Vec::new(),
        reachable: Vec::new(),
        unreachable: Vec::new(),
        leaving: Vec::new(),
    });
    while !traffic.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(REPORT_INTERVAL).await;
        if client
            .send(&message, ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT)
            .await
            .is_ok()
        {
            count(&traffic, &message);
        }
    }
}

fn count<T: Serialize>(traffic: &Traffic, message: &T) {
    let length = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    traffic.messages.fetch_add(1, Ordering::Relaxed);
    traffic.bytes.fetch_add(length as u64, Ordering::Relaxed);
}

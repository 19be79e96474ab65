//! The scale run: hollow daemons, which follow the control group and confirm
//! what it says but serve nobody, beside a real control group.

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

use crate::address::AddressBook;
use crate::demo::{AddressSnafu, ControlSnafu, DemoError, NotAcceptedSnafu, StartDaemonSnafu};
use crate::demo::{put_first_bundle_in_force, test_operator};
use crate::deployment::{CONTROL_REPLICAS, Deployment, hut};
use crate::operator::Operator;
use crate::process::{cpu_seconds, resident_bytes};

const WITHIN: Duration = Duration::from_secs(60);
const ATTEMPT: Duration = Duration::from_millis(3_000);
const REPORT_EVERY: Duration = Duration::from_millis(1_000);
/// How long the idle cost is measured in each step.
const IDLE: Duration = Duration::from_secs(5);
/// Hollow daemons that share one connection to the control group.
const DAEMONS_PER_CLIENT: usize = 50;

/// A scale run.
#[derive(Clone, Debug)]
pub struct ScalePlan {
    /// Hollow daemons in each step.
    pub steps: Vec<usize>,
    /// Changes in each step.
    pub changes: u64,
}

/// Figures of one step.
#[derive(Clone, Debug, Serialize)]
pub struct ScalePoint {
    /// Hollow daemons.
    pub daemons: usize,
    /// Part of one core that the whole process used while nothing changed:
    /// control replicas and hollow daemons together.
    pub idle_cores: f64,
    /// Resident memory of the whole process in bytes.
    pub resident_bytes: u64,
    /// Messages a second between hollow daemons and the leader while idle.
    pub messages_per_second: f64,
    /// Bytes of the encoded messages a second for each daemon while idle.
    pub bytes_per_second_per_daemon: f64,
    /// Time from the submit of a change until every daemon had it: median.
    pub in_force_p50_ms: f64,
    /// The longest such time.
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

/// What all hollow daemons count.
#[derive(Default)]
struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
    stop: AtomicBool,
}

struct Hollow {
    version: Arc<AtomicU64>,
    tasks: [JoinHandle<()>; 2],
}

/// Runs all steps against one control group.
pub async fn run_scale(plan: &ScalePlan) -> Result<Vec<ScalePoint>, DemoError> {
    let folder = std::env::temp_dir().join(format!("coursestand-scale-{}", std::process::id()));
    let result = run_in(plan, &folder).await;
    // What is left over is in the folder for temporary files.
    let _ = std::fs::remove_dir_all(&folder);
    result
}

async fn run_in(plan: &ScalePlan, folder: &Path) -> Result<Vec<ScalePoint>, DemoError> {
    let mut addresses = AddressBook::take().context(AddressSnafu)?;
    let deployment = hut(&mut addresses);
    let mut settings = deployment.daemon_settings(&mut addresses, folder);
    settings.truncate(CONTROL_REPLICAS);
    let mut daemons = Vec::new();
    for one in &mut settings {
        one.entry_role = None;
        let name = one.name.clone();
        let daemon = Daemon::start(one)
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
    let hollows = start_hollows(deployment, control, count, &traffic);
    operator
        .until_in_force(count, WITHIN)
        .await
        .context(ControlSnafu)?;
    let (messages, bytes) = counted(&traffic);
    let cpu = cpu_seconds();
    let began = Instant::now();
    tokio::time::sleep(IDLE).await;
    let elapsed = began.elapsed().as_secs_f64();
    let (messages_after, bytes_after) = counted(&traffic);
    let idle_cores = (cpu_seconds() - cpu) / elapsed;
    let mut times = Vec::new();
    for change in 0..changes {
        times.push(time_change(operator, &hollows, change).await?);
    }
    times.sort_by(f64::total_cmp);
    traffic.stop.store(true, Ordering::Relaxed);
    let resident = resident_bytes();
    for hollow in hollows {
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

fn counted(traffic: &Traffic) -> (u64, u64) {
    (
        traffic.messages.load(Ordering::Relaxed),
        traffic.bytes.load(Ordering::Relaxed),
    )
}

/// Time until a change that every daemon sees is held by every one.
async fn time_change(
    operator: &Operator,
    hollows: &[Hollow],
    change: u64,
) -> Result<f64, DemoError> {
    const LOOK: Duration = Duration::from_millis(2);
    let current = operator.status().await.context(ControlSnafu)?;
    let target = DrainTarget::Backend("not-there".into());
    let action = if change.is_multiple_of(2) {
        OrderAction::Drain { target }
    } else {
        OrderAction::Restore { target }
    };
    let submission = format!("scale-{}", current.revision);
    let began = Instant::now();
    let answer = operator
        .submit_order(action, current.revision, &submission, WITHIN)
        .await
        .context(ControlSnafu)?;
    if !matches!(answer, SubmitAnswer::Accepted { .. }) {
        return NotAcceptedSnafu { answer }.fail();
    }
    let before = current.version;
    while hollows
        .iter()
        .any(|hollow| hollow.version.load(Ordering::Relaxed) <= before)
        && began.elapsed() < WITHIN
    {
        tokio::time::sleep(LOOK).await;
    }
    Ok(began.elapsed().as_secs_f64() * 1000.0)
}

fn start_hollows(
    deployment: &Deployment,
    control: &[SocketAddr],
    count: usize,
    traffic: &Arc<Traffic>,
) -> Vec<Hollow> {
    let zones = deployment.zones();
    let mut hollows = Vec::new();
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
        hollows.push(Hollow {
            version,
            tasks: [follow, report],
        });
    }
    hollows
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
        let answer = client.send(&message, ATTEMPT, ATTEMPT).await;
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
        tokio::time::sleep(REPORT_EVERY).await;
        if client.send(&message, ATTEMPT, ATTEMPT).await.is_ok() {
            count(&traffic, &message);
        }
    }
}

fn count<T: Serialize>(traffic: &Traffic, message: &T) {
    let length = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    traffic.messages.fetch_add(1, Ordering::Relaxed);
    traffic.bytes.fetch_add(length as u64, Ordering::Relaxed);
}

//! Daemons as real processes on loopback, with simulated back ends and callers in the test
//! process.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_coordination::bundles::{OrderAction, SubmitAnswer};
use coursestand_lab::address::AddressAllocator;
use coursestand_lab::callers::{Caller, FinishedRequest};
use coursestand_lab::demo::{Simulation, put_first_bundle_in_force, test_operator};
use coursestand_lab::deployment::{Deployment, hut};
use coursestand_lab::load::{LoadPlan, run_load};
use coursestand_lab::operator::{Operator, StatusAnswer};
use coursestand_lab::records::{Ending, Record};
use coursestand_model::BackendId;
use coursestand_model::settings::DaemonSettings;
use tempfile::TempDir;

/// Maximum wait for a condition; conditions are expected to hold much earlier.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub struct Fleet {
    pub simulation: Simulation,
    pub settings: Vec<DaemonSettings>,
    pub operator: Operator,
    processes: Vec<Option<Child>>,
    folder: TempDir,
}

/// Returns the `hut` example deployment with this many daemons and further changes.
pub fn deployment(
    daemons: usize,
    change: impl FnOnce(&mut Deployment),
) -> (Deployment, AddressAllocator) {
    let mut addresses = AddressAllocator::reserve().expect("a free address");
    let mut deployment = hut(&mut addresses);
    deployment.daemons = daemons;
    deployment.bundle.lookup.lifetime_ms = 1_000;
    change(&mut deployment);
    (deployment, addresses)
}

/// Shows the daemons' logs if `COURSESTAND_TEST_LOG` sets a level.
fn logs() -> Stdio {
    match std::env::var_os("COURSESTAND_TEST_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}

impl Fleet {
    /// Starts back ends and daemons, and waits until the first bundle is in force.
    pub async fn start(daemons: usize, change: impl FnOnce(&mut Deployment)) -> Fleet {
        let (deployment, mut addresses) = deployment(daemons, change);
        let folder = tempfile::tempdir().expect("a folder");
        let mut settings = deployment.daemon_settings(&mut addresses, folder.path());
        for daemon in &mut settings {
            daemon.log_level = std::env::var("COURSESTAND_TEST_LOG").unwrap_or("error".to_owned());
        }
        let simulation = Simulation::start(deployment)
            .await
            .expect("the simulation starts");
        let operator = test_operator(&settings);
        let processes = settings.iter().map(|_| None).collect();
        let mut fleet = Fleet {
            simulation,
            settings,
            operator,
            processes,
            folder,
        };
        for index in 0..daemons {
            fleet.start_daemon(index);
        }
        fleet.until_listening().await;
        put_first_bundle_in_force(&fleet.operator, &fleet.simulation.deployment, daemons)
            .await
            .expect("the first bundle is in force");
        fleet
    }

    pub fn start_daemon(&mut self, index: usize) {
        let settings = &self.settings[index];
        let file = self.folder.path().join(format!("{}.json", settings.name));
        let text = serde_json::to_string(settings).expect("JSON");
        std::fs::write(&file, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_coursestandd"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(logs())
            .spawn()
            .expect("the daemon starts");
        self.processes[index] = Some(child);
    }

    async fn until_listening(&self) {
        for settings in &self.settings {
            until("the daemon listens", || async {
                tokio::net::TcpStream::connect(settings.admin_listen)
                    .await
                    .is_ok()
            })
            .await;
        }
    }

    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.processes[index]
            .as_ref()
            .expect("runs")
            .id()
            .to_string();
        let status = Command::new("kill").arg(signal).arg(pid).status();
        assert!(status.expect("kill runs").success());
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            child.kill().expect("killed");
            child.wait().expect("waited");
        }
    }

    /// Stops a daemon with SIGTERM. Returns whether it exited successfully.
    pub async fn stop(&mut self, index: usize) -> bool {
        self.signal(index, "-TERM");
        self.reap(index).await
    }

    /// Waits until a daemon that received a signal exits. Returns whether it succeeded.
    pub async fn reap(&mut self, index: usize) -> bool {
        let mut child = self.processes[index].take().expect("runs");
        let waited = tokio::task::spawn_blocking(move || child.wait());
        let status = tokio::time::timeout(TEST_TIMEOUT, waited).await;
        let status = status.expect("ends in time").expect("joined");
        status.expect("waited").success()
    }

    /// Returns the index of the daemon whose control replica leads.
    pub async fn leader(&self) -> usize {
        let address = self.operator.leader(TEST_TIMEOUT).await.expect("a leader");
        self.settings
            .iter()
            .position(|settings| {
                let control = settings.control_role.as_ref();
                control.is_some_and(|control| control.operator_listen == address)
            })
            .expect("known")
    }

    pub fn operator_address(&self, index: usize) -> SocketAddr {
        let control = self.settings[index].control_role.as_ref();
        control.expect("a control replica").operator_listen
    }

    pub fn caller(&self) -> Arc<Caller> {
        Arc::new(self.simulation.caller(&self.settings))
    }

    pub async fn load(&self, run: &str, rate: f64, seconds: u64) -> Vec<FinishedRequest> {
        let plan = LoadPlan {
            rate,
            duration: Duration::from_secs(seconds),
            timeout: Duration::from_secs(15),
            seed: 11,
            run: run.to_owned(),
        };
        run_load(&self.simulation.deployment, self.caller(), &plan, |_| {}).await
    }

    pub async fn order(&self, action: OrderAction) -> u64 {
        let current = self.operator.status().await.expect("status").revision;
        let submission = format!("order-{current}");
        let answer = self
            .operator
            .submit_order(action, current, &submission, TEST_TIMEOUT)
            .await
            .expect("an answer");
        match answer {
            SubmitAnswer::Accepted { revision } => revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    pub async fn until_in_force(&self, daemons: usize) -> StatusAnswer {
        self.operator
            .until_in_force(daemons, TEST_TIMEOUT)
            .await
            .expect("in force")
    }

    /// Returns the part of one service in the state dump of one daemon.
    pub async fn dump(&self, index: usize, service: &str) -> serde_json::Value {
        let url = format!("http://{}/state", self.settings[index].admin_listen);
        match reqwest::get(url).await {
            Ok(answer) => answer.json::<serde_json::Value>().await.expect("JSON")[service].clone(),
            Err(_) => serde_json::Value::Null,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            // Fails if the daemon has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until a condition holds, for at most [`TEST_TIMEOUT`].
pub async fn until<F: Future<Output = bool>>(description: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < end,
            "timed out waiting until: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Describes what callers and back ends observed, for the message of a failing test.
pub fn describe(fleet: &Fleet, finished: &[FinishedRequest]) -> String {
    let records = fleet.simulation.records.all();
    let figures =
        coursestand_lab::report::figures(&fleet.simulation.deployment.bundle, finished, &records);
    let shed_requests: String = records
        .iter()
        .filter(|record| record.ending == Ending::Shed)
        .map(|record| {
            let Record {
                request_id,
                backend,
                started_ms,
                running,
                ..
            } = record;
            let running_there = describe_running(&records, backend, *started_ms);
            format!(
                "\n{started_ms} ms: {request_id} at {backend}, {running} running:{running_there}"
            )
        })
        .collect();
    format!("{figures}\nrequests shed by a full back end:{shed_requests}")
}

/// Describes the requests that a back end was running at a time: which daemon sent them, and when
/// and how they ended.
fn describe_running(records: &[Record], backend: &BackendId, at_ms: u64) -> String {
    let is_running_there = |record: &&Record| {
        let has_ended = record.ended_ms.is_some_and(|ended| ended < at_ms);
        record.backend == *backend
            && record.ending != Ending::Shed
            && record.started_ms <= at_ms
            && !has_ended
    };
    records
        .iter()
        .filter(is_running_there)
        .map(|record| {
            let Record {
                request_id,
                started_ms,
                ended_ms,
                ending,
                ..
            } = record;
            format!("\n  {request_id} since {started_ms} ms, until {ended_ms:?} ms: {ending:?}")
        })
        .collect()
}

//! Three control processes whose memory is sampled from `/proc`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coursestand_catalog::Patch;
use coursestand_lab::items;
use tokio::task::JoinSet;

use crate::deployment::{Deployment, first_items};
use crate::processes::Processes;

pub const CONTROLS: [u8; 3] = [1, 2, 3];
pub const MIB: u64 = 1024 * 1024;
/// Disks that may be lost at the same time in a group of three.
const LOST_DISKS: usize = 1;
/// Limit of one read, after which its reader tries again.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a restart in which memory may still rise: copies for other processes are sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);

pub struct ControlGroup {
    deployment: Deployment,
    processes: Processes,
}

impl ControlGroup {
    pub async fn start() -> ControlGroup {
        let deployment = Deployment::new(&CONTROLS);
        let mut processes = Processes::new(&deployment.folder.path().join("processes"));
        start_all(&deployment, &mut processes, true);
        let status = deployment.patch(&CONTROLS, &first_items()).await;
        assert_eq!(status, 200, "the first change");
        ControlGroup {
            deployment,
            processes,
        }
    }

    /// Sets `count` routes, numbered from `first` on, to `version` in one change.
    pub async fn set_routes(&self, first: usize, count: usize, version: u64) {
        let patch = Patch {
            upserts: items::realistic_routes("s", first, count, version),
            removals: Vec::new(),
        };
        let status = self.deployment.patch(&CONTROLS, &patch).await;
        assert_eq!(status, 200, "a change of {count} routes");
    }

    /// Kills all processes, starts them again and waits until a catalog of at least `routes`
    /// routes is read. Returns the highest peak memory of a process in bytes.
    pub async fn restart_all(&mut self, routes: usize) -> u64 {
        for host in CONTROLS {
            self.processes.kill(host);
        }
        start_all(&self.deployment, &mut self.processes, false);
        let started = Instant::now();
        let items = self.deployment.read(CONTROLS[0]).await;
        assert!(items.len() >= routes, "{} items", items.len());
        println!("read {} ms after the start", started.elapsed().as_millis());
        tokio::time::sleep(SETTLE_TIME).await;
        let peaks = CONTROLS.map(|host| self.peak_memory(host));
        peaks.into_iter().max().unwrap_or_default()
    }

    /// Reads the catalog at each process with this many concurrent readers, over and over.
    /// Returns the number of successful reads.
    pub async fn read_repeatedly(&self, readers: usize, duration: Duration) -> usize {
        let until = Instant::now() + duration;
        let successes = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for host in CONTROLS {
            for _ in 0..readers {
                let url = format!("{}/v1/catalog", self.deployment.control_url(host));
                let successes = Arc::clone(&successes);
                tasks.spawn(async move {
                    let client = reqwest::Client::builder()
                        .timeout(READ_TIMEOUT)
                        .build()
                        .expect("a client");
                    while Instant::now() < until {
                        if let Ok(answer) = client.get(&url).send().await
                            && answer.status() == 200
                            && answer.bytes().await.is_ok()
                        {
                            successes.fetch_add(1, Ordering::Relaxed);
                        }
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                });
            }
        }
        tasks.join_all().await;
        successes.load(Ordering::Relaxed)
    }

    /// Returns the peak resident memory of a process since its start, in bytes.
    pub fn peak_memory(&self, host: u8) -> u64 {
        self.processes.peak_memory(host).expect("the process runs")
    }
}

fn start_all(deployment: &Deployment, processes: &mut Processes, bootstrap: bool) {
    for host in CONTROLS {
        let mut settings = deployment.control_settings(host, bootstrap);
        settings.bounds.lost_disks = LOST_DISKS;
        processes.start(host, &settings);
    }
}

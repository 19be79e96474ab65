//! Three control replicas in the test process, on simulated disks that can stall.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use coursestand_consensus::{
    Batch, Entry, HardState, ReplicaId, Restored, Snapshot, Storage, StorageError,
};
use coursestand_coordination::Command;
use coursestand_daemon::control::driver::Driver;
use coursestand_daemon::control::event::Event;
use coursestand_daemon::control::handle::ControlHandle;
use coursestand_daemon::control::identity::Identity;
use coursestand_daemon::control::peers::{OutgoingMessage, PeerSender};
use coursestand_daemon::control::shared::ControlShared;
use coursestand_kernel::MonotonicClock;
use coursestand_model::ZoneId;
use tokio::sync::oneshot;

const CLUSTER: u64 = 1;
pub const REPLICAS: [ReplicaId; 3] = [1, 2, 3];
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum wait, far longer than expected.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An in-memory disk whose syncs block while it stalls.
#[derive(Clone, Default)]
pub struct Disk {
    saved: Arc<Mutex<Restored>>,
    stalled_until: Arc<Mutex<Option<Instant>>>,
}

impl Disk {
    pub fn stall(&self, duration: Duration) {
        let until = Instant::now() + duration;
        *self
            .stalled_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    fn wait_for_stall(&self) {
        let until = *self
            .stalled_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = until {
            std::thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn open(&self) -> (Box<dyn Storage + Send>, Restored) {
        let saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        (Box::new(self.clone()), saved.clone())
    }
}

impl Storage for Disk {
    fn save(&mut self, batch: &Batch) -> std::result::Result<(), StorageError> {
        self.wait_for_stall();
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        saved.apply(batch);
        Ok(())
    }

    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        rest: &[Entry],
    ) -> std::result::Result<(), StorageError> {
        self.wait_for_stall();
        *self.saved.lock().unwrap_or_else(PoisonError::into_inner) = Restored {
            hard_state,
            snapshot: snapshot.clone(),
            entries: rest.to_vec(),
        };
        Ok(())
    }
}

type Events = Arc<Mutex<BTreeMap<ReplicaId, Sender<Event>>>>;

/// Delivers messages to the other replicas without delay.
struct Loopback(Events);

impl PeerSender for Loopback {
    fn send(&mut self, _cluster: u64, from: ReplicaId, messages: Vec<OutgoingMessage>) {
        let events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for outgoing in messages {
            if let Some(receiver) = events.get(&outgoing.to) {
                // Fails if the replica has stopped.
                let _ = receiver.send(Event::Message {
                    from,
                    reply_to: None,
                    message: outgoing.message,
                });
            }
        }
    }
}

pub struct Member {
    pub control: Arc<ControlHandle>,
    pub disk: Disk,
    thread: Option<JoinHandle<()>>,
}

/// Three replicas of one group in the test process.
pub struct Group {
    pub members: BTreeMap<ReplicaId, Member>,
    _folder: tempfile::TempDir,
}

impl Group {
    pub async fn start() -> Group {
        let folder = tempfile::tempdir().expect("a folder");
        let events = Events::default();
        let mut members = BTreeMap::new();
        for replica in REPLICAS {
            let data_folder = folder.path().join(replica.to_string());
            std::fs::create_dir_all(&data_folder).expect("a folder");
            members.insert(replica, start_member(replica, &data_folder, &events));
        }
        let group = Group {
            members,
            _folder: folder,
        };
        group.join().await;
        group
    }

    async fn join(&self) {
        let voters: Vec<(ReplicaId, String)> = REPLICAS
            .map(|replica| (replica, replica.to_string()))
            .to_vec();
        for (replica, member) in &self.members {
            let (reply, answer) = oneshot::channel();
            let identity = Identity {
                cluster: CLUSTER,
                replica: *replica,
            };
            let join = Event::Join {
                identity,
                voters: voters.clone(),
                reply,
            };
            member.control.deliver(join).expect("it runs");
            answer.await.expect("an answer").expect("joined");
        }
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let mut members = self.members.iter();
        members
            .find(|(_, member)| member.control.shared.leading_term().is_some())
            .map(|(replica, _)| *replica)
    }

    pub async fn wait_for_leader(&self) -> ReplicaId {
        let started = Instant::now();
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "no leader");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Proposes a change to the leader and retries until it is committed. Returns the time that
    /// this took.
    pub async fn change(&self, is_active: bool) -> Duration {
        let started = Instant::now();
        loop {
            assert!(started.elapsed() < TEST_TIMEOUT, "no change was committed");
            if let Some(leader) = self.leader() {
                let command = Command::Evacuate {
                    zone: ZoneId::from("z"),
                    is_active,
                };
                let proposed = self.members[&leader].control.propose(command);
                if matches!(
                    tokio::time::timeout(TEST_TIMEOUT, proposed).await,
                    Ok(Ok(_))
                ) {
                    return started.elapsed();
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the longest time without a leader within `duration`.
    pub async fn longest_without_leader(&self, duration: Duration) -> Duration {
        let started = Instant::now();
        let mut led_at = started;
        let mut longest = Duration::ZERO;
        while started.elapsed() < duration {
            if self.leader().is_some() {
                led_at = Instant::now();
            }
            longest = longest.max(led_at.elapsed());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        longest
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for member in self.members.values_mut() {
            let _ = member.control.deliver(Event::Stop);
            if let Some(thread) = member.thread.take() {
                thread.join().expect("the driver doesn't panic");
            }
        }
    }
}

fn start_member(replica: ReplicaId, folder: &Path, events: &Events) -> Member {
    let shared = Arc::new(ControlShared::new(MonotonicClock::default()));
    let (sender, receiver) = channel();
    events
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(replica, sender.clone());
    let disk = Disk::default();
    let opened = disk.clone();
    let driver = Driver::with_storage(
        Arc::clone(&shared),
        Box::new(Loopback(Arc::clone(events))),
        folder.to_owned(),
        Box::new(move |_| Ok(opened.open())),
        1,
    );
    let driver = driver.expect("a driver");
    let thread = std::thread::spawn(move || driver.run(&receiver));
    Member {
        control: Arc::new(ControlHandle::new(shared, sender)),
        disk,
        thread: Some(thread),
    }
}

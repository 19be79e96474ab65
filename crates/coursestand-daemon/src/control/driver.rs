//! Drives the consensus core of one replica on a thread of its own: takes
//! messages and proposals, syncs, sends, applies.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use coursestand_consensus::wal::WriteAheadLog;
use coursestand_consensus::{
    Batch, Config, Entry, HardState, LogIndex, Membership, Message, Payload, Ready, Replica,
    ReplicaId, Restored, Snapshot, Storage, StorageError,
};
use coursestand_coordination::command::StampedCommand;
use coursestand_coordination::{Command, CommandAnswer, ControlState};
use coursestand_kernel::clock::wall_ms;
use log::{error, info, warn};
use snafu::ResultExt;

use crate::control::error::{ControlError, LogSnafu, ProposeSnafu, ThreadSnafu};
use crate::control::event::{Event, Proposed};
use crate::control::identity::{self, Identity};
use crate::control::log_writer::{Job, LogWriter};
use crate::control::peers::PeerSender;
use crate::control::proposals::Proposals;
use crate::control::shared::{ControlShared, LeadingClock, LogReach, ReplicaStatus};
use crate::control::status::status_of;

const LOG: &str = "consensus";
/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(10);
/// Events taken in before the next sync: they share it.
const MAX_EVENTS_PER_SYNC: usize = 1024;
/// A sync that takes longer is told: nothing that was proposed meanwhile is confirmed.
const SLOW_SYNC: Duration = Duration::from_millis(500);
/// Time for which the driver waits for a sync before it goes on with what needs none.
/// Most take 5 to 20 ms; a leader's heartbeats are due each 100 ms.
const SYNC_PATIENCE: Duration = Duration::from_millis(50);
/// Entries after which the state machine is saved and the log is shortened.
const ENTRIES_PER_SNAPSHOT: u64 = 20_000;

/// Pause before a replica whose storage failed starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Opens the storage in a folder, and returns what was saved there.
pub type OpenStorage =
    Box<dyn Fn(&Path) -> Result<(Box<dyn Storage + Send>, Restored), StorageError> + Send>;

fn open_write_ahead_log(
    folder: &Path,
) -> Result<(Box<dyn Storage + Send>, Restored), StorageError> {
    let (log, restored) = WriteAheadLog::open(folder)?;
    Ok((Box::new(log), restored))
}

/// The driver of one replica.
pub struct Driver {
    shared: Arc<ControlShared>,
    peers: Box<dyn PeerSender>,
    folder: PathBuf,
    open_storage: OpenStorage,
    /// Synced copies of a command before its proposer is answered.
    min_copies: usize,
    group: Option<Group>,
}

/// The replica once it has joined a group.
struct Group {
    identity: Identity,
    replica: Replica,
    /// Last index that the shared state holds; the replica counts entries as applied
    /// once it hands them out.
    applied: LogIndex,
    writer: LogWriter,
    /// What is being written.
    writing: Option<Writing>,
    /// Proposals that are not answered yet.
    proposals: Proposals,
}

/// What the log's thread is doing.
struct Writing {
    started: Instant,
    work: Work,
}

enum Work {
    /// Saves what this holds.
    Save(Box<Ready>),
    /// Shortens the log up to this entry.
    Shorten(LogIndex),
}

impl Group {
    /// How far the log reaches, if this replica is a voter by it.
    fn reach(&self) -> Option<LogReach> {
        let is_voter = self.replica.membership().is_voter(self.identity.replica);
        is_voter.then(|| LogReach {
            end: self.replica.log().persisted(),
            applied: self.applied,
        })
    }
}

/// Whether the driver goes on.
enum Next {
    GoOn,
    Stop,
}

impl Driver {
    /// A driver with its data in `folder`; joins its group again when it was a
    /// member before.
    ///
    /// A proposer is answered once its command is on `min_copies` synced disks,
    /// also where fewer make a majority.
    pub fn open(
        shared: Arc<ControlShared>,
        peers: Box<dyn PeerSender>,
        folder: PathBuf,
        min_copies: usize,
    ) -> Result<Driver, ControlError> {
        let open_storage = Box::new(open_write_ahead_log);
        Driver::with_storage(shared, peers, folder, open_storage, min_copies)
    }

    /// The same with storage of another kind.
    pub fn with_storage(
        shared: Arc<ControlShared>,
        peers: Box<dyn PeerSender>,
        folder: PathBuf,
        open_storage: OpenStorage,
        min_copies: usize,
    ) -> Result<Driver, ControlError> {
        let mut driver = Driver {
            shared,
            peers,
            folder,
            open_storage,
            min_copies,
            group: None,
        };
        driver.restart()?;
        Ok(driver)
    }

    /// Starts from what is on disk.
    fn restart(&mut self) -> Result<(), ControlError> {
        let found = identity::read(&self.folder)?;
        self.shared.set_log_reach(None);
        // The log is applied from its start or from its snapshot on.
        *self.shared.state_mut() = ControlState::default();
        if let Some(identity) = found {
            let (log, restored) = (self.open_storage)(&self.folder).context(LogSnafu)?;
            self.begin(identity, log, restored)?;
        } else {
            info!(target: LOG, "this replica is blank and waits to join a group");
        }
        self.publish();
        Ok(())
    }

    fn begin(
        &mut self,
        identity: Identity,
        log: Box<dyn Storage + Send>,
        restored: Restored,
    ) -> Result<(), ControlError> {
        let now = self.shared.clock.now();
        if restored.snapshot.index > 0 {
            self.restore(&restored.snapshot);
        }
        info!(
            target: LOG,
            "replica {} begins in term {} with {} entries",
            identity.replica, restored.hard_state.term, restored.entries.len()
        );
        let config = Config::new(identity.replica, rand::random());
        let replica = Replica::new(config, restored, now);
        let group = Group {
            identity,
            applied: replica.applied_index(),
            replica,
            writer: LogWriter::start(log).context(ThreadSnafu)?,
            writing: None,
            proposals: Proposals::default(),
        };
        self.shared.set_log_reach(group.reach());
        self.group = Some(group);
        Ok(())
    }

    /// Runs until it is told to stop. When storage fails, the replica leaves its
    /// part in the group and starts again from what is on disk.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            match self.turn(events) {
                Ok(Next::GoOn) => {}
                Ok(Next::Stop) => break,
                Err(failure) => {
                    // What is on disk is no longer known: this replica must not
                    // promise anything further on what it has in memory.
                    error!(target: LOG, "this replica stops: {failure}");
                    self.fail(&failure);
                    if matches!(self.recover(events), Next::Stop) {
                        break;
                    }
                }
            }
        }
        self.shared.set_lease(0, None);
    }

    /// Tries to start again until storage works.
    fn recover(&mut self, events: &Receiver<Event>) -> Next {
        loop {
            std::thread::sleep(RESTART_PAUSE);
            // Proposals and messages of the meantime are lost, as on a network.
            while let Ok(event) = events.try_recv() {
                if matches!(event, Event::Stop) {
                    return Next::Stop;
                }
            }
            match self.restart() {
                Ok(()) => return Next::GoOn,
                Err(failure) => {
                    error!(target: LOG, "this replica stays stopped: {failure}");
                    self.fail(&failure);
                }
            }
        }
    }

    fn turn(&mut self, events: &Receiver<Event>) -> Result<Next, ControlError> {
        let mut next = match events.recv_timeout(TICK) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return Ok(Next::Stop),
        };
        let mut taken = 0;
        while let Some(event) = next {
            if matches!(event, Event::Stop) {
                return Ok(Next::Stop);
            }
            self.take(event)?;
            taken += 1;
            next = if taken < MAX_EVENTS_PER_SYNC {
                events.try_recv().ok()
            } else {
                None
            };
        }
        if let Some(group) = &mut self.group {
            group.replica.tick(self.shared.clock.now());
        }
        while self.carry_out()? {}
        self.shorten_log();
        self.publish();
        Ok(Next::GoOn)
    }

    fn take(&mut self, event: Event) -> Result<(), ControlError> {
        match event {
            Event::Message { from, message } => {
                let now = self.shared.clock.now();
                if let Some(group) = &mut self.group {
                    group.replica.step(now, from, message);
                }
            }
            Event::Propose { command, reply } => self.propose_command(*command, reply),
            Event::ChangeMembers { next, reply } => {
                self.propose(Payload::Membership(next), reply);
            }
            Event::Join {
                identity,
                voters,
                reply,
            } => {
                // The asker may have gone; the result stands all the same.
                let _ = reply.send(self.join(identity, voters));
            }
            Event::HandOver => self.hand_over(),
            Event::Stop => {}
        }
        Ok(())
    }

    fn join(
        &mut self,
        identity: Identity,
        voters: Vec<(ReplicaId, String)>,
    ) -> Result<(), ControlError> {
        if let Some(group) = &self.group {
            if group.identity == identity {
                return Ok(());
            }
            return Err(ControlError::Joined {
                cluster: group.identity.cluster,
                replica: group.identity.replica,
            });
        }
        let (mut log, _) = (self.open_storage)(&self.folder).context(LogSnafu)?;
        let snapshot = Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        };
        let hard_state = HardState::default();
        log.compact(&snapshot, hard_state, &[]).context(LogSnafu)?;
        // The identity comes last: with it, the replica is a member.
        identity::write(&self.folder, identity)?;
        let restored = Restored {
            snapshot,
            ..Restored::default()
        };
        self.begin(identity, log, restored)
    }

    /// Stamps a command with the leader's clocks and proposes it.
    fn propose_command(&mut self, command: Command, reply: Proposed) {
        let Some(clock) = self.shared.replicated_clock() else {
            let _ = reply.send(Err(ControlError::NotLeader));
            return;
        };
        let stamped = StampedCommand {
            clock,
            wall_ms: wall_ms(),
            command,
        };
        match postcard::to_stdvec(&stamped) {
            Ok(bytes) => self.propose(Payload::Command(bytes), reply),
            Err(failure) => {
                let answer = CommandAnswer::Refused(failure.to_string());
                let _ = reply.send(Ok(answer));
            }
        }
    }

    fn propose(&mut self, payload: Payload, reply: Proposed) {
        let now = self.shared.clock.now();
        let Some(group) = &mut self.group else {
            let _ = reply.send(Err(ControlError::NotJoined));
            return;
        };
        match group.replica.propose(now, payload).context(ProposeSnafu) {
            Ok(index) => {
                let term = group.replica.term();
                group.proposals.add(index, term, reply);
            }
            Err(failure) => {
                let _ = reply.send(Err(failure));
            }
        }
    }

    fn hand_over(&mut self) {
        let now = self.shared.clock.now();
        let Some(group) = &mut self.group else {
            return;
        };
        if let Err(failure) = group.replica.transfer_leadership(now) {
            warn!(target: LOG, "the leadership was not handed over: {failure}");
        }
    }

    /// Does what the replica asks for. Returns whether there may be more.
    fn carry_out(&mut self) -> Result<bool, ControlError> {
        let Some(group) = &mut self.group else {
            return Ok(false);
        };
        if group.writing.is_some() {
            let messages = group.replica.take_messages();
            self.send(messages);
            return self.finish_writing(Duration::ZERO);
        }
        let mut ready = group.replica.ready();
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        let is_busy = !messages.is_empty() || !committed.is_empty();
        self.send(messages);
        // On this disk already: it need not wait for what is not.
        self.apply(committed);
        if !ready.needs_sync() {
            let has_answers = !ready.messages_after_sync.is_empty();
            self.note_saved(ready);
            return Ok(is_busy || has_answers);
        }
        let batch = Batch {
            hard_state: ready.hard_state,
            snapshot: ready.snapshot.clone(),
            entries: std::mem::take(&mut ready.entries),
        };
        self.begin_writing(Job::Save(batch), Work::Save(Box::new(ready)));
        self.finish_writing(SYNC_PATIENCE)
    }

    fn send(&mut self, messages: Vec<(ReplicaId, Message)>) {
        let Some(group) = &self.group else {
            return;
        };
        let membership = group.replica.membership();
        let Identity { cluster, replica } = group.identity;
        self.peers.send(cluster, replica, membership, messages);
    }

    fn begin_writing(&mut self, job: Job, work: Work) {
        if let Some(group) = &mut self.group {
            group.writing = Some(Writing {
                started: Instant::now(),
                work,
            });
            group.writer.begin(job);
        }
    }

    /// Waits up to `limit` for what is being written. Returns whether it is done.
    fn finish_writing(&mut self, limit: Duration) -> Result<bool, ControlError> {
        let Some(group) = &mut self.group else {
            return Ok(false);
        };
        let Some(result) = group.writer.wait(limit) else {
            return Ok(false);
        };
        result?;
        let Some(writing) = group.writing.take() else {
            return Ok(false);
        };
        let took = writing.started.elapsed();
        if took > SLOW_SYNC {
            warn!(target: LOG, "the disk took {} ms to sync the log", took.as_millis());
        }
        match writing.work {
            Work::Save(ready) => self.note_saved(*ready),
            Work::Shorten(index) => info!(target: LOG, "the log was shortened up to entry {index}"),
        }
        Ok(true)
    }

    /// All that had to be saved is on the disk.
    fn note_saved(&mut self, ready: Ready) {
        let Some(group) = &mut self.group else {
            return;
        };
        group.replica.persisted(self.shared.clock.now(), &ready);
        // Before the leader hears of this copy and can count it.
        self.shared.set_log_reach(group.reach());
        self.send(ready.messages_after_sync);
        if let Some(snapshot) = &ready.snapshot
            && self.restore(snapshot)
        {
            self.note_applied(snapshot.index);
        }
    }

    /// The shared state holds everything up to `index`.
    fn note_applied(&mut self, index: LogIndex) {
        if let Some(group) = &mut self.group {
            group.applied = index;
            self.shared.set_log_reach(group.reach());
        }
    }

    /// Returns whether the shared state is that of the snapshot.
    fn restore(&self, snapshot: &Snapshot) -> bool {
        if snapshot.data.is_empty() {
            return true;
        }
        match postcard::from_bytes::<ControlState>(&snapshot.data) {
            Ok(mut state) => {
                state.restore_derived();
                *self.shared.state_mut() = state;
                self.shared.announce_versions();
                true
            }
            Err(failure) => {
                error!(target: LOG, "a snapshot can't be decoded: {failure}");
                false
            }
        }
    }

    fn apply(&mut self, committed: Vec<Entry>) {
        if committed.is_empty() {
            return;
        }
        let Some(group) = &mut self.group else {
            return;
        };
        // What is committed is on a majority of the disks, whoever leads by now.
        let needs_more_copies = self.min_copies > group.replica.membership().quorum();
        let mut state = self.shared.state_mut();
        for entry in committed {
            let (answer, needs_more_copies) = match &entry.payload {
                Payload::Empty | Payload::Membership(_) => (CommandAnswer::Done, false),
                Payload::Command(bytes) => match postcard::from_bytes(bytes) {
                    Ok(stamped) => (state.apply(entry.index, &stamped), needs_more_copies),
                    Err(failure) => {
                        let answer = CommandAnswer::Refused(failure.to_string());
                        (answer, needs_more_copies)
                    }
                },
            };
            group
                .proposals
                .applied(entry.index, entry.term, answer, needs_more_copies);
        }
        drop(state);
        let applied = group.replica.applied_index();
        self.note_applied(applied);
        self.shared.announce_versions();
        if let Some(group) = &mut self.group {
            group.proposals.answer();
        }
    }

    fn shorten_log(&mut self) {
        let Some(group) = &mut self.group else {
            return;
        };
        let covered = group.replica.log().snapshot().index;
        let applied = group.replica.applied_index();
        if group.writing.is_some() || applied < covered + ENTRIES_PER_SNAPSHOT {
            return;
        }
        let encoded = postcard::to_stdvec(&*self.shared.state());
        let data = match encoded {
            Ok(data) => data,
            Err(failure) => {
                error!(target: LOG, "the state can't be encoded: {failure}");
                return;
            }
        };
        if let Some((snapshot, hard_state, rest)) = group.replica.compact(applied, data) {
            let job = Job::Compact {
                snapshot,
                hard_state,
                rest,
            };
            self.begin_writing(job, Work::Shorten(applied));
        }
    }

    /// Makes the newest role, lease and membership known.
    fn publish(&mut self) {
        let now = self.shared.clock.now();
        let Some(group) = &mut self.group else {
            self.shared.set_status(ReplicaStatus {
                role: "blank",
                ..ReplicaStatus::default()
            });
            return;
        };
        let lease_end = group.replica.lease_end(now);
        match (lease_end, self.shared.leading_clock()) {
            (Some(_), None) => {
                let replicated = self.shared.state().clock();
                let clock = LeadingClock::new(replicated, now);
                self.shared.set_leading_clock(Some(clock));
                info!(target: LOG, "this replica leads in term {}", group.replica.term());
            }
            (None, Some(_)) => {
                self.shared.set_leading_clock(None);
                info!(target: LOG, "this replica no longer leads");
            }
            _ => {}
        }
        match group.replica.progress() {
            Some(progress) => group.proposals.release(progress, self.min_copies),
            None => group.proposals.lose_all(),
        }
        self.shared.set_lease(group.replica.term(), lease_end);
        let log = group.replica.log();
        let (changed_at, membership) = log.membership_up_to(log.last_index());
        self.shared.set_membership(changed_at, membership.clone());
        self.shared
            .set_status(status_of(group.identity, &group.replica, now));
    }

    fn fail(&mut self, failure: &ControlError) {
        self.group = None;
        self.shared.set_leading_clock(None);
        self.shared.set_lease(0, None);
        self.shared.set_log_reach(None);
        self.shared.set_status(ReplicaStatus {
            role: "failed",
            failure: Some(failure.to_string()),
            ..ReplicaStatus::default()
        });
    }
}

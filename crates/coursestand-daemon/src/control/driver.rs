//! Drives the consensus core of one replica on a dedicated thread: receives messages and
//! proposals, persists log entries, sends messages and applies committed entries.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use coursestand_consensus::wal::WriteAheadLog;
use coursestand_consensus::{
    Batch, Config, Entry, HardState, LogIndex, Membership, Message, Payload, PeerAddresses, Ready,
    Replica, ReplicaId, Restored, Snapshot, Storage, StorageError,
};
use coursestand_coordination::command::StampedCommand;
use coursestand_coordination::{Command, CommandAnswer, ControlState, OrderFence, OrderHistory};
use coursestand_kernel::clock::wall_ms;
use log::{error, info, warn};
use snafu::ResultExt;

use crate::control::error::{ControlError, LogSnafu, ProposeSnafu, ThreadSnafu};
use crate::control::event::{Committed, Event, ProposalReply};
use crate::control::identity::{self, Identity};
use crate::control::log_writer::{Job, LogWriter};
use crate::control::peers::{OutgoingMessage, PeerSender};
use crate::control::proposals::Proposals;
use crate::control::shared::{ControlShared, LeadingClock, LogExtent, ReplicaStatus};
use crate::control::status::status_of;
use crate::control::unaddressed::UnaddressedMessages;

const LOG: &str = "consensus";
/// Interval between ticks of the consensus core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of events that share one sync.
const MAX_EVENTS_PER_SYNC: usize = 1024;
/// Syncs that take longer are logged: no proposal is confirmed while one is running.
const SLOW_SYNC_THRESHOLD: Duration = Duration::from_millis(500);
/// Maximum time for which the driver waits for a sync before it continues with work that
/// needs none. Most syncs take 5 to 20 ms; a leader's heartbeats are due every 100 ms.
const MAX_SYNC_WAIT: Duration = Duration::from_millis(50);
/// Delay before a replica whose storage failed restarts.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Opens the storage in a folder and returns it with the persisted state.
pub type OpenStorage =
    Box<dyn Fn(&Path) -> Result<(Box<dyn Storage + Send>, Restored), StorageError> + Send>;

fn open_write_ahead_log(
    folder: &Path,
) -> Result<(Box<dyn Storage + Send>, Restored), StorageError> {
    let (log, restored) = WriteAheadLog::open(folder)?;
    if let Some(tail) = log.discarded_tail() {
        warn!(target: LOG, file = tail.path.display().to_string(), offset = tail.offset,
            bytes = tail.bytes, last = restored.last_index();
            "the last record of the log is incomplete and was left out: its write was interrupted");
    }
    Ok((Box::new(log), restored))
}

/// Runs one replica of the control group.
pub struct Driver {
    shared: Arc<ControlShared>,
    peers: Box<dyn PeerSender>,
    folder: PathBuf,
    open_storage: OpenStorage,
    /// Synced copies of a command that are required before its proposer is answered.
    min_copies: usize,
    group: Option<Group>,
    /// Whether the storage has failed, and is to be opened again.
    has_failed: bool,
}

/// State of a replica that has joined a group.
struct Group {
    identity: Identity,
    replica: Replica,
    /// Last index that the shared state includes. The consensus core counts entries as
    /// applied as soon as it returns them.
    applied: LogIndex,
    writer: LogWriter,
    /// The write in progress.
    writing: Option<PendingWrite>,
    /// Proposals without an answer.
    proposals: Proposals,
    /// When each part of the catalog was last ordered.
    orders: OrderHistory,
    addresses: PeerAddresses,
    unaddressed: UnaddressedMessages,
}

/// A write in progress on the log writer's thread.
struct PendingWrite {
    started: Instant,
    work: WriteKind,
}

enum WriteKind {
    /// Persists the entries, hard state and snapshot of a `Ready`.
    Save(Box<Ready>),
    /// Compacts the log up to this entry.
    Compact(LogIndex),
}

impl Group {
    /// Returns the extent of the log, or `None` unless this replica is a voter according to
    /// its log.
    fn log_extent(&self) -> Option<LogExtent> {
        let is_voter = self.replica.membership().is_voter(self.identity.replica);
        is_voter.then(|| LogExtent {
            end: self.replica.log().persisted(),
            applied: self.applied,
        })
    }
}

/// Whether the driver continues.
enum Flow {
    Continue,
    Stop,
}

impl Driver {
    /// Returns a driver with its data in `folder`. A replica that is already a member of a
    /// group rejoins it.
    ///
    /// A proposer is answered once its command is on `min_copies` synced disks, even if
    /// fewer make a majority.
    pub fn open(
        shared: Arc<ControlShared>,
        peers: Box<dyn PeerSender>,
        folder: PathBuf,
        min_copies: usize,
    ) -> Result<Driver, ControlError> {
        let open_storage = Box::new(open_write_ahead_log);
        Driver::with_storage(shared, peers, folder, open_storage, min_copies)
    }

    /// Like [`Self::open`], with custom storage. If the disk refuses to read or write, the driver
    /// retries while it runs, as it does if that happens later.
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
            has_failed: false,
        };
        match driver.restart() {
            Err(failure) if failure.is_disk_failure() => driver.stop_for(&failure),
            result => result?,
        }
        Ok(driver)
    }

    /// Loads the persisted state and starts from it.
    fn restart(&mut self) -> Result<(), ControlError> {
        let persisted = identity::read(&self.folder)?;
        self.shared.set_log_extent(None);
        // The log is applied again from its snapshot or its first entry.
        *self.shared.state_mut() = ControlState::default();
        if let Some(identity) = persisted {
            let started = Instant::now();
            let (log, restored) = (self.open_storage)(&self.folder).context(LogSnafu)?;
            info!(target: LOG, took_ms = started.elapsed().as_millis() as u64; "the log was read");
            self.start_replica(identity, log, restored)?;
        } else {
            info!(target: LOG, "this replica has no identity and waits to join a group");
        }
        self.publish();
        Ok(())
    }

    fn start_replica(
        &mut self,
        identity: Identity,
        log: Box<dyn Storage + Send>,
        restored: Restored,
    ) -> Result<(), ControlError> {
        let now = self.shared.clock.now();
        if restored.snapshot.index > 0 {
            self.restore(&restored.snapshot);
        }
        let entries = restored.entries.len();
        let last = restored.last_index();
        let orders = OrderHistory::after_snapshot(restored.snapshot.index);
        let config = Config::new(identity.replica, rand::random());
        let replica = Replica::new(config, restored, now);
        info!(
            target: LOG,
            entries = entries,
            last = last,
            log_bytes = replica.log().bytes(),
            snapshot_bytes = replica.log().snapshot().data.len();
            "replica {} begins in term {}", identity.replica, replica.term()
        );
        let group = Group {
            identity,
            applied: replica.applied_index(),
            replica,
            writer: LogWriter::start(log).context(ThreadSnafu)?,
            writing: None,
            proposals: Proposals::default(),
            orders,
            addresses: PeerAddresses::default(),
            unaddressed: UnaddressedMessages::default(),
        };
        self.shared.set_log_extent(group.log_extent());
        self.group = Some(group);
        Ok(())
    }

    /// Runs until [`Event::Stop`] arrives. When storage fails, the replica stops taking part
    /// in the group and restarts from its disk.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            if self.has_failed && matches!(self.recover(events), Flow::Stop) {
                break;
            }
            match self.process_events(events) {
                Ok(Flow::Continue) => {}
                Ok(Flow::Stop) => break,
                // The state of the disk is unknown: this replica must not acknowledge or vote on
                // the basis of its state in memory.
                Err(failure) => self.stop_for(&failure),
            }
        }
        self.shared.set_lease(0, None);
    }

    /// Stops taking part in the group until the storage has been opened again.
    fn stop_for(&mut self, failure: &ControlError) {
        error!(target: LOG, "this replica stops: {failure}");
        self.enter_failed_state(failure);
        self.has_failed = true;
    }

    /// Retries the restart until storage works.
    fn recover(&mut self, events: &Receiver<Event>) -> Flow {
        loop {
            std::thread::sleep(RESTART_DELAY);
            // Proposals and messages that arrive while stopped are dropped, like packets on a
            // network.
            while let Ok(event) = events.try_recv() {
                if matches!(event, Event::Stop) {
                    return Flow::Stop;
                }
            }
            match self.restart() {
                Ok(()) => {
                    self.has_failed = false;
                    return Flow::Continue;
                }
                Err(failure) => {
                    error!(target: LOG, "restart failed, this replica stays stopped: {failure}");
                    self.enter_failed_state(&failure);
                }
            }
        }
    }

    fn process_events(&mut self, events: &Receiver<Event>) -> Result<Flow, ControlError> {
        let mut next = match events.recv_timeout(TICK_INTERVAL) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return Ok(Flow::Stop),
        };
        let mut handled = 0;
        while let Some(event) = next {
            if matches!(event, Event::Stop) {
                return Ok(Flow::Stop);
            }
            self.handle_event(event)?;
            handled += 1;
            next = if handled < MAX_EVENTS_PER_SYNC {
                events.try_recv().ok()
            } else {
                None
            };
        }
        if let Some(group) = &mut self.group {
            group.replica.tick(self.shared.clock.now());
        }
        while self.process_ready()? {}
        self.compact_log();
        self.publish();
        Ok(Flow::Continue)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), ControlError> {
        match event {
            Event::Message {
                from,
                reply_to,
                message,
            } => {
                let now = self.shared.clock.now();
                if let Some(group) = &mut self.group {
                    if let Some(address) = reply_to {
                        group.addresses.note(from, address);
                    }
                    group.replica.step(now, from, message);
                }
            }
            Event::Propose {
                command,
                fence,
                reply,
            } => self.propose_command(*command, fence, reply),
            Event::ChangeMembers { next, reply } => {
                // Only orders need the index.
                let _ = self.propose(Payload::Membership(next), reply);
            }
            Event::Join {
                identity,
                voters,
                reply,
            } => {
                // The requester may have gone; the join takes effect regardless.
                let _ = reply.send(self.join(identity, voters));
            }
            Event::TransferLeadership => self.transfer_leadership(),
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
            return Err(ControlError::AlreadyJoined {
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
        // The identity is written last: it makes the replica a member.
        identity::write(&self.folder, identity)?;
        let restored = Restored {
            snapshot,
            ..Restored::default()
        };
        self.start_replica(identity, log, restored)
    }

    /// Stamps a command with the replicated clock and the wall clock, and proposes it.
    fn propose_command(
        &mut self,
        command: Command,
        fence: Option<OrderFence>,
        reply: ProposalReply,
    ) {
        let Some(clock) = self.shared.replicated_clock() else {
            let _ = reply.send(Err(ControlError::NotLeader));
            return;
        };
        if let Some(fence) = fence
            && let Err(failure) = self.check_fence(&command, fence)
        {
            let _ = reply.send(Err(failure));
            return;
        }
        let stamped = StampedCommand {
            clock,
            wall_ms: wall_ms(),
            command,
        };
        match postcard::to_stdvec(&stamped) {
            Ok(bytes) => {
                let appended = self.propose(Payload::Command(bytes.into()), reply);
                if let (Some(index), Some(group)) = (appended, &mut self.group) {
                    let term = group.replica.term();
                    group.orders.note_appended(term, index, &stamped.command);
                }
            }
            Err(failure) => {
                let answer = CommandAnswer::Refused(failure.to_string());
                let _ = reply.send(Ok(Committed {
                    answer,
                    index: None,
                }));
            }
        }
    }

    /// Fails if something that the command concerns was ordered after `fence`, according to the
    /// whole log of this leader.
    fn check_fence(&mut self, command: &Command, fence: OrderFence) -> Result<(), ControlError> {
        let now = self.shared.clock.now();
        let group = self.group.as_mut().ok_or(ControlError::NotJoined)?;
        // With the lease, all entries of earlier terms are applied.
        if !group.replica.holds_lease(now) {
            return Err(ControlError::NotLeader);
        }
        let term = group.replica.term();
        let state = self.shared.state();
        if group.orders.permits(term, command, fence, state.catalog()) {
            return Ok(());
        }
        Err(ControlError::Superseded {
            applied: group.applied,
        })
    }

    /// Returns the index at which the proposal was appended to the log, if it was.
    fn propose(&mut self, payload: Payload, reply: ProposalReply) -> Option<LogIndex> {
        let now = self.shared.clock.now();
        let Some(group) = &mut self.group else {
            let _ = reply.send(Err(ControlError::NotJoined));
            return None;
        };
        match group.replica.propose(now, payload).context(ProposeSnafu) {
            Ok(index) => {
                let term = group.replica.term();
                group.proposals.add(index, term, reply);
                Some(index)
            }
            Err(failure) => {
                let _ = reply.send(Err(failure));
                None
            }
        }
    }

    fn transfer_leadership(&mut self) {
        let now = self.shared.clock.now();
        let Some(group) = &mut self.group else {
            return;
        };
        if let Err(failure) = group.replica.transfer_leadership(now) {
            warn!(target: LOG, "leadership was not transferred: {failure}");
        }
    }

    /// Processes the next `Ready` of the consensus core. Returns whether there may be more.
    fn process_ready(&mut self) -> Result<bool, ControlError> {
        let Some(group) = &mut self.group else {
            return Ok(false);
        };
        if group.writing.is_some() {
            let messages = group.replica.take_messages();
            self.send(messages);
            return self.finish_write(Duration::ZERO);
        }
        let mut ready = group.replica.ready();
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        let has_work = !messages.is_empty() || !committed.is_empty();
        self.send(messages);
        // Committed entries are already on this disk, so they need not wait for the next sync.
        self.apply(committed);
        if !ready.needs_sync() {
            let has_answers = !ready.messages_after_sync.is_empty();
            self.handle_persisted(ready);
            return Ok(has_work || has_answers);
        }
        let batch = Batch {
            hard_state: ready.hard_state,
            snapshot: ready.snapshot.clone(),
            entries: std::mem::take(&mut ready.entries),
        };
        self.start_write(Job::Save(batch), WriteKind::Save(Box::new(ready)));
        self.finish_write(MAX_SYNC_WAIT)
    }

    fn send(&mut self, messages: Vec<(ReplicaId, Message)>) {
        let Some(group) = &mut self.group else {
            return;
        };
        if messages.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let membership = group.replica.membership();
        let outgoing = messages.into_iter().map(|(to, message)| OutgoingMessage {
            to,
            address: group.addresses.find(membership, to),
            message,
        });
        let outgoing: Vec<OutgoingMessage> = outgoing.collect();
        group.unaddressed.note(now, &outgoing);
        let Identity { cluster, replica } = group.identity;
        self.peers.send(cluster, replica, outgoing);
    }

    fn start_write(&mut self, job: Job, work: WriteKind) {
        if let Some(group) = &mut self.group {
            group.writing = Some(PendingWrite {
                started: Instant::now(),
                work,
            });
            group.writer.begin(job);
        }
    }

    /// Waits up to `limit` for the write in progress. Returns whether it completed.
    fn finish_write(&mut self, limit: Duration) -> Result<bool, ControlError> {
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
        let elapsed = writing.started.elapsed();
        if elapsed > SLOW_SYNC_THRESHOLD {
            warn!(target: LOG, "the disk took {} ms to sync the log", elapsed.as_millis());
        }
        match writing.work {
            WriteKind::Save(ready) => self.handle_persisted(*ready),
            WriteKind::Compact(index) => {
                info!(target: LOG, "the log was compacted up to entry {index}")
            }
        }
        Ok(true)
    }

    /// Handles a `Ready` whose data is on the disk.
    fn handle_persisted(&mut self, ready: Ready) {
        let Some(group) = &mut self.group else {
            return;
        };
        group.replica.persisted(self.shared.clock.now(), &ready);
        // Before the acknowledgement is sent that lets the leader count this copy.
        self.shared.set_log_extent(group.log_extent());
        self.send(ready.messages_after_sync);
        if let Some(snapshot) = &ready.snapshot
            && self.restore(snapshot)
        {
            if let Some(group) = &mut self.group {
                group.orders = OrderHistory::after_snapshot(snapshot.index);
            }
            self.set_applied(snapshot.index);
        }
    }

    /// Records that the shared state includes every entry up to `index`.
    fn set_applied(&mut self, index: LogIndex) {
        if let Some(group) = &mut self.group {
            group.applied = index;
            self.shared.set_log_extent(group.log_extent());
        }
    }

    /// Replaces the shared state by that of the snapshot. Returns whether it could be decoded.
    fn restore(&self, snapshot: &Snapshot) -> bool {
        if snapshot.data.is_empty() {
            return true;
        }
        match postcard::from_bytes::<ControlState>(&snapshot.data) {
            Ok(mut state) => {
                state.restore_derived();
                *self.shared.state_mut() = state;
                self.shared.publish_versions();
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
        // A committed entry is on a majority of the disks, whichever replica leads.
        let needs_more_copies = self.min_copies > group.replica.membership().quorum();
        let mut state = self.shared.state_mut();
        for entry in committed {
            let (answer, needs_more_copies) = match &entry.payload {
                Payload::Empty | Payload::Membership(_) => (CommandAnswer::Done, false),
                Payload::Command(bytes) => match postcard::from_bytes(bytes) {
                    Ok(stamped) => {
                        let answer = apply_command(&mut state, &entry, &stamped);
                        group.orders.note_applied(entry.index, &stamped.command);
                        (answer, needs_more_copies)
                    }
                    Err(failure) => {
                        let answer = CommandAnswer::Refused(failure.to_string());
                        (answer, needs_more_copies)
                    }
                },
            };
            group
                .proposals
                .record_applied(entry.index, entry.term, answer, needs_more_copies);
        }
        drop(state);
        let applied = group.replica.applied_index();
        self.set_applied(applied);
        self.shared.publish_versions();
        if let Some(group) = &mut self.group {
            group.proposals.send_ready();
        }
    }

    fn compact_log(&mut self) {
        let Some(group) = &mut self.group else {
            return;
        };
        if group.writing.is_some() {
            return;
        }
        let Some(applied) = group.replica.compaction_due(self.shared.clock.now()) else {
            return;
        };
        let encoded = postcard::to_stdvec(&*self.shared.state());
        let data = match encoded {
            Ok(mut data) => {
                data.shrink_to_fit();
                data
            }
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
            self.start_write(job, WriteKind::Compact(applied));
        }
    }

    /// Publishes the current role, lease and membership.
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
                info!(target: LOG, "this replica has lost its leadership");
            }
            _ => {}
        }
        match group.replica.progress() {
            Some(progress) => group.proposals.send_replicated(progress, self.min_copies),
            None => group.proposals.fail_all(),
        }
        self.shared.set_lease(group.replica.term(), lease_end);
        let log = group.replica.log();
        let (changed_at, membership) = log.membership_up_to(log.last_index());
        self.shared.set_membership(changed_at, membership.clone());
        let leader = group.replica.leader();
        let status = ReplicaStatus {
            leader_address: leader.and_then(|leader| group.addresses.find(membership, leader)),
            unaddressed_messages: group.unaddressed.total(),
            ..status_of(group.identity, &group.replica, now)
        };
        self.shared.set_status(status);
    }

    fn enter_failed_state(&mut self, failure: &ControlError) {
        self.group = None;
        self.shared.set_leading_clock(None);
        self.shared.set_lease(0, None);
        self.shared.set_log_extent(None);
        self.shared.set_status(ReplicaStatus {
            role: "failed",
            failure: Some(failure.to_string()),
            ..ReplicaStatus::default()
        });
    }
}

/// Applies a committed command, and logs it if it changes whether a zone is evacuated.
fn apply_command(
    state: &mut ControlState,
    entry: &Entry,
    stamped: &StampedCommand,
) -> CommandAnswer {
    let Command::Evacuate { zone, is_active } = &stamped.command else {
        return state.apply(entry.index, stamped);
    };
    let replaced = state.catalog().evacuation(zone);
    let answer = state.apply(entry.index, stamped);
    if replaced.is_some_and(|replaced| replaced.is_active) != *is_active {
        info!(target: LOG, zone = zone.as_str(), is_active = *is_active, index = entry.index,
            term = entry.term, replaced_index = replaced.map_or(0, |replaced| replaced.changed);
            "the evacuation of a zone changed");
    }
    answer
}

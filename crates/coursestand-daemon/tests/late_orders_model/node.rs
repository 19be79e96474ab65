//! A control process: a replica, the orders that it handles, and its connections with callers.

use std::collections::BTreeMap;

use coursestand_consensus::{
    Batch, Config, Entry, LogIndex, MemoryStorage, Message, Payload, Replica, ReplicaId, Storage,
    Term,
};
use coursestand_coordination::command::StampedCommand;
use coursestand_coordination::order_admission::{AfterSuperseded, CallerView, OrderStep};
use coursestand_coordination::{Command, ControlState, OrderAdmission, OrderFence, OrderHistory};
use coursestand_model::ZoneId;

use crate::world::Design;

/// Bytes of entries at which a log is compacted: a few orders.
const MIN_COMPACTION_BYTES: usize = 120;
/// Time for which a process works on an order.
const ORDER_TIMEOUT_MS: u64 = 2_500;
const RETRY_DELAY_MS: u64 = 50;
pub const ZONE: &str = "z";

/// One call of an operator; identifies the entries that it leads to.
pub type Attempt = u64;

/// An order on a connection.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: Attempt,
    pub is_active: bool,
    pub confirmed: Option<OrderFence>,
}

/// A connection of a caller, as the system of the process holds it.
#[derive(Clone, Debug)]
pub struct Connection {
    pub opened_at: u64,
    pub call: Call,
    pub is_closed: bool,
    pub is_read: bool,
}

/// Messages between processes.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    Consensus(Message),
    Ask {
        task: Attempt,
        call: Call,
        fence: OrderFence,
    },
    Answer {
        task: Attempt,
        answer: Answer,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Done,
    NotLeader,
    Superseded(LogIndex),
    Unknown,
}

/// The answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Acknowledged,
    Confirm(OrderFence),
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    NoteFence,
    LookAtCaller,
    Propose(OrderFence),
    Wait,
}

struct Task {
    call: Call,
    admission: OrderAdmission,
    step: Step,
    due: u64,
    deadline: u64,
}

/// Who waits for a proposal.
#[derive(Clone, Copy, Debug)]
enum Proposer {
    Local(Attempt),
    Peer(ReplicaId, Attempt),
}

/// What a process wants to send.
#[derive(Default)]
pub struct Output {
    pub to_peers: Vec<(ReplicaId, PeerMessage)>,
    pub replies: Vec<(Attempt, Reply)>,
    pub applied: Vec<(LogIndex, Option<Attempt>, bool)>,
}

pub struct Node {
    pub id: ReplicaId,
    design: Design,
    pub storage: MemoryStorage,
    pub replica: Option<Replica>,
    pub is_suspended: bool,
    pub connections: BTreeMap<Attempt, Connection>,
    state: ControlState,
    history: OrderHistory,
    applied: LogIndex,
    tasks: BTreeMap<Attempt, Task>,
    proposals: BTreeMap<LogIndex, (Term, Proposer)>,
}

pub fn command(is_active: bool) -> Command {
    Command::Evacuate {
        zone: ZoneId::from(ZONE),
        is_active,
    }
}

impl Node {
    pub fn new(id: ReplicaId, design: Design, storage: MemoryStorage) -> Node {
        Node {
            id,
            design,
            storage,
            replica: None,
            is_suspended: false,
            connections: BTreeMap::new(),
            state: ControlState::default(),
            history: OrderHistory::default(),
            applied: 0,
            tasks: BTreeMap::new(),
            proposals: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, seed: u64, now: u64) {
        if self.replica.is_some() {
            return;
        }
        let restored = self.storage.restored();
        self.restore(restored.snapshot.index, &restored.snapshot.data.clone());
        let mut config = Config::new(self.id, seed);
        config.min_compaction_bytes = MIN_COMPACTION_BYTES;
        self.replica = Some(Replica::new(config, restored, now));
        self.is_suspended = false;
    }

    /// Kills the process: connections, tasks and everything else in memory are lost.
    pub fn kill(&mut self) {
        self.replica = None;
        self.connections.clear();
        self.tasks.clear();
        self.proposals.clear();
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        self.state = if data.is_empty() {
            ControlState::default()
        } else {
            postcard::from_bytes(data).expect("a snapshot")
        };
        self.applied = index;
        self.history = OrderHistory::after_snapshot(index);
    }

    pub fn is_evacuated(&self) -> bool {
        self.state.catalog().is_evacuated(&ZoneId::from(ZONE))
    }

    pub fn runs(&self) -> bool {
        self.replica.is_some() && !self.is_suspended
    }

    pub fn receive(
        &mut self,
        now: u64,
        from: ReplicaId,
        message: PeerMessage,
        output: &mut Output,
    ) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        match message {
            PeerMessage::Consensus(message) => replica.step(now, from, message),
            PeerMessage::Ask { task, call, fence } => {
                let proposer = Proposer::Peer(from, task);
                if let Some(answer) = self.propose(now, &call, fence, proposer) {
                    let answer = PeerMessage::Answer { task, answer };
                    output.to_peers.push((from, answer));
                }
            }
            PeerMessage::Answer { task, answer } => self.handle_answer(now, task, answer, output),
        }
    }

    /// Proposes an order if this replica leads. Returns an answer if it was not proposed.
    fn propose(
        &mut self,
        now: u64,
        call: &Call,
        fence: OrderFence,
        proposer: Proposer,
    ) -> Option<Answer> {
        let replica = self.replica.as_mut()?;
        if !replica.holds_lease(now) {
            return Some(Answer::NotLeader);
        }
        let command = command(call.is_active);
        let term = replica.term();
        let catalog = self.state.catalog();
        let is_permitted = self.history.permits(term, &command, fence, catalog);
        if self.design.has_fence() && !is_permitted {
            return Some(Answer::Superseded(self.applied));
        }
        let stamped = StampedCommand {
            clock: 0,
            wall_ms: call.attempt,
            command,
        };
        let bytes = postcard::to_stdvec(&stamped).expect("encoded");
        match replica.propose(now, Payload::Command(bytes.into())) {
            Ok(index) => {
                self.history.note_appended(term, index, &stamped.command);
                self.proposals.insert(index, (term, proposer));
                None
            }
            Err(_) => Some(Answer::NotLeader),
        }
    }

    /// Performs one step of the consensus core and at most one of each order. The two run on
    /// different threads, so either may come first.
    pub fn step(&mut self, now: u64, orders_first: bool, output: &mut Output) {
        if orders_first {
            self.step_orders(now, output);
        }
        if let Some(replica) = &mut self.replica {
            replica.tick(now);
        }
        self.process_ready(now, output);
        self.compact(now);
        if !orders_first {
            self.step_orders(now, output);
        }
    }

    fn step_orders(&mut self, now: u64, output: &mut Output) {
        self.read_calls(now);
        let due: Vec<Attempt> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.due <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.step_task(now, attempt, output);
        }
    }

    fn read_calls(&mut self, now: u64) {
        for connection in self.connections.values_mut() {
            if std::mem::replace(&mut connection.is_read, true) {
                continue;
            }
            let call = connection.call.clone();
            let admission = OrderAdmission::new(&command(call.is_active), call.confirmed);
            let delay = match self.design {
                Design::Unprotected | Design::CallerOnly | Design::FenceOnly => 0,
                _ => admission.initial_delay_ms(),
            };
            let task = Task {
                admission,
                step: match self.design {
                    Design::FenceAfterLook => Step::LookAtCaller,
                    _ => Step::NoteFence,
                },
                due: now + delay,
                deadline: now + ORDER_TIMEOUT_MS,
                call,
            };
            self.tasks.insert(task.call.attempt, task);
        }
    }

    fn view_caller(&self, now: u64, attempt: Attempt) -> CallerView {
        let connection = self.connections.get(&attempt);
        CallerView {
            is_connected: connection.is_some_and(|connection| !connection.is_closed),
            connection_age_ms: connection.map(|connection| now - connection.opened_at),
        }
    }

    fn step_task(&mut self, now: u64, attempt: Attempt, output: &mut Output) {
        let caller = self.view_caller(now, attempt);
        let applied = self.applied;
        let design = self.design;
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        match task.step {
            Step::NoteFence => {
                task.admission.note_fence(applied);
                task.step = Step::LookAtCaller;
                if design == Design::FenceAfterLook
                    && let OrderStep::Propose(fence) = task.admission.next_step(seemingly_recent())
                {
                    task.step = Step::Propose(fence);
                }
            }
            Step::LookAtCaller => match design.next_step(&task.admission, caller) {
                OrderStep::Propose(_) if design == Design::FenceAfterLook => {
                    task.step = Step::NoteFence;
                }
                OrderStep::Propose(fence) => task.step = Step::Propose(fence),
                OrderStep::Drop => {
                    self.tasks.remove(&attempt);
                }
                OrderStep::Confirm(fence) => self.finish(attempt, Reply::Confirm(fence), output),
            },
            Step::Propose(fence) => {
                task.step = Step::Wait;
                task.due = task.deadline;
                let call = task.call.clone();
                self.propose_or_ask(now, &call, fence, output);
            }
            Step::Wait => self.finish(attempt, Reply::Unavailable, output),
        }
    }

    fn propose_or_ask(&mut self, now: u64, call: &Call, fence: OrderFence, output: &mut Output) {
        let Some(replica) = &self.replica else {
            return;
        };
        let task = call.attempt;
        if replica.holds_lease(now) {
            if let Some(answer) = self.propose(now, call, fence, Proposer::Local(task)) {
                self.handle_answer(now, task, answer, output);
            }
            return;
        }
        match replica.leader().filter(|leader| *leader != self.id) {
            Some(leader) => {
                let call = call.clone();
                output
                    .to_peers
                    .push((leader, PeerMessage::Ask { task, call, fence }));
            }
            None => self.handle_answer(now, task, Answer::NotLeader, output),
        }
    }

    fn handle_answer(&mut self, now: u64, attempt: Attempt, answer: Answer, output: &mut Output) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        let delay = match answer {
            Answer::Done => return self.finish(attempt, Reply::Acknowledged, output),
            Answer::Unknown => return self.finish(attempt, Reply::Unavailable, output),
            Answer::NotLeader => RETRY_DELAY_MS,
            Answer::Superseded(applied) => match task.admission.superseded(applied) {
                AfterSuperseded::TryAgain => 0,
                AfterSuperseded::TryLater => RETRY_DELAY_MS,
                AfterSuperseded::GiveUp => {
                    return self.finish(attempt, Reply::Unavailable, output);
                }
            },
        };
        if now + delay >= task.deadline {
            return self.finish(attempt, Reply::Unavailable, output);
        }
        task.due = now + delay;
        task.step = match self.design {
            Design::FenceAfterLook => Step::LookAtCaller,
            _ => Step::NoteFence,
        };
    }

    fn finish(&mut self, attempt: Attempt, reply: Reply, output: &mut Output) {
        self.tasks.remove(&attempt);
        output.replies.push((attempt, reply));
    }

    fn process_ready(&mut self, now: u64, output: &mut Output) {
        loop {
            let Some(replica) = &mut self.replica else {
                return;
            };
            let mut ready = replica.ready();
            let is_idle = !ready.needs_sync() && ready.committed.is_empty();
            let committed = std::mem::take(&mut ready.committed);
            let messages = std::mem::take(&mut ready.messages);
            let batch = Batch {
                hard_state: ready.hard_state,
                snapshot: ready.snapshot.clone(),
                entries: ready.entries.clone(),
            };
            self.storage.save(&batch).expect("memory");
            replica.persisted(now, &ready);
            let messages = messages.into_iter().chain(ready.messages_after_sync);
            let messages = messages.map(|(to, message)| (to, PeerMessage::Consensus(message)));
            output.to_peers.extend(messages);
            if let Some(snapshot) = &ready.snapshot {
                self.restore(snapshot.index, &snapshot.data.clone());
            }
            for entry in committed {
                self.apply(now, &entry, output);
            }
            self.fail_lost_proposals(output);
            if is_idle {
                return;
            }
        }
    }

    fn apply(&mut self, now: u64, entry: &Entry, output: &mut Output) {
        self.applied = entry.index;
        let mut applied = (entry.index, None, false);
        if let Payload::Command(bytes) = &entry.payload {
            let stamped: StampedCommand = postcard::from_bytes(bytes).expect("a command");
            self.state.apply(entry.index, &stamped);
            self.history.note_applied(entry.index, &stamped.command);
            let is_active = stamped.command == command(true);
            applied = (entry.index, Some(stamped.wall_ms), is_active);
        }
        output.applied.push(applied);
        if let Some((term, proposer)) = self.proposals.remove(&entry.index) {
            let is_own = term == entry.term;
            let answer = if is_own {
                Answer::Done
            } else {
                Answer::Unknown
            };
            self.answer(now, proposer, answer, output);
        }
    }

    /// Answers the proposers of a replica that no longer leads.
    fn fail_lost_proposals(&mut self, output: &mut Output) {
        let leads = self.replica.as_ref().is_some_and(Replica::is_leader);
        if leads {
            return;
        }
        for (_, proposer) in std::mem::take(&mut self.proposals).into_values() {
            self.answer(0, proposer, Answer::Unknown, output);
        }
    }

    fn answer(&mut self, now: u64, proposer: Proposer, answer: Answer, output: &mut Output) {
        match proposer {
            Proposer::Local(task) => self.handle_answer(now, task, answer, output),
            Proposer::Peer(peer, task) => {
                let answer = PeerMessage::Answer { task, answer };
                output.to_peers.push((peer, answer));
            }
        }
    }

    fn compact(&mut self, now: u64) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let Some(applied) = replica.compaction_due(now) else {
            return;
        };
        let data = postcard::to_stdvec(&self.state).expect("encoded");
        if let Some((snapshot, hard_state, rest)) = replica.compact(applied, data) {
            self.storage
                .compact(&snapshot, hard_state, &rest)
                .expect("memory");
        }
    }
}

/// A caller about whom there is no doubt.
pub fn seemingly_recent() -> CallerView {
    CallerView {
        is_connected: true,
        connection_age_ms: Some(0),
    }
}

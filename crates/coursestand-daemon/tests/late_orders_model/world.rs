//! The processes, operators and network of the model, and the check.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_consensus::{
    HardState, LogIndex, Membership, MemoryStorage, ReplicaId, Snapshot, Storage,
};
use coursestand_coordination::OrderAdmission;
use coursestand_coordination::order_admission::{CallerView, OrderStep};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::node::{Attempt, Call, Connection, Node, Output, PeerMessage, Reply, seemingly_recent};
use crate::operator::{Action, NewCall, Operator};

const STEP_MS: u64 = 10;
const FAULTS_MS: u64 = 60_000;
const RECOVERY_MS: u64 = 20_000;
/// Time for calls and their effects to end once no call is made any more.
const DRAIN_MS: u64 = 5_000;
/// Maximum delay of a packet that no cut holds up.
const MAX_DELAY_MS: u64 = 40;
/// Maximum time from the bytes of a call to the close of its connection, if a cut held up both.
pub const MAX_CLOSE_LAG_MS: u64 = 80;
/// A link that a cut has left stays up for this long.
const MIN_UP_MS: u64 = 150;
const OPERATORS: usize = 2;
pub const UNDONE: &str = "an abandoned order follows a newer one";

/// How orders are protected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Proposed when they are read.
    Unprotected,
    /// Proposed if the caller is connected.
    CallerOnly,
    /// Proposed with a fence, whether the caller is connected or not.
    FenceOnly,
    /// Fence and look at the caller, but no confirmation.
    WithoutConfirmation,
    /// As designed, but the fence is noted after the look at the caller.
    FenceAfterLook,
    /// As designed.
    Fenced,
}

impl Design {
    pub fn has_fence(self) -> bool {
        !matches!(self, Design::Unprotected | Design::CallerOnly)
    }

    pub fn next_step(self, admission: &OrderAdmission, caller: CallerView) -> OrderStep {
        match self {
            Design::Unprotected | Design::FenceOnly => admission.next_step(seemingly_recent()),
            Design::CallerOnly | Design::WithoutConfirmation => admission.next_step(CallerView {
                is_connected: caller.is_connected,
                ..seemingly_recent()
            }),
            Design::FenceAfterLook | Design::Fenced => admission.next_step(caller),
        }
    }
}

/// A packet from an operator to a process, in the order of its connection.
#[derive(Clone, Debug)]
enum Packet {
    /// The last packet of the handshake; `None` of the call with it.
    Open(Call),
    Close,
}

struct Flight {
    due: u64,
    attempt: Attempt,
    operator: usize,
    node: usize,
    packet: Packet,
}

struct PeerFlight {
    due: u64,
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// One call of an operator, for the check.
#[derive(Default)]
struct AttemptRecord {
    operator: usize,
    node: usize,
    sent_at: u64,
    /// When the operator stopped waiting without an acknowledgement.
    abandoned_at: Option<u64>,
    is_acknowledged: bool,
    index: Option<LogIndex>,
}

pub struct World {
    now: u64,
    random: StdRng,
    nodes: Vec<Node>,
    operators: Vec<Operator>,
    packets: Vec<Flight>,
    replies: Vec<(u64, Attempt, Reply)>,
    peer_flights: Vec<PeerFlight>,
    /// Links between an operator and a process, and between two processes, that are cut, with the
    /// end of the cut.
    cut_callers: BTreeMap<(usize, usize), u64>,
    cut_peers: BTreeMap<(usize, usize), u64>,
    suspended: BTreeMap<usize, u64>,
    down: BTreeMap<usize, u64>,
    /// Links that must stay up until this time.
    up_until: BTreeMap<(usize, usize), u64>,
    attempts: BTreeMap<Attempt, AttemptRecord>,
    committed: BTreeMap<LogIndex, (Option<Attempt>, bool)>,
    has_faults: bool,
    accepts_calls: bool,
}

impl World {
    pub fn new(seed: u64, design: Design) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let count = if random.random_bool(0.5) { 3 } else { 5 };
        let voters = (1..=count).map(|replica| (replica, String::new()));
        let first = Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        };
        let nodes = (1..=count).map(|id: ReplicaId| {
            let mut storage = MemoryStorage::default();
            storage
                .compact(&first, HardState::default(), &[])
                .expect("memory");
            Node::new(id, design, storage)
        });
        let mut nodes: Vec<Node> = nodes.collect();
        for node in &mut nodes {
            node.start(random.random(), 0);
        }
        let operators = (0..OPERATORS).map(|_| Operator::new(&mut random)).collect();
        World {
            now: 0,
            random,
            nodes,
            operators,
            packets: Vec::new(),
            replies: Vec::new(),
            peer_flights: Vec::new(),
            cut_callers: BTreeMap::new(),
            cut_peers: BTreeMap::new(),
            suspended: BTreeMap::new(),
            down: BTreeMap::new(),
            up_until: BTreeMap::new(),
            attempts: BTreeMap::new(),
            committed: BTreeMap::new(),
            has_faults: true,
            accepts_calls: true,
        }
    }

    pub fn run_with_faults(&mut self) -> Result<(), String> {
        while self.now < FAULTS_MS {
            self.draw_faults();
            self.step()?;
        }
        Ok(())
    }

    /// Ends all faults: an order must be acknowledged, and all processes must agree.
    pub fn recover(&mut self) -> Result<(), String> {
        self.has_faults = false;
        for end in self.cut_callers.values_mut() {
            *end = self.now;
        }
        for end in self.cut_peers.values_mut() {
            *end = self.now;
        }
        for end in self.suspended.values_mut() {
            *end = self.now;
        }
        for end in self.down.values_mut() {
            *end = self.now;
        }
        let started = self.now;
        while self.now < started + RECOVERY_MS {
            self.step()?;
        }
        self.accepts_calls = false;
        while self.now < started + RECOVERY_MS + DRAIN_MS {
            self.step()?;
        }
        let is_served = self
            .attempts
            .values()
            .any(|attempt| attempt.is_acknowledged && attempt.sent_at > started);
        if !is_served {
            return Err("no order was acknowledged after all faults".to_owned());
        }
        let last = self
            .committed
            .values()
            .rev()
            .find(|entry| entry.0.is_some());
        let expected = last.is_some_and(|entry| entry.1);
        if self
            .nodes
            .iter()
            .any(|node| node.is_evacuated() != expected)
        {
            return Err("a process does not have the last order".to_owned());
        }
        Ok(())
    }

    fn draw_faults(&mut self) {
        let now = self.now;
        let node = self.random.random_range(0..self.nodes.len());
        let other = self.random.random_range(0..self.nodes.len());
        let operator = self.random.random_range(0..OPERATORS);
        let duration = self.random.random_range(100..5_000);
        match self.random.random_range(0..400) {
            0 | 1 => {
                self.suspended.entry(node).or_insert(now + duration);
                self.nodes[node].is_suspended = true;
            }
            2..=4 => {
                let link = (operator, node);
                if self.up_until.get(&link).is_none_or(|until| now >= *until) {
                    self.cut_callers.entry(link).or_insert(now + duration);
                }
            }
            5 => {
                let link = (node.min(other), node.max(other));
                self.cut_peers.entry(link).or_insert(now + duration);
            }
            6 => {
                // A partition of one process from all others.
                for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
                    let link = (node.min(peer), node.max(peer));
                    self.cut_peers.entry(link).or_insert(now + duration);
                }
            }
            7 if self.random.random_bool(0.5) => {
                self.nodes[node].kill();
                self.suspended.remove(&node);
                self.down.entry(node).or_insert(now + duration / 2);
            }
            _ => {}
        }
    }

    fn end_faults(&mut self) {
        let now = self.now;
        for link in remove_ended(&mut self.cut_callers, now) {
            self.up_until.insert(link, now + MIN_UP_MS);
        }
        remove_ended(&mut self.cut_peers, now);
        for node in remove_ended(&mut self.suspended, now) {
            self.nodes[node].is_suspended = false;
        }
        for node in remove_ended(&mut self.down, now) {
            let seed = self.random.random();
            self.nodes[node].start(seed, now);
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        self.end_faults();
        self.deliver_packets();
        self.deliver_replies();
        self.act();
        self.deliver_peer_messages()?;
        for node in 0..self.nodes.len() {
            if self.nodes[node].runs() {
                let mut output = Output::default();
                let orders_first = self.random.random_bool(0.5);
                self.nodes[node].step(self.now, orders_first, &mut output);
                self.send(node, output)?;
            }
        }
        Ok(())
    }

    fn act(&mut self) {
        for operator in 0..OPERATORS {
            let count = self.nodes.len();
            match self.operators[operator].act(self.now, count, &mut self.random) {
                Action::Nothing => {}
                Action::Close(attempt) => self.close(attempt),
                Action::Call(call) if self.accepts_calls => self.call(operator, call),
                Action::Call(_) => {}
            }
        }
    }

    fn call(&mut self, operator: usize, call: NewCall) {
        let attempt = self.attempts.len() as Attempt + 1;
        let record = AttemptRecord {
            operator,
            node: call.node,
            sent_at: self.now,
            ..AttemptRecord::default()
        };
        self.attempts.insert(attempt, record);
        self.operators[operator].opened(self.now, attempt, call.node);
        // The first two packets of the handshake need a link that is up.
        if self.cut_callers.contains_key(&(operator, call.node)) {
            return;
        }
        let packet = Packet::Open(Call {
            attempt,
            is_active: call.is_active,
            confirmed: call.confirmed,
        });
        self.push_packet(attempt, packet, MAX_DELAY_MS);
    }

    fn push_packet(&mut self, attempt: Attempt, packet: Packet, max_delay: u64) {
        let delay = self.random.random_range(0..max_delay);
        let record = &self.attempts[&attempt];
        self.packets.push(Flight {
            due: self.now + delay,
            attempt,
            operator: record.operator,
            node: record.node,
            packet,
        });
    }

    /// The operator stops waiting for an attempt and closes its connection.
    fn close(&mut self, attempt: Attempt) {
        if let Some(record) = self.attempts.get_mut(&attempt) {
            record.abandoned_at = Some(self.now);
        }
        self.push_packet(attempt, Packet::Close, MAX_DELAY_MS);
    }

    fn deliver_packets(&mut self) {
        let now = self.now;
        let (due, mut later): (Vec<Flight>, Vec<Flight>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|flight| {
                let link = (flight.operator, flight.node);
                flight.due <= now && !self.cut_callers.contains_key(&link)
            });
        let opening: BTreeSet<Attempt> = due
            .iter()
            .chain(&later)
            .filter(|flight| matches!(flight.packet, Packet::Open(_)))
            .map(|flight| flight.attempt)
            .collect();
        for mut flight in due {
            let node = &mut self.nodes[flight.node];
            match flight.packet {
                Packet::Open(call) => {
                    // A process that is down refuses the connection.
                    if node.replica.is_some() {
                        let connection = Connection {
                            opened_at: now,
                            call,
                            is_closed: false,
                            is_read: false,
                        };
                        node.connections.insert(flight.attempt, connection);
                    }
                }
                Packet::Close if opening.contains(&flight.attempt) => {
                    flight.due = now + self.random.random_range(0..MAX_CLOSE_LAG_MS);
                    later.push(flight);
                }
                Packet::Close => {
                    if let Some(connection) = node.connections.get_mut(&flight.attempt) {
                        connection.is_closed = true;
                    }
                }
            }
        }
        self.packets = later;
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|(due, attempt, _)| {
                let record = &self.attempts[attempt];
                *due <= now
                    && !self
                        .cut_callers
                        .contains_key(&(record.operator, record.node))
            });
        self.replies = later;
        for (_, attempt, reply) in due {
            let operator = self.attempts[&attempt].operator;
            let operator = &mut self.operators[operator];
            if !operator.receive(now, attempt, reply, &mut self.random) {
                continue;
            }
            if let Some(record) = self.attempts.get_mut(&attempt) {
                record.is_acknowledged = reply == Reply::Acknowledged;
                record.abandoned_at = (!record.is_acknowledged).then_some(now);
            }
        }
    }

    fn deliver_peer_messages(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later): (Vec<PeerFlight>, Vec<PeerFlight>) =
            std::mem::take(&mut self.peer_flights)
                .into_iter()
                .partition(|flight| {
                    let link = (flight.from.min(flight.to), flight.from.max(flight.to));
                    let is_cut = self.cut_peers.contains_key(&link);
                    flight.due <= now && !is_cut && !self.nodes[flight.to].is_suspended
                });
        self.peer_flights = later;
        for flight in due {
            let from = flight.from as ReplicaId + 1;
            let mut output = Output::default();
            self.nodes[flight.to].receive(now, from, flight.message, &mut output);
            self.send(flight.to, output)?;
        }
        Ok(())
    }

    fn send(&mut self, from: usize, output: Output) -> Result<(), String> {
        for (to, message) in output.to_peers {
            let is_consensus = matches!(message, PeerMessage::Consensus(_));
            let is_lost = self.has_faults && is_consensus && self.random.random_bool(0.02);
            if !is_lost {
                self.peer_flights.push(PeerFlight {
                    due: self.now + self.random.random_range(0..MAX_DELAY_MS),
                    from,
                    to: to as usize - 1,
                    message,
                });
            }
        }
        for (attempt, reply) in output.replies {
            let due = self.now + self.random.random_range(0..MAX_DELAY_MS);
            self.replies.push((due, attempt, reply));
        }
        for (index, attempt, is_active) in output.applied {
            self.record_applied(index, attempt, is_active)?;
        }
        Ok(())
    }

    fn record_applied(
        &mut self,
        index: LogIndex,
        attempt: Option<Attempt>,
        is_active: bool,
    ) -> Result<(), String> {
        if let Some(known) = self.committed.insert(index, (attempt, is_active)) {
            return (known == (attempt, is_active))
                .then_some(())
                .ok_or_else(|| "two logs differ".to_owned());
        }
        let Some(attempt) = attempt else {
            return Ok(());
        };
        let record = self.attempts.get_mut(&attempt).expect("a known attempt");
        record.index = Some(index);
        let Some(abandoned_at) = record.abandoned_at else {
            return Ok(());
        };
        let undone = self.attempts.iter().find(|(_, newer)| {
            let is_earlier_entry = newer.index.is_some_and(|earlier| earlier < index);
            newer.is_acknowledged && newer.sent_at >= abandoned_at && is_earlier_entry
        });
        match undone {
            None => Ok(()),
            Some((newer, _)) => Err(format!(
                "{UNDONE}: attempt {attempt}, abandoned at {abandoned_at} ms, is entry {index} at \
                 {} ms, after attempt {newer}",
                self.now
            )),
        }
    }
}

/// Removes the faults that have ended, and returns where they were.
fn remove_ended<Place: Copy + Ord>(faults: &mut BTreeMap<Place, u64>, now: u64) -> Vec<Place> {
    let has_ended = |(_, end): &(&Place, &u64)| **end <= now;
    let ended: Vec<Place> = faults
        .iter()
        .filter(has_ended)
        .map(|(place, _)| *place)
        .collect();
    for place in &ended {
        faults.remove(place);
    }
    ended
}

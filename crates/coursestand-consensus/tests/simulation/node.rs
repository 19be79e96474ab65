//! A process of the group with its disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coursestand_consensus::config::Mechanisms;
use coursestand_consensus::{
    Config, Entry, HardState, Membership, MemoryStorage, PeerAddresses, Ready, Replica, ReplicaId,
    Restored, Snapshot, Storage,
};

use crate::formation::JoinRequest;

/// What differs between the replicas of two runs.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub mechanisms: Mechanisms,
    /// Whether a replica is answered at the address that its messages come from, and not only at
    /// the one that the answering replica's log names.
    pub learns_addresses: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            mechanisms: Mechanisms::default(),
            learns_addresses: true,
        }
    }
}

/// Sizes of a group's log and messages.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Entries of a message.
    pub max_batch: usize,
    /// Bytes of entries at which a log is compacted.
    pub min_compaction_bytes: usize,
}

/// New replicas get snapshots of a log that is compacted after 50 commands, or all entries of one
/// that is never compacted.
pub const SIZES: [Sizes; 2] = [
    Sizes {
        max_batch: 4,
        min_compaction_bytes: 400,
    },
    Sizes {
        max_batch: 16,
        min_compaction_bytes: 1_000_000,
    },
];

/// A process. Its place in the group is the index of its address, which a replacement keeps.
pub struct Node {
    pub address: SocketAddr,
    /// Identity under which the process has joined or requests to join.
    pub id: ReplicaId,
    /// Whether the process has joined a group, according to its disk.
    pub has_joined: bool,
    pub is_running: bool,
    /// The replica of a running process that has joined.
    pub replica: Option<Replica>,
    pub storage: MemoryStorage,
    pub addresses: PeerAddresses,
    pub applied: Vec<Entry>,
    pub is_paused: bool,
    pub crash_before_sync: bool,
    /// Duration of a sync.
    pub sync_ms: u64,
    /// The `Ready` that is being synced, and when the sync ends.
    pub syncing: Option<(u64, Ready)>,
    pub clock_offset: u64,
    pub clock_per_mille: u64,
    /// Requests to join by place, while this replica leads.
    pub joins: BTreeMap<usize, JoinRequest>,
    /// Since when this process has known no leader.
    pub leaderless_since: Option<u64>,
}

impl Node {
    pub fn clock(&self, now: u64) -> u64 {
        1_000 + self.clock_offset + now * self.clock_per_mille / 1_000
    }

    /// Whether the process answers what it is sent.
    pub fn answers(&self) -> bool {
        self.is_running && !self.is_paused
    }

    /// The replica, unless the process is paused.
    pub fn active(&mut self) -> Option<&mut Replica> {
        self.replica.as_mut().filter(|_| !self.is_paused)
    }

    pub fn crash(&mut self) {
        self.is_running = false;
        self.is_paused = false;
        self.replica = None;
        self.syncing = None;
        self.joins.clear();
    }

    /// Makes the process a member of the group whose voters it was told.
    pub fn join(&mut self, voters: Membership) {
        let first = Snapshot {
            membership: voters,
            ..Snapshot::default()
        };
        self.storage
            .compact(&first, HardState::default(), &[])
            .expect("memory");
        self.has_joined = true;
    }

    /// Starts the replica of a running process that has joined.
    pub fn start_replica(
        &mut self,
        seed: u64,
        now: u64,
        mechanisms: Mechanisms,
        sizes: Sizes,
        committed: &[Entry],
    ) {
        let restored: Restored = self.storage.restored();
        self.applied = committed[..restored.snapshot.index as usize].to_vec();
        let mut config = Config::new(self.id, seed);
        config.mechanisms = mechanisms;
        config.max_batch = sizes.max_batch;
        config.snapshot_chunk = 3;
        config.min_compaction_bytes = sizes.min_compaction_bytes;
        self.addresses = PeerAddresses::default();
        self.replica = Some(Replica::new(config, restored, self.clock(now)));
    }

    pub fn describe(&self) -> String {
        let Some(replica) = &self.replica else {
            return format!("{}: no replica, identity {}", self.address, self.id);
        };
        let members: Vec<String> = replica
            .membership()
            .members
            .iter()
            .map(|(id, member)| {
                let kind = if member.is_voter { "" } else { " learner" };
                format!("{id}{kind} at {}", member.address)
            })
            .collect();
        format!(
            "{}: replica {}, term {}, {:?}, snapshot {}, last {}, commit {}, applied {}, members {}",
            self.address,
            self.id,
            replica.term(),
            replica.role(),
            replica.log().snapshot().index,
            replica.log().last_index(),
            replica.commit_index(),
            self.applied.len(),
            members.join(", ")
        )
    }
}

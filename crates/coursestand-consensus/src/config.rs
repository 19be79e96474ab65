//! Configuration of a replica.

use crate::ids::{Millis, ReplicaId};

/// Configuration of a replica. All replicas of a group must use the same durations.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this replica.
    pub replica: ReplicaId,
    /// Time without contact to a leader after which a replica campaigns. A random
    /// jitter of up to half of this value is added.
    pub election_timeout: Millis,
    /// Time after a leader's message during which a replica votes for no other candidate;
    /// the leader's lease relies on this. A replica may have received a leader's message
    /// just before it restarted, so it also waits this long after its start before it
    /// votes or campaigns. Must be shorter than the election timeout and longer than a
    /// heartbeat round trip between the most distant regions.
    pub leader_lease: Millis,
    /// Interval between a leader's heartbeats to a follower.
    pub heartbeat: Millis,
    /// Bound on the difference in rate between two clocks, as a divisor: 50 means that
    /// they differ by at most 1/50.
    pub clock_drift_divisor: Millis,
    /// Time without an answer after which entries are sent again. Together with
    /// `max_batch_bytes` it limits the traffic to a follower that does not answer to
    /// 4 MB/s; a connection between regions 20 ms apart carries 5.9 MB/s.
    pub resend_after: Millis,
    /// Maximum bytes of entries in one message; a single larger entry is still sent.
    pub max_batch_bytes: usize,
    /// Maximum number of entries in one message.
    pub max_batch: usize,
    /// Maximum bytes of snapshot data in one message.
    pub snapshot_chunk: usize,
    /// Number of log entries at which the log is compacted.
    pub max_log_entries: u64,
    /// Bytes of log entries at which the log is compacted, unless twice the size of the
    /// latest snapshot is more.
    pub min_compaction_bytes: usize,
    /// Seed of the random election jitter.
    pub seed: u64,
    /// Safety mechanisms; tests disable them to verify that their checks can fail.
    pub mechanisms: Mechanisms,
}

impl Config {
    /// Returns the default configuration.
    pub fn new(replica: ReplicaId, seed: u64) -> Config {
        Config {
            replica,
            election_timeout: 600,
            leader_lease: 300,
            heartbeat: 100,
            clock_drift_divisor: 50,
            resend_after: 500,
            max_batch_bytes: 2 * 1024 * 1024,
            max_batch: 256,
            snapshot_chunk: 256 * 1024,
            max_log_entries: 20_000,
            min_compaction_bytes: 4 * 1024 * 1024,
            seed,
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Mechanisms that the safety of the protocol depends on. All are enabled, except in
/// tests that show what breaks without one.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// A replica in contact with a leader does not vote for another candidate.
    pub respect_leader_lease: bool,
    /// A leader commits only entries of its current term by counting replicas.
    pub commit_current_term_only: bool,
    /// A replica votes only for a candidate whose log is at least as up to date.
    pub compare_logs: bool,
    /// A replica votes for at most one candidate per term.
    pub one_vote_per_term: bool,
    /// During a sync, a replica acknowledges only entries that are already on disk.
    pub acknowledge_synced_only: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            respect_leader_lease: true,
            commit_current_term_only: true,
            compare_logs: true,
            one_vote_per_term: true,
            acknowledge_synced_only: true,
        }
    }
}

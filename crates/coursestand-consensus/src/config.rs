//! Settings of a replica.

use crate::ids::{Millis, ReplicaId};

/// Settings of a replica. All replicas of a group have the same times.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this replica.
    pub replica: ReplicaId,
    /// Time without a leader after which a replica campaigns; a random part of up
    /// to half of it comes on top.
    pub election_timeout: Millis,
    /// Time after a leader's message in which a replica does not help to replace
    /// that leader, whose lease rests on it. A replica that starts may have heard
    /// a leader just before, so it waits this long before it campaigns. Shorter
    /// than the election timeout, and long enough for a heartbeat and its answer
    /// between the farthest regions.
    pub loyalty: Millis,
    /// Time between two messages of a leader to a follower.
    pub heartbeat: Millis,
    /// One part in this many is the most by which two clocks differ in rate.
    pub clock_drift: Millis,
    /// Time without an answer after which entries are sent again. With `max_batch_bytes`
    /// it bounds what a follower that does not answer is sent: 4 MB a second, where a
    /// connection between regions 20 ms apart carried 5.9 MB a second.
    pub resend_after: Millis,
    /// Bytes of entries in one message, but for one entry that is longer.
    pub max_batch_bytes: usize,
    /// Entries in one message at most.
    pub max_batch: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Mechanisms that tests switch off to show that their checks can fail.
    pub mechanisms: Mechanisms,
}

impl Config {
    /// The usual settings.
    pub fn new(replica: ReplicaId, seed: u64) -> Config {
        Config {
            replica,
            election_timeout: 600,
            loyalty: 300,
            heartbeat: 100,
            clock_drift: 50,
            resend_after: 500,
            max_batch_bytes: 2 * 1024 * 1024,
            max_batch: 256,
            snapshot_chunk: 256 * 1024,
            seed,
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Mechanisms that carry a promise. All are on, except in tests that show what
/// breaks without one.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// A replica that hears from a leader helps nobody to replace it.
    pub loyal_to_leader: bool,
    /// A leader commits only entries of its own term by counting.
    pub commit_own_term_only: bool,
    /// Only a candidate whose log is as new gets a vote.
    pub compare_logs: bool,
    /// A vote is remembered, so there is one in each term.
    pub one_vote_a_term: bool,
    /// While a sync is under way a replica answers for what is on its disk only.
    pub answer_for_synced_only: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            loyal_to_leader: true,
            commit_own_term_only: true,
            compare_logs: true,
            one_vote_a_term: true,
            answer_for_synced_only: true,
        }
    }
}

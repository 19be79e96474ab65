//! Identifiers and units of the replicated log.

/// Identity of a replica. A replica that lost its disk must rejoin under a new
/// identity.
pub type ReplicaId = u64;
/// Raft term.
pub type Term = u64;
/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;
/// A point on the monotonic clock of one replica, in milliseconds.
pub type Millis = u64;

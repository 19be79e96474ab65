//! Identifiers and units of the replicated log.

/// Identity of a replica. A replica that lost its disk never comes back under
/// the same one.
pub type ReplicaId = u64;
/// Number of an election.
pub type Term = u64;
/// Position in the log, counted from 1.
pub type LogIndex = u64;
/// A point on the monotonic clock of one replica, in milliseconds.
pub type Millis = u64;

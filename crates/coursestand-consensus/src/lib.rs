//! A replicated log (Raft, Ongaro and Ousterhout 2014) free of I/O, with durable
//! storage beside it.
//!
//! [`Replica`] never touches a socket, file or clock: the caller passes messages
//! and the time in, saves what [`Ready`] asks for, and sends the messages that it
//! returns. Pre-vote, check-quorum, a leader lease, learners, single-server
//! membership change, leadership transfer and snapshots in chunks are part of it.

pub mod config;
pub mod ids;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod ready;
pub mod replica;
pub mod storage;
pub mod types;
pub mod wal;

pub use config::Config;
pub use ids::{LogIndex, ReplicaId, Term};
pub use membership::{Member, Membership};
pub use message::Message;
pub use ready::Ready;
pub use replica::{ProposeError, Replica, Role};
pub use storage::{Batch, MemoryStorage, Restored, Storage, StorageError};
pub use types::{Entry, HardState, Payload, Snapshot};

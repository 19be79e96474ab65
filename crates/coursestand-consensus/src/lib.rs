//! A replicated log (Raft, Ongaro and Ousterhout 2014) without I/O, and durable
//! storage for it.
//!
//! [`Replica`] never touches a socket, file or clock: the caller passes in messages
//! and the time, persists the contents of [`Ready`], and sends the messages that
//! [`Ready`] contains. Supports pre-vote, check-quorum, leader leases, learners,
//! single-server membership changes, leadership transfer and chunked snapshots.

pub mod addresses;
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

pub use addresses::PeerAddresses;
pub use config::Config;
pub use ids::{LogIndex, ReplicaId, Term};
pub use membership::{Member, Membership};
pub use message::Message;
pub use ready::Ready;
pub use replica::{ProposeError, Replica, Role};
pub use storage::{Batch, MemoryStorage, Restored, Storage, StorageError};
pub use types::{Entry, HardState, Payload, Snapshot};

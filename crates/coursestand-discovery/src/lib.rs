//! Discovery of back ends and entry daemons from their own announcements. No I/O.
//!
//! This is soft state: it is merged rather than agreed upon by consensus, so that discovery
//! continues while the control group has no leader. Each record only advances: a back end's
//! by the start time of its incarnation and then by its sequence number, and within an
//! incarnation the phase never goes back.

mod claims;
pub mod directory;
pub mod instance;
pub mod table;

pub use directory::{
    ConnectionDigest, Directory, EdgeIncarnation, EdgePhase, EdgeRecord, Evidence, LinkUse,
    LookupClient, NamedDaemon, RelayEndpoint, RelayPeer,
};
pub use instance::{Incarnation, Instance, InstancePhase, InstanceUpdate};
pub use table::InstanceTable;

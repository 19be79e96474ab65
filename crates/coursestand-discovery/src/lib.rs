//! Which back ends and entry daemons there are, from what they say of
//! themselves. Free of I/O.
//!
//! This is soft state: it is merged, never agreed upon, so that it goes on
//! while the control group has no leader. Each record only moves forward: a back end by
//! the start of its incarnation and then by its sequence, and within an incarnation its
//! phase never turns back.

mod claims;
pub mod directory;
pub mod instance;
pub mod table;

pub use directory::{Directory, EdgePhase, EdgeRecord, LinkUse};
pub use instance::{Incarnation, Instance, InstanceNews, InstancePhase};
pub use table::InstanceTable;

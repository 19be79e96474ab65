//! Coordination logic without I/O: the replicated control state with its bundles,
//! shift ledger, slot leases and once ledger; the registry of follower leases; and
//! the planners that propose the next change.
//!
//! Time and messages are passed as arguments, so that the same code runs in the
//! daemon and under a seeded simulator.

pub mod allocator;
pub mod bundles;
pub mod catch_up;
pub mod command;
pub mod departures;
pub mod followers;
pub mod freshness;
pub mod once;
pub mod order_admission;
pub mod order_fence;
pub mod planner;
pub mod shares;
pub mod shift_ledger;
pub mod signing;
pub mod slots;
pub mod state;
pub mod tables;
pub mod wire;

pub use catch_up::CatchUp;
pub use command::{Command, CommandAnswer};
pub use departures::{Departure, Departures};
pub use freshness::Freshness;
pub use order_admission::OrderAdmission;
pub use order_fence::{OrderFence, OrderHistory};
pub use state::ControlState;
pub use tables::{ControlVersion, Delta, Tables};

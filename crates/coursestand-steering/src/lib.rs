//! Steering decisions without I/O: which zone and back end serve a request, and
//! which entry daemons a caller should use. The gateway feeds it control state,
//! results and news; it never waits and never reads a clock.

pub mod backends;
pub mod clients;
pub mod demand;
pub mod lookup;
pub mod steering;
pub mod wheel;

pub use steering::{Admission, Steering, Ticket};

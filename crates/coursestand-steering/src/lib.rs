//! Steering decisions without I/O: selects the zone and back end that serve a request,
//! and the entry daemons that a caller should use. The gateway supplies the control
//! state, the outcomes of requests and state changes of back ends; this crate never
//! blocks and never reads a clock.

pub mod backends;
pub mod clients;
pub mod demand;
pub mod lookup;
pub mod round_robin;
pub mod steering;

pub use steering::{Admission, Steering, Ticket};

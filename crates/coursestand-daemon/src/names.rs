//! Names under which the services of a daemon find each other.

/// The replica of the control group.
pub const CONTROL: &str = "control";
/// The operators' interface.
pub const OPERATORS: &str = "operators";
/// The duties of the leader of the control group.
pub const LEADER: &str = "leader";
/// Hub of the soft state of a fleet.
pub const HUB: &str = "hub";
/// What operators, back ends and clients ask of a fleet's control processes.
pub const CONTROL_API: &str = "control-api";
/// The fleet's request path.
pub const EDGE: &str = "edge";
/// The connection to the control group.
pub const CONTROL_CLIENT: &str = "control-client";
/// Follows the control group.
pub const FOLLOWER: &str = "follower";
/// Serves callers.
pub const GATEWAY: &str = "gateway";
/// Probes back ends.
pub const PROBER: &str = "prober";
/// Reports demand and health to the control group.
pub const REPORTER: &str = "reporter";

//! Names under which the services of a daemon are registered.

/// The replica of the control group.
pub const CONTROL: &str = "control";
/// The operators' interface.
pub const OPERATORS: &str = "operators";
/// The duties of the leader of the control group.
pub const LEADER: &str = "leader";
/// The hub of a fleet's soft state.
pub const HUB: &str = "hub";
/// The HTTP interface of a fleet's control processes for operators, back ends and clients.
pub const CONTROL_API: &str = "control-api";
/// The fleet's request path.
pub const EDGE: &str = "edge";
/// The client for the control group.
pub const CONTROL_CLIENT: &str = "control-client";
/// The service that follows the control group.
pub const FOLLOWER: &str = "follower";
/// The service for callers.
pub const GATEWAY: &str = "gateway";
/// The service that probes back ends.
pub const PROBER: &str = "prober";
/// The service that reports demand and health to the control group.
pub const REPORTER: &str = "reporter";

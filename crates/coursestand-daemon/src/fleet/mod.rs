//! Fleet mode: control processes form a group from seed addresses and maintain the soft state
//! of back ends and entry daemons; entry daemons follow them.
//!
//! `docs/design/0006-fleet-on-a-platform.md` describes the division of work.

pub mod call_body;
pub mod catalog_follower;
pub mod catalog_parts;
mod catalog_reads;
pub mod catalog_updates;
pub mod control_api;
mod control_link;
pub mod control_service;
mod departures;
mod dumps;
mod edge_connection;
pub mod edge_follower;
pub mod edge_service;
pub mod follower_metrics;
pub mod formation;
pub mod group_watch;
pub mod hub;
mod large_bodies;
pub mod listener;
mod memory;
pub mod metrics;
pub mod node;
mod orders;
mod peer_connection;
pub mod peer_links;
mod prober;
mod proposals;
mod questions;
pub mod report_limit;
pub mod seeds;
mod small_bodies;
pub mod unidentified_peers;
pub mod wire;

pub use node::{Node, NodeError};

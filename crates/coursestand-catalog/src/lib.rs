//! The catalog: individually versioned configuration items, and the evacuated zones.
//! Performs no I/O.
//!
//! Items merge by the highest version, so replicas that apply the same changes in any
//! order converge to the same items, and an item never returns to an older version.

pub mod catalog;
pub mod item;
pub mod patch;

pub use catalog::{AdoptedChanges, Catalog, CatalogDelta, Evacuation, VersionedItem};
pub use item::{Item, ItemKey, ItemVersion, Limits, Route, RouteKind, RouteTarget, ServiceItem};
pub use patch::{InvalidPatch, Patch};

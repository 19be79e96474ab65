//! The catalog: configuration items that each have a version of their own, and
//! the zones that are evacuated. Free of I/O.
//!
//! Items merge by the highest version, so replicas that took the same changes in
//! any order hold the same items, and a holder never goes back to an older one.

pub mod catalog;
pub mod item;
pub mod patch;

pub use catalog::{Catalog, CatalogDelta, Held};
pub use item::{Item, ItemKey, ItemVersion, Limits, Route, RouteKind, RouteTarget, ServiceItem};
pub use patch::{InvalidPatch, Patch};

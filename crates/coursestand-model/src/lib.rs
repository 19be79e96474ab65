//! Shared vocabulary of coursestand: identifiers, settings, policy bundles and
//! the typed values that processes exchange. This package does no I/O except
//! reading JSON files on behalf of [`load`].

pub mod bundle;
pub mod fleet;
pub mod headers;
pub mod ids;
pub mod load;
pub mod outcome;
pub mod platform;
pub mod settings;
pub mod span;

pub use bundle::{Bundle, SignedBundle};
pub use ids::{BackendId, DaemonId, RegionId, ServiceId, ZoneId};
pub use load::LoadError;
pub use outcome::Outcome;
pub use span::Span;

/// A length of time or a point on a monotonic clock, in milliseconds.
pub type Millis = u64;

/// Shares of traffic are counted in basis points: 10,000 is all of it.
pub const FULL_SHARE: u32 = 10_000;

//! Data model of coursestand: identifiers, settings, policy bundles and the typed values
//! that processes exchange, and hash functions on which processes agree. This package does no
//! I/O except for reading JSON files in [`load`].

pub mod bundle;
pub mod fleet;
pub mod hash;
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

/// A duration or a point on a monotonic clock, in milliseconds.
pub type Millis = u64;

/// All traffic. Shares are in basis points, so 10,000 is 100 %.
pub const FULL_SHARE: u32 = 10_000;

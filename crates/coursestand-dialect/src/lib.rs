//! What operators, back ends and clients ask of a fleet's processes, in the
//! product's own terms, and the trait by which a deployment words it.
//!
//! [`Native`] is the project's own wording: JSON bodies under `/v1`.

pub mod call;
pub mod native;

pub use call::{Call, CallError, Dialect, Reply};
pub use native::Native;

//! The calls that operators, back ends and clients make to the processes of a fleet,
//! and the trait that maps the HTTP interface of a deployment to them.
//!
//! [`Native`] is the default dialect: JSON bodies under `/v1`.

pub mod call;
pub mod native;

pub use call::{Call, CallError, Dialect, Reply};
pub use native::Native;

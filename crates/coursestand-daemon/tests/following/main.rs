//! Which catalog an entry daemon routes by while its connections with the control group are
//! slow or silent, or lead to control processes that lag behind.
#![allow(missing_docs)]

mod daemon;
mod large_change;
mod late_requests;
mod narrow_link;
mod scripted_control;
mod stale_catalog;
mod suspended;

//! Routing decisions of an entry daemon, free of I/O: selects the route, the service of
//! a traffic split, the region and the back end of a request.
//!
//! Every daemon sends requests for one object to the same back end: the object's key maps
//! to a fixed point among the shares of the regions and to a fixed order of back ends
//! within each region. Fleet-wide limits (retries, requests to cold back ends) are divided
//! into shares, which each daemon enforces locally.

pub mod backends;
pub mod backoff;
pub mod cold;
pub mod completion;
pub mod fatal_requests;
pub mod findings;
pub mod link_admission;
pub mod link_wait;
pub mod paths;
pub mod picker;
pub mod ranking;
pub mod rate_limit;
pub mod retry_allowance;
pub mod retry_budget;
pub mod route_table;
pub mod shares;
pub mod split;
pub mod unresolved_copies;
pub mod warm_objects;
pub mod work_times;

pub use coursestand_model::hash;

pub use backends::{Backend, BackendReport, Backends, LoadReport};
pub use fatal_requests::{
    FatalRequests, Fingerprint, SharedCrashRecord, TrialVerdict, WithholdReason,
};
pub use findings::{Finding, SharedFinding};
pub use link_admission::LinkAdmission;
pub use link_wait::LinkWait;
pub use paths::{ConnectionAge, PathProbeOutcome, PathScope, PathTicket, PathUse, Paths};
pub use picker::{Pick, PickRequest, Picker, Refusal};
pub use rate_limit::{LimitAccess, Rate, RateLimitSignal, RateLimitUpdate, SendToken};
pub use retry_allowance::RetryAllowance;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route_table::{RouteEntry, RouteTable};
pub use unresolved_copies::SentCopy;

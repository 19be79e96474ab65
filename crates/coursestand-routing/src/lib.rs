//! Decisions of an entry daemon about one request, free of I/O: which route it
//! takes, which service of a split, which region, and which back end.
//!
//! Requests for one object meet the same back end from every daemon: the object's
//! key has a fixed point among the shares of the regions and a fixed order of
//! back ends within each region. Limits that sum up over all daemons (retries,
//! requests to cold back ends) are kept by each daemon alone, within its share.

pub mod backends;
pub mod backoff;
pub mod cold;
pub mod completion;
pub mod fatal_requests;
pub mod findings;
pub mod hash;
pub mod knowledge;
pub mod link_admission;
pub mod link_wait;
pub mod picker;
pub mod ranking;
pub mod rate_limit;
pub mod retry_allowance;
pub mod retry_budget;
pub mod route_table;
pub mod shares;
pub mod split;
pub mod unsettled;
pub mod work_times;

pub use backends::{Backend, BackendReport, Backends, LoadReport};
pub use fatal_requests::{
    FatalRequests, Fingerprint, SharedCrashRecord, TrialVerdict, WithholdReason,
};
pub use findings::{Finding, SharedFinding};
pub use link_admission::LinkAdmission;
pub use link_wait::LinkWait;
pub use picker::{Pick, PickRequest, Picker, Refusal};
pub use rate_limit::{LimitAccess, Rate, RateLimitSignal, RateLimitUpdate, SendToken};
pub use retry_allowance::RetryAllowance;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route_table::{RouteEntry, RouteTable};
pub use unsettled::SentCopy;

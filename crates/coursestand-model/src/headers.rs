//! HTTP header names of the caller and back end interfaces (`docs/CALLERS.md`).

/// Caller → gateway: address of the client, used to find its zone.
pub const CLIENT: &str = "x-client";
/// Caller → gateway → back end: remaining milliseconds for the request.
pub const DEADLINE: &str = "x-deadline-ms";
/// Caller → gateway: `<issued Unix milliseconds>-<unique text>`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Gateway → back end → gateway: identifies one dispatch; echoed by the back end.
pub const REQUEST_ID: &str = "x-request-id";
/// Gateway → caller: typed outcome, see [`crate::Outcome`].
pub const OUTCOME: &str = "x-outcome";
/// Gateway → caller: revision of the bundle that the daemon applied.
pub const REVISION: &str = "x-revision";
/// Gateway → caller: back end that answered.
pub const BACKEND: &str = "x-backend";
/// Gateway → back end: zone of the entry daemon.
pub const ENTRY_ZONE: &str = "x-entry-zone";
/// Gateway → back end: zone of the client.
pub const ORIGIN_ZONE: &str = "x-origin-zone";
/// Back end → gateway: `live` or `leaving`.
pub const BACKEND_STATE: &str = "x-backend-state";
/// Back end → gateway: the request was shed and did not start.
pub const SHED: &str = "x-not-started";

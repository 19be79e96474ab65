//! Requests that a connection has carried and that may be sent again.
//!
//! A back end may send a second answer to a request, late. On the connection of an earlier sending
//! it would be taken for the answer to the next one: both carry the same request id.

use std::hash::{DefaultHasher, Hash, Hasher};

use tokio::time::Instant;

/// Maximum number of requests that are remembered; a connection with more is not reused.
const MAX_REQUESTS: usize = 64;

struct CarriedRequest {
    id_hash: u64,
    /// The end of the request's limit, after which it is not sent again.
    ends_at: Instant,
}

/// The requests that one connection has carried and that may be sent again, by request id.
#[derive(Default)]
pub(crate) struct CarriedRequests(Vec<CarriedRequest>);

impl CarriedRequests {
    /// Records a request that may be sent again until `ends_at`. Requests without an id count as
    /// the same one.
    pub(crate) fn note(&mut self, id: Option<&str>, ends_at: Instant) {
        let now = Instant::now();
        self.0.retain(|request| now < request.ends_at);
        self.0.push(CarriedRequest {
            id_hash: hash_of(id),
            ends_at,
        });
    }

    /// Returns whether the connection may have carried this request.
    pub(crate) fn include(&self, id: Option<&str>) -> bool {
        let id_hash = hash_of(id);
        self.0.iter().any(|request| request.id_hash == id_hash)
    }

    /// Returns whether no more requests can be recorded.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}

fn hash_of(id: Option<&str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

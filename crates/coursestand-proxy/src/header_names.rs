//! Names of the headers that the request path reads and sets. A deployment may use other
//! names.

use http::HeaderName;

/// Names of headers between callers, this daemon and back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of the request, repeated in its answer.
    pub request_id: HeaderName,
    /// Time that the sender waits, in milliseconds.
    pub deadline: HeaderName,
    /// The object that the request concerns.
    pub affinity_key: HeaderName,
    /// The only instance that may run the request.
    pub target_instance: HeaderName,
    /// Signature that proves that the answer comes from the back end.
    pub signature: HeaderName,
    /// The back end did not run the request.
    pub not_executed: HeaderName,
    /// `running,waiting,slots` of the back end.
    pub server_load: HeaderName,
    /// The back end is draining: it takes no new requests and stops soon.
    pub drains: HeaderName,
    /// Requests per second that the back end accepts from all daemons together.
    pub rate_limit: HeaderName,
    /// Prefixes of header names that are reserved for messages of back ends to this system. A
    /// header with such a prefix that is none of the above is counted, so that new headers are
    /// noticed.
    pub prefixes: &'static [&'static str],
}

impl HeaderNames {
    /// Returns whether `name` has a reserved prefix and is none of the headers that are read.
    pub fn is_unread(&self, name: &HeaderName) -> bool {
        let text = name.as_str();
        let has_prefix = self.prefixes.iter().any(|prefix| text.starts_with(prefix));
        has_prefix && !self.all().contains(&name)
    }

    fn all(&self) -> [&HeaderName; 9] {
        [
            &self.request_id,
            &self.deadline,
            &self.affinity_key,
            &self.target_instance,
            &self.signature,
            &self.not_executed,
            &self.server_load,
            &self.drains,
            &self.rate_limit,
        ]
    }
}

impl Default for HeaderNames {
    /// Returns the default names.
    fn default() -> Self {
        HeaderNames {
            request_id: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            affinity_key: HeaderName::from_static("x-object-key"),
            target_instance: HeaderName::from_static("x-target-instance"),
            signature: HeaderName::from_static("x-signature"),
            not_executed: HeaderName::from_static("x-not-started"),
            server_load: HeaderName::from_static("x-load"),
            drains: HeaderName::from_static("x-draining"),
            rate_limit: HeaderName::from_static("x-rate-limit"),
            prefixes: &["x-"],
        }
    }
}

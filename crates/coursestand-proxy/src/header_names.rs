//! Names of the headers that the request path reads and sets. A deployment may
//! have names of its own.

use http::HeaderName;

/// Names of headers between callers, this daemon and back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of one request, repeated in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits.
    pub deadline: HeaderName,
    /// The object that the request concerns.
    pub affinity_key: HeaderName,
    /// The instance that alone may run the request.
    pub target_instance: HeaderName,
    /// Proves that an answer is the back end's own.
    pub signature: HeaderName,
    /// The back end did not run the request.
    pub not_executed: HeaderName,
    /// `running,waiting,slots` of the back end.
    pub server_load: HeaderName,
    /// The back end drains: it takes no new requests and ends soon.
    pub drains: HeaderName,
    /// Requests a second that the back end takes from all daemons together.
    pub rate_limit: HeaderName,
    /// How the names of headers begin by which back ends speak to this system. A name that
    /// is none of the above is counted, so that a new one is seen.
    pub prefixes: &'static [&'static str],
}

impl HeaderNames {
    /// Whether `name` is one that back ends speak to this system by, and none that is read.
    pub fn is_unread(&self, name: &HeaderName) -> bool {
        let text = name.as_str();
        let is_addressed = self.prefixes.iter().any(|prefix| text.starts_with(prefix));
        is_addressed && !self.all().contains(&name)
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
    /// The project's own names.
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

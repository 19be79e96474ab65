//! One-way network latencies of an emulated deployment.

use std::time::Duration;

use coursestand_model::{Bundle, ZoneId};

/// One-way latencies of a deployment.
#[derive(Clone, Debug)]
pub struct Latencies {
    bundle: Bundle,
}

impl Latencies {
    /// Returns the latencies that `bundle` states.
    pub fn new(bundle: Bundle) -> Latencies {
        Latencies { bundle }
    }

    /// Returns the latency between two zones.
    pub fn between(&self, from: &ZoneId, to: &ZoneId) -> Duration {
        milliseconds(self.bundle.latency_between(from, to))
    }

    /// Returns the latency between a client and its zone.
    pub fn to_client(&self) -> Duration {
        milliseconds(self.bundle.latency_ms.to_clients)
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1000.0)
}

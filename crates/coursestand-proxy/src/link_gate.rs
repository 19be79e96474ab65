//! Admission control by the capacity of the machine's link, shared by all requests of the
//! process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_kernel::MonotonicClock;
use coursestand_routing::RouteEntry;
use coursestand_routing::link_admission::{Arrival, LinkAdmission, Reservation};

use crate::answer::Reason;

/// Bytes per second of a link of one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Admits requests by the free capacity of the link.
pub struct LinkGate {
    clock: MonotonicClock,
    admission: Mutex<LinkAdmission>,
}

impl Default for LinkGate {
    fn default() -> LinkGate {
        LinkGate {
            clock: MonotonicClock::default(),
            admission: Mutex::new(LinkAdmission::new(None)),
        }
    }
}

impl LinkGate {
    fn admission(&self) -> MutexGuard<'_, LinkAdmission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the speed of the link, in megabits per second in each direction.
    pub fn set_speed(&self, link_mbps: f64) {
        *self.admission() = LinkAdmission::new(Some(link_mbps * BYTES_PER_MEGABIT));
    }

    /// Records that a round trip over the link took `delay_ms` longer than it does without
    /// queueing.
    pub fn note_delay(&self, delay_ms: f64) {
        self.admission().note_delay(self.clock.now(), delay_ms);
    }

    /// Ends a sampling period. Returns the fraction of the link that the requests of the
    /// period need, including refused ones.
    pub fn sample_demand(&self) -> Option<f64> {
        self.admission().sample_demand(self.clock.now())
    }

    /// Admits a request with `bytes` bytes of head and body, or refuses it.
    pub(crate) fn admit(
        self: &Arc<Self>,
        route: &Arc<RouteEntry>,
        bytes: u64,
    ) -> Result<LinkPermit, Reason> {
        let arrival = Arrival { route, bytes };
        let admission_result = self
            .admission()
            .admit(self.clock.now(), &arrival, rand::random());
        let reservation = admission_result.map_err(|refusal| Reason::LinkFull {
            drained_in_ms: refusal.drained_in_ms,
        })?;
        Ok(LinkPermit {
            gate: Arc::clone(self),
            route: Arc::clone(route),
            reservation: Some(reservation),
        })
    }
}

/// Capacity of the link that is reserved for a request and its answer. Dropping it without an
/// answer releases what was reserved for the answer.
pub(crate) struct LinkPermit {
    gate: Arc<LinkGate>,
    route: Arc<RouteEntry>,
    reservation: Option<Reservation>,
}

impl LinkPermit {
    /// Records an answer with `bytes` bytes of head and body.
    pub(crate) fn answered(mut self, bytes: u64) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.gate.clock.now();
            let mut admission = self.gate.admission();
            admission.answered(now, &self.route, reservation, bytes);
        }
    }
}

impl Drop for LinkPermit {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.gate.clock.now();
            self.gate.admission().abandoned(now, reservation);
        }
    }
}

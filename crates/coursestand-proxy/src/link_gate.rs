//! The admission by the link, shared by all requests of the process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_kernel::MonotonicClock;
use coursestand_routing::RouteEntry;
use coursestand_routing::link_admission::{Arrival, LinkAdmission, Reservation};

use crate::answer::Reason;

/// Bytes a second of a link of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Admits requests by the room on the link.
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

    /// The link has this speed, in megabits a second in each direction.
    pub fn set_speed(&self, link_mbps: f64) {
        *self.admission() = LinkAdmission::new(Some(link_mbps * BYTES_PER_MEGABIT));
    }

    /// Something that passed the link both ways took this much longer than it needs.
    pub fn note_delay(&self, delay_ms: f64) {
        self.admission().note_delay(self.clock.now(), delay_ms);
    }

    /// Ends a period, and tells the part of the link that its requests need, refused ones
    /// among them.
    pub fn sample_demand(&self) -> Option<f64> {
        self.admission().sample_demand(self.clock.now())
    }

    /// Admits a request with so many bytes of head and body, or refuses it.
    pub(crate) fn admit(
        self: &Arc<Self>,
        route: &Arc<RouteEntry>,
        bytes: u64,
    ) -> Result<LinkPermit, Reason> {
        let arrival = Arrival { route, bytes };
        let admitted = self
            .admission()
            .admit(self.clock.now(), &arrival, rand::random());
        let reservation = admitted.map_err(|full| Reason::LinkFull {
            drained_in_ms: full.drained_in_ms,
        })?;
        Ok(LinkPermit {
            gate: Arc::clone(self),
            route: Arc::clone(route),
            reservation: Some(reservation),
        })
    }
}

/// Room on the link for a request and its answer. Dropped without an answer, it gives
/// back what was kept for the answer.
pub(crate) struct LinkPermit {
    gate: Arc<LinkGate>,
    route: Arc<RouteEntry>,
    reservation: Option<Reservation>,
}

impl LinkPermit {
    /// The answer came, with so many bytes of head and body.
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

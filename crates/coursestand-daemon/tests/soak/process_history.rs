//! When processes ran undisturbed, which decides what a judge may expect of them.

use std::time::{Duration, Instant};

use crate::evacuations::CONTROLS;
use crate::evacuations::record::ProcessEvent;

/// Time for which a process must have run undisturbed to be judged, and time after a fault of a
/// control process until the group counts as stable.
pub const CONTACT: Duration = Duration::from_secs(3);

/// The events of all processes of a run, in order.
pub struct ProcessHistory(Vec<ProcessEvent>);

impl ProcessHistory {
    pub fn new(events: Vec<ProcessEvent>) -> ProcessHistory {
        ProcessHistory(events)
    }

    pub fn events(&self) -> &[ProcessEvent] {
        &self.0
    }

    fn events_of(&self, host: u8) -> impl Iterator<Item = &ProcessEvent> {
        self.0.iter().filter(move |event| event.host == host)
    }

    pub fn runs_at(&self, host: u8, at: Instant) -> bool {
        let last = self
            .events_of(host)
            .take_while(|event| event.at <= at)
            .last();
        last.is_some_and(|event| event.runs)
    }

    pub fn has_event_in(&self, host: u8, from: Instant, to: Instant) -> bool {
        self.events_of(host)
            .any(|event| event.at >= from && event.at <= to)
    }

    /// Returns whether a process has run without a fault for [`CONTACT`].
    pub fn runs_undisturbed(&self, host: u8, at: Instant) -> bool {
        self.runs_at(host, at) && !self.has_event_in(host, at - CONTACT, at)
    }

    /// Returns whether most control processes run and none was disturbed for [`CONTACT`].
    pub fn is_group_stable(&self, at: Instant) -> bool {
        let running = CONTROLS.into_iter().filter(|host| self.runs_at(*host, at));
        let is_calm = CONTROLS
            .into_iter()
            .all(|host| !self.has_event_in(host, at - CONTACT, at));
        is_calm && running.count() > CONTROLS.len() / 2
    }
}

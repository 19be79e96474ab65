//! Entry daemons that look-ups name although this process is not connected with them, and why:
//! what operators need when callers are sent to a daemon that has ended.

use std::collections::BTreeMap;

use coursestand_discovery::{EdgeIncarnation, Evidence, NamedDaemon};
use coursestand_model::Millis;
use log::info;

use super::{Hub, LOG};

impl Hub {
    /// Returns the entry daemons that look-ups name although this process is not connected with
    /// them.
    pub fn named_without_connection(&self) -> Vec<NamedDaemon> {
        let now = self.clock.now();
        self.state()
            .directory
            .named_without_connection(now, self.local_address)
    }

    /// Logs which daemons look-ups name without a connection, when that or its reason changes.
    pub(super) fn log_named_without_connection(&self) {
        let named: BTreeMap<EdgeIncarnation, NamedDaemon> = self
            .named_without_connection()
            .into_iter()
            .map(|named| (incarnation_of(&named), named))
            .collect();
        let now = self.clock.now();
        let logged = std::mem::replace(&mut self.state().named_without_connection, named.clone());
        for (incarnation, named) in &named {
            let before = logged.get(incarnation).map(|before| &before.evidence);
            if before.is_none_or(|before| !is_same_reason(before, &named.evidence)) {
                log_named(now, named);
            }
        }
        for (name, incarnation) in logged.keys().filter(|key| !named.contains_key(*key)) {
            info!(target: LOG, edge = name.as_str(), incarnation = *incarnation;
                "an entry daemon is not named without a connection any more");
        }
    }
}

fn incarnation_of(named: &NamedDaemon) -> EdgeIncarnation {
    (named.record.name.clone(), named.record.incarnation)
}

/// Whether two reasons are the same, apart from how long they hold.
fn is_same_reason(before: &Evidence, now: &Evidence) -> bool {
    match (before, now) {
        (Evidence::Reachable { .. }, Evidence::Reachable { .. }) => true,
        _ => before == now,
    }
}

fn log_named(now: Millis, named: &NamedDaemon) {
    let record = &named.record;
    match &named.evidence {
        Evidence::Connections(observers) => {
            info!(target: LOG, edge = record.name, incarnation = record.incarnation,
                reported_by:? = observers;
                "look-ups name an entry daemon that only others are connected with");
        }
        Evidence::Reachable { until } => {
            info!(target: LOG, edge = record.name, incarnation = record.incarnation,
                reachable_for_ms = until.saturating_sub(now);
                "look-ups name an entry daemon that nobody is connected with");
        }
    }
}

//! Why look-ups name an entry daemon.

use std::collections::BTreeSet;

use coursestand_model::Millis;

use super::{Directory, EdgePhase, EdgeRecord, Observer};

/// Why a daemon counts as live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// These control processes are connected with it, as they report.
    Connections(BTreeSet<Observer>),
    /// No control process is connected with it; another daemon found it ready, or a control
    /// process that had reported it restarted. It counts as reachable until this time.
    Reachable {
        /// End of that time.
        until: Millis,
    },
}

/// An entry daemon that look-ups name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedDaemon {
    /// The daemon.
    pub record: EdgeRecord,
    /// Why it counts as live.
    pub evidence: Evidence,
}

impl Directory {
    /// Returns the daemons that look-ups name although `observer` is not connected with them.
    pub fn named_without_connection(&self, now: Millis, observer: Observer) -> Vec<NamedDaemon> {
        let reported = self
            .edges
            .values()
            .filter(|entry| !entry.observers.contains(&observer))
            .map(|entry| NamedDaemon {
                record: entry.record.clone(),
                evidence: Evidence::Connections(entry.observers.clone()),
            });
        let reachable = self
            .suspects
            .values()
            .filter(|suspect| now < suspect.reachable_until)
            .map(|suspect| NamedDaemon {
                record: suspect.record.clone(),
                evidence: Evidence::Reachable {
                    until: suspect.reachable_until,
                },
            });
        reported
            .chain(reachable)
            .filter(|named| named.record.phase == EdgePhase::Ready)
            .collect()
    }
}

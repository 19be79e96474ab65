//! What back ends say: heartbeats, and orders to leave.

use std::net::SocketAddr;
use std::time::Duration;

use coursestand_discovery::{Incarnation, Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;

use super::{Hub, LOG};

/// Timeout for the other control processes to acknowledge a back end's order to leave.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// An order of a back end to leave did not reach a majority of the control processes, or was not
/// recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAcknowledged;

/// What a message of a back end stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The back end is alive.
    Noted,
    /// An order to leave, which is to be replicated before it is acknowledged.
    Leaves(InstanceUpdate),
    /// An order to leave that may not concern the known incarnation; it is not applied.
    Unclear,
}

impl Hub {
    /// Handles a heartbeat from a back end that still waits for the answer, as far as
    /// `sender_waits` tells.
    pub fn heartbeat(&self, update: InstanceUpdate, sender_waits: bool) -> HeartbeatEffect {
        let now = self.clock.now();
        let id = &update.instance.id;
        self.state().heartbeats_received.insert(id.clone());
        if update.instance.phase == InstancePhase::Ready {
            self.merge_and_broadcast(now, vec![update]);
            return HeartbeatEffect::Noted;
        }
        self.order_to_leave(now, update, sender_waits)
    }

    /// Handles the order to leave of a back end that stops and has sent no heartbeat that says so;
    /// `born` is its start, if it reports one.
    pub fn deregister(
        &self,
        id: &BackendId,
        born: Option<Millis>,
        sender_waits: bool,
    ) -> HeartbeatEffect {
        let now = self.clock.now();
        let entry = self
            .state()
            .instances
            .get(id)
            .map(|entry| entry.to_update(now));
        let mut update = entry.unwrap_or_else(|| placeholder_instance(id));
        update.instance.born = born.or(update.instance.born);
        update.instance.phase = InstancePhase::Gone;
        self.order_to_leave(now, update, sender_waits)
    }

    /// Applies an order to leave.
    fn order_to_leave(
        &self,
        now: Millis,
        order: InstanceUpdate,
        sender_waits: bool,
    ) -> HeartbeatEffect {
        let Some(order) = self.resolve_order(now, order, sender_waits) else {
            return HeartbeatEffect::Unclear;
        };
        self.merge_and_broadcast(now, vec![order.clone()]);
        let state = self.state();
        let known = state.instances.get(&order.instance.id);
        // A late order of an earlier incarnation does not concern the known one.
        let known = known.filter(|entry| !entry.instance.starts_after(&order.instance));
        HeartbeatEffect::Leaves(known.map_or(order, |entry| entry.to_update(now)))
    }

    /// Returns an order to leave as one of the incarnation that it concerns, if that is clear.
    ///
    /// If a later incarnation is known, the order may have been delayed, and then does not concern
    /// it. But if its sender waits for the answer, it is the one that runs, and its clock has
    /// stepped back between two starts: the order concerns the known incarnation.
    fn resolve_order(
        &self,
        now: Millis,
        order: InstanceUpdate,
        sender_waits: bool,
    ) -> Option<InstanceUpdate> {
        let state = self.state();
        let known = state.instances.get(&order.instance.id);
        let Some(later) = known.filter(|entry| entry.instance.starts_after(&order.instance)) else {
            return Some(order);
        };
        if state.instances.has_departed(&order.instance) {
            return Some(order);
        }
        if !sender_waits {
            return None;
        }
        info!(target: LOG, instance = order.instance.id.as_str(), born = order.instance.born,
            known_born = later.instance.born, phase:? = order.instance.phase;
            "a back end whose clock stepped back leaves");
        let mut update = later.to_update(now);
        update.instance.phase = order.instance.phase;
        Some(update)
    }

    /// Replaces the recorded departures of back ends.
    pub fn set_departures(&self, departures: Vec<Incarnation>) {
        let now = self.clock.now();
        let changed: Vec<InstanceUpdate> = {
            let mut state = self.state();
            let ids = state.instances.set_departures(departures);
            let entries = ids.iter().filter_map(|id| state.instances.get(id));
            entries.map(|entry| entry.to_update(now)).collect()
        };
        self.publish_changes(&changed);
    }

    /// Returns once a majority of the control processes has acknowledged the update: every entry
    /// daemon is connected with one of these.
    pub async fn replicate_to_majority(
        &self,
        update: InstanceUpdate,
    ) -> Result<(), NotAcknowledged> {
        let members = self.controls.borrow().members.clone();
        let Some(links) = self.links() else {
            return Err(NotAcknowledged);
        };
        if members.is_empty() {
            return Err(NotAcknowledged);
        }
        let needed = members.len() / 2 + 1;
        let mut confirmed = usize::from(members.contains(&self.local_address));
        let mut others: FuturesUnordered<_> = members
            .iter()
            .filter(|member| **member != self.local_address)
            .map(|member| links.send_confirmed(*member, vec![update.clone()], REPLICATION_TIMEOUT))
            .collect();
        while confirmed < needed {
            match others.next().await {
                Some(is_acknowledged) => confirmed += usize::from(is_acknowledged),
                None => return Err(NotAcknowledged),
            }
        }
        Ok(())
    }
}

/// Returns a placeholder for a back end that deregisters and has no record here.
fn placeholder_instance(id: &BackendId) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: id.clone(),
            born: None,
            service: ServiceId::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: ZoneId::default(),
            capacity: 0,
            software: String::new(),
            // Lower than the sequence of any heartbeat, so that only the phase counts.
            sequence: 0,
            phase: InstancePhase::Gone,
        },
        cold_ms: 0,
    }
}

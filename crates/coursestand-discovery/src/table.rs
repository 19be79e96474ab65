//! Table of all known back end instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis};

use crate::claims::{AddressState, Claims};
use crate::instance::{Incarnation, Instance, InstancePhase, InstanceUpdate};

/// Time for which the record of an instance that is gone is kept, so that a late heartbeat
/// does not restore it.
pub const TOMBSTONE_MS: Millis = 120_000;
/// Differences in the end of the cold time up to this value do not count as a change.
const COLD_PRECISION_MS: Millis = 300;

/// An instance and this process's local state of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// The instance.
    pub instance: Instance,
    /// End of the cold time, on this process's clock.
    pub cold_until: Millis,
    /// Time of the last heartbeat that this process received, or that another process
    /// reported.
    pub last_contact_at: Millis,
    /// Time since which this process considers the instance gone, if it does.
    pub gone_since: Option<Millis>,
}

impl KnownInstance {
    /// Returns the message with the instance's state for another process.
    pub fn to_update(&self, now: Millis) -> InstanceUpdate {
        InstanceUpdate {
            instance: self.instance.clone(),
            cold_ms: self.cold_until.saturating_sub(now),
        }
    }

    /// Returns whether the instance is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether the instance is not gone.
    pub fn is_live(&self) -> bool {
        self.instance.phase != InstancePhase::Gone
    }

    /// Marks the instance as gone. Returns whether that is a change.
    fn mark_gone(&mut self, now: Millis) -> bool {
        let is_changed = self.is_live();
        self.instance.phase = InstancePhase::Gone;
        self.gone_since.get_or_insert(now);
        is_changed
    }
}

/// All instances by identity.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    known: HashMap<BackendId, KnownInstance>,
    claims: Claims,
    /// Admitted newcomers, each with the instances that it replaced. These changes are
    /// reported again with the newcomer's next heartbeat, since the update that admits a
    /// claimant may be one that is not forwarded.
    admitted: HashMap<BackendId, Vec<BackendId>>,
    /// Start times of the incarnations that have orders to leave on record, see
    /// [`Self::set_departures`].
    departures: HashMap<BackendId, Option<Millis>>,
}

impl InstanceTable {
    /// Merges an update from an instance, or from another process that merges such updates.
    /// Returns the instances that changed: this one, others that were admitted, and those
    /// whose address was taken over.
    pub fn merge(&mut self, now: Millis, mut update: InstanceUpdate) -> Vec<BackendId> {
        self.apply_departure(&mut update.instance);
        let id = update.instance.id.clone();
        let known = self.known.get(&id);
        let is_newcomer = known.is_none_or(|known| update.instance.starts_after(&known.instance));
        let is_ready = update.instance.phase == InstancePhase::Ready;
        if is_newcomer && is_ready && self.is_held_by_another(&update.instance) {
            // The previous incarnation is gone, whichever instance has the address.
            let mut changed = Vec::from_iter(self.mark_gone(now, &id).then_some(id));
            self.claims.record(now, update);
            changed.extend(self.resolve_claims(now));
            return changed;
        }
        let latest = self.latest_heartbeat(&id);
        let mut changed = self.adopt(now, update);
        if self.latest_heartbeat(&id) > latest
            && let Some(replaced) = self.admitted.remove(&id)
        {
            changed.splice(0..0, replaced);
            changed.push(id);
        }
        changed.extend(self.resolve_claims(now));
        changed
    }

    /// Applies an update from a process that merges the instances' updates and has resolved
    /// conflicting addresses. Returns the instance if it changed.
    ///
    /// A later incarnation replaces all state of the previous one; updates of earlier
    /// incarnations are ignored.
    pub fn adopt(&mut self, now: Millis, mut update: InstanceUpdate) -> Vec<BackendId> {
        self.apply_departure(&mut update.instance);
        let id = update.instance.id.clone();
        let address = update.instance.address;
        let cold_until = now.saturating_add(update.cold_ms);
        let previous = self.known.get(&id).map(|known| &known.instance);
        if previous.is_some_and(|previous| previous.starts_after(&update.instance)) {
            return Vec::new();
        }
        self.claims.remove(&update.instance);
        let is_new_incarnation =
            previous.is_none_or(|previous| update.instance.starts_after(previous));
        let is_gone = update.instance.phase == InstancePhase::Gone;
        let Some(known) = self.known.get_mut(&id).filter(|_| !is_new_incarnation) else {
            let known = KnownInstance {
                instance: update.instance,
                cold_until,
                last_contact_at: now,
                gone_since: is_gone.then_some(now),
            };
            self.known.insert(id.clone(), known);
            self.claims.reject_claims_to(address);
            return vec![id];
        };
        let mut instance = update.instance;
        instance.born = instance.born.or(known.instance.born);
        let mut changed = known.instance.born != instance.born;
        known.instance.born = instance.born;
        let phase = instance.phase;
        let is_later = instance.sequence > known.instance.sequence;
        if is_later {
            known.last_contact_at = now;
            changed |= apply_heartbeat(known, instance, cold_until);
        }
        // The phase advances regardless of the sequence number: leaving is irreversible.
        if phase > known.instance.phase {
            known.instance.phase = phase;
            changed = true;
        }
        if is_gone {
            known.mark_gone(now);
        }
        if is_later && known.is_live() {
            self.claims.reject_claims_to(address);
        }
        if changed { vec![id] } else { Vec::new() }
    }

    /// Replaces the incarnations whose orders to leave are on record. From now on these, and
    /// earlier ones, are at least draining, whatever their heartbeats say. Returns the instances
    /// that changed.
    pub fn set_departures(
        &mut self,
        departures: impl IntoIterator<Item = Incarnation>,
    ) -> Vec<BackendId> {
        self.departures = departures
            .into_iter()
            .map(|departed| (departed.id, departed.born))
            .collect();
        let mut changed = Vec::new();
        for (id, known) in &mut self.known {
            let is_ready = known.instance.phase == InstancePhase::Ready;
            if is_ready && has_departed(&self.departures, &known.instance) {
                known.instance.phase = InstancePhase::Draining;
                changed.push(id.clone());
            }
        }
        changed
    }

    /// Returns whether the order to leave of this incarnation, or of a later one, is on record.
    pub fn has_departed(&self, instance: &Instance) -> bool {
        has_departed(&self.departures, instance)
    }

    /// Sets the phase of an instance whose order to leave is on record: its announcement may have
    /// been delayed.
    fn apply_departure(&self, instance: &mut Instance) {
        if self.has_departed(instance) {
            instance.phase = instance.phase.max(InstancePhase::Draining);
        }
    }

    /// Returns the start time and sequence number of an instance's latest heartbeat, by
    /// which heartbeats are ordered.
    fn latest_heartbeat(&self, id: &BackendId) -> Option<(Option<Millis>, u64)> {
        let known = &self.known.get(id)?.instance;
        Some((known.born, known.sequence))
    }

    fn is_held_by_another(&self, instance: &Instance) -> bool {
        self.known.values().any(|known| {
            known.is_live()
                && known.instance.address == instance.address
                && known.instance.id != instance.id
        })
    }

    /// Admits claimants that are shown to have their address, and marks the instances that
    /// had it as gone. Returns all of them.
    fn resolve_claims(&mut self, now: Millis) -> Vec<BackendId> {
        if self.claims.is_empty() {
            return Vec::new();
        }
        let known = &self.known;
        let address_state = |address| address_state(known.values(), address);
        let admitted = self.claims.take_proven(now, address_state);
        let mut changed = Vec::new();
        for update in admitted {
            let id = update.instance.id.clone();
            let replaced = self.mark_all_gone_at(now, update.instance.address);
            changed.extend(replaced.iter().cloned());
            changed.extend(self.adopt(now, update));
            self.admitted.insert(id, replaced);
        }
        changed
    }

    fn mark_all_gone_at(&mut self, now: Millis, address: SocketAddr) -> Vec<BackendId> {
        let mut gone = Vec::new();
        for (id, known) in &mut self.known {
            if known.instance.address == address && known.mark_gone(now) {
                gone.push(id.clone());
            }
        }
        gone
    }

    /// Marks an instance as draining. Returns whether that is a change.
    pub fn mark_draining(&mut self, id: &BackendId) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| {
            let is_changed = known.instance.phase < InstancePhase::Draining;
            known.instance.phase = known.instance.phase.max(InstancePhase::Draining);
            is_changed
        })
    }

    /// Marks an instance as gone. Returns whether that is a change.
    pub fn mark_gone(&mut self, now: Millis, id: &BackendId) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| known.mark_gone(now))
    }

    /// Records that another process received a heartbeat of the instance recently.
    pub fn note_remote_contact(&mut self, now: Millis, id: &BackendId) {
        self.claims.note_remote_contact(now, id);
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        known.last_contact_at = now;
        if known.is_live() {
            self.claims.reject_claims_to(known.instance.address);
        }
    }

    /// Returns the instance with this identity.
    pub fn get(&self, id: &BackendId) -> Option<&KnownInstance> {
        self.known.get(id)
    }

    /// Returns all instances, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &KnownInstance> {
        self.known.values()
    }

    /// Marks instances without contact for `timeout` as gone, and removes those that are
    /// gone and had no contact for `timeout` plus [`TOMBSTONE_MS`]. Returns the instances
    /// that changed: those marked as gone, and claimants that were admitted.
    pub fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<BackendId> {
        self.claims.set_instance_timeout(timeout);
        let mut changed = Vec::new();
        for (id, known) in &mut self.known {
            let is_silent = now.saturating_sub(known.last_contact_at) > timeout;
            // No process reports a successor, so the address counts as free since the last
            // contact.
            if is_silent && known.mark_gone(known.last_contact_at) {
                changed.push(id.clone());
            }
        }
        self.known.retain(|_, known| {
            known.is_live() || now.saturating_sub(known.last_contact_at) < timeout + TOMBSTONE_MS
        });
        let known = &self.known;
        self.admitted.retain(|id, _| known.contains_key(id));
        changed.extend(self.resolve_claims(now));
        changed
    }
}

/// Returns whether the order to leave of this incarnation, or of a later one, is on record. An
/// incarnation without a start time counts as the recorded one.
fn has_departed(departures: &HashMap<BackendId, Option<Millis>>, instance: &Instance) -> bool {
    let Some(departed) = departures.get(&instance.id) else {
        return false;
    };
    let start_times = instance.born.zip(*departed);
    start_times.is_none_or(|(born, departed)| born <= departed)
}

/// Returns whether a live instance has this address, and since when none has otherwise.
fn address_state<'a>(
    known: impl Iterator<Item = &'a KnownInstance>,
    address: SocketAddr,
) -> AddressState {
    let mut last_contact_at = None;
    let mut free_since = 0;
    for instance in known.filter(|known| known.instance.address == address) {
        if instance.is_live() {
            last_contact_at = last_contact_at.max(Some(instance.last_contact_at));
        } else {
            free_since = free_since.max(instance.gone_since.unwrap_or_default());
        }
    }
    match last_contact_at {
        Some(last_contact_at) => AddressState::Held { last_contact_at },
        None => AddressState::Free { since: free_since },
    }
}

/// Applies a later heartbeat of the same incarnation. Returns whether it changes anything
/// but the sequence number.
fn apply_heartbeat(known: &mut KnownInstance, mut instance: Instance, cold_until: Millis) -> bool {
    instance.phase = instance.phase.max(known.instance.phase);
    let sequence = known.instance.sequence;
    let is_same = Instance {
        sequence,
        ..instance.clone()
    } == known.instance;
    let is_new_cold_until = known.cold_until.abs_diff(cold_until) > COLD_PRECISION_MS;
    let was_cold = known.cold_until > known.last_contact_at;
    known.instance = instance;
    let changes_cold = is_new_cold_until && (was_cold || cold_until > known.last_contact_at);
    known.cold_until = cold_until;
    !is_same || changes_cold
}

//! Resolves which instance has an address that several instances announce.
//!
//! Two instances can't share an address, but heartbeats do not show which of them started
//! later: a delayed heartbeat may arrive after its sender has crashed and another
//! incarnation has registered, also at a process that has no record of the sender. A
//! crashed instance sends no further heartbeats, however. So a newcomer at an address that
//! a live instance holds only claims it. It takes the address over after heartbeats of it
//! have arrived over some time, the last of them when the holder was overdue, provided that
//! no heartbeat of the holder arrived in between, nor for about two heartbeat intervals.
//! The successor of a crashed back end thus waits for one more heartbeat; in return, a
//! delayed message does not mark a live back end as gone, which no later heartbeat would
//! undo. One error remains possible: two different heartbeats of a crashed instance that
//! arrive a second or more apart, the second while the live holder is overdue, if the
//! holder then stays silent for two heartbeat intervals.

use std::collections::HashMap;
use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis};

use crate::instance::{Instance, InstanceUpdate};

/// Time without a heartbeat after which a holder may lose its address, until the heartbeat
/// interval of the deployment is known: two intervals of 1.5 s.
const DEFAULT_HOLDER_TIMEOUT_MS: Millis = 3_000;
/// The instance timeout divided by this is the holder timeout.
const HOLDER_TIMEOUT_DIVISOR: Millis = 10;
/// Heartbeat intervals in the holder timeout. A claimant's heartbeat that arrived before
/// the holder's first missed one was due does not count: the holder may have been live.
const HEARTBEATS_IN_HOLDER_TIMEOUT: Millis = 2;
/// The holder timeout divided by this is the minimum time over which heartbeats of a
/// claimant must arrive: less than a heartbeat interval, so that two heartbeats suffice,
/// and more than the time between copies of one message.
const CLAIM_TIME_DIVISOR: Millis = 3;

/// Occupancy of a claimed address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressState {
    /// A live instance, with its last contact at this time, has the address.
    Held { last_contact_at: Millis },
    /// No live instance has had the address since this time.
    Free { since: Millis },
}

#[derive(Clone, Debug)]
struct Claim {
    update: InstanceUpdate,
    /// Arrival times of the claimant's first and last heartbeat at this process.
    first_received_at: Millis,
    last_received_at: Millis,
    /// Time of the last contact with the claimant, by this or another process.
    last_contact_at: Millis,
    /// First time that another process reported contact with the claimant, if any did.
    remote_contact_since: Option<Millis>,
}

impl Claim {
    fn new(now: Millis, update: InstanceUpdate) -> Claim {
        Claim {
            update,
            first_received_at: now,
            last_received_at: now,
            last_contact_at: now,
            remote_contact_since: None,
        }
    }

    /// Returns the time over which different heartbeats have arrived at this process.
    fn local_contact_ms(&self) -> Millis {
        self.last_received_at.saturating_sub(self.first_received_at)
    }

    /// Returns the time over which other processes have reported contact. A copy of a
    /// message that arrived here yields a single report, and so a time of 0.
    fn remote_contact_ms(&self) -> Millis {
        let since = self.remote_contact_since.unwrap_or(self.last_contact_at);
        self.last_contact_at.saturating_sub(since)
    }
}

/// Claims to addresses that other instances hold.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    claims: HashMap<BackendId, Claim>,
    holder_timeout_ms: Millis,
}

impl Default for Claims {
    fn default() -> Claims {
        Claims {
            claims: HashMap::new(),
            holder_timeout_ms: DEFAULT_HOLDER_TIMEOUT_MS,
        }
    }
}

impl Claims {
    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Sets the time without contact after which instances are gone, a fixed number of
    /// heartbeat intervals.
    pub(crate) fn set_instance_timeout(&mut self, instance_timeout: Millis) {
        self.holder_timeout_ms = instance_timeout / HOLDER_TIMEOUT_DIVISOR;
    }

    /// Adds or refreshes the claim of a newcomer that announces a held address.
    pub(crate) fn record(&mut self, now: Millis, update: InstanceUpdate) {
        let id = update.instance.id.clone();
        let Some(claim) = self.claims.get_mut(&id) else {
            self.claims.insert(id, Claim::new(now, update));
            return;
        };
        if claim.update.instance.starts_after(&update.instance) {
            return;
        }
        if update.instance.starts_after(&claim.update.instance) {
            *claim = Claim::new(now, update);
            return;
        }
        // A copy of an earlier heartbeat does not show that the claimant is live.
        if update.instance.sequence > claim.update.instance.sequence {
            claim.last_received_at = now;
            claim.last_contact_at = now;
            claim.update = update;
        }
    }

    /// Records that another process had contact with a claimant. That keeps the claim, but
    /// does not count against a live holder: copies of one message may reach several
    /// processes.
    pub(crate) fn note_remote_contact(&mut self, now: Millis, id: &BackendId) {
        if let Some(claim) = self.claims.get_mut(id) {
            claim.last_contact_at = now;
            claim.remote_contact_since.get_or_insert(now);
        }
    }

    /// Removes the claim of an instance that is in the table or is leaving, unless the
    /// claim is of a later incarnation.
    pub(crate) fn remove(&mut self, instance: &Instance) {
        let id = &instance.id;
        let claim = self.claims.get(id);
        if claim.is_some_and(|claim| !claim.update.instance.starts_after(instance)) {
            self.claims.remove(id);
        }
    }

    /// Removes all claims to an address after contact with its holder; claimants start over.
    pub(crate) fn reject_claims_to(&mut self, address: SocketAddr) {
        self.claims
            .retain(|_, claim| claim.update.instance.address != address);
    }

    /// Removes and returns the claimants that are shown to be live. For a free address,
    /// contact of other processes over two heartbeat intervals suffices.
    ///
    /// An address that has just become free may have a successor already: a process that
    /// admits one reports first which instance is gone, then the successor. Without a
    /// minimum free time, two heartbeats of a long crashed instance that arrive a second
    /// apart would get it admitted between these two reports.
    pub(crate) fn take_proven(
        &mut self,
        now: Millis,
        address_state: impl Fn(SocketAddr) -> AddressState,
    ) -> Vec<InstanceUpdate> {
        self.claims
            .retain(|_, claim| now.saturating_sub(claim.last_contact_at) <= self.holder_timeout_ms);
        let min_contact_ms = self.holder_timeout_ms / CLAIM_TIME_DIVISOR;
        let is_proven = |claim: &Claim| {
            let has_local_contact = claim.local_contact_ms() >= min_contact_ms;
            match address_state(claim.update.instance.address) {
                AddressState::Held { last_contact_at } => {
                    let silent_ms = now.saturating_sub(last_contact_at);
                    let overdue_at =
                        last_contact_at + self.holder_timeout_ms / HEARTBEATS_IN_HOLDER_TIMEOUT;
                    silent_ms >= self.holder_timeout_ms
                        && has_local_contact
                        && claim.last_received_at >= overdue_at
                }
                AddressState::Free { since } => {
                    let has_remote_contact = claim.remote_contact_ms() >= self.holder_timeout_ms;
                    let free_ms = now.saturating_sub(since);
                    free_ms >= min_contact_ms && (has_local_contact || has_remote_contact)
                }
            }
        };
        let mut admitted: Vec<Claim> = self
            .claims
            .values()
            .filter(|claim| is_proven(claim))
            .cloned()
            .collect();
        // Of several claimants of one address, the one with the latest contact wins.
        admitted.sort_by_key(|claim| claim.last_contact_at);
        let by_address: HashMap<SocketAddr, InstanceUpdate> = admitted
            .into_iter()
            .map(|claim| (claim.update.instance.address, claim.update))
            .collect();
        for update in by_address.values() {
            self.claims.remove(&update.instance.id);
        }
        by_address.into_values().collect()
    }
}

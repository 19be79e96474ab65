//! Who has an address when two incarnations of back ends say so.
//!
//! Two instances can't share an address, but heartbeats don't tell which of them came
//! later: one that was delayed may arrive after its sender has crashed and another
//! incarnation has registered, also at a process that never heard of the sender before.
//! What the dead can't do is go on giving signs of life. So a newcomer at an address
//! that another instance holds only claims it, and takes it over once it was heard
//! again after a while, last when the holder was overdue, and the holder was not heard
//! meanwhile, nor for about two heartbeats. A crashed back end's successor waits for one
//! more heartbeat by this; a live back end is not ended for a message that was late,
//! which no later heartbeat would undo. What could still pass for life are two different
//! heartbeats of a dead one that come a second apart or more, the second while the living
//! one is overdue, which then stays silent for two of its own.

use std::collections::HashMap;
use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis};

use crate::instance::{Instance, InstanceNews};

/// Silence of a holder after which it may lose its address, until the deployment's
/// heartbeat is known: two of one and a half seconds.
const FIRST_HOLDER_SILENCE_MS: Millis = 3_000;
/// Part of the time after which silent instances end that makes a holder silent.
const HOLDER_SILENCE_PART: Millis = 10;
/// Heartbeats in the silence of a holder. What came before the first of them was due comes
/// from a time at which the holder may have lived, and proves nothing against it.
const HEARTBEATS_OF_SILENCE: Millis = 2;
/// Part of the holder's silence over which a claimant must have been heard: less than
/// a heartbeat, so that two of them do, and more than between copies of one message.
const CLAIM_PART: Millis = 3;

/// Who has an address that is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holding {
    /// An instance that was heard last at this time.
    Held { heard_at: Millis },
    /// Nobody, since this time.
    Free { since: Millis },
}

#[derive(Clone, Debug)]
struct Claim {
    news: InstanceNews,
    /// When heartbeats of it came here first and last.
    since: Millis,
    came_at: Millis,
    /// When it was heard last, here or by another process.
    heard_at: Millis,
    /// Since when other processes hear it, if they do.
    heard_elsewhere_since: Option<Millis>,
}

impl Claim {
    fn new(now: Millis, news: InstanceNews) -> Claim {
        Claim {
            news,
            since: now,
            came_at: now,
            heard_at: now,
            heard_elsewhere_since: None,
        }
    }

    /// For how long different heartbeats of it have come here.
    fn heard_here_for(&self) -> Millis {
        self.came_at.saturating_sub(self.since)
    }

    /// For how long other processes have heard it. One copy of a message that came here
    /// is heard by another process at one moment, whenever that is.
    fn heard_elsewhere_for(&self) -> Millis {
        let since = self.heard_elsewhere_since.unwrap_or(self.heard_at);
        self.heard_at.saturating_sub(since)
    }
}

/// Claims to addresses that others hold.
#[derive(Clone, Debug)]
pub(crate) struct Claims {
    claims: HashMap<BackendId, Claim>,
    holder_silence_ms: Millis,
}

impl Default for Claims {
    fn default() -> Claims {
        Claims {
            claims: HashMap::new(),
            holder_silence_ms: FIRST_HOLDER_SILENCE_MS,
        }
    }
}

impl Claims {
    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Silent instances end after this time, a fixed number of heartbeats.
    pub(crate) fn set_silence(&mut self, silence: Millis) {
        self.holder_silence_ms = silence / HOLDER_SILENCE_PART;
    }

    /// A newcomer says that it is at an address that is held.
    pub(crate) fn note(&mut self, now: Millis, news: InstanceNews) {
        let id = news.instance.id.clone();
        let Some(claim) = self.claims.get_mut(&id) else {
            self.claims.insert(id, Claim::new(now, news));
            return;
        };
        if claim.news.instance.starts_after(&news.instance) {
            return;
        }
        if news.instance.starts_after(&claim.news.instance) {
            *claim = Claim::new(now, news);
            return;
        }
        // A copy of what was heard before proves nothing.
        if news.instance.sequence > claim.news.instance.sequence {
            claim.came_at = now;
            claim.heard_at = now;
            claim.news = news;
        }
    }

    /// Another process heard a claimant. That keeps the claim and proves nothing
    /// against a holder: copies of one message may come to several processes.
    pub(crate) fn heard(&mut self, now: Millis, id: &BackendId) {
        if let Some(claim) = self.claims.get_mut(id) {
            claim.heard_at = now;
            claim.heard_elsewhere_since.get_or_insert(now);
        }
    }

    /// A claimant that is known otherwise now, or that leaves; not when an incarnation
    /// before it is.
    pub(crate) fn remove(&mut self, instance: &Instance) {
        let id = &instance.id;
        let claim = self.claims.get(id);
        if claim.is_some_and(|claim| !claim.news.instance.starts_after(instance)) {
            self.claims.remove(id);
        }
    }

    /// The holder of an address was heard: claims to it begin anew.
    pub(crate) fn refute(&mut self, address: SocketAddr) {
        self.claims
            .retain(|_, claim| claim.news.instance.address != address);
    }

    /// Takes out the claimants that have proved to live on; where the address has
    /// become free, it is enough that others heard them for two heartbeats.
    ///
    /// An address that has just become free may have its successor already: a process that
    /// admits one tells first who ended, then who came. Two heartbeats of an instance long
    /// dead, a second apart, were taken for life between the two.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        holding: impl Fn(SocketAddr) -> Holding,
    ) -> Vec<InstanceNews> {
        self.claims
            .retain(|_, claim| now.saturating_sub(claim.heard_at) <= self.holder_silence_ms);
        let least_ms = self.holder_silence_ms / CLAIM_PART;
        let proved = |claim: &Claim| {
            let was_heard_here = claim.heard_here_for() >= least_ms;
            match holding(claim.news.instance.address) {
                Holding::Held { heard_at } => {
                    let silent_ms = now.saturating_sub(heard_at);
                    let overdue_at = heard_at + self.holder_silence_ms / HEARTBEATS_OF_SILENCE;
                    silent_ms >= self.holder_silence_ms
                        && was_heard_here
                        && claim.came_at >= overdue_at
                }
                Holding::Free { since } => {
                    let was_heard_elsewhere = claim.heard_elsewhere_for() >= self.holder_silence_ms;
                    let free_ms = now.saturating_sub(since);
                    free_ms >= least_ms && (was_heard_here || was_heard_elsewhere)
                }
            }
        };
        let mut admitted: Vec<Claim> = self
            .claims
            .values()
            .filter(|claim| proved(claim))
            .cloned()
            .collect();
        // Of several at one address, the one that was heard last.
        admitted.sort_by_key(|claim| claim.heard_at);
        let by_address: HashMap<SocketAddr, InstanceNews> = admitted
            .into_iter()
            .map(|claim| (claim.news.instance.address, claim.news))
            .collect();
        for news in by_address.values() {
            self.claims.remove(&news.instance.id);
        }
        by_address.into_values().collect()
    }
}

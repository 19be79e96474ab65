//! All instances that a process knows.

use std::collections::HashMap;
use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis};

use crate::claims::{Claims, Holding};
use crate::instance::{Instance, InstanceNews, InstancePhase};

/// How long an ended instance is remembered, so that a late heartbeat can't
/// bring it back.
pub const TOMBSTONE_MS: Millis = 120_000;
/// Ends of the cold time that differ by less tell nothing new.
const COLD_PRECISION_MS: Millis = 300;

/// An instance as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// The instance.
    pub instance: Instance,
    /// When it ceases to be cold, on this process's clock.
    pub cold_until: Millis,
    /// When a heartbeat of it was heard last, by this process or by another
    /// one that told of it.
    pub heard_at: Millis,
    /// Since when this process takes it to have ended, if it has.
    pub ended_at: Option<Millis>,
}

impl Known {
    /// What to tell another process.
    pub fn news(&self, now: Millis) -> InstanceNews {
        InstanceNews {
            instance: self.instance.clone(),
            cold_ms: self.cold_until.saturating_sub(now),
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Whether it has not ended.
    pub fn lives(&self) -> bool {
        self.instance.phase != InstancePhase::Gone
    }

    /// It has ended. Returns whether that is news.
    fn end(&mut self, now: Millis) -> bool {
        let is_news = self.lives();
        self.instance.phase = InstancePhase::Gone;
        self.ended_at.get_or_insert(now);
        is_news
    }
}

/// All instances by identity.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    known: HashMap<BackendId, Known>,
    claims: Claims,
    /// Newcomers that were admitted, and whom they ended: told once more with their
    /// next heartbeat, since what ends a claim may be news that aren't passed on.
    admitted: HashMap<BackendId, Vec<BackendId>>,
}

impl InstanceTable {
    /// Takes in news from an instance, or from another process that takes in such.
    /// Returns the instances that changed: this one, others that were admitted, and
    /// those whose address was taken over.
    pub fn merge(&mut self, now: Millis, news: InstanceNews) -> Vec<BackendId> {
        let id = news.instance.id.clone();
        let known = self.known.get(&id);
        let is_newcomer = known.is_none_or(|known| news.instance.starts_after(&known.instance));
        let is_ready = news.instance.phase == InstancePhase::Ready;
        if is_newcomer && is_ready && self.is_held_by_another(&news.instance) {
            // Its incarnation before has ended, whoever has the address.
            let mut changed = Vec::from_iter(self.end(now, &id).then_some(id));
            self.claims.note(now, news);
            changed.extend(self.settle_claims(now));
            return changed;
        }
        let newest = self.newest_of(&id);
        let mut changed = self.adopt(now, news);
        if self.newest_of(&id) > newest
            && let Some(ended) = self.admitted.remove(&id)
        {
            changed.splice(0..0, ended);
            changed.push(id);
        }
        changed.extend(self.settle_claims(now));
        changed
    }

    /// Takes in what a process tells that merges what instances say: who has an
    /// address was settled there. Returns the instance if it changed.
    ///
    /// A later incarnation replaces all that is known of the one before; what an earlier
    /// one said changes nothing.
    pub fn adopt(&mut self, now: Millis, news: InstanceNews) -> Vec<BackendId> {
        let id = news.instance.id.clone();
        let address = news.instance.address;
        let cold_until = now.saturating_add(news.cold_ms);
        let before = self.known.get(&id).map(|known| &known.instance);
        if before.is_some_and(|before| before.starts_after(&news.instance)) {
            return Vec::new();
        }
        self.claims.remove(&news.instance);
        let begins = before.is_none_or(|before| news.instance.starts_after(before));
        let is_gone = news.instance.phase == InstancePhase::Gone;
        let Some(known) = self.known.get_mut(&id).filter(|_| !begins) else {
            let known = Known {
                instance: news.instance,
                cold_until,
                heard_at: now,
                ended_at: is_gone.then_some(now),
            };
            self.known.insert(id.clone(), known);
            self.claims.refute(address);
            return vec![id];
        };
        let mut instance = news.instance;
        instance.born = instance.born.or(known.instance.born);
        let mut changed = known.instance.born != instance.born;
        known.instance.born = instance.born;
        let phase = instance.phase;
        let is_later = instance.sequence > known.instance.sequence;
        if is_later {
            known.heard_at = now;
            changed |= update(known, instance, cold_until);
        }
        // The phase moves forward whatever the sequence: leaving never turns back.
        if phase > known.instance.phase {
            known.instance.phase = phase;
            changed = true;
        }
        if is_gone {
            known.end(now);
        }
        if is_later && known.lives() {
            self.claims.refute(address);
        }
        if changed { vec![id] } else { Vec::new() }
    }

    /// The newest heartbeat of an instance, in an order of them.
    fn newest_of(&self, id: &BackendId) -> Option<(Option<Millis>, u64)> {
        let known = &self.known.get(id)?.instance;
        Some((known.born, known.sequence))
    }

    fn is_held_by_another(&self, instance: &Instance) -> bool {
        self.known.values().any(|known| {
            known.lives()
                && known.instance.address == instance.address
                && known.instance.id != instance.id
        })
    }

    /// Admits newcomers that have proved to have their address, and ends those who
    /// had it before. Returns all of them.
    fn settle_claims(&mut self, now: Millis) -> Vec<BackendId> {
        if self.claims.is_empty() {
            return Vec::new();
        }
        let known = &self.known;
        let holding = |address| holding_of(known.values(), address);
        let admitted = self.claims.settle(now, holding);
        let mut changed = Vec::new();
        for news in admitted {
            let id = news.instance.id.clone();
            let ended = self.end_all_at(now, news.instance.address);
            changed.extend(ended.iter().cloned());
            changed.extend(self.adopt(now, news));
            self.admitted.insert(id, ended);
        }
        changed
    }

    fn end_all_at(&mut self, now: Millis, address: SocketAddr) -> Vec<BackendId> {
        let mut ended = Vec::new();
        for (id, known) in &mut self.known {
            if known.instance.address == address && known.end(now) {
                ended.push(id.clone());
            }
        }
        ended
    }

    /// An instance drains. Returns whether that is news.
    pub fn drain(&mut self, id: &BackendId) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| {
            let is_news = known.instance.phase < InstancePhase::Draining;
            known.instance.phase = known.instance.phase.max(InstancePhase::Draining);
            is_news
        })
    }

    /// Ends an instance. Returns whether that is news.
    pub fn end(&mut self, now: Millis, id: &BackendId) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| known.end(now))
    }

    /// Another process heard the instance lately.
    pub fn heard(&mut self, now: Millis, id: &BackendId) {
        self.claims.heard(now, id);
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        known.heard_at = now;
        if known.lives() {
            self.claims.refute(known.instance.address);
        }
    }

    /// One instance.
    pub fn get(&self, id: &BackendId) -> Option<&Known> {
        self.known.get(id)
    }

    /// All instances, also ended ones.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Ends instances that were not heard for `silence`, and forgets those that
    /// ended long ago. Returns those ended now, and newcomers that were admitted.
    pub fn expire(&mut self, now: Millis, silence: Millis) -> Vec<BackendId> {
        self.claims.set_silence(silence);
        let mut ended = Vec::new();
        for (id, known) in &mut self.known {
            let is_silent = now.saturating_sub(known.heard_at) > silence;
            // Nobody tells of a successor: the address is free for as long as it is silent.
            if is_silent && known.end(known.heard_at) {
                ended.push(id.clone());
            }
        }
        self.known.retain(|_, known| {
            known.lives() || now.saturating_sub(known.heard_at) < silence + TOMBSTONE_MS
        });
        let known = &self.known;
        self.admitted.retain(|id, _| known.contains_key(id));
        ended.extend(self.settle_claims(now));
        ended
    }
}

/// Who has this address among all that are known.
fn holding_of<'a>(known: impl Iterator<Item = &'a Known>, address: SocketAddr) -> Holding {
    let mut heard_at = None;
    let mut free_since = 0;
    for one in known.filter(|one| one.instance.address == address) {
        if one.lives() {
            heard_at = heard_at.max(Some(one.heard_at));
        } else {
            free_since = free_since.max(one.ended_at.unwrap_or_default());
        }
    }
    match heard_at {
        Some(heard_at) => Holding::Held { heard_at },
        None => Holding::Free { since: free_since },
    }
}

/// Takes in a later heartbeat of the same instance. Returns whether it says
/// anything new besides that the instance lives.
fn update(known: &mut Known, mut instance: Instance, cold_until: Millis) -> bool {
    instance.phase = instance.phase.max(known.instance.phase);
    let sequence = known.instance.sequence;
    let is_same = Instance {
        sequence,
        ..instance.clone()
    } == known.instance;
    let is_cold_news = known.cold_until.abs_diff(cold_until) > COLD_PRECISION_MS;
    let was_cold = known.cold_until > known.heard_at;
    known.instance = instance;
    let changes_cold = is_cold_news && (was_cold || cold_until > known.heard_at);
    known.cold_until = cold_until;
    !is_same || changes_cold
}

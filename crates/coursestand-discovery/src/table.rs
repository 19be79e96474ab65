//! All instances that a process knows.

use std::collections::HashMap;

use coursestand_model::{BackendId, Millis};

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
}

/// All instances by identity.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    known: HashMap<BackendId, Known>,
}

impl InstanceTable {
    /// Takes news in. Returns the instances that changed: this one, and those
    /// whose address it has taken over.
    pub fn merge(&mut self, now: Millis, news: InstanceNews) -> Vec<BackendId> {
        let id = news.instance.id.clone();
        let cold_until = now + news.cold_ms;
        let Some(known) = self.known.get_mut(&id) else {
            return self.insert(now, news, cold_until);
        };
        let mut changed = false;
        if news.instance.sequence > known.instance.sequence {
            known.heard_at = now;
            changed = update(known, news.instance.clone(), cold_until);
        }
        // The phase moves forward whatever the sequence: leaving never turns back.
        if news.instance.phase > known.instance.phase {
            known.instance.phase = news.instance.phase;
            changed = true;
        }
        if changed { vec![id] } else { Vec::new() }
    }

    fn insert(&mut self, now: Millis, news: InstanceNews, cold_until: Millis) -> Vec<BackendId> {
        let id = news.instance.id.clone();
        let mut changed = if news.instance.phase == InstancePhase::Ready {
            self.end_predecessors(&news.instance)
        } else {
            Vec::new()
        };
        changed.push(id.clone());
        let known = Known {
            instance: news.instance,
            cold_until,
            heard_at: now,
        };
        self.known.insert(id, known);
        changed
    }

    /// Two instances can't share an address: the one that came later has it.
    fn end_predecessors(&mut self, newcomer: &Instance) -> Vec<BackendId> {
        let mut ended = Vec::new();
        for (id, known) in &mut self.known {
            let lives = known.instance.phase != InstancePhase::Gone;
            if lives && known.instance.address == newcomer.address {
                known.instance.phase = InstancePhase::Gone;
                ended.push(id.clone());
            }
        }
        ended
    }

    /// Ends an instance. Returns whether that is news.
    pub fn end(&mut self, id: &BackendId) -> bool {
        let Some(known) = self.known.get_mut(id) else {
            return false;
        };
        let is_news = known.instance.phase != InstancePhase::Gone;
        known.instance.phase = InstancePhase::Gone;
        is_news
    }

    /// Another process heard the instance lately.
    pub fn heard(&mut self, now: Millis, id: &BackendId) {
        if let Some(known) = self.known.get_mut(id) {
            known.heard_at = now;
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
    /// ended long ago. Returns those ended now.
    pub fn expire(&mut self, now: Millis, silence: Millis) -> Vec<BackendId> {
        let mut ended = Vec::new();
        for (id, known) in &mut self.known {
            let is_silent = now.saturating_sub(known.heard_at) > silence;
            if is_silent && known.instance.phase != InstancePhase::Gone {
                known.instance.phase = InstancePhase::Gone;
                ended.push(id.clone());
            }
        }
        self.known.retain(|_, known| {
            known.instance.phase != InstancePhase::Gone
                || now.saturating_sub(known.heard_at) < silence + TOMBSTONE_MS
        });
        ended
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

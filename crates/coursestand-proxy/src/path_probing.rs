//! Chooses the back ends that are probed to find out whether this daemon is partitioned, and those
//! that are probed to corroborate a crash.

use coursestand_discovery::Instance;
use coursestand_model::Millis;
use coursestand_routing::Backend;
use coursestand_routing::paths::DueProbe;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::edge_state::RoutingState;
use crate::phases::{CrashReferences, Target};

/// Back ends that are probed to find out whether this daemon is partitioned: many, since most
/// back ends of the scope may have crashed.
const BACKENDS_PER_SUSPICION: usize = 16;
/// Back ends that are probed to find out whether a partition has ended.
const BACKENDS_PER_PARTITION: usize = 3;
/// Back ends of each kind that are probed when one seems to have crashed.
const REFERENCES_OF_A_KIND: usize = 2;

/// Returns the back ends of a scope to probe: of different zones and services as far as possible, and
/// those that have not failed first.
pub(crate) fn instances_to_probe(
    routing: &RoutingState,
    now: Millis,
    due: &DueProbe,
) -> Vec<Instance> {
    let count = match due.is_suspected {
        true => BACKENDS_PER_SUSPICION,
        false => BACKENDS_PER_PARTITION,
    };
    let DueProbe { scope, failed, .. } = due;
    let in_scope = routing
        .backends
        .iter()
        .filter(|backend| backend.is_ready() && scope.contains(&backend.instance));
    let mut candidates: Vec<&Backend> = in_scope.collect();
    candidates.shuffle(&mut rand::rng());
    candidates.sort_by_key(|backend| {
        failed.contains(&backend.incarnation_hash) || backend.is_ejected(now)
    });
    let mut chosen: Vec<&Instance> = Vec::new();
    for is_distinct in [true, false] {
        for candidate in candidates.iter().map(|backend| &backend.instance) {
            let is_excluded = chosen.iter().any(|other| match is_distinct {
                true => other.zone == candidate.zone && other.service == candidate.service,
                false => other.id == candidate.id,
            });
            if chosen.len() < count && !is_excluded {
                chosen.push(candidate);
            }
        }
    }
    chosen.into_iter().cloned().collect()
}

/// Returns back ends to probe when `target` seems to have crashed: sound ones that share its
/// service, its zone or both.
pub(crate) fn crash_references(
    routing: &RoutingState,
    now: Millis,
    target: &Target,
) -> CrashReferences {
    let sample = |is_reference: &dyn Fn(&Instance) -> bool| {
        let sound = routing
            .backends
            .iter()
            .filter(|backend| backend.instance.id != *target.id() && !backend.is_ejected(now));
        let references = sound.map(|backend| &backend.instance);
        references
            .filter(|instance| is_reference(instance))
            .cloned()
            .sample(&mut rand::rng(), REFERENCES_OF_A_KIND)
    };
    let (service, zone) = (&target.service, &target.zone);
    CrashReferences {
        near: sample(&|other| other.service == *service && other.zone == *zone),
        service: sample(&|other| other.service == *service && other.zone != *zone),
        zone: sample(&|other| other.service != *service && other.zone == *zone),
    }
}

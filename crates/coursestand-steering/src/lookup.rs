//! Selects the entry daemons that a caller should use: those with the lowest latency
//! first. Callers of one zone are spread evenly over daemons of equal latency.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use coursestand_coordination::tables::{MemberPhase, Tables};
use coursestand_model::{Bundle, ZoneId};

/// An entry daemon in the answer to a look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDaemon {
    /// Name of the daemon.
    pub name: String,
    /// `IP:port`.
    pub address: String,
    /// Zone in which it runs.
    pub zone: ZoneId,
}

/// Entry daemons of equal latency.
type Tier = Vec<EntryDaemon>;

/// Entry daemons by client zone, in tiers of increasing latency.
#[derive(Clone, Debug, Default)]
pub struct EntryDirectory {
    by_zone: BTreeMap<ZoneId, Vec<Tier>>,
}

impl EntryDirectory {
    /// Builds the tiers of serving members for every zone of the bundle.
    pub fn new(bundle: &Bundle, tables: &Tables) -> EntryDirectory {
        let serving: Vec<EntryDaemon> = tables
            .members
            .iter()
            .filter(|(_, member)| member.phase == MemberPhase::Serving)
            .filter_map(|(name, member)| {
                Some(EntryDaemon {
                    name: name.clone(),
                    address: member.address.clone()?,
                    zone: member.zone.clone(),
                })
            })
            .collect();
        let by_zone = bundle
            .zones()
            .map(|origin| (origin.clone(), tiers(bundle, origin, &serving)))
            .collect();
        EntryDirectory { by_zone }
    }

    /// Returns up to `limit` entry daemons for `client` in `origin`, in the order in
    /// which to try them.
    pub fn lookup(&self, origin: &ZoneId, client: &str, limit: usize) -> Vec<&EntryDaemon> {
        let Some(tiers) = self.by_zone.get(origin) else {
            return Vec::new();
        };
        let seed = hash_of(client);
        let mut chosen = Vec::with_capacity(limit);
        for tier in tiers {
            let start = (seed % tier.len().max(1) as u64) as usize;
            let wanted = limit - chosen.len();
            chosen.extend(tier.iter().cycle().skip(start).take(wanted.min(tier.len())));
            if chosen.len() == limit {
                break;
            }
        }
        chosen
    }
}

fn tiers(bundle: &Bundle, origin: &ZoneId, serving: &[EntryDaemon]) -> Vec<Tier> {
    let mut sorted: Vec<(f64, &EntryDaemon)> = serving
        .iter()
        .map(|daemon| (bundle.latency_between(origin, &daemon.zone), daemon))
        .collect();
    sorted.sort_by(|left, right| left.0.total_cmp(&right.0));
    sorted
        .chunk_by(|left, right| left.0 == right.0)
        .map(|tier| tier.iter().map(|(_, daemon)| (*daemon).clone()).collect())
        .collect()
}

fn hash_of(client: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    client.hash(&mut hasher);
    hasher.finish()
}

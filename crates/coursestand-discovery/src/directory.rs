//! The entry daemons, and which of them a client is told to use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coursestand_model::{Millis, RegionId, ZoneId};
use serde::{Deserialize, Serialize};

/// Whether an entry daemon takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EdgePhase {
    /// Has no catalog yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes what it has; look-ups must not name it.
    Draining,
}

/// What an entry daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeRecord {
    /// Its name.
    pub name: String,
    /// Which run of it this is: a number drawn at its start.
    pub incarnation: u64,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Whether it takes requests.
    pub phase: EdgePhase,
}

/// Part of its link's speed that an entry daemon uses, in percent. More than 100
/// can't be measured for long.
pub type LinkUse = u8;

/// Up to this use nobody waits for the link, and evening out gains nothing.
const UNCROWDED_LINK: f64 = 35.0;
/// Part of the excess over the mean that one look-up takes away. Clients ask about
/// once a second and the use is known a second or two late: more would overshoot.
const EVENING_GAIN: f64 = 0.5;

/// A control process that vouches for an entry daemon.
pub type Witness = SocketAddr;

/// One run of an entry daemon. Runs are told apart by a random number: the time
/// of day may jump back between two starts, so it can't order them.
type Run = (String, u64);

#[derive(Clone, Debug)]
struct Entry {
    record: EdgeRecord,
    /// How much of its link it uses, as far as it is known here.
    link_use: Option<LinkUse>,
    /// Control processes that are connected with it.
    witnesses: BTreeSet<Witness>,
}

/// All entry daemons. A run of one counts as alive while any control process
/// that is itself alive is connected with it.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    runs: BTreeMap<Run, Entry>,
}

impl Directory {
    /// `witness` is connected with this run of the daemon, and with no other run
    /// of it any more. Returns whether that is news.
    pub fn connect(&mut self, witness: Witness, record: &EdgeRecord) -> bool {
        let run = (record.name.clone(), record.incarnation);
        for (other, entry) in &mut self.runs {
            if other.0 == run.0 && *other != run {
                entry.witnesses.remove(&witness);
            }
        }
        self.runs.retain(|_, entry| !entry.witnesses.is_empty());
        let entry = self.runs.entry(run).or_insert_with(|| Entry {
            record: record.clone(),
            link_use: None,
            witnesses: BTreeSet::new(),
        });
        let is_new_witness = entry.witnesses.insert(witness);
        // Within one run the phase only moves forward.
        let is_new_phase = record.phase > entry.record.phase;
        if is_new_phase {
            entry.record = record.clone();
        }
        is_new_witness || is_new_phase
    }

    /// `witness` lost its connection with that run of the daemon. Returns
    /// whether that is news.
    pub fn disconnect(&mut self, witness: Witness, name: &str, incarnation: u64) -> bool {
        let run = (name.to_owned(), incarnation);
        let Some(entry) = self.runs.get_mut(&run) else {
            return false;
        };
        let is_news = entry.witnesses.remove(&witness);
        if entry.witnesses.is_empty() {
            self.runs.remove(&run);
        }
        is_news
    }

    /// `witness` is no longer heard: what it said counts no more.
    pub fn drop_witness(&mut self, witness: Witness) {
        self.runs.retain(|_, entry| {
            entry.witnesses.remove(&witness);
            !entry.witnesses.is_empty()
        });
    }

    /// Runs that some live control process is connected with.
    pub fn connected(&self) -> impl Iterator<Item = &EdgeRecord> {
        self.runs.values().map(|entry| &entry.record)
    }

    /// Runs that `witness` is connected with.
    pub fn seen_by(&self, witness: Witness) -> impl Iterator<Item = &EdgeRecord> {
        self.runs
            .values()
            .filter(move |entry| entry.witnesses.contains(&witness))
            .map(|entry| &entry.record)
    }

    /// That run of a daemon uses this much of its link.
    pub fn note_link_use(&mut self, name: &str, incarnation: u64, link_use: LinkUse) {
        let run = (name.to_owned(), incarnation);
        if let Some(entry) = self.runs.get_mut(&run) {
            entry.link_use = Some(link_use);
        }
    }

    /// Addresses for a client in `zone` of `region`: the ready daemons of its
    /// region, those of its zone first; when there are none, all ready ones. Those
    /// whose links are used more than the others' are left out of some answers;
    /// `draw` gives numbers in `0.0..1.0` by chance.
    pub fn resolve(
        &self,
        region: &RegionId,
        zone: &ZoneId,
        most: usize,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<SocketAddr> {
        let ready: Vec<&Entry> = self
            .runs
            .values()
            .filter(|entry| entry.record.phase == EdgePhase::Ready)
            .collect();
        let mut near: Vec<&Entry> = ready
            .iter()
            .copied()
            .filter(|entry| entry.record.region == *region)
            .collect();
        if near.is_empty() {
            near = ready;
        }
        near.sort_by_key(|entry| entry.record.zone != *zone);
        let mean = mean_link_use(&near);
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut left_out: Vec<SocketAddr> = Vec::new();
        for entry in near {
            let address = entry.record.address;
            if addresses.contains(&address) || addresses.len() >= most {
                continue;
            }
            if draw() < entry.excess(mean) {
                left_out.push(address);
            } else {
                addresses.push(address);
            }
        }
        if addresses.is_empty() {
            return left_out;
        }
        addresses
    }
}

impl Entry {
    /// Part of the answers that leave this daemon out, so that the use of the
    /// links evens out.
    fn excess(&self, mean: f64) -> f64 {
        match self.link_use.map(f64::from) {
            Some(link_use) if link_use > mean.max(UNCROWDED_LINK) => {
                EVENING_GAIN * (link_use - mean) / link_use
            }
            _ => 0.0,
        }
    }
}

/// The mean of those whose use is known.
fn mean_link_use(entries: &[&Entry]) -> f64 {
    let known: Vec<f64> = entries
        .iter()
        .filter_map(|entry| entry.link_use.map(f64::from))
        .collect();
    known.iter().sum::<f64>() / known.len().max(1) as f64
}

/// Time after which a silent control process vouches for nobody.
pub const WITNESS_SILENCE_MS: Millis = 3_000;

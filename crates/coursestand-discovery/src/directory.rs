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
    /// Where its admin interface tells whether it is ready.
    pub admin_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Whether it takes requests.
    pub phase: EdgePhase,
}

/// Part of its link's speed that the requests which reach an entry daemon need, in
/// percent: more than 100 when it refuses some for want of room.
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
    /// Runs that fell silent and may only be cut off from control.
    suspects: BTreeMap<Run, Suspect>,
}

/// A run that fell silent, with what other entry daemons say of it.
#[derive(Clone, Debug)]
struct Suspect {
    record: EdgeRecord,
    since: Millis,
    /// Until when it is named, because another one reached it.
    vouched_until: Millis,
}

/// A suspect is named for this long after another entry daemon found it ready.
const VOUCH_MS: Millis = 2_500;
/// A suspect that nobody vouches for any more is given up after this time.
const SUSPICION_MS: Millis = 20_000;

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
        self.suspects.retain(|other, _| other.0 != run.0);
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

    /// A ready run fell silent. It may be dead, or cut off from control and serving
    /// on: other entry daemons are to find out (indirect probes, after SWIM by Das,
    /// Gupta and Motivala, 2002).
    pub fn suspect(&mut self, now: Millis, record: &EdgeRecord) {
        if record.phase != EdgePhase::Ready {
            return;
        }
        let run = (record.name.clone(), record.incarnation);
        self.suspects.entry(run).or_insert_with(|| Suspect {
            record: record.clone(),
            since: now,
            vouched_until: now,
        });
    }

    /// Another entry daemon found the suspect ready.
    pub fn vouch(&mut self, now: Millis, name: &str, incarnation: u64) {
        let run = (name.to_owned(), incarnation);
        if let Some(suspect) = self.suspects.get_mut(&run) {
            suspect.vouched_until = now + VOUCH_MS;
        }
    }

    /// Suspects that want a probe, less those that were given up.
    pub fn suspects(&mut self, now: Millis) -> Vec<EdgeRecord> {
        self.suspects.retain(|_, suspect| {
            let last = suspect.vouched_until.max(suspect.since);
            now < last + SUSPICION_MS
        });
        let suspects = self.suspects.values();
        suspects.map(|suspect| suspect.record.clone()).collect()
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
        now: Millis,
        region: &RegionId,
        zone: &ZoneId,
        most: usize,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<SocketAddr> {
        let ready = self.ready(now);
        let mut near: Vec<Candidate<'_>> = ready
            .iter()
            .copied()
            .filter(|candidate| candidate.record.region == *region)
            .collect();
        if near.is_empty() {
            near = ready;
        }
        near.sort_by_key(|candidate| candidate.record.zone != *zone);
        let mean = mean_link_use(&near);
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut left_out: Vec<SocketAddr> = Vec::new();
        for candidate in near {
            let address = candidate.record.address;
            if addresses.contains(&address) || addresses.len() >= most {
                continue;
            }
            if draw() < candidate.excess(mean) {
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

    /// Daemons that take requests: those that control is connected with, and
    /// suspects that others vouch for.
    fn ready(&self, now: Millis) -> Vec<Candidate<'_>> {
        let connected = self.runs.values().map(|entry| Candidate {
            record: &entry.record,
            link_use: entry.link_use,
        });
        let vouched = self.suspects.values().filter_map(|suspect| {
            (now < suspect.vouched_until).then_some(Candidate {
                record: &suspect.record,
                link_use: None,
            })
        });
        connected
            .chain(vouched)
            .filter(|candidate| candidate.record.phase == EdgePhase::Ready)
            .collect()
    }
}

/// A daemon that a look-up may name.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    record: &'a EdgeRecord,
    link_use: Option<LinkUse>,
}

impl Candidate<'_> {
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
fn mean_link_use(candidates: &[Candidate<'_>]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate.link_use.map(f64::from))
        .collect();
    known.iter().sum::<f64>() / known.len().max(1) as f64
}

/// Time after which a silent control process vouches for nobody.
pub const WITNESS_SILENCE_MS: Millis = 3_000;

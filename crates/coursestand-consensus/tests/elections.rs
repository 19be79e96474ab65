//! How long a group is without a leader after all of it restarted, and after its
//! leader went: on an emulated network, over many seeds.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Replica, ReplicaId, Restored, Snapshot,
};
use googletest::prelude::*;

/// One way between two replicas, in milliseconds.
const LATENCY_MS: u64 = 36;
/// A sync of the disk.
const SYNC_MS: u64 = 5;
const STEP_MS: u64 = 5;
const SEEDS: u64 = 300;
const GIVE_UP_MS: u64 = 60_000;

struct Envelope {
    due: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

struct Network {
    now: u64,
    replicas: BTreeMap<ReplicaId, Replica>,
    envelopes: Vec<Envelope>,
    /// Directions in which nothing arrives.
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
}

impl Network {
    /// `alive` of `members` replicas start within a few steps of each other, with
    /// the same log.
    fn restarted(members: u64, alive: u64, seed: u64) -> Network {
        let voters = (1..=members).map(|id| (id, format!("replica-{id}")));
        let snapshot = Snapshot {
            membership: Membership::of_voters(voters.collect::<Vec<_>>()),
            ..Snapshot::default()
        };
        let replicas = (1..=alive).map(|id| {
            let restored = Restored {
                hard_state: HardState {
                    term: 1,
                    voted_for: None,
                },
                snapshot: snapshot.clone(),
                entries: Vec::<Entry>::new(),
            };
            let config = Config::new(id, seed * 1_000 + id);
            (id, Replica::new(config, restored, id * STEP_MS))
        });
        Network {
            now: 0,
            replicas: replicas.collect(),
            envelopes: Vec::new(),
            cuts: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let (arrived, waiting) = std::mem::take(&mut self.envelopes)
            .into_iter()
            .partition(|envelope| envelope.due <= self.now);
        self.envelopes = waiting;
        for envelope in arrived {
            if let Some(replica) = self.replicas.get_mut(&envelope.to) {
                replica.step(self.now, envelope.from, envelope.message);
            }
        }
        for (id, replica) in &mut self.replicas {
            replica.tick(self.now);
            let ready = replica.ready();
            replica.persisted(self.now, &ready);
            let at_once = ready.messages.iter().map(|sent| (0, sent));
            let after_sync = ready.messages_after_sync.iter().map(|sent| (SYNC_MS, sent));
            for (delay, (to, message)) in at_once.chain(after_sync) {
                if !self.cuts.contains(&(*id, *to)) {
                    self.envelopes.push(Envelope {
                        due: self.now + delay + LATENCY_MS,
                        from: *id,
                        to: *to,
                        message: message.clone(),
                    });
                }
            }
        }
    }

    fn leader(&self) -> Option<ReplicaId> {
        let mut replicas = self.replicas.iter();
        replicas
            .find(|(_, replica)| replica.is_leader())
            .map(|(id, _)| *id)
    }

    /// Time until there is a leader.
    fn time_to_leader(&mut self) -> u64 {
        let started = self.now;
        while self.leader().is_none() && self.now < started + GIVE_UP_MS {
            self.step();
        }
        self.now - started
    }
}

/// Times over all seeds, in order.
fn times(mut measure: impl FnMut(u64) -> u64) -> Vec<u64> {
    let mut times: Vec<u64> = (0..SEEDS).map(&mut measure).collect();
    times.sort_unstable();
    times
}

fn percentile(times: &[u64], percent: usize) -> u64 {
    times[times.len() * percent / 100]
}

fn election_timeout() -> u64 {
    Config::new(1, 0).election_timeout
}

/// With just a majority left, every vote is needed: any two candidates at once
/// would split them.
#[gtest]
fn a_bare_majority_that_restarts_together_elects_in_its_first_try() {
    let times = times(|seed| Network::restarted(5, 3, seed).time_to_leader());
    expect_that!(percentile(&times, 50), le(election_timeout() * 3 / 2));
    expect_that!(percentile(&times, 95), le(election_timeout() * 9 / 4));
    expect_that!(times.last(), some(le(&(election_timeout() * 4))));
}

#[gtest]
fn a_whole_group_that_restarts_together_elects_in_its_first_try() {
    let times = times(|seed| Network::restarted(5, 5, seed).time_to_leader());
    expect_that!(percentile(&times, 95), le(election_timeout() * 7 / 4));
    expect_that!(times.last(), some(le(&(election_timeout() * 3))));
}

/// After a restart of all there is no leader whose silence must be waited for.
#[gtest]
fn a_group_that_restarts_together_need_not_wait_for_an_election_timeout() {
    for running in [3, 5] {
        let times = times(|seed| Network::restarted(5, running, seed).time_to_leader());
        expect_that!(percentile(&times, 50), le(election_timeout()));
        expect_that!(percentile(&times, 95), le(election_timeout() * 3 / 2));
    }
}

/// A replica whose requests arrive but which hears no answer must not hold the
/// others back, whatever its place in the order of rivals.
#[gtest]
fn a_candidate_that_hears_nothing_does_not_hold_the_others_back() {
    for deaf in [1, 2, 3, 4] {
        let times = times(|seed| {
            let mut network = Network::restarted(5, 4, seed);
            for other in 1..=4 {
                network.cuts.insert((other, deaf));
            }
            network.time_to_leader()
        });
        expect_that!(percentile(&times, 95), le(election_timeout() * 5 / 2));
        expect_that!(times.last(), some(le(&(election_timeout() * 6))));
    }
}

//! Time until a leader is elected after all replicas restart, on an emulated network,
//! over many seeds.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Replica, ReplicaId, Restored, Snapshot,
};
use googletest::prelude::*;

/// One-way latency between two replicas.
const LATENCY_MS: u64 = 36;
/// Duration of a disk sync.
const SYNC_MS: u64 = 5;
const TICK_MS: u64 = 5;
const SEEDS: u64 = 300;
const MAX_WAIT_MS: u64 = 60_000;

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
    /// Directed links on which all messages are lost.
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
}

impl Network {
    /// Starts `running_count` of `members` replicas within a few ticks of each other, with
    /// the same log.
    fn restarted(members: u64, running_count: u64, seed: u64) -> Network {
        let voters = (1..=members).map(|id| (id, format!("replica-{id}")));
        let snapshot = Snapshot {
            membership: Membership::of_voters(voters.collect::<Vec<_>>()),
            ..Snapshot::default()
        };
        let replicas = (1..=running_count).map(|id| {
            let restored = Restored {
                hard_state: HardState {
                    term: 1,
                    voted_for: None,
                },
                snapshot: snapshot.clone(),
                entries: Vec::<Entry>::new(),
            };
            let config = Config::new(id, seed * 1_000 + id);
            (id, Replica::new(config, restored, id * TICK_MS))
        });
        Network {
            now: 0,
            replicas: replicas.collect(),
            envelopes: Vec::new(),
            blocked_links: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now += TICK_MS;
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
            let immediate = ready.messages.iter().map(|sent| (0, sent));
            let after_sync = ready.messages_after_sync.iter().map(|sent| (SYNC_MS, sent));
            for (delay, (to, message)) in immediate.chain(after_sync) {
                if !self.blocked_links.contains(&(*id, *to)) {
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

    /// Returns the time in ms until there is a leader.
    fn time_to_leader(&mut self) -> u64 {
        let started = self.now;
        while self.leader().is_none() && self.now < started + MAX_WAIT_MS {
            self.step();
        }
        self.now - started
    }
}

/// Returns the sorted times of all seeds.
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

/// With a bare majority every vote is needed: two candidates at once would split the
/// votes.
#[gtest]
fn a_bare_majority_that_restarts_together_elects_without_a_split_vote() {
    let times = times(|seed| Network::restarted(5, 3, seed).time_to_leader());
    expect_that!(percentile(&times, 50), le(election_timeout() * 3 / 2));
    expect_that!(percentile(&times, 95), le(election_timeout() * 9 / 4));
    expect_that!(times.last(), some(le(&(election_timeout() * 4))));
}

#[gtest]
fn a_whole_group_that_restarts_together_elects_without_a_split_vote() {
    let times = times(|seed| Network::restarted(5, 5, seed).time_to_leader());
    expect_that!(percentile(&times, 95), le(election_timeout() * 7 / 4));
    expect_that!(times.last(), some(le(&(election_timeout() * 3))));
}

/// After a restart a replica waits only until a leader lease from before it has expired,
/// which takes less than an election timeout.
#[gtest]
fn a_group_that_restarts_together_does_not_wait_for_an_election_timeout() {
    for running in [3, 5] {
        let times = times(|seed| Network::restarted(5, running, seed).time_to_leader());
        expect_that!(percentile(&times, 50), le(election_timeout()));
        expect_that!(percentile(&times, 95), le(election_timeout() * 3 / 2));
    }
}

/// A replica whose requests arrive but which receives no answers must not block the
/// others, regardless of its precedence among the candidates.
#[gtest]
fn a_candidate_that_receives_no_answers_does_not_block_the_others() {
    for unreachable in [1, 2, 3, 4] {
        let times = times(|seed| {
            let mut network = Network::restarted(5, 4, seed);
            for other in 1..=4 {
                network.blocked_links.insert((other, unreachable));
            }
            network.time_to_leader()
        });
        expect_that!(percentile(&times, 95), le(election_timeout() * 5 / 2));
        expect_that!(times.last(), some(le(&(election_timeout() * 6))));
    }
}

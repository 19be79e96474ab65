//! Replicas that must answer one which their own logs do not name.
//!
//! Each play needs the answer: without learned addresses it does not end.

use proptest::test_runner::TestCaseError;
use rand::SeedableRng;
use rand::rngs::StdRng;

use coursestand_consensus::{HardState, Replica, Storage, Term};

use crate::faults::Fault;
use crate::group::{FIVE_REPLICAS, Group};
use crate::node::{Rules, SIZES, Sizes};

const COMPACTED: Sizes = SIZES[0];
const WHOLE_LOG: Sizes = SIZES[1];
/// Steps within which an election, a transfer or a membership change must end.
const STEPS: usize = 1_000;
/// Steps between two attempts to transfer the leadership, longer than one takes.
const TRANSFER_STEPS: usize = 100;
/// Steps in which the leader that transfers its leadership does not step down by itself.
const STEPS_OF_TRANSFER: usize = 50;
/// Steps after its start in which a replica only answers.
const STEPS_BEFORE_PRE_VOTE: usize = 30;
const SEEDS: u64 = 20;

type Play = fn(&mut Group) -> Result<(), TestCaseError>;

fn five_replicas(seed: u64, learns_addresses: bool, sizes: Sizes) -> Group {
    let rules = Rules {
        learns_addresses,
        ..Rules::default()
    };
    let mut group = Group::of_shape(StdRng::seed_from_u64(seed), rules, FIVE_REPLICAS, sizes);
    group.has_faults = false;
    group
}

/// Plays with and without learned addresses.
fn expect_to_need_learned_addresses(sizes: Sizes, play: Play) {
    for seed in 0..SEEDS {
        let with = play(&mut five_replicas(seed, true, sizes));
        assert!(with.is_ok(), "seed {seed}: {with:?}");
        let without = play(&mut five_replicas(seed, false, sizes));
        assert!(without.is_err(), "seed {seed} ends without them");
    }
}

impl Group {
    fn run_until(
        &mut self,
        what: &str,
        is_done: impl Fn(&Group) -> bool,
    ) -> Result<(), TestCaseError> {
        for _ in 0..STEPS {
            if is_done(self) {
                return Ok(());
            }
            self.step()?;
        }
        Err(self.failure(&format!("not within {STEPS} steps: {what}")))
    }

    fn run_for(&mut self, steps: usize) -> Result<(), TestCaseError> {
        for _ in 0..steps {
            self.step()?;
        }
        Ok(())
    }

    fn leads(&self, place: usize) -> bool {
        self.nodes[place]
            .replica
            .as_ref()
            .is_some_and(Replica::is_leader)
    }

    fn term(&self, place: usize) -> Term {
        self.nodes[place].replica.as_ref().map_or(0, Replica::term)
    }

    fn cut(&mut self, from: u8, to: u8) -> Result<(), TestCaseError> {
        self.apply(&Fault::Cut { from, to })
    }

    fn has_member_at(&self, place: usize) -> bool {
        let members = &self.committed_membership.members;
        members.contains_key(&self.nodes[place].id)
    }

    fn votes(&self, place: usize) -> bool {
        let id = self.nodes[place].id;
        self.committed_membership.is_voter(id)
    }

    /// Loses the messages under way, which could tell a replica what it is not to know.
    fn lose_messages(&mut self) {
        self.network.clear();
    }

    fn crash(&mut self, place: u8) -> Result<(), TestCaseError> {
        self.apply(&Fault::Crash {
            node: place,
            before_sync: false,
        })
    }

    /// Makes the replica at a place the leader, and waits until it has committed its whole log.
    fn lead_at(&mut self, place: u8) -> Result<(), TestCaseError> {
        let place = usize::from(place);
        for step in 0..STEPS {
            // Refused until the target votes by the log of the leader.
            if step % TRANSFER_STEPS == 0 && !self.leads(place) {
                self.transfer(place);
            }
            self.step()?;
            if self.leads(place) && self.has_committed_all(place) {
                return Ok(());
            }
        }
        Err(self.failure("the leadership was not transferred"))
    }

    fn has_committed_all(&self, place: usize) -> bool {
        let replica = self.nodes[place].replica.as_ref();
        replica.is_some_and(|replica| replica.commit_index() == replica.log().last_index())
    }

    fn lose_disk(&mut self, place: u8) -> Result<(), TestCaseError> {
        self.apply(&Fault::LoseDisks { nodes: vec![place] })
    }

    /// Replaces the replica at place 0 while that at place 4 is down, so that the log of the latter
    /// does not name the replacement.
    fn replace_unheard(&mut self) -> Result<(), TestCaseError> {
        self.lead_at(1)?;
        self.crash(4)?;
        self.lose_disk(0)?;
        self.run_until("the replacement votes", |group| group.votes(0))
    }

    /// As above; the replica at place 2 knows the replacement, but not that it votes.
    fn replace_almost_unheard(&mut self) -> Result<(), TestCaseError> {
        self.lead_at(1)?;
        self.crash(4)?;
        let lost = self.nodes[0].id;
        self.lose_disk(0)?;
        self.run_until("the lost replica is removed", |group| {
            !group.committed_membership.members.contains_key(&lost)
        })?;
        self.crash(2)?;
        self.run_until("the replacement votes", |group| group.votes(0))
    }
}

/// The incident: two disks are lost for the second time, and the leader has lost its own before.
/// The first entries that the learners get name neither it nor the other replacements.
#[test]
fn two_disks_may_be_lost_again_after_a_long_history() {
    expect_to_need_learned_addresses(WHOLE_LOG, |group| {
        group.lead_at(2)?;
        group.lose_disk(4)?;
        group.run_until("the first replacement votes", Group::is_complete)?;
        group.apply(&Fault::ProposeMany { commands: 320 })?;
        group.apply(&Fault::LoseDisks { nodes: vec![0, 1] })?;
        group.run_until("the next replacements vote", Group::is_complete)?;
        group.lead_at(0)?;
        group.apply(&Fault::LoseDisks { nodes: vec![2, 3] })?;
        group.run_until("the last replacements vote", Group::is_complete)?;
        group.apply(&Fault::LosePower { lost: vec![1, 4] })?;
        group.recover()
    });
}

/// The only replica with all committed entries is one that a voter which it needs has not heard
/// of. A change of the membership is on a majority of the disks before the next one, so there is
/// at most one such voter among the three that are left.
#[test]
fn voters_elect_a_candidate_that_their_logs_do_not_name() {
    expect_to_need_learned_addresses(WHOLE_LOG, |group| {
        group.replace_almost_unheard()?;
        group.lose_messages();
        group.apply(&Fault::LosePower { lost: vec![1, 3] })?;
        group.run_until("the replacement leads", |group| group.leads(0))?;
        group.recover()
    });
}

/// A replica that has joined, but has no entry yet, returns to a leader that was promoted since.
#[test]
fn a_learner_gets_a_snapshot_from_a_leader_that_its_log_does_not_name() {
    expect_to_need_learned_addresses(COMPACTED, |group| {
        group.lead_at(2)?;
        group.apply(&Fault::ProposeMany { commands: 200 })?;
        group.run_until("a compacted log", |group| {
            let replica = group.nodes[2].replica.as_ref();
            replica.is_some_and(|replica| replica.log().snapshot().index > 0)
        })?;
        group.apply(&Fault::LoseDisks { nodes: vec![0, 1] })?;
        group.run_until("the learner has joined", |group| group.nodes[1].has_joined)?;
        group.crash(1)?;
        group.run_until("the other replacement votes", |group| group.votes(0))?;
        group.lead_at(0)?;
        group.lose_messages();
        group.apply(&Fault::Restart { node: 1 })?;
        group.run_until("the learner votes", |group| group.votes(1))?;
        group.recover()
    });
}

/// A voter in a later term follows no leader of an earlier one, which must learn of that term.
#[test]
fn a_leader_learns_of_a_later_term_from_a_voter_whose_log_does_not_name_it() {
    expect_to_need_learned_addresses(WHOLE_LOG, |group| {
        group.replace_unheard()?;
        group.lead_at(0)?;
        let term = group.term(0);
        let restored = group.nodes[4].storage.restored();
        let hard_state = HardState {
            term: term + 1,
            voted_for: None,
        };
        let storage = &mut group.nodes[4].storage;
        storage
            .compact(&restored.snapshot, hard_state, &restored.entries)
            .expect("memory");
        group.lose_messages();
        group.apply(&Fault::Restart { node: 4 })?;
        group.run_for(STEPS_BEFORE_PRE_VOTE)?;
        if group.term(0) <= term {
            return Err(group.failure("the leader has not learned of the term"));
        }
        group.recover()
    });
}

/// The target of a transfer needs the vote of a replica that does not know it.
#[test]
fn leadership_is_transferred_to_the_voter_that_was_promoted_last() {
    expect_to_need_learned_addresses(WHOLE_LOG, |group| {
        group.replace_almost_unheard()?;
        group.run_until("the target has the whole log", |group| {
            group.has_committed_all(0)
        })?;
        group.crash(3)?;
        group.cut(1, 4)?;
        group.lose_messages();
        group.apply(&Fault::Restart { node: 4 })?;
        group.transfer(0);
        group.run_for(STEPS_OF_TRANSFER)?;
        if group.leads(0) {
            return Ok(());
        }
        Err(group.failure("the target does not lead"))
    });
}

/// Plays with learned addresses.
fn expect_to_end(sizes: Sizes, play: Play) {
    for seed in 0..SEEDS {
        let result = play(&mut five_replicas(seed, true, sizes));
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// Entries are under way at each of the changes that replace two disks, twice.
#[test]
fn replacements_vote_while_commands_are_proposed() {
    expect_to_end(WHOLE_LOG, |group| {
        group.lead_at(2)?;
        group.apply(&Fault::ProposeMany { commands: 300 })?;
        group.apply(&Fault::LoseDisks { nodes: vec![0, 1] })?;
        for _ in 0..STEPS {
            group.propose_at_all();
            group.step()?;
        }
        group.run_until("the replacements vote", Group::is_complete)?;
        group.lead_at(0)?;
        group.apply(&Fault::ProposeMany { commands: 300 })?;
        group.apply(&Fault::LosePower { lost: vec![3, 4] })?;
        group.recover()
    });
}

/// A leader that can't commit the admission of a replica has already told it the voters.
#[test]
fn a_replica_that_a_deposed_leader_admitted_joins_the_next_one() {
    expect_to_end(WHOLE_LOG, |group| {
        group.lead_at(1)?;
        for place in 2..5 {
            for with in [0, 1] {
                group.cut(with, place)?;
                group.cut(place, with)?;
            }
        }
        group.lose_disk(0)?;
        group.run_until("it has joined", |group| group.nodes[0].has_joined)?;
        assert!(!group.has_member_at(0));
        group.recover()
    });
}

/// A learner that is cut off follows its last leader, which removes it. Before, it believed in
/// that leader for good, and never asked to join again.
#[test]
fn a_learner_that_was_removed_joins_again() {
    expect_to_end(WHOLE_LOG, |group| {
        group.lead_at(1)?;
        group.apply(&Fault::ProposeMany { commands: 320 })?;
        group.lose_disk(0)?;
        group.run_until("the learner has a leader", |group| {
            let replica = group.nodes[0].replica.as_ref();
            replica.is_some_and(|replica| replica.leader().is_some())
        })?;
        group.apply(&Fault::Isolate { node: 0 })?;
        group.run_until("the learner is added", |group| group.has_member_at(0))?;
        group.run_until("the learner is removed", |group| !group.has_member_at(0))?;
        group.recover()
    });
}

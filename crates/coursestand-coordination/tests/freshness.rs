//! A follower must never believe that its copy holds every acknowledged change while
//! it lacks one. A group of replicas appends, loses its leader, overwrites what was
//! not acknowledged and acknowledges; a follower hears late answers in any order.
//! Nothing that is claimed as proven may miss a change acknowledged before that moment.
#![allow(missing_docs)]

use std::collections::BTreeSet;

use coursestand_coordination::Freshness;
use googletest::prelude::*;
use proptest::prelude::*;

const MEMBERS: [u8; 5] = [1, 2, 3, 4, 5];
const QUORUM: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// These replicas copy the leader's log; with a quorum the entry is acknowledged.
    Append { copies: Vec<u8> },
    /// A replica is asked; its answer is heard `delay` steps later.
    Ask { replica: u8, delay: usize },
    /// The copy takes in what this replica has applied.
    Follow { replica: u8 },
    /// An entry that no quorum holds is dropped everywhere.
    Overwrite,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::sample::subsequence(MEMBERS.to_vec(), 1..=5)
            .prop_map(|copies| Step::Append { copies }),
        (1_u8..=5, 0_usize..12).prop_map(|(replica, delay)| Step::Ask { replica, delay }),
        (1_u8..=5).prop_map(|replica| Step::Follow { replica }),
        Just(Step::Overwrite),
    ]
}

#[derive(Default)]
struct Group {
    /// Last index of each replica's log.
    ends: [u64; 6],
    /// Last acknowledged index, and when each came.
    acknowledged: Vec<(u64, u64)>,
}

impl Group {
    fn last_acknowledged(&self, before: u64) -> u64 {
        let earlier = self.acknowledged.iter().filter(|(at, _)| *at < before);
        earlier.map(|(_, index)| *index).max().unwrap_or(0)
    }

    fn newest_acknowledged(&self) -> u64 {
        self.last_acknowledged(u64::MAX)
    }

    fn append(&mut self, now: u64, copies: &[u8]) {
        let next = self.ends.iter().max().expect("replicas") + 1;
        for replica in copies {
            self.ends[*replica as usize] = next;
        }
        if copies.len() >= QUORUM {
            self.acknowledged.push((now, next));
        }
    }

    fn overwrite(&mut self) {
        let kept = self.newest_acknowledged();
        for end in &mut self.ends {
            *end = (*end).min(kept);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn what_is_proven_lacks_nothing_that_was_acknowledged(steps in prop::collection::vec(step(), 1..60)) {
        let mut group = Group::default();
        let mut freshness = Freshness::default();
        freshness.set_members(BTreeSet::from(MEMBERS), 1);
        let mut covered = 0;
        let mut late: Vec<(usize, u8, u64, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            // Each step takes two ticks: what happens at one is before the next ask.
            let now = 2 * number as u64 + 1;
            match step {
                Step::Append { copies } => group.append(now, &copies),
                Step::Ask { replica, delay } => {
                    late.push((number + delay, replica, now, group.ends[replica as usize]));
                }
                Step::Follow { replica } => {
                    // A replica applies only what it knows to be committed.
                    let applied = group.ends[replica as usize].min(group.newest_acknowledged());
                    covered = covered.max(applied);
                    freshness.cover(applied);
                }
                Step::Overwrite => group.overwrite(),
            }
            late.retain(|(due, replica, asked_at, end)| {
                let is_due = *due <= number;
                if is_due {
                    freshness.note_log_end(*replica, *asked_at, *end);
                }
                !is_due
            });
            if let Some(proven_at) = freshness.proven_at() {
                prop_assert!(covered >= group.last_acknowledged(proven_at));
            }
        }
    }
}

fn of_five() -> Freshness<u8> {
    let mut freshness = Freshness::default();
    freshness.set_members(BTreeSet::from(MEMBERS), 10);
    freshness
}

#[gtest]
fn a_quorum_that_holds_nothing_newer_proves_the_moment_it_was_asked() {
    let mut freshness = of_five();
    freshness.cover(7);
    freshness.note_log_end(1, 100, 7);
    freshness.note_log_end(2, 200, 6);
    expect_that!(freshness.proven_at(), none());
    freshness.note_log_end(3, 150, 7);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_entry_that_only_a_minority_holds_does_not_stand_in_the_way() {
    let mut freshness = of_five();
    freshness.cover(7);
    freshness.note_log_end(1, 100, 8);
    freshness.note_log_end(2, 100, 8);
    for replica in [3, 4, 5] {
        freshness.note_log_end(replica, 100, 7);
    }
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_entry_that_may_be_acknowledged_is_waited_for() {
    let mut freshness = of_five();
    freshness.cover(7);
    for replica in [1, 2, 3] {
        freshness.note_log_end(replica, 100, 8);
    }
    freshness.note_log_end(4, 100, 7);
    expect_that!(freshness.proven_at(), none());
    freshness.cover(8);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_older_list_of_members_is_not_taken() {
    let mut freshness = of_five();
    expect_that!(freshness.set_members(BTreeSet::from([1]), 9), eq(false));
    freshness.note_log_end(1, 100, 0);
    expect_that!(freshness.proven_at(), none());
    expect_that!(freshness.set_members(BTreeSet::from([1]), 11), eq(true));
}

#[gtest]
fn a_stranger_counts_for_nothing() {
    let mut freshness = of_five();
    for stranger in [6, 7, 8] {
        freshness.note_log_end(stranger, 100, 0);
    }
    expect_that!(freshness.proven_at(), none());
}

#[gtest]
fn a_growing_log_does_not_keep_the_proof_away() {
    let mut freshness = Freshness::default();
    freshness.set_members(BTreeSet::from([1, 2, 3]), 1);
    // Two of three answer, and each has applied all but its newest entries.
    for round in 0..20 {
        freshness.cover(round);
        freshness.note_log_end(1 + (round % 2) as u8, round * 75, round + 2);
    }
    expect_that!(freshness.proven_at(), some(ge(16 * 75)));
}

#[gtest]
fn what_a_replica_has_applied_counts_once_the_copy_is_at_its_version() {
    let mut freshness = of_five();
    for replica in [1, 2, 3] {
        freshness.note_log_end(replica, 100, 9);
    }
    freshness.note_applied(7, 9);
    expect_that!(freshness.proven_at(), none());
    freshness.hold(6);
    expect_that!(freshness.proven_at(), none());
    freshness.hold(7);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

/// A step of a follower whose copy comes from elsewhere than what it is told.
#[derive(Clone, Debug)]
enum ToldStep {
    /// Something of the group's own.
    Group(Step),
    /// This replica tells the version that it has applied.
    Tell { replica: u8 },
    /// The copy takes in some of the changes that it was told of.
    Take { changes: u64 },
}

/// One entry in so many changes the followed part of the state.
const CHANGES_EVERY: u64 = 3;

/// Version of the followed part of the state that has applied all up to `index`.
fn version_at(index: u64) -> u64 {
    index - index % CHANGES_EVERY
}

fn told_step() -> impl Strategy<Value = ToldStep> {
    prop_oneof![
        4 => step().prop_map(ToldStep::Group),
        2 => (1_u8..=5).prop_map(|replica| ToldStep::Tell { replica }),
        1 => (1_u64..4).prop_map(|changes| ToldStep::Take { changes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn a_copy_that_lacks_a_followed_change_is_not_proven(steps in prop::collection::vec(told_step(), 1..60)) {
        let mut group = Group::default();
        let mut freshness = Freshness::default();
        freshness.set_members(BTreeSet::from(MEMBERS), 1);
        let mut held = 0;
        let mut told = 0;
        let mut late: Vec<(usize, u8, u64, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = 2 * number as u64 + 1;
            match step {
                ToldStep::Group(Step::Append { copies }) => group.append(now, &copies),
                ToldStep::Group(Step::Overwrite) => group.overwrite(),
                ToldStep::Group(Step::Ask { replica, delay }) => {
                    late.push((number + delay, replica, now, group.ends[replica as usize]));
                }
                ToldStep::Group(Step::Follow { replica }) | ToldStep::Tell { replica } => {
                    let applied = group.ends[replica as usize].min(group.newest_acknowledged());
                    told = applied.max(told);
                    freshness.note_applied(version_at(applied), applied);
                }
                ToldStep::Take { changes } => {
                    held = (held + changes * CHANGES_EVERY).min(version_at(told)).max(held);
                    freshness.hold(held);
                }
            }
            late.retain(|(due, replica, asked_at, end)| {
                let is_due = *due <= number;
                if is_due {
                    freshness.note_log_end(*replica, *asked_at, *end);
                }
                !is_due
            });
            if let Some(proven_at) = freshness.proven_at() {
                prop_assert!(held >= version_at(group.last_acknowledged(proven_at)));
            }
        }
    }
}

//! A follower must never consider its copy complete while it lacks an acknowledged change.
//! A simulated group appends and acknowledges entries, loses its leader and overwrites
//! entries that were not acknowledged; the follower receives delayed answers in any order.
//! A copy that is proven fresh as of some time must contain every change that was
//! acknowledged before that time.
#![allow(missing_docs)]

use std::collections::BTreeSet;

use coursestand_coordination::Freshness;
use googletest::prelude::*;
use proptest::prelude::*;

const MEMBERS: [u8; 5] = [1, 2, 3, 4, 5];
const QUORUM: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// These replicas append an entry, which is acknowledged if they form a quorum.
    Append { copies: Vec<u8> },
    /// A replica is asked; its answer arrives `delay` steps later.
    Ask { replica: u8, delay: usize },
    /// The copy receives all changes that this replica has applied.
    Follow { replica: u8 },
    /// Entries that are not acknowledged are removed from all logs.
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
    /// Time and index of each acknowledged entry.
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
    fn a_copy_proven_fresh_has_all_acknowledged_changes(steps in prop::collection::vec(step(), 1..60)) {
        let mut group = Group::default();
        let mut freshness = Freshness::default();
        freshness.set_members(BTreeSet::from(MEMBERS), 1);
        let mut covered = 0;
        let mut delayed: Vec<(usize, u8, u64, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            // Each step takes two ticks, so that its events precede the next request.
            let now = 2 * number as u64 + 1;
            match step {
                Step::Append { copies } => group.append(now, &copies),
                Step::Ask { replica, delay } => {
                    delayed.push((number + delay, replica, now, group.ends[replica as usize]));
                }
                Step::Follow { replica } => {
                    // A replica applies only committed entries.
                    let applied = group.ends[replica as usize].min(group.newest_acknowledged());
                    covered = covered.max(applied);
                    freshness.advance_covered_index(applied);
                }
                Step::Overwrite => group.overwrite(),
            }
            delayed.retain(|(due, replica, asked_at, end)| {
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

fn freshness_of_five_members() -> Freshness<u8> {
    let mut freshness = Freshness::default();
    freshness.set_members(BTreeSet::from(MEMBERS), 10);
    freshness
}

#[gtest]
fn a_quorum_without_newer_entries_proves_freshness_as_of_the_request() {
    let mut freshness = freshness_of_five_members();
    freshness.advance_covered_index(7);
    freshness.note_log_end(1, 100, 7);
    freshness.note_log_end(2, 200, 6);
    expect_that!(freshness.proven_at(), none());
    freshness.note_log_end(3, 150, 7);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_entry_in_a_minority_of_logs_does_not_prevent_the_proof() {
    let mut freshness = freshness_of_five_members();
    freshness.advance_covered_index(7);
    freshness.note_log_end(1, 100, 8);
    freshness.note_log_end(2, 100, 8);
    for replica in [3, 4, 5] {
        freshness.note_log_end(replica, 100, 7);
    }
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_entry_that_may_be_acknowledged_delays_the_proof() {
    let mut freshness = freshness_of_five_members();
    freshness.advance_covered_index(7);
    for replica in [1, 2, 3] {
        freshness.note_log_end(replica, 100, 8);
    }
    freshness.note_log_end(4, 100, 7);
    expect_that!(freshness.proven_at(), none());
    freshness.advance_covered_index(8);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

#[gtest]
fn an_older_member_list_is_ignored() {
    let mut freshness = freshness_of_five_members();
    expect_that!(freshness.set_members(BTreeSet::from([1]), 9), eq(false));
    freshness.note_log_end(1, 100, 0);
    expect_that!(freshness.proven_at(), none());
    expect_that!(freshness.set_members(BTreeSet::from([1]), 11), eq(true));
}

#[gtest]
fn answers_of_non_members_are_ignored() {
    let mut freshness = freshness_of_five_members();
    for non_member in [6, 7, 8] {
        freshness.note_log_end(non_member, 100, 0);
    }
    expect_that!(freshness.proven_at(), none());
}

#[gtest]
fn a_growing_log_does_not_prevent_the_proof() {
    let mut freshness = Freshness::default();
    freshness.set_members(BTreeSet::from([1, 2, 3]), 1);
    // Two of three replicas answer, and each has applied all but its newest entries.
    for round in 0..20 {
        freshness.advance_covered_index(round);
        freshness.note_log_end(1 + (round % 2) as u8, round * 75, round + 2);
    }
    expect_that!(freshness.proven_at(), some(ge(16 * 75)));
}

#[gtest]
fn an_applied_index_counts_once_the_copy_reaches_its_version() {
    let mut freshness = freshness_of_five_members();
    for replica in [1, 2, 3] {
        freshness.note_log_end(replica, 100, 9);
    }
    freshness.note_applied(7, 9);
    expect_that!(freshness.proven_at(), none());
    freshness.advance_version(6);
    expect_that!(freshness.proven_at(), none());
    freshness.advance_version(7);
    expect_that!(freshness.proven_at(), some(eq(100)));
}

/// A step of a follower that receives changes and reports of versions separately.
#[derive(Clone, Debug)]
enum FollowerStep {
    /// A step of the group.
    Group(Step),
    /// This replica reports the version that it has applied.
    Report { replica: u8 },
    /// The copy receives some of the changes that were reported to it.
    Receive { changes: u64 },
}

/// One entry in this many changes the followed part of the state.
const CHANGE_INTERVAL: u64 = 3;

/// Returns the version of the followed part of the state once all entries up to `index` are
/// applied.
fn version_at(index: u64) -> u64 {
    index - index % CHANGE_INTERVAL
}

fn follower_step() -> impl Strategy<Value = FollowerStep> {
    prop_oneof![
        4 => step().prop_map(FollowerStep::Group),
        2 => (1_u8..=5).prop_map(|replica| FollowerStep::Report { replica }),
        1 => (1_u64..4).prop_map(|changes| FollowerStep::Receive { changes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn a_copy_that_lacks_a_followed_change_is_not_proven_fresh(steps in prop::collection::vec(follower_step(), 1..60)) {
        let mut group = Group::default();
        let mut freshness = Freshness::default();
        freshness.set_members(BTreeSet::from(MEMBERS), 1);
        let mut copied = 0;
        let mut reported = 0;
        let mut delayed: Vec<(usize, u8, u64, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = 2 * number as u64 + 1;
            match step {
                FollowerStep::Group(Step::Append { copies }) => group.append(now, &copies),
                FollowerStep::Group(Step::Overwrite) => group.overwrite(),
                FollowerStep::Group(Step::Ask { replica, delay }) => {
                    delayed.push((number + delay, replica, now, group.ends[replica as usize]));
                }
                FollowerStep::Group(Step::Follow { replica }) | FollowerStep::Report { replica } => {
                    let applied = group.ends[replica as usize].min(group.newest_acknowledged());
                    reported = applied.max(reported);
                    freshness.note_applied(version_at(applied), applied);
                }
                FollowerStep::Receive { changes } => {
                    copied = (copied + changes * CHANGE_INTERVAL).min(version_at(reported)).max(copied);
                    freshness.advance_version(copied);
                }
            }
            delayed.retain(|(due, replica, asked_at, end)| {
                let is_due = *due <= number;
                if is_due {
                    freshness.note_log_end(*replica, *asked_at, *end);
                }
                !is_due
            });
            if let Some(proven_at) = freshness.proven_at() {
                prop_assert!(copied >= version_at(group.last_acknowledged(proven_at)));
            }
        }
    }
}

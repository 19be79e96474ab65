//! Slot leases: for any proposals, the slots that daemons may use at the same time never
//! exceed the capacity of a back end, a region or a link; and the allocator serves demand.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{
    LINK_CAPACITY, Machine, REGION_CAPACITY, SLOTS_PER_BACKEND, daemon, deterministic_config, zone,
};
use coursestand_coordination::allocator::{Demand, fair_shares, plan_slots};
use coursestand_coordination::slots::SlotChange;
use coursestand_coordination::tables::{SlotMap, SlotScope};
use coursestand_coordination::{Command, CommandAnswer, Tables};
use coursestand_model::{BackendId, DaemonId};
use googletest::prelude::*;
use proptest::prelude::*;

const BACKENDS: usize = 8;
const DAEMONS: usize = 5;

/// A daemon that may lag: it uses the slots of the last update that it received.
#[derive(Clone, Debug, Default)]
struct LaggingDaemon {
    received: SlotMap,
}

#[derive(Clone, Debug)]
enum Step {
    Set {
        daemon: usize,
        backend: usize,
        count: u32,
    },
    Receive {
        daemon: usize,
    },
    Confirm {
        daemon: usize,
    },
    Plan {
        wanted: Vec<u32>,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..DAEMONS, 0..BACKENDS, 0..6_u32)
            .prop_map(|(daemon, backend, count)| Step::Set { daemon, backend, count }),
        3 => (0..DAEMONS).prop_map(|daemon| Step::Receive { daemon }),
        3 => (0..DAEMONS).prop_map(|daemon| Step::Confirm { daemon }),
        2 => prop::collection::vec(0..12_u32, DAEMONS).prop_map(|wanted| Step::Plan { wanted }),
    ]
}

/// Checks the limits in the worst case for the back ends: every daemon uses all slots that
/// it last received or all slots that it holds, whichever is more.
fn check_worst_case(machine: &Machine, daemons: &[LaggingDaemon]) -> Result<(), TestCaseError> {
    let tables = machine.state.tables();
    let mut by_backend: BTreeMap<BackendId, u32> = BTreeMap::new();
    let mut by_region = BTreeMap::from([("east", 0), ("west", 0)]);
    let mut east_to_west = 0;
    for (index, lagging) in daemons.iter().enumerate() {
        let held = tables
            .slots
            .get(&daemon(index))
            .cloned()
            .unwrap_or_default();
        let backends: BTreeSet<&BackendId> = held.keys().chain(lagging.received.keys()).collect();
        for backend in backends {
            let used = held
                .get(backend)
                .max(lagging.received.get(backend))
                .copied()
                .unwrap_or(0);
            *by_backend.entry(backend.clone()).or_default() += used;
            let record = tables.backends.get(backend).expect("known");
            let region = if record.zone == zone(0) || record.zone == zone(1) {
                "east"
            } else {
                "west"
            };
            *by_region.entry(region).or_default() += used;
            let is_from_east = index % 4 < 2;
            if is_from_east && region == "west" {
                east_to_west += used;
            }
        }
    }
    prop_assert!(
        by_backend.values().all(|used| *used <= SLOTS_PER_BACKEND),
        "back end: {:?}",
        by_backend
    );
    prop_assert!(
        by_region.values().all(|used| *used <= REGION_CAPACITY),
        "region: {:?}",
        by_region
    );
    prop_assert!(east_to_west <= LINK_CAPACITY, "link: {}", east_to_west);
    Ok(())
}

fn demand_of(wanted: &[u32]) -> Demand {
    let mut demand = Demand::new();
    for (index, wanted) in wanted.iter().enumerate() {
        demand.insert((daemon(index), "desk".into(), zone(index % 4)), *wanted);
    }
    demand
}

proptest! {
    #![proptest_config(deterministic_config(500))]

    #[test]
    fn worst_case_usage_stays_within_every_limit(steps in prop::collection::vec(step(), 1..60)) {
        let mut machine = Machine::started(BACKENDS, DAEMONS);
        let mut lagging = vec![LaggingDaemon::default(); DAEMONS];
        for step in steps {
            match step {
                Step::Set { daemon: index, backend, count } => {
                    machine.apply(Command::AdjustSlots(vec![SlotChange {
                        daemon: daemon(index),
                        backend: format!("backend-{backend}").as_str().into(),
                        count,
                    }]));
                }
                Step::Receive { daemon: index } => {
                    let held = machine.state.tables().slots.get(&daemon(index));
                    lagging[index].received = held.cloned().unwrap_or_default();
                }
                Step::Confirm { daemon: index } => {
                    // A daemon confirms only versions that it has received.
                    let held = machine.state.tables().slots.get(&daemon(index));
                    lagging[index].received = held.cloned().unwrap_or_default();
                    let version = machine.state.tables().version;
                    let daemons = vec![(daemon(index), version)];
                    machine.apply(Command::Confirm { all: 0, daemons });
                }
                Step::Plan { wanted } => {
                    let changes = plan_slots(&machine.state, &demand_of(&wanted), &BTreeSet::new());
                    if !changes.is_empty() {
                        // The allocator's proposal is within every limit.
                        let answer = machine.apply(Command::AdjustSlots(changes));
                        prop_assert_eq!(answer, CommandAnswer::Done);
                    }
                }
            }
            check_worst_case(&machine, &lagging)?;
        }
    }

    #[test]
    fn fair_shares_are_max_min_fair(wanted in prop::collection::vec(0..20_u32, 1..12), total in 0..60_u32) {
        let shares = fair_shares(&wanted, total);
        let total_wanted: u32 = wanted.iter().sum();
        prop_assert_eq!(shares.iter().sum::<u32>(), total_wanted.min(total));
        for (index, share) in shares.iter().enumerate() {
            prop_assert!(*share <= wanted[index]);
            let is_short = *share < wanted[index];
            let largest = shares.iter().max().copied().unwrap_or(0);
            prop_assert!(!is_short || share + 1 >= largest, "{:?} of {:?}", shares, wanted);
        }
    }
}

/// A daemon that replicates the control state by deltas. It may be frozen for longer than
/// its lease and its longest request.
#[derive(Clone, Debug, Default)]
struct Follower {
    tables: Tables,
    is_frozen: bool,
}

impl Follower {
    /// Applies the changes since its version. The answer also grants a lease, so the
    /// daemon may decide again.
    fn apply_delta(&mut self, machine: &Machine, daemon: &DaemonId) {
        let scope = SlotScope::Daemon(daemon);
        let delta = machine.state.tables().delta(self.tables.version, scope);
        self.tables.apply(delta);
        self.is_frozen = false;
    }

    /// The slots that the daemon may use: none while it is frozen.
    fn usable(&self, daemon: &DaemonId) -> LaggingDaemon {
        let held = self.tables.slots.get(daemon).filter(|_| !self.is_frozen);
        LaggingDaemon {
            received: held.cloned().unwrap_or_default(),
        }
    }
}

#[derive(Clone, Debug)]
enum FollowerStep {
    Plan { wanted: Vec<u32> },
    ApplyDelta { daemon: usize },
    Confirm { daemon: usize },
    Freeze { daemon: usize },
    Forget { daemon: usize },
}

fn follower_step() -> impl Strategy<Value = FollowerStep> {
    prop_oneof![
        3 => prop::collection::vec(0..12_u32, DAEMONS)
            .prop_map(|wanted| FollowerStep::Plan { wanted }),
        3 => (0..DAEMONS).prop_map(|daemon| FollowerStep::ApplyDelta { daemon }),
        2 => (0..DAEMONS).prop_map(|daemon| FollowerStep::Confirm { daemon }),
        2 => (0..DAEMONS).prop_map(|daemon| FollowerStep::Freeze { daemon }),
        2 => (0..DAEMONS).prop_map(|daemon| FollowerStep::Forget { daemon }),
    ]
}

/// Returns the demand without that of frozen daemons, so that they get no new slots.
fn demand_without_frozen(wanted: &[u32], followers: &[Follower]) -> Demand {
    let wanted: Vec<u32> = wanted
        .iter()
        .zip(followers)
        .map(|(wanted, follower)| if follower.is_frozen { 0 } else { *wanted })
        .collect();
    demand_of(&wanted)
}

proptest! {
    #![proptest_config(deterministic_config(500))]

    /// Guards against a daemon that keeps the slots of a removed row in its copy and uses
    /// them after they were reassigned.
    #[test]
    fn a_daemon_that_was_frozen_uses_no_reassigned_slots(
        steps in prop::collection::vec(follower_step(), 1..60)
    ) {
        let mut machine = Machine::started(BACKENDS, DAEMONS);
        let mut followers = vec![Follower::default(); DAEMONS];
        for step in steps {
            match step {
                FollowerStep::Plan { wanted } => {
                    let demand = demand_without_frozen(&wanted, &followers);
                    let changes = plan_slots(&machine.state, &demand, &BTreeSet::new());
                    machine.apply(Command::AdjustSlots(changes));
                }
                FollowerStep::ApplyDelta { daemon: index } => {
                    followers[index].apply_delta(&machine, &daemon(index));
                }
                FollowerStep::Confirm { daemon: index } => {
                    followers[index].apply_delta(&machine, &daemon(index));
                    let version = followers[index].tables.version;
                    let daemons = vec![(daemon(index), version)];
                    machine.apply(Command::Confirm { all: 0, daemons });
                }
                FollowerStep::Freeze { daemon: index } => followers[index].is_frozen = true,
                FollowerStep::Forget { daemon: index } if followers[index].is_frozen => {
                    machine.apply(Command::ForgetDaemons(vec![daemon(index)]));
                }
                FollowerStep::Forget { .. } => {}
            }
            let usable: Vec<LaggingDaemon> = followers
                .iter()
                .enumerate()
                .map(|(index, follower)| follower.usable(&daemon(index)))
                .collect();
            check_worst_case(&machine, &usable)?;
        }
    }
}

#[gtest]
fn without_waiting_for_confirmation_a_back_end_is_overloaded() {
    let mut machine = Machine::started(BACKENDS, DAEMONS);
    let set = |daemon_index: usize, count| {
        Command::AdjustSlots(vec![SlotChange {
            daemon: daemon(daemon_index),
            backend: "backend-0".into(),
            count,
        }])
    };
    machine.apply(set(0, SLOTS_PER_BACKEND));
    let first = [LaggingDaemon {
        received: SlotMap::from([("backend-0".into(), SLOTS_PER_BACKEND)]),
    }];
    machine.apply(set(0, 0));
    let refused = machine.apply(set(1, SLOTS_PER_BACKEND));
    expect_that!(refused, matches_pattern!(CommandAnswer::Refused(_)));
    // Disables the mechanism: the revoked slots count as free immediately.
    let version = machine.state.tables().version;
    machine.apply(Command::Confirm {
        all: 0,
        daemons: vec![(daemon(0), version)],
    });
    expect_that!(
        machine.apply(set(1, SLOTS_PER_BACKEND)),
        eq(&CommandAnswer::Done)
    );
    expect_that!(
        check_worst_case(
            &machine,
            &[first.to_vec(), vec![LaggingDaemon::default()]].concat()
        )
        .is_err(),
        eq(true)
    );
}

#[gtest]
fn demand_is_served_in_the_zone_of_the_daemon() {
    let mut machine = Machine::started(BACKENDS, DAEMONS);
    let demand = demand_of(&[3, 0, 2, 0, 0]);
    let changes = plan_slots(&machine.state, &demand, &BTreeSet::new());
    machine.apply(Command::AdjustSlots(changes));
    for (index, wanted) in [(0, 3), (2, 2)] {
        let held = machine
            .state
            .tables()
            .slots
            .get(&daemon(index))
            .expect("slots");
        let in_zone: u32 = held
            .iter()
            .filter(|(backend, _)| {
                let record = machine.state.tables().backends.get(backend);
                record.is_some_and(|record| record.zone == zone(index))
            })
            .map(|(_, count)| *count)
            .sum();
        expect_that!(in_zone, ge(wanted));
    }
}

//! Checks the shift cap with an observer that sees only the shares by which each daemon
//! decides at each time.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeSet;

use common::{Machine, SHIFT_CAP, bundle, daemon, deterministic_config, signed, zone};
use coursestand_coordination::bundles::{Order, OrderAction, SignedOrder};
use coursestand_coordination::planner::plan_steps;
use coursestand_coordination::shares::{ShareKey, ShareVector};
use coursestand_coordination::signing::sign;
use coursestand_coordination::tables::DrainTarget;
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_model::{BackendId, FULL_SHARE};
use googletest::prelude::*;
use proptest::prelude::*;

const BACKENDS: usize = 8;
const DAEMONS: usize = 3;
const STEP_MS: u64 = 50;
const ZONES: usize = 4;

fn share_key() -> ShareKey {
    ShareKey {
        service: "desk".into(),
        origin: zone(0),
    }
}

/// The shares by which each daemon decides, at each step of time.
struct Observer {
    received: Vec<(u64, ShareVector)>,
    history: Vec<Vec<ShareVector>>,
}

impl Observer {
    fn new(first: &ShareVector) -> Observer {
        Observer {
            received: vec![(0, first.clone()); DAEMONS],
            history: Vec::new(),
        }
    }

    fn record(&mut self) {
        let current = self
            .received
            .iter()
            .map(|(_, shares)| shares.clone())
            .collect();
        self.history.push(current);
    }

    /// Returns the largest gain of any zone within any window, whichever daemons the
    /// traffic passed before and after.
    fn largest_gain(&self) -> u32 {
        let window = (SHIFT_CAP.window_ms / STEP_MS) as usize;
        let mut largest = 0;
        for (end, after) in self.history.iter().enumerate() {
            for before in &self.history[end.saturating_sub(window)..=end] {
                let gains = before
                    .iter()
                    .flat_map(|before| after.iter().map(|after| before.moved_to(after)));
                largest = largest.max(gains.max().unwrap_or(0));
            }
        }
        largest
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait {
        steps: u8,
    },
    Receive {
        daemon: usize,
    },
    Drain {
        zone: usize,
        is_drained: bool,
    },
    SetUnreachable {
        zone: usize,
    },
    SetAllReachable,
    Roll {
        to_new: bool,
    },
    /// The leader proposes shares regardless of the cap.
    Propose {
        zone: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..12_u8).prop_map(|steps| Step::Wait { steps }),
        8 => (0..DAEMONS).prop_map(|daemon| Step::Receive { daemon }),
        2 => (0..ZONES, any::<bool>()).prop_map(|(zone, is_drained)| Step::Drain { zone, is_drained }),
        1 => (0..ZONES).prop_map(|zone| Step::SetUnreachable { zone }),
        1 => Just(Step::SetAllReachable),
        1 => any::<bool>().prop_map(|to_new| Step::Roll { to_new }),
        2 => (0..ZONES).prop_map(|zone| Step::Propose { zone }),
    ]
}

fn order(action: OrderAction, expected_revision: u64) -> SignedOrder {
    let order = Order {
        expected_revision,
        action,
    };
    let content = serde_json::to_string(&order).expect("an order is JSON");
    let signatures = vec![sign("ada", &common::key(), content.as_bytes())];
    SignedOrder {
        content,
        signatures,
    }
}

struct Simulation {
    machine: Machine,
    observer: Observer,
    unreachable: BTreeSet<BackendId>,
    /// Confirms the newest version for all daemons, whether or not they have received it.
    skips_confirmation: bool,
}

impl Simulation {
    fn new(skips_confirmation: bool) -> Simulation {
        let mut machine = Machine::started(BACKENDS, DAEMONS);
        let steps = plan_steps(&machine.state, &BTreeSet::new(), machine.clock);
        machine.apply(Command::AdvanceShares(steps));
        let first = machine
            .state
            .tables()
            .shares
            .get(&share_key())
            .expect("shares");
        let observer = Observer::new(first);
        Simulation {
            machine,
            observer,
            unreachable: BTreeSet::new(),
            skips_confirmation,
        }
    }

    fn order(&mut self, action: OrderAction) {
        let current = self.machine.state.history().current();
        let submission = format!("order-{current}");
        let order = order(action, current);
        self.machine
            .apply(Command::SubmitOrder { order, submission });
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait { steps } => (0..*steps).for_each(|_| self.advance()),
            Step::Receive { daemon } => self.receive(*daemon),
            Step::Drain {
                zone: index,
                is_drained,
            } => {
                let target = DrainTarget::Zone(zone(*index));
                self.order(if *is_drained {
                    OrderAction::Drain { target }
                } else {
                    OrderAction::Restore { target }
                });
            }
            Step::SetUnreachable { zone: index } => {
                let ids = (0..BACKENDS).filter(|backend| backend % ZONES == *index);
                self.unreachable
                    .extend(ids.map(|id| BackendId(format!("backend-{id}"))));
            }
            Step::SetAllReachable => self.unreachable.clear(),
            Step::Roll { to_new: true } => {
                let current = self.machine.state.history().current();
                self.machine.apply(Command::SubmitBundle {
                    bundle: signed(&bundle(current + 10)),
                    expected_revision: current,
                    submission: format!("bundle-{current}"),
                });
            }
            Step::Roll { to_new: false } => self.order(OrderAction::Roll { revision: 1 }),
            Step::Propose { zone: index } => {
                let all = ShareVector::all_to(&zone(*index));
                self.machine
                    .apply(Command::AdvanceShares(vec![(share_key(), all)]));
            }
        }
    }

    fn plan(&self) -> Vec<(ShareKey, ShareVector)> {
        plan_steps(&self.machine.state, &self.unreachable, self.machine.clock)
    }

    fn receive(&mut self, index: usize) {
        let tables = self.machine.state.tables();
        let shares = tables.shares.get(&share_key()).expect("shares").clone();
        self.observer.received[index] = (tables.version, shares);
    }

    /// Runs one round of the leader's tasks and advances the clock by one step.
    fn advance(&mut self) {
        let version = self.machine.state.tables().version;
        let slowest = self
            .observer
            .received
            .iter()
            .map(|(version, _)| *version)
            .min();
        let all = if self.skips_confirmation {
            version
        } else {
            slowest.unwrap_or(0)
        };
        self.machine.apply(Command::Confirm {
            all,
            daemons: Vec::new(),
        });
        let steps = self.plan();
        if !steps.is_empty() {
            self.machine.apply(Command::AdvanceShares(steps));
        }
        self.observer.record();
        self.machine.clock += STEP_MS;
    }
}

proptest! {
    #![proptest_config(deterministic_config(600))]

    #[test]
    fn no_zone_gains_more_than_the_cap_in_any_window(
        steps in prop::collection::vec(step(), 10..80),
    ) {
        let mut simulation = Simulation::new(false);
        for step in &steps {
            simulation.apply(step);
            // The observer records every change of the shares by which a daemon decides.
            simulation.observer.record();
        }
        let gain = simulation.observer.largest_gain();
        prop_assert!(gain <= SHIFT_CAP.share_bp, "a zone gained {} basis points", gain);
    }

    #[test]
    fn a_step_moves_as_much_as_its_budget_allows(
        from in prop::collection::vec(0..10_u64, ZONES),
        to in prop::collection::vec(0..10_u64, ZONES),
        budget in 0..=FULL_SHARE,
    ) {
        let vector = |weights: &[u64]| {
            let weights = weights.iter().enumerate().map(|(index, weight)| (zone(index), *weight));
            ShareVector::in_proportion(&weights.collect())
        };
        let (Some(from), Some(to)) = (vector(&from), vector(&to)) else {
            return Ok(());
        };
        prop_assert!(from.is_complete() && to.is_complete());
        let next = from.step_towards(&to, budget);
        prop_assert!(next.is_complete());
        prop_assert_eq!(from.moved_to(&next), budget.min(from.moved_to(&to)));
        prop_assert_eq!(next.moved_to(&to), from.moved_to(&to) - from.moved_to(&next));
    }
}

#[gtest]
fn without_confirmation_a_slow_daemon_breaks_the_cap() {
    let mut simulation = Simulation::new(true);
    simulation.apply(&Step::Drain {
        zone: 0,
        is_drained: true,
    });
    for _ in 0..60 {
        simulation.advance();
        simulation.receive(0);
    }
    simulation.receive(1);
    simulation.observer.record();
    expect_that!(simulation.observer.largest_gain(), gt(SHIFT_CAP.share_bp));
}

/// Guards against planning by the clock of the state, which does not advance while nothing
/// is committed: the leader would wait for some other command before the next step.
#[gtest]
fn the_next_step_is_due_after_its_window_without_another_commit() {
    let mut simulation = Simulation::new(false);
    simulation.apply(&Step::Drain {
        zone: 0,
        is_drained: true,
    });
    simulation.advance();
    (0..DAEMONS).for_each(|index| simulation.receive(index));
    simulation.advance();
    // Nothing is committed after the confirmation.
    let confirmed_at = simulation.machine.state.clock();
    simulation.machine.clock = confirmed_at + SHIFT_CAP.window_ms - 1;
    expect_that!(simulation.plan(), is_empty());
    simulation.machine.clock = confirmed_at + SHIFT_CAP.window_ms;
    let steps = simulation.plan();
    expect_that!(steps, not(is_empty()));
    let answer = simulation.machine.apply(Command::AdvanceShares(steps));
    expect_that!(answer, matches_pattern!(CommandAnswer::Done));
}

#[gtest]
fn a_drain_proceeds_in_steps_within_the_cap() {
    let mut simulation = Simulation::new(false);
    simulation.apply(&Step::Drain {
        zone: 0,
        is_drained: true,
    });
    for _ in 0..400 {
        simulation.advance();
        (0..DAEMONS).for_each(|index| simulation.receive(index));
    }
    let shares = simulation
        .machine
        .state
        .tables()
        .shares
        .get(&share_key())
        .expect("shares")
        .clone();
    expect_that!(shares.of(&zone(0)), eq(0));
    expect_that!(simulation.observer.largest_gain(), le(SHIFT_CAP.share_bp));
    let refused = simulation.machine.apply(Command::AdvanceShares(vec![(
        share_key(),
        ShareVector::all_to(&zone(0)),
    )]));
    expect_that!(refused, matches_pattern!(CommandAnswer::Refused(_)));
    expect_that!(daemon(0).name.as_str(), eq("daemon-0"));
}

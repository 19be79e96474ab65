//! The shift cap, against a naive observer who sees only which shares each
//! daemon decides on at each moment.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeSet;

use common::{CAP, Machine, bundle, daemon, fixed, signed, zone};
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

/// What a daemon decides on, at each step of time.
struct Observer {
    heard: Vec<(u64, ShareVector)>,
    history: Vec<Vec<ShareVector>>,
}

impl Observer {
    fn new(first: &ShareVector) -> Observer {
        Observer {
            heard: vec![(0, first.clone()); DAEMONS],
            history: Vec::new(),
        }
    }

    fn note(&mut self) {
        let now = self
            .heard
            .iter()
            .map(|(_, shares)| shares.clone())
            .collect();
        self.history.push(now);
    }

    /// The most that any zone gained within any window, whichever daemon the
    /// traffic came through before and after.
    fn largest_gain(&self) -> u32 {
        let window = (CAP.window_ms / STEP_MS) as usize;
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
    Pass {
        steps: u8,
    },
    Hear {
        daemon: usize,
    },
    Drain {
        zone: usize,
        on: bool,
    },
    Down {
        zone: usize,
    },
    Up,
    Roll {
        to_new: bool,
    },
    /// A leader that proposes what it likes.
    Propose {
        zone: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..12_u8).prop_map(|steps| Step::Pass { steps }),
        8 => (0..DAEMONS).prop_map(|daemon| Step::Hear { daemon }),
        2 => (0..ZONES, any::<bool>()).prop_map(|(zone, on)| Step::Drain { zone, on }),
        1 => (0..ZONES).prop_map(|zone| Step::Down { zone }),
        1 => Just(Step::Up),
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

struct Run {
    machine: Machine,
    observer: Observer,
    down: BTreeSet<BackendId>,
    /// Confirmations are believed without being there.
    skips_confirmation: bool,
}

impl Run {
    fn new(skips_confirmation: bool) -> Run {
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
        Run {
            machine,
            observer,
            down: BTreeSet::new(),
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

    fn take(&mut self, step: &Step) {
        match step {
            Step::Pass { steps } => (0..*steps).for_each(|_| self.pass()),
            Step::Hear { daemon } => self.hear(*daemon),
            Step::Drain { zone: index, on } => {
                let target = DrainTarget::Zone(zone(*index));
                self.order(if *on {
                    OrderAction::Drain { target }
                } else {
                    OrderAction::Restore { target }
                });
            }
            Step::Down { zone: index } => {
                let ids = (0..BACKENDS).filter(|backend| backend % ZONES == *index);
                self.down
                    .extend(ids.map(|id| BackendId(format!("backend-{id}"))));
            }
            Step::Up => self.down.clear(),
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
        plan_steps(&self.machine.state, &self.down, self.machine.clock)
    }

    fn hear(&mut self, index: usize) {
        let tables = self.machine.state.tables();
        let shares = tables.shares.get(&share_key()).expect("shares").clone();
        self.observer.heard[index] = (tables.version, shares);
    }

    /// One round of the leader's duties, then some time.
    fn pass(&mut self) {
        let version = self.machine.state.tables().version;
        let slowest = self
            .observer
            .heard
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
        self.observer.note();
        self.machine.clock += STEP_MS;
    }
}

proptest! {
    #![proptest_config(fixed(600))]

    #[test]
    fn no_zone_gains_more_than_the_cap_in_any_window(
        steps in prop::collection::vec(step(), 10..80),
    ) {
        let mut run = Run::new(false);
        for step in &steps {
            run.take(step);
            // The observer sees every change of what a daemon decides on.
            run.observer.note();
        }
        let gain = run.observer.largest_gain();
        prop_assert!(gain <= CAP.share_bp, "a zone gained {} basis points", gain);
    }

    #[test]
    fn a_step_moves_what_it_may_and_no_more(
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
    let mut run = Run::new(true);
    run.take(&Step::Drain { zone: 0, on: true });
    for _ in 0..60 {
        run.pass();
        run.hear(0);
    }
    run.hear(1);
    run.observer.note();
    expect_that!(run.observer.largest_gain(), gt(CAP.share_bp));
}

/// The clock of the state stands still while nothing is committed; a leader that
/// plans by it waits for some other command before it goes on with a shift.
#[gtest]
fn the_next_step_is_due_once_its_window_has_passed_though_nothing_else_is_committed() {
    let mut run = Run::new(false);
    run.take(&Step::Drain { zone: 0, on: true });
    run.pass();
    (0..DAEMONS).for_each(|index| run.hear(index));
    run.pass();
    // Nothing is committed from the confirmation on.
    let confirmed_at = run.machine.state.clock();
    run.machine.clock = confirmed_at + CAP.window_ms - 1;
    expect_that!(run.plan(), is_empty());
    run.machine.clock = confirmed_at + CAP.window_ms;
    let steps = run.plan();
    expect_that!(steps, not(is_empty()));
    let answer = run.machine.apply(Command::AdvanceShares(steps));
    expect_that!(answer, matches_pattern!(CommandAnswer::Done));
}

#[gtest]
fn a_drain_is_done_step_by_step() {
    let mut run = Run::new(false);
    run.take(&Step::Drain { zone: 0, on: true });
    for _ in 0..400 {
        run.pass();
        (0..DAEMONS).for_each(|index| run.hear(index));
    }
    let shares = run
        .machine
        .state
        .tables()
        .shares
        .get(&share_key())
        .expect("shares")
        .clone();
    expect_that!(shares.of(&zone(0)), eq(0));
    expect_that!(run.observer.largest_gain(), le(CAP.share_bp));
    let refused = run.machine.apply(Command::AdvanceShares(vec![(
        share_key(),
        ShareVector::all_to(&zone(0)),
    )]));
    expect_that!(refused, matches_pattern!(CommandAnswer::Refused(_)));
    expect_that!(daemon(0).name.as_str(), eq("daemon-0"));
}

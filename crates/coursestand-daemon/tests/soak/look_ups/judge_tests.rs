//! Shows that the judge finds daemons that have ended, and accepts what the bounds allow.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::clients::Answer;
use super::judge::Judge;
use crate::evacuations::CONTROLS;
use crate::evacuations::record::{ProcessEvent, Record};

const ENDED: u8 = 11;
const LIVE: u8 = 12;

/// A record in which all processes run from second 0 on, and a daemon ends at second 10.
struct Scenario {
    record: Record,
    began_at: Instant,
}

impl Scenario {
    fn new() -> Scenario {
        let scenario = Scenario {
            record: Record::default(),
            began_at: Instant::now(),
        };
        for host in CONTROLS.into_iter().chain([ENDED, LIVE]) {
            scenario.process(host, 0.0, true);
        }
        scenario.process(ENDED, 10.0, false);
        scenario
    }

    fn at(&self, second: f64) -> Instant {
        self.began_at + Duration::from_secs_f64(second)
    }

    fn process(&self, host: u8, second: f64, runs: bool) {
        let at = self.at(second);
        let event = ProcessEvent { host, at, runs };
        self.record.add_process_event(event);
    }

    fn link(&self, second: f64, is_disturbed: bool) {
        let at = self.at(second);
        self.record.add_link_event(CONTROLS[2], at, is_disturbed);
    }

    /// Returns the number of violations in an answer of the first control process.
    fn violations(&self, second: f64, named: &[u8]) -> usize {
        let answer = Answer {
            control: CONTROLS[0],
            at: self.at(second),
            took: Duration::ZERO,
            named: named.iter().copied().collect(),
        };
        Judge::new(&self.record).violations(&[answer]).len()
    }
}

#[gtest]
fn a_daemon_that_ended_long_ago_is_found_next_to_a_live_one() {
    let scenario = Scenario::new();
    expect_that!(scenario.violations(16.1, &[ENDED, LIVE]), eq(1));
    expect_that!(scenario.violations(15.9, &[ENDED, LIVE]), eq(0));
    expect_that!(scenario.violations(16.1, &[ENDED]), eq(0));
    expect_that!(scenario.violations(16.1, &[LIVE]), eq(0));
}

#[gtest]
fn a_daemon_that_has_started_again_may_be_named() {
    let scenario = Scenario::new();
    scenario.process(ENDED, 15.0, true);
    expect_that!(scenario.violations(17.0, &[ENDED, LIVE]), eq(0));
    scenario.process(ENDED, 18.0, false);
    expect_that!(scenario.violations(23.0, &[ENDED, LIVE]), eq(0));
    expect_that!(scenario.violations(24.1, &[ENDED, LIVE]), eq(1));
}

#[gtest]
fn an_answer_soon_after_a_fault_of_a_control_process_is_not_judged() {
    let scenario = Scenario::new();
    scenario.process(CONTROLS[4], 14.0, false);
    scenario.process(CONTROLS[4], 15.0, true);
    expect_that!(scenario.violations(17.9, &[ENDED, LIVE]), eq(0));
    expect_that!(scenario.violations(18.1, &[ENDED, LIVE]), eq(1));
}

/// A control process that stays suspended or down does not excuse the others.
#[gtest]
fn an_answer_is_judged_while_another_control_process_is_suspended_for_long() {
    let scenario = Scenario::new();
    scenario.process(CONTROLS[4], 11.0, false);
    expect_that!(scenario.violations(16.1, &[ENDED, LIVE]), eq(1));
}

#[gtest]
fn an_answer_beside_a_fault_of_links_is_not_judged() {
    let scenario = Scenario::new();
    scenario.link(12.0, true);
    expect_that!(scenario.violations(20.0, &[ENDED, LIVE]), eq(0));
    scenario.link(21.0, false);
    expect_that!(scenario.violations(23.9, &[ENDED, LIVE]), eq(0));
    expect_that!(scenario.violations(24.1, &[ENDED, LIVE]), eq(1));
}

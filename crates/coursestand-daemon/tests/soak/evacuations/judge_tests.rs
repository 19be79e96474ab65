//! Shows that the judge finds each kind of violation, and accepts what the bounds allow.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::judge::Judge;
use super::record::{ProcessEvent, Record, ZoneOrder};
use super::traffic::ZoneArrival;
use super::{CONTROLS, ZONES};

const EDGE: u8 = 11;
const ZONE: &str = ZONES[1];

/// A record in which all processes run from second 0 on.
struct Scenario {
    record: Record,
    began_at: Instant,
    arrivals: Vec<ZoneArrival>,
}

impl Scenario {
    fn new() -> Scenario {
        let scenario = Scenario {
            record: Record::default(),
            began_at: Instant::now(),
            arrivals: Vec::new(),
        };
        for host in CONTROLS.into_iter().chain([EDGE]) {
            scenario.process(host, 0.0, true);
        }
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

    fn order(&self, is_active: bool, sent: f64, ended: f64, is_acknowledged: bool) {
        self.record.add_order(ZoneOrder {
            zone: ZONE,
            is_active,
            sent_at: self.at(sent),
            ended_at: self.at(ended),
            is_acknowledged,
        });
    }

    fn arrival(&mut self, zone: &'static str, second: f64) {
        let at = self.at(second);
        self.arrivals.push(ZoneArrival {
            zone,
            edge: EDGE,
            at,
            id: format!("at {second}"),
        });
    }

    fn verdict(&self) -> std::result::Result<(), String> {
        Judge::new(&self.record).check(&self.arrivals)
    }

    /// Returns the verdict on one request that arrives in the zone at this second.
    fn verdict_on(mut self, second: f64) -> std::result::Result<(), String> {
        self.arrival(ZONE, second);
        self.verdict()
    }
}

fn is_late() -> impl for<'a> Matcher<&'a std::result::Result<(), String>> {
    err(contains_substring("reached an evacuated zone"))
}

#[gtest]
fn a_request_counts_from_the_bound_to_the_next_order() {
    let evacuated = || {
        let scenario = Scenario::new();
        scenario.order(true, 10.0, 10.5, true);
        scenario.order(false, 30.0, 31.0, true);
        scenario
    };
    expect_that!(evacuated().verdict_on(15.4), ok(eq(&())));
    expect_that!(evacuated().verdict_on(15.6), is_late());
    expect_that!(evacuated().verdict_on(29.9), is_late());
    expect_that!(evacuated().verdict_on(30.1), ok(eq(&())));
}

#[gtest]
fn an_order_that_was_given_up_before_the_evacuation_excuses_nothing() {
    let scenario = Scenario::new();
    scenario.order(false, 5.0, 6.0, false);
    scenario.order(true, 6.1, 6.2, true);
    expect_that!(scenario.verdict_on(20.0), is_late());
    // One that was under way at the same time may have come later.
    let scenario = Scenario::new();
    scenario.order(false, 5.0, 6.15, false);
    scenario.order(true, 6.1, 6.2, true);
    expect_that!(scenario.verdict_on(20.0), ok(eq(&())));
}

#[gtest]
fn a_disturbed_daemon_is_judged_again_once_it_has_run_for_a_while() {
    let disturbed = || {
        let scenario = Scenario::new();
        scenario.order(true, 10.0, 10.5, true);
        scenario.process(EDGE, 18.0, false);
        scenario.process(EDGE, 20.0, true);
        scenario
    };
    expect_that!(disturbed().verdict_on(22.9), ok(eq(&())));
    expect_that!(disturbed().verdict_on(23.1), is_late());
}

#[gtest]
fn faults_of_control_stretch_the_bound_only_as_far_as_most_of_it_runs() {
    let disturbed = |lost: &[u8]| {
        let scenario = Scenario::new();
        scenario.order(true, 10.0, 10.5, true);
        for host in lost {
            scenario.process(*host, 15.0, false);
        }
        scenario
    };
    expect_that!(disturbed(&[1]).verdict_on(17.0), ok(eq(&())));
    expect_that!(disturbed(&[1]).verdict_on(18.1), is_late());
    // In a series of faults the group is never stable.
    let in_series = |lost: &[u8], second: f64| {
        let scenario = disturbed(lost);
        scenario.process(1, 17.0, true);
        scenario.process(1, 19.0, false);
        scenario.verdict_on(second)
    };
    expect_that!(in_series(&[1], 20.4), ok(eq(&())));
    expect_that!(in_series(&[1], 20.6), is_late());
    expect_that!(in_series(&[1, 2, 3], 20.6), ok(eq(&())));
}

#[gtest]
fn a_zone_that_gets_no_requests_after_it_was_taken_back_is_found() {
    let taken_back = || {
        let mut scenario = Scenario::new();
        scenario.order(true, 5.0, 5.5, true);
        scenario.order(false, 10.0, 10.5, true);
        for number in 0..100 {
            scenario.arrival(ZONES[0], 21.0 + f64::from(number) * 0.1);
        }
        scenario
    };
    expect_that!(
        taken_back().verdict(),
        err(contains_substring("gets no requests although"))
    );
    expect_that!(taken_back().verdict_on(25.0), ok(eq(&())));
}

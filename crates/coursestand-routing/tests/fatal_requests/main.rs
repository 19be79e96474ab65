//! Requests that crash back ends, over all daemons: few back ends crash, and no harmless request
//! is quarantined. A local count of crashes is shown to fail at both.
#![allow(missing_docs)]

mod simulation;

use coursestand_routing::fatal_requests::{CrashRecordUpdate, MAX_IN_FLIGHT_REQUESTS};
use coursestand_routing::{
    FatalRequests, Finding, Fingerprint, SharedFinding, TrialVerdict, WithholdReason,
};
use googletest::prelude::*;
use proptest::prelude::*;
use simulation::{LocalCrashCounter, Scenario, run_scenario};

const TYPICAL_RATES: [f64; 3] = [9.0, 60.0, 90.0];

#[gtest]
fn a_fatal_request_crashes_few_back_ends_and_no_harmless_one_is_quarantined() {
    for (fatal_requests, max_crashes) in [(1, 10), (5, 50)] {
        for seed in 0..8 {
            let scenario = Scenario {
                fatal_requests,
                rates: TYPICAL_RATES,
                crashes: vec![(12_000, 1), (20_000, 4)],
            };
            let outcome = run_scenario::<FatalRequests>(&scenario, seed);
            expect_that!(
                outcome.crashes,
                le(max_crashes),
                "{fatal_requests} fatal, seed {seed}"
            );
            expect_that!(
                outcome.quarantined_harmless,
                is_empty(),
                "{fatal_requests} fatal, seed {seed}"
            );
        }
    }
}

/// Guards against quarantining a frequent harmless request because a report that names it
/// arrives before the one that names the fatal request. All further crashes are then attributed
/// to the harmless request, and with these seeds the fatal one crashes 15 to 37 back ends.
#[gtest]
fn a_harmless_request_reported_first_is_not_quarantined_for_a_fatal_one() {
    for seed in [37, 43, 54, 83, 87, 94, 110, 175, 214, 273, 324, 350] {
        let scenario = Scenario {
            fatal_requests: 1,
            rates: TYPICAL_RATES,
            crashes: vec![(12_000, 1), (20_000, 4)],
        };
        let outcome = run_scenario::<FatalRequests>(&scenario, seed);
        expect_that!(outcome.crashes, le(10), "seed {seed}");
        expect_that!(outcome.quarantined_harmless, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn fifty_fatal_requests_crash_fewer_back_ends_than_with_a_count_at_each_daemon() {
    // No policy can protect 20 back ends from so many: each quarantine requires three crashes.
    let scenario = Scenario {
        fatal_requests: 50,
        rates: [60.0, 60.0, 40.0],
        crashes: Vec::new(),
    };
    let outcome = run_scenario::<FatalRequests>(&scenario, 1);
    let naive = run_scenario::<LocalCrashCounter>(&scenario, 1);
    expect_that!(outcome.crashes, lt(naive.crashes));
    expect_that!(outcome.served, gt(naive.served));
}

/// Guards against quarantining a frequently requested object that was in flight at five back
/// ends which crash within 210 ms.
#[gtest]
fn five_simultaneous_crashes_quarantine_no_harmless_request() {
    for seed in [719, 831] {
        let scenario = Scenario {
            fatal_requests: 1,
            rates: TYPICAL_RATES,
            crashes: vec![(12_000, 1), (20_000, 4)],
        };
        let outcome = run_scenario::<FatalRequests>(&scenario, seed);
        expect_that!(outcome.quarantined_harmless, is_empty(), "seed {seed}");
    }
}

fn seed_count() -> u64 {
    let configured = std::env::var("COURSESTAND_RUNS").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(150)
}

/// Guards against repeating a request at a third back end before the crash of the second one is
/// reported.
#[gtest]
fn a_fatal_request_crashes_few_back_ends_with_many_seeds() {
    for seed in 0..seed_count() {
        let scenario = Scenario {
            fatal_requests: 1,
            rates: TYPICAL_RATES,
            crashes: vec![(12_000, 1), (20_000, 4)],
        };
        let outcome = run_scenario::<FatalRequests>(&scenario, seed);
        expect_that!(outcome.crashes, le(10), "seed {seed}");
        expect_that!(outcome.quarantined_harmless, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn unrelated_crashes_quarantine_no_request() {
    for seed in 0..8 {
        let crashes = (1..28).map(|second| (second * 1_000, 1 + second as usize % 5));
        let scenario = Scenario {
            fatal_requests: 0,
            rates: TYPICAL_RATES,
            crashes: crashes.collect(),
        };
        let outcome = run_scenario::<FatalRequests>(&scenario, seed);
        expect_that!(outcome.quarantined_harmless, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn a_count_of_three_at_each_daemon_crashes_too_many_and_quarantines_harmless_requests() {
    let scenario = Scenario {
        fatal_requests: 1,
        rates: TYPICAL_RATES,
        crashes: (1..28).map(|second| (second * 1_000, 2)).collect(),
    };
    let outcome = run_scenario::<LocalCrashCounter>(&scenario, 0);
    expect_that!(outcome.crashes, gt(10));
    expect_that!(outcome.quarantined_harmless, not(is_empty()));
}

fn crash_report(number: u64, reporter: u64, backend: u64, in_flight: &[u64]) -> SharedFinding {
    SharedFinding {
        number,
        reporter,
        finding: Finding::Ended {
            backend,
            in_flight_requests: in_flight.iter().copied().map(Fingerprint).collect(),
        },
    }
}

fn quarantines(updates: &[CrashRecordUpdate]) -> usize {
    let is_quarantine =
        |update: &&CrashRecordUpdate| matches!(update, CrashRecordUpdate::Quarantined { .. });
    updates.iter().filter(is_quarantine).count()
}

#[gtest]
fn reports_of_one_daemon_quarantine_nothing_at_others() {
    let mut fatal = FatalRequests::new(0);
    for number in 0..20 {
        let updates = fatal.apply_finding(number * 500, &crash_report(number, 7, number, &[1]));
        expect_that!(quarantines(&updates), eq(0));
    }
    let updates = fatal.apply_finding(10_500, &crash_report(30, 8, 30, &[1]));
    expect_that!(quarantines(&updates), eq(1));
}

/// Two daemons report the third crash, and the first report names only a harmless request,
/// which was in flight at all three crashes.
#[gtest]
fn a_crash_quarantines_no_request_while_pending_reports_may_name_another() {
    let (harmless, fatal_request) = (1, 2);
    let mut fatal = FatalRequests::new(99);
    for (number, at) in [(0, 0), (1, 60)] {
        fatal.apply_finding(at, &crash_report(2 * number, 1, number, &[harmless]));
        fatal.apply_finding(
            at,
            &crash_report(2 * number + 1, 2, number, &[fatal_request]),
        );
    }
    let updates = fatal.apply_finding(150, &crash_report(4, 3, 2, &[harmless]));
    expect_that!(quarantines(&updates), eq(0));
    let updates = fatal.apply_finding(150, &crash_report(5, 4, 2, &[fatal_request, harmless]));
    expect_that!(quarantines(&updates), eq(0));
    // An answer clears the harmless request. The next request for a trial quarantines the fatal
    // one.
    let request = Fingerprint(harmless);
    fatal.apply_finding(
        200,
        &SharedFinding {
            number: 6,
            reporter: 3,
            finding: Finding::Answered(request),
        },
    );
    let verdict = fatal.grant_trial(300, Fingerprint(fatal_request));
    expect_that!(verdict, matches_pattern!(TrialVerdict::Refused(_)));
    expect_that!(
        fatal.may_run(300, Fingerprint(fatal_request), true),
        err(matches_pattern!(WithholdReason::Quarantined { .. }))
    );
}

/// Guards against repeating a request at a third back end when the crash of one back end is known
/// and the crash of the one to which the connection broke has not been reported yet.
#[gtest]
fn a_request_whose_connection_broke_is_not_repeated_after_the_crash_of_another_back_end() {
    let mut fatal = FatalRequests::new(0);
    let request = Fingerprint(1);
    let (crashed_backend, broken_backend) = (10, 11);
    fatal.apply_finding(0, &crash_report(0, 1, crashed_backend, &[1]));
    for broken_backends in [&[][..], &[crashed_backend]] {
        expect_that!(
            fatal.may_repeat(50, request, broken_backends),
            ok(anything())
        );
    }
    expect_that!(
        fatal.may_repeat(50, request, &[broken_backend]),
        err(matches_pattern!(WithholdReason::Suspected { .. }))
    );
}

#[gtest]
fn a_failed_trial_doubles_the_quarantine_and_an_answered_one_ends_it() {
    let mut fatal = FatalRequests::new(0);
    let request = Fingerprint(1);
    for number in 0..3 {
        fatal.apply_finding(number * 200, &crash_report(number, number, number, &[1]));
    }
    expect_that!(
        fatal.may_run(400, request, true),
        err(eq(WithholdReason::Quarantined {
            again_in_ms: 30_000
        }))
    );
    // After the quarantine the request runs only as a trial, at its owner as well.
    let after = 30_401;
    for is_owner in [true, false] {
        expect_that!(
            fatal.may_run(after, request, is_owner),
            err(matches_pattern!(WithholdReason::NeedsTrial { .. }))
        );
    }
    expect_that!(
        fatal.grant_trial(after, request),
        matches_pattern!(TrialVerdict::Granted(_))
    );
    // No other trial is granted until an answer is reported, with or without a crash.
    expect_that!(
        fatal.grant_trial(after, request),
        matches_pattern!(TrialVerdict::Refused(_))
    );
    fatal.apply_finding(after, &crash_report(10, 5, 10, &[1]));
    expect_that!(
        fatal.may_run(after, request, true),
        err(eq(WithholdReason::Quarantined {
            again_in_ms: 60_000
        }))
    );
    let answered = SharedFinding {
        number: 11,
        reporter: 5,
        finding: Finding::Answered(request),
    };
    let updates = fatal.apply_finding(after + 61_000, &answered);
    expect_that!(
        updates,
        elements_are![eq(&CrashRecordUpdate::Cleared { request })]
    );
    expect_that!(
        fatal.may_run(after + 61_000, request, false),
        ok(anything())
    );
}

/// Guards against quarantining a harmless request because the result of its trial was lost: a
/// trial without a result is no evidence.
#[gtest]
fn a_trial_without_a_result_is_no_quarantine() {
    let mut fatal = FatalRequests::new(0);
    let request = Fingerprint(1);
    for number in 0..2 {
        fatal.apply_finding(number * 200, &crash_report(number, number, number, &[1]));
    }
    let mut now = 400;
    for _ in 0..2 {
        let verdict = fatal.grant_trial(now, request);
        expect_that!(verdict, matches_pattern!(TrialVerdict::Granted(_)));
        let view = fatal.view(now, request).expect("a crash record");
        expect_that!(view.convictions, eq(0));
        expect_that!(view.rejected_ms, ge(30_000));
        now += view.rejected_ms;
    }
}

/// Guards against quarantining a harmless request whose trial ran at the back end that the trial of
/// a fatal one crashed: the crashes then counted against the fatal request no longer, and it
/// crashed six back ends.
#[gtest]
fn a_crash_during_two_trials_quarantines_neither_request() {
    let (harmless, fatal_request) = (1, 2);
    let mut fatal = FatalRequests::new(99);
    for number in 0..2 {
        let report = crash_report(number, number, number, &[harmless, fatal_request]);
        fatal.apply_finding(number * 200, &report);
    }
    for request in [harmless, fatal_request] {
        let verdict = fatal.grant_trial(400, Fingerprint(request));
        expect_that!(verdict, matches_pattern!(TrialVerdict::Granted(_)));
    }
    // The daemon with the harmless request reports the crash much earlier than the other one.
    fatal.apply_finding(550, &crash_report(10, 5, 10, &[harmless]));
    // Another report has the records judged again.
    fatal.apply_finding(700, &crash_report(12, 7, 20, &[3]));
    fatal.apply_finding(800, &crash_report(11, 6, 10, &[fatal_request]));
    for request in [harmless, fatal_request].map(Fingerprint) {
        let view = fatal.view(800, request).expect("a crash record");
        expect_that!(view.convictions, eq(0));
        expect_that!(
            fatal.may_run(800, request, true),
            err(matches_pattern!(WithholdReason::Quarantined { .. }))
        );
    }
}

/// Guards against a trial lease that only the daemon and the control process know which took part
/// in it: the next leader would grant another trial.
#[gtest]
fn a_trial_lease_is_known_to_other_processes() {
    let mut leader = FatalRequests::new(0);
    let request = Fingerprint(1);
    for number in 0..2 {
        leader.apply_finding(number * 200, &crash_report(number, number, number, &[1]));
    }
    let TrialVerdict::Granted(granted) = leader.grant_trial(400, request) else {
        panic!("no trial is granted");
    };
    let mut successor = FatalRequests::new(1);
    successor.merge(450, &granted);
    let verdict = successor.grant_trial(1_000, request);
    expect_that!(verdict, matches_pattern!(TrialVerdict::Refused(_)));
    expect_that!(
        successor.may_run(1_000, request, true),
        err(matches_pattern!(WithholdReason::Quarantined { .. }))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(300) })]

    /// The same reports lead to the same quarantines in any order and with any number of copies,
    /// as long as nothing was answered and they are simultaneous.
    #[gtest]
    fn the_order_and_number_of_reports_do_not_matter(
        reports in proptest::collection::vec((0..3_u64, 0..6_u64, 0..4_u64), 1..30),
        copies in proptest::collection::vec(0..30_usize, 0..60),
    ) {
        let all: Vec<SharedFinding> = reports
            .iter()
            .enumerate()
            .map(|(number, (reporter, backend, request))| {
                crash_report(number as u64, *reporter, *backend, &[*request])
            })
            .collect();
        let mut once = FatalRequests::new(99);
        let mut copied = FatalRequests::new(99);
        for report in &all {
            once.apply_finding(0, report);
        }
        for report in copies.iter().filter_map(|index| all.get(*index)).chain(&all) {
            copied.apply_finding(0, report);
        }
        for request in 0..4 {
            let request = Fingerprint(request);
            for is_owner in [true, false] {
                let decided = once.may_run(500, request, is_owner);
                prop_assert_eq!(decided, copied.may_run(500, request, is_owner));
            }
        }
    }
}

#[gtest]
fn the_number_of_crash_records_is_bounded() {
    let mut fatal = FatalRequests::new(0);
    let many: Vec<u64> = (0..10_000).collect();
    fatal.apply_finding(0, &crash_report(0, 1, 0, &many));
    let known = many.iter().filter(|request| {
        let request = Fingerprint(**request);
        fatal.may_run(200, request, false).is_err()
    });
    expect_that!(known.count(), eq(MAX_IN_FLIGHT_REQUESTS));
    for number in 1..5_000 {
        fatal.apply_finding(number, &crash_report(number, 1, number, &[number + 20_000]));
    }
    let known = (0..5_000).filter(|number| {
        let request = Fingerprint(number + 20_000);
        fatal.may_run(5_000, request, false).is_err()
    });
    expect_that!(known.count(), le(1_024));
}

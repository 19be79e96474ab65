//! Compares the once ledger with a model that never drops a record.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{daemon, deterministic_config};
use coursestand_coordination::once::{ClaimAnswer, ClaimId, OnceKey, OnceLedger, RecordedAnswer};
use coursestand_model::bundle::Once;
use googletest::prelude::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// A claim arrives; `resend` retransmits an earlier attempt.
    Claim {
        key: u8,
        age: u64,
        resend: Option<u8>,
    },
    /// A granted attempt ends.
    Finish { attempt: u8, ran: bool },
    /// A delayed release of any attempt that was not granted.
    Release { attempt: u8 },
    /// Time passes.
    Wait { ms: u64 },
    /// A new bundle changes the retention.
    Retention { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..6_u8, 0..2_000_u64, prop::option::of(any::<u8>()))
            .prop_map(|(key, age, resend)| Step::Claim { key, age, resend }),
        4 => (any::<u8>(), any::<bool>()).prop_map(|(attempt, ran)| Step::Finish { attempt, ran }),
        2 => any::<u8>().prop_map(|attempt| Step::Release { attempt }),
        3 => (0..800_u64).prop_map(|ms| Step::Wait { ms }),
        1 => (100..2_000_u64).prop_map(|ms| Step::Retention { ms }),
    ]
}

#[derive(Clone, Debug)]
struct Attempt {
    key: OnceKey,
    claim: ClaimId,
    is_granted: bool,
    has_ended: bool,
}

/// Runs the steps. Returns how often each key was dispatched, not counting dispatches that
/// provably did not run.
fn run_steps(steps: &[Step], resets_ledger: bool) -> BTreeMap<OnceKey, usize> {
    let mut rules = Once {
        retention_ms: 500,
        clock_skew_ms: 100,
    };
    let mut ledger = OnceLedger::default();
    let mut wall_ms = 100_000;
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut keys: BTreeMap<u8, OnceKey> = BTreeMap::new();
    let mut dispatched: BTreeMap<OnceKey, usize> = BTreeMap::new();
    for step in steps {
        ledger.advance(wall_ms, rules);
        match step {
            Step::Claim { key, age, resend } => {
                let earlier = resend.and_then(|resend| {
                    let count = attempts.len().max(1);
                    attempts.get(usize::from(resend) % count).cloned()
                });
                let attempt = earlier.unwrap_or_else(|| {
                    let key = keys.entry(*key).or_insert_with(|| OnceKey {
                        issued_ms: wall_ms.saturating_sub(*age),
                        service: "desk".into(),
                        unique: key.to_string(),
                    });
                    let claim = ClaimId {
                        daemon: daemon(0),
                        sequence: attempts.len() as u64,
                    };
                    Attempt {
                        key: key.clone(),
                        claim,
                        is_granted: false,
                        has_ended: false,
                    }
                });
                let answer = ledger.claim(attempt.key.clone(), attempt.claim.clone(), rules);
                let existing = attempts
                    .iter()
                    .position(|existing| existing.claim == attempt.claim);
                let index = existing.unwrap_or_else(|| {
                    attempts.push(attempt);
                    attempts.len() - 1
                });
                let attempt = &mut attempts[index];
                // A daemon dispatches an attempt once, and not after it abandoned the attempt.
                if answer == ClaimAnswer::Granted && !attempt.is_granted && !attempt.has_ended {
                    attempt.is_granted = true;
                    *dispatched.entry(attempt.key.clone()).or_default() += 1;
                }
            }
            Step::Finish { attempt, ran } => {
                let count = attempts.len().max(1);
                let Some(attempt) = attempts.get_mut(usize::from(*attempt) % count) else {
                    continue;
                };
                if !attempt.is_granted || attempt.has_ended {
                    continue;
                }
                attempt.has_ended = true;
                if *ran {
                    let answer = RecordedAnswer {
                        status: 200,
                        body: None,
                    };
                    ledger.complete(&attempt.key, &attempt.claim, answer);
                } else {
                    // The request provably did not run, so the dispatch does not count.
                    *dispatched.entry(attempt.key.clone()).or_default() -= 1;
                    ledger.release(attempt.key.clone(), attempt.claim.clone());
                }
            }
            Step::Release { attempt } => {
                let count = attempts.len().max(1);
                if let Some(attempt) = attempts.get_mut(usize::from(*attempt) % count)
                    && !attempt.is_granted
                {
                    attempt.has_ended = true;
                    ledger.release(attempt.key.clone(), attempt.claim.clone());
                }
            }
            Step::Wait { ms } => wall_ms += ms,
            Step::Retention { ms } => {
                rules.retention_ms = *ms;
                if resets_ledger {
                    // Disables the mechanism: a new ledger has no floor for the time of issue.
                    ledger = OnceLedger::default();
                }
            }
        }
    }
    dispatched
}

proptest! {
    #![proptest_config(deterministic_config(1_500))]

    #[test]
    fn a_key_is_dispatched_at_most_once(steps in prop::collection::vec(step(), 1..80)) {
        let dispatched = run_steps(&steps, false);
        let twice: BTreeSet<_> = dispatched.iter().filter(|(_, count)| **count > 1).collect();
        prop_assert!(twice.is_empty(), "{:?}", twice);
    }
}

#[gtest]
fn without_the_floor_a_key_whose_record_was_dropped_runs_again() {
    let steps = [
        Step::Claim {
            key: 1,
            age: 0,
            resend: None,
        },
        Step::Finish {
            attempt: 0,
            ran: true,
        },
        Step::Wait { ms: 700 },
        Step::Retention { ms: 2_000 },
        Step::Claim {
            key: 1,
            age: 0,
            resend: None,
        },
    ];
    let max_dispatches = |resets_ledger| run_steps(&steps, resets_ledger).into_values().max();
    expect_that!(max_dispatches(false), eq(Some(1)));
    expect_that!(max_dispatches(true), eq(Some(2)));
}

#[gtest]
fn a_retransmitted_request_gets_the_recorded_answer() {
    let rules = Once {
        retention_ms: 500,
        clock_skew_ms: 100,
    };
    let mut ledger = OnceLedger::default();
    ledger.advance(1_000, rules);
    let key = OnceKey::parse(&"desk".into(), "1000-a").expect("a key");
    let claim = |sequence| ClaimId {
        daemon: daemon(0),
        sequence,
    };
    expect_that!(
        ledger.claim(key.clone(), claim(1), rules),
        eq(&ClaimAnswer::Granted)
    );
    expect_that!(
        ledger.claim(key.clone(), claim(2), rules),
        eq(&ClaimAnswer::Taken)
    );
    let answer = RecordedAnswer {
        status: 201,
        body: Some(b"paid".to_vec()),
    };
    ledger.complete(&key, &claim(1), answer.clone());
    let resent = ledger.claim(key.clone(), claim(3), rules);
    expect_that!(resent, eq(&ClaimAnswer::Completed(answer)));
    ledger.advance(1_501, rules);
    expect_that!(ledger.claim(key, claim(4), rules), eq(&ClaimAnswer::TooOld));
    let future = OnceKey::parse(&"desk".into(), "9000-a").expect("a key");
    expect_that!(
        ledger.claim(future, claim(5), rules),
        eq(&ClaimAnswer::FromFuture)
    );
}

#[gtest]
fn malformed_keys_are_rejected() {
    for text in [
        "",
        "12",
        "-a",
        "x-a",
        "12-",
        &format!("1-{}", "y".repeat(200)),
    ] {
        expect_that!(OnceKey::parse(&"desk".into(), text), none());
    }
}

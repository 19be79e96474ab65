//! Compares the outcome reported to callers with what happened to each dispatch.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    LEASE_MS, NaiveOnce, Script, ScriptedBackends, daemon, fixture, fixture_with_clock, outcome_of,
    request, tables,
};
use coursestand_coordination::tables::SlotMap;
use coursestand_kernel::MonotonicClock;
use coursestand_model::Outcome;
use googletest::prelude::*;
use poem::http::StatusCode;
use poem::{Body, Response};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ADDRESSES: [&str; 2] = ["127.0.0.1:1", "127.0.0.1:2"];

fn script() -> impl Strategy<Value = Script> {
    prop_oneof![
        Just(Script::Answer),
        Just(Script::TruncatedAnswer),
        Just(Script::NotRun),
        Just(Script::LostAfterRun),
        Just(Script::LostBeforeRun),
    ]
}

async fn text(response: Response) -> String {
    response.into_body().into_string().await.unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn reported_outcomes_match_the_dispatches(
        scripts in prop::collection::vec(script(), 0..6),
        once in any::<bool>(),
        resends in 0..3_usize,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let backends = Arc::new(ScriptedBackends {
                script: std::sync::Mutex::new(scripts.into()),
                cancel_works: true,
                ..ScriptedBackends::default()
            });
            let fixture = fixture(backends.clone(), NaiveOnce::default(), &tables(&ADDRESSES, 4));
            let (service, key) = if once { ("pay", Some("1000-k")) } else { ("page", None) };
            let mut outcomes = Vec::new();
            for _ in 0..=resends {
                let before = backends.dispatched.lock().expect("lock").len();
                let response = fixture.serve(service, key).await;
                let outcome = outcome_of(&response);
                let body = text(response).await;
                let dispatched = backends.dispatched.lock().expect("lock").clone();
                let attempts = &dispatched[before..];
                match outcome {
                    Outcome::NotRun => {
                        prop_assert!(attempts.iter().all(|(script, _)| !script.runs()));
                        prop_assert!(attempts.iter().all(|(script, _)| *script == Script::NotRun));
                    }
                    Outcome::Completed => {
                        let is_complete = dispatched
                            .iter()
                            .any(|(script, id)| *script == Script::Answer && *id == body);
                        prop_assert!(is_complete, "the answer {:?} belongs to no dispatch", body);
                        if !once {
                            prop_assert_eq!(&attempts.last().expect("dispatched").1, &body);
                        }
                    }
                    Outcome::Unknown => {}
                }
                outcomes.push(outcome);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let dispatched = backends.dispatched.lock().expect("lock").clone();
            let may_have_run = dispatched.iter().filter(|(script, _)| *script != Script::NotRun);
            if once {
                prop_assert!(
                    may_have_run.count() <= 1,
                    "{:?} with outcomes {:?}",
                    dispatched,
                    outcomes
                );
            }
            tokio::time::sleep(Duration::from_secs(10)).await;
            prop_assert_eq!(fixture.in_use(), 0, "every slot is released");
            Ok(())
        })?;
    }
}

#[gtest]
#[tokio::test]
async fn without_a_lease_nothing_is_dispatched() {
    let backends = Arc::new(ScriptedBackends::default());
    let fixture = fixture(
        backends.clone(),
        NaiveOnce::default(),
        &tables(&ADDRESSES, 4),
    );
    let ungranted = coursestand_gateway::lease::DecisionLease::new(fixture.clock);
    expect_that!(ungranted.is_valid(), eq(false));
    // A gateway whose lease was never granted.
    let shared = Arc::new(coursestand_gateway::Shared::new(
        common::daemon(),
        Arc::new(ungranted),
        backends.clone(),
    ));
    shared
        .steering()
        .apply(&tables(&ADDRESSES, 4))
        .expect("valid");
    let metrics = coursestand_gateway::metrics::GatewayMetrics::new(&prometheus::Registry::new())
        .expect("metrics");
    let once = Arc::new(NaiveOnce::default());
    let gateway =
        coursestand_gateway::Gateway::new(common::daemon(), "z".into(), shared, once, metrics);
    let response = gateway
        .serve("page", &request("page", None), Body::empty())
        .await;
    expect_that!(outcome_of(&response), eq(Outcome::NotRun));
    expect_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(response.headers().contains_key("retry-after"), eq(true));
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(0));
}

/// Guards against dispatching under an expired lease after the daemon was suspended between
/// claim and dispatch: the claim takes longer than the remaining time of the lease.
#[gtest]
#[tokio::test]
async fn a_lease_that_expires_during_the_claim_stops_the_dispatch() {
    let backends = Arc::new(ScriptedBackends::default());
    let once = NaiveOnce {
        delay: Duration::from_millis(120),
        ..NaiveOnce::default()
    };
    let clock = coursestand_kernel::MonotonicClock::default();
    let lease = Arc::new(coursestand_gateway::lease::DecisionLease::new(clock));
    lease.extend(clock.now() + 60);
    let shared = Arc::new(coursestand_gateway::Shared::new(
        common::daemon(),
        lease,
        backends.clone(),
    ));
    shared
        .steering()
        .apply(&tables(&ADDRESSES, 4))
        .expect("valid");
    let metrics = coursestand_gateway::metrics::GatewayMetrics::new(&prometheus::Registry::new())
        .expect("metrics");
    let once = Arc::new(once);
    let gateway = coursestand_gateway::Gateway::new(
        common::daemon(),
        "z".into(),
        shared,
        once.clone(),
        metrics,
    );
    let request = request("pay", Some("1000-k"));
    let response = gateway.serve("pay", &request, Body::empty()).await;
    expect_that!(outcome_of(&response), eq(Outcome::NotRun));
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(0));
    expect_that!(once.released.lock().expect("lock").len(), eq(1));
}

/// Guards against dispatching on a slot that was reassigned while the daemon was suspended
/// between claim and dispatch, if the daemon gets a new lease before it dispatches.
#[gtest]
#[tokio::test]
async fn a_slot_lost_during_the_claim_stops_the_dispatch_under_a_new_lease() {
    let backends = Arc::new(ScriptedBackends::default());
    let once = NaiveOnce {
        delay: Duration::from_millis(120),
        ..NaiveOnce::default()
    };
    let (clock, suspension) = MonotonicClock::with_simulated_suspensions();
    let fixture = fixture_with_clock(clock, backends.clone(), once, &tables(&ADDRESSES, 4));
    let serving = fixture.serve("pay", Some("1000-k"));
    let suspend_and_renew = async {
        fixture.wait_until_in_use(1).await;
        suspension.suspend_ms(2 * LEASE_MS);
        let mut updated = tables(&ADDRESSES, 4);
        updated.version = 2;
        updated.slots.set(daemon(), SlotMap::new(), 2);
        fixture.shared.steering().apply(&updated).expect("valid");
        fixture.lease.extend(fixture.clock.now() + LEASE_MS);
    };
    let (response, ()) = tokio::join!(serving, suspend_and_renew);
    expect_that!(outcome_of(&response), eq(Outcome::NotRun));
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(0));
    expect_that!(fixture.once.released.lock().expect("lock").len(), eq(1));
}

/// Guards against refusing a request when control reclaims its slot under a valid lease:
/// control does not reassign the slot until the daemon has freed it.
#[gtest]
#[tokio::test]
async fn a_slot_reclaimed_during_the_claim_is_still_used_under_the_same_lease() {
    let backends = Arc::new(ScriptedBackends::default());
    let once = NaiveOnce {
        delay: Duration::from_millis(120),
        ..NaiveOnce::default()
    };
    let fixture = fixture(backends.clone(), once, &tables(&ADDRESSES, 4));
    let serving = fixture.serve("pay", Some("1000-k"));
    let reclaim = async {
        fixture.wait_until_in_use(1).await;
        let mut updated = tables(&ADDRESSES, 4);
        updated.version = 2;
        updated.slots.set(daemon(), SlotMap::new(), 2);
        fixture.shared.steering().apply(&updated).expect("valid");
    };
    let (response, ()) = tokio::join!(serving, reclaim);
    expect_that!(outcome_of(&response), eq(Outcome::Completed));
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn nothing_is_dispatched_while_the_ledger_is_unreachable() {
    let backends = Arc::new(ScriptedBackends::default());
    let once = NaiveOnce {
        unreachable: true,
        ..NaiveOnce::default()
    };
    let fixture = fixture(backends.clone(), once, &tables(&ADDRESSES, 4));
    let response = fixture.serve("pay", Some("1000-k")).await;
    expect_that!(outcome_of(&response), eq(Outcome::Unknown));
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(0));
    expect_that!(fixture.once.released.lock().expect("lock").len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_abandoned_slot_stays_in_use_until_cancellation_or_deadline() {
    for (cancel_works, in_use_until_deadline) in [(true, false), (false, true)] {
        let backends = Arc::new(ScriptedBackends {
            script: std::sync::Mutex::new([Script::LostAfterRun; 3].into()),
            cancel_works,
            ..ScriptedBackends::default()
        });
        let fixture = fixture(backends, NaiveOnce::default(), &tables(&ADDRESSES[..1], 1));
        let response = fixture.serve("pay", Some("1000-k")).await;
        expect_that!(outcome_of(&response), eq(Outcome::Unknown));
        tokio::time::sleep(Duration::from_millis(common::DEADLINE_MS / 2)).await;
        let is_in_use = fixture.in_use() == 1;
        expect_that!(is_in_use, eq(in_use_until_deadline));
        tokio::time::sleep(Duration::from_millis(common::DEADLINE_MS)).await;
        expect_that!(fixture.in_use(), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn malformed_requests_are_rejected_with_a_reason() {
    let backends = Arc::new(ScriptedBackends::default());
    let fixture = fixture(
        backends.clone(),
        NaiveOnce::default(),
        &tables(&ADDRESSES, 4),
    );
    let with = |service: &str, name: &str, value: &str| {
        let mut request = request(service, Some("1000-k"));
        request.headers_mut().insert(
            poem::http::HeaderName::try_from(name).expect("a name"),
            value.parse().expect("a value"),
        );
        request
    };
    let too_long = 300_000.to_string();
    for (service, request, status, expected_text) in [
        (
            "none",
            request("none", None),
            404,
            "service none is not known",
        ),
        (
            "pay",
            with("pay", "x-deadline-ms", "soon"),
            400,
            "x-deadline-ms",
        ),
        ("pay", with("pay", "x-deadline-ms", "0"), 504, "deadline"),
        (
            "pay",
            with("pay", "idempotency-key", "k"),
            400,
            "idempotency-key",
        ),
        (
            "pay",
            with("pay", "content-length", &too_long),
            413,
            "longer",
        ),
    ] {
        let response = fixture
            .gateway
            .serve(service, &request, Body::empty())
            .await;
        expect_that!(response.status().as_u16(), eq(status));
        expect_that!(outcome_of(&response), eq(Outcome::NotRun));
        expect_that!(text(response).await, contains_substring(expected_text));
    }
    expect_that!(backends.dispatched.lock().expect("lock").len(), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_without_a_slot_is_refused_early_with_retry_after() {
    let backends = Arc::new(ScriptedBackends::default());
    let fixture = fixture(backends, NaiveOnce::default(), &tables(&ADDRESSES, 0));
    let started = tokio::time::Instant::now();
    let response = fixture.serve("page", None).await;
    expect_that!(outcome_of(&response), eq(Outcome::NotRun));
    expect_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(response.headers().contains_key("retry-after"), eq(true));
    // The maximum queue time of 50 ms, well before the deadline.
    expect_that!(started.elapsed().as_millis(), lt(100));
}

#[gtest]
#[tokio::test]
async fn look_ups_reject_other_methods_than_get() {
    let backends = Arc::new(ScriptedBackends::default());
    let fixture = fixture(backends, NaiveOnce::default(), &tables(&ADDRESSES, 4));
    let routes = coursestand_gateway::callers::routes(fixture.gateway.clone());
    for (method, status) in [("GET", 200), ("DELETE", 405)] {
        let request = poem::Request::builder()
            .method(method.parse().expect("a method"))
            .uri("/v1/lookup?service=page&client=z".parse().expect("a URI"))
            .finish();
        let response = poem::Endpoint::get_response(&routes, request).await;
        expect_that!(response.status().as_u16(), eq(status));
    }
}

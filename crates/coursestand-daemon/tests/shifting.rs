//! Drains and the loss of zones, checked against the records of the back ends: the share of
//! a client zone's requests that a zone serves never grows by more than the cap within a
//! window.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::Fleet;
use coursestand_coordination::bundles::OrderAction;
use coursestand_coordination::followers::LEASE_MS;
use coursestand_coordination::tables::DrainTarget;
use coursestand_lab::callers::RequestOutcome;
use coursestand_lab::load::default_request;
use coursestand_lab::verdict::starts_by_zone;
use coursestand_model::bundle::Policy;
use coursestand_model::{Bundle, FULL_SHARE};
use googletest::prelude::*;

const RATE: u64 = 80;
const ORIGIN: &str = "in-kempton";
const SERVICE: &str = "bunkview";
const SHARE_BP: u32 = 2_500;
const WINDOW_MS: u64 = 2_000;
/// Requests offered in one bucket may start in the next one, and each daemon rounds to whole
/// requests.
const SLACK: f64 = 0.10;
/// Maximum time for the confirmations of all steps of a shift on a busy machine; less than
/// one long poll per step.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);

fn set_small_cap(bundle: &mut Bundle) {
    for service in &mut bundle.services {
        service.shift_cap.share_bp = SHARE_BP;
        service.shift_cap.window_ms = WINDOW_MS;
        service.policy = Policy::Nearest {};
    }
}

/// Sends requests of one client zone at a fixed rate. Requests are not retried, so the number
/// that starts in a zone is its share of the offered load.
async fn offer_load(fleet: &Fleet, seconds: u64) -> Vec<RequestOutcome> {
    let caller = fleet.caller();
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..RATE * seconds {
        let planned_start = started_at + Duration::from_millis(number * 1000 / RATE);
        tokio::time::sleep_until(planned_start.into()).await;
        let caller = Arc::clone(&caller);
        let token = format!("shift-{number}");
        let timeout = Duration::from_millis(900);
        let request = default_request(
            SERVICE,
            format!("10.1.0.{}", number % 200 + 1),
            &token,
            timeout,
        );
        tasks.push(tokio::spawn(async move {
            caller.run(request, planned_start).await.outcome
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("the request ends"));
    }
    outcomes
}

/// Returns the largest growth of any zone's share from one window to the next.
fn largest_growth(fleet: &Fleet) -> (f64, BTreeMap<u64, BTreeMap<String, usize>>) {
    let records = fleet.simulation.records.all();
    let buckets = starts_by_zone(&records, SERVICE, ORIGIN, WINDOW_MS);
    let offered = (RATE * WINDOW_MS / 1000) as f64;
    let last = buckets.keys().last().copied().unwrap_or(0);
    let first = buckets.keys().next().copied().unwrap_or(0);
    let share = |bucket: u64, zone: &str| {
        let starts = buckets.get(&bucket).and_then(|zones| zones.get(zone));
        starts.copied().unwrap_or(0) as f64 / offered
    };
    let zones: Vec<String> = buckets
        .values()
        .flat_map(|zones| zones.keys().cloned())
        .collect();
    let mut largest = 0.0_f64;
    // The first and the last bucket are incomplete.
    for bucket in first + 2..last {
        for zone in &zones {
            largest = largest.max(share(bucket, zone) - share(bucket - 1, zone));
        }
    }
    (largest, buckets)
}

/// Adjacent windows may each contain one step.
fn allowed_growth() -> f64 {
    f64::from(SHARE_BP) / 10_000.0 + SLACK
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_empties_within_the_cap_without_interrupting_requests() {
    let fleet = Fleet::start(6, |deployment| set_small_cap(&mut deployment.bundle)).await;
    let drain = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let target = DrainTarget::Zone(ORIGIN.into());
        fleet.order(OrderAction::Drain { target }).await;
    };
    let (outcomes, ()) = tokio::join!(offer_load(&fleet, 20), drain);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, le(allowed_growth()), "{buckets:?}");
    let last_complete = buckets.len().saturating_sub(2);
    let (_, zones) = buckets.iter().nth(last_complete).expect("a bucket");
    expect_that!(zones.get(ORIGIN), none(), "the zone is empty: {buckets:?}");
    let unknown = outcomes
        .iter()
        .filter(|outcome| **outcome == RequestOutcome::Unknown)
        .count();
    expect_that!(unknown, eq(0));
}

/// Whether a zone has a share of the requests according to daemon 0.
async fn has_share(fleet: &Fleet, zone: &str) -> bool {
    let follower = fleet.dump(0, "follower").await;
    let rows = follower["shares"].as_array().expect("shares");
    let row = rows
        .iter()
        .find(|row| row["service"] == SERVICE && row["origin"] == ORIGIN)
        .expect("shares of the service");
    row["shares"].get(zone).is_some()
}

/// Guards against a drain that stalls without traffic: no other commit occurs during a
/// window, and daemons don't poll again until their long poll is answered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_advances_every_window_without_traffic() {
    let fleet = Fleet::start(6, |deployment| set_small_cap(&mut deployment.bundle)).await;
    // A new leader confirms nothing while leases of its predecessor may be valid.
    tokio::time::sleep(Duration::from_millis(LEASE_MS)).await;
    let target = DrainTarget::Zone(ORIGIN.into());
    let started_at = Instant::now();
    fleet.order(OrderAction::Drain { target }).await;
    common::until("the zone has no share", || async {
        !has_share(&fleet, ORIGIN).await
    })
    .await;
    let steps = FULL_SHARE.div_ceil(SHARE_BP);
    let windows = Duration::from_millis(WINDOW_MS) * (steps - 1);
    expect_that!(started_at.elapsed(), ge(windows));
    expect_that!(started_at.elapsed(), le(windows + CONFIRMATION_TIME));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_region_failure_during_a_rollout_stays_within_the_cap() {
    let fleet = Fleet::start(6, |deployment| set_small_cap(&mut deployment.bundle)).await;
    let faults = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let inland = ["in-kempton", "in-sandton"];
        for backend in &fleet.simulation.backends {
            if inland.contains(&backend.description().zone.as_str()) {
                backend.kill();
            }
        }
        // A rollout during the failure, which is rolled back.
        let mut next = fleet.simulation.deployment.bundle.clone();
        next.version = 2;
        let signed = fleet.operator.sign_bundle(&next).expect("signed");
        let submitted = fleet
            .operator
            .submit_bundle(signed, 1, "second", common::TEST_TIMEOUT)
            .await;
        submitted.expect("an answer");
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.order(OrderAction::Roll { revision: 1 }).await;
    };
    let (outcomes, ()) = tokio::join!(offer_load(&fleet, 20), faults);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, le(allowed_growth()), "{buckets:?}");
    // Requests beyond the cap are reported as not run; in the end nearly all are served.
    let not_run = outcomes
        .iter()
        .filter(|outcome| **outcome == RequestOutcome::NotRun)
        .count();
    expect_that!(not_run, gt(0));
    let tail = &outcomes[outcomes.len() - RATE as usize..];
    let served = tail
        .iter()
        .filter(|outcome| **outcome == RequestOutcome::Answered)
        .count();
    expect_that!(served * 10, ge(tail.len() * 9), "{buckets:?}");
}

/// Shows that the check can fail: without a cap, all traffic moves at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_a_cap_the_check_fails() {
    let fleet = Fleet::start(6, |deployment| {
        set_small_cap(&mut deployment.bundle);
        for service in &mut deployment.bundle.services {
            service.shift_cap.share_bp = 10_000;
        }
    })
    .await;
    let drain = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let target = DrainTarget::Zone(ORIGIN.into());
        fleet.order(OrderAction::Drain { target }).await;
    };
    let (_, ()) = tokio::join!(offer_load(&fleet, 12), drain);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, gt(allowed_growth()), "{buckets:?}");
}

//! Drains and the loss of places, measured at the back ends' own records: the
//! share of a client zone's requests that a zone serves never grows by more than
//! the cap within a window.
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
/// Offered requests of one bucket may start in the next one; and each of the
/// daemons rounds to whole requests.
const SLACK: f64 = 0.10;
/// Time for the confirmations of all steps of a shift, on a busy machine; less
/// than a held request for each.
const CONFIRMATIONS: Duration = Duration::from_millis(1_500);

fn small_cap(bundle: &mut Bundle) {
    for service in &mut bundle.services {
        service.shift_cap.share_bp = SHARE_BP;
        service.shift_cap.window_ms = WINDOW_MS;
        service.policy = Policy::Nearest {};
    }
}

/// Offers requests of one client zone at a fixed rate; nothing is tried again,
/// so what starts at a zone is its share of what was offered.
async fn offer(fleet: &Fleet, seconds: u64) -> Vec<RequestOutcome> {
    let caller = fleet.caller();
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..RATE * seconds {
        let planned = began + Duration::from_millis(number * 1000 / RATE);
        tokio::time::sleep_until(planned.into()).await;
        let caller = Arc::clone(&caller);
        let token = format!("shift-{number}");
        let patience = Duration::from_millis(900);
        let one = default_request(
            SERVICE,
            format!("10.1.0.{}", number % 200 + 1),
            &token,
            patience,
        );
        tasks.push(tokio::spawn(async move {
            caller.run(one, planned).await.outcome
        }));
    }
    let mut findings = Vec::new();
    for task in tasks {
        findings.push(task.await.expect("the errand ends"));
    }
    findings
}

/// The most that the share of any zone grew from one window to the next.
fn largest_growth(fleet: &Fleet) -> (f64, BTreeMap<u64, BTreeMap<String, usize>>) {
    let records = fleet.world.records.all();
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
    // The first and the last bucket are not whole.
    for bucket in first + 2..last {
        for zone in &zones {
            largest = largest.max(share(bucket, zone) - share(bucket - 1, zone));
        }
    }
    (largest, buckets)
}

/// Two neighbouring windows may each hold one step.
fn allowed_growth() -> f64 {
    f64::from(SHARE_BP) / 10_000.0 + SLACK
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_empties_within_the_cap_and_cuts_nothing() {
    let fleet = Fleet::start(6, |deployment| small_cap(&mut deployment.bundle)).await;
    let drain = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let target = DrainTarget::Zone(ORIGIN.into());
        fleet.order(OrderAction::Drain { target }).await;
    };
    let (findings, ()) = tokio::join!(offer(&fleet, 20), drain);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, le(allowed_growth()), "{buckets:?}");
    let last_whole = buckets.len().saturating_sub(2);
    let (_, zones) = buckets.iter().nth(last_whole).expect("a bucket");
    expect_that!(zones.get(ORIGIN), none(), "the zone is empty: {buckets:?}");
    let unknown = findings
        .iter()
        .filter(|finding| **finding == RequestOutcome::Unknown)
        .count();
    expect_that!(unknown, eq(0));
}

/// Whether a zone still has a share of the requests, as daemon 0 decides.
async fn has_share(fleet: &Fleet, zone: &str) -> bool {
    let follower = fleet.dump(0, "follower").await;
    let rows = follower["shares"].as_array().expect("shares");
    let row = rows
        .iter()
        .find(|row| row["service"] == SERVICE && row["origin"] == ORIGIN)
        .expect("shares of the service");
    row["shares"].get(zone).is_some()
}

/// Without traffic nothing else is committed while a window passes, and no
/// daemon has a reason to ask again before its held request is answered.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_goes_on_from_window_to_window_without_any_traffic() {
    let fleet = Fleet::start(6, |deployment| small_cap(&mut deployment.bundle)).await;
    // A new leader confirms nothing while leases of one before it may run.
    tokio::time::sleep(Duration::from_millis(LEASE_MS)).await;
    let target = DrainTarget::Zone(ORIGIN.into());
    let began = Instant::now();
    fleet.order(OrderAction::Drain { target }).await;
    common::until("the zone has no share", || async {
        !has_share(&fleet, ORIGIN).await
    })
    .await;
    let steps = FULL_SHARE.div_ceil(SHARE_BP);
    let windows = Duration::from_millis(WINDOW_MS) * (steps - 1);
    expect_that!(began.elapsed(), ge(windows));
    expect_that!(began.elapsed(), le(windows + CONFIRMATIONS));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_dies_in_a_rollout_does_not_lift_the_cap() {
    let fleet = Fleet::start(6, |deployment| small_cap(&mut deployment.bundle)).await;
    let faults = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let inland = ["in-kempton", "in-sandton"];
        for backend in &fleet.world.backends {
            if inland.contains(&backend.description().zone.as_str()) {
                backend.kill();
            }
        }
        // A rollout in the middle, and rolled back.
        let mut next = fleet.world.deployment.bundle.clone();
        next.version = 2;
        let signed = fleet.operator.sign_bundle(&next).expect("signed");
        let submitted = fleet
            .operator
            .submit_bundle(signed, 1, "second", common::WITHIN)
            .await;
        submitted.expect("an answer");
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.order(OrderAction::Roll { revision: 1 }).await;
    };
    let (findings, ()) = tokio::join!(offer(&fleet, 20), faults);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, le(allowed_growth()), "{buckets:?}");
    // What may not move yet is told as not run, and in the end all is served.
    let not_run = findings
        .iter()
        .filter(|finding| **finding == RequestOutcome::NotRun)
        .count();
    expect_that!(not_run, gt(0));
    let tail = &findings[findings.len() - RATE as usize..];
    let served = tail
        .iter()
        .filter(|finding| **finding == RequestOutcome::Answered)
        .count();
    expect_that!(served * 10, ge(tail.len() * 9), "{buckets:?}");
}

/// The naive version: everything moves at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn with_the_cap_off_the_check_fails() {
    let fleet = Fleet::start(6, |deployment| {
        small_cap(&mut deployment.bundle);
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
    let (_, ()) = tokio::join!(offer(&fleet, 12), drain);
    let (growth, buckets) = largest_growth(&fleet);
    expect_that!(growth, gt(allowed_growth()), "{buckets:?}");
}

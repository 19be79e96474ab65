//! The account of the bytes that are kept for all connections.
#![allow(missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use coursestand_proxy::memory_budget::{MemoryBudget, MemoryKind, MemoryPermit, STREAM_BYTES};
use coursestand_proxy::metrics::ProxyMetrics;
use googletest::prelude::*;
use tokio::time::Instant;

const MEBIBYTE: usize = 1024 * 1024;

fn metrics() -> ProxyMetrics {
    ProxyMetrics::new(&prometheus::Registry::new()).expect("metrics")
}

/// Memory of a process whose account has a capacity of 8 MiB.
const MEMORY_BYTES: u64 = 64 * MEBIBYTE as u64;

fn budget() -> Arc<MemoryBudget> {
    MemoryBudget::new(MEMORY_BYTES, metrics())
}

/// Returns a request that began to be received `age` ago and holds `bytes`.
fn receive(budget: &Arc<MemoryBudget>, age: Duration, bytes: usize) -> MemoryPermit {
    let mut permit = budget.receive(MemoryKind::RequestBody, Instant::now() - age);
    permit.resize(bytes).expect("room");
    permit
}

/// Guards against bytes that are never given back, or given back twice.
#[gtest]
fn what_is_dropped_is_given_back() {
    let budget = budget();
    let mut held = budget.hold(MemoryKind::Answer);
    let received = receive(&budget, Duration::ZERO, MEBIBYTE);
    held.resize(2 * MEBIBYTE).expect("room");
    let stream = budget.stream().expect("room");
    expect_that!(budget.held(), eq(3 * MEBIBYTE + STREAM_BYTES));
    held.resize(MEBIBYTE).expect("room");
    drop(received);
    expect_that!(budget.held(), eq(MEBIBYTE + STREAM_BYTES));
    drop((held, stream));
    expect_that!(budget.held(), eq(0));
}

/// Guards against a crowd that holds more than the capacity: the request that is being received
/// for the longest time makes room.
#[gtest]
fn the_oldest_request_in_reception_makes_room() {
    let budget = budget();
    let newest = receive(&budget, Duration::ZERO, 3 * MEBIBYTE);
    let oldest = receive(&budget, Duration::from_secs(2), 3 * MEBIBYTE);
    let mut grown = receive(&budget, Duration::from_secs(1), MEBIBYTE);
    grown.resize(3 * MEBIBYTE).expect("room");
    expect_that!(oldest.is_evicted(), eq(true));
    expect_that!(newest.is_evicted(), eq(false));
    expect_that!(budget.held(), eq(6 * MEBIBYTE));
    drop(oldest);
    expect_that!(budget.held(), eq(6 * MEBIBYTE));
}

/// Guards against an evicted request that goes on, with bytes that nobody accounts for.
#[gtest]
fn an_evicted_request_gets_nothing_more() {
    let budget = budget();
    let mut evicted = receive(&budget, Duration::from_secs(1), 8 * MEBIBYTE);
    let _newer = receive(&budget, Duration::ZERO, MEBIBYTE);
    expect_that!(evicted.resize(9 * MEBIBYTE), err(anything()));
    expect_that!(evicted.resize(1), err(anything()));
    expect_that!(evicted.keep(), err(anything()));
    expect_that!(budget.held(), eq(MEBIBYTE));
}

/// Guards against a promise that is broken: a request that was passed on may run.
#[gtest]
fn what_was_passed_on_is_not_evicted() {
    let budget = budget();
    let mut passed_on = receive(&budget, Duration::from_secs(9), 7 * MEBIBYTE);
    passed_on.keep().expect("not evicted");
    let mut newcomer = receive(&budget, Duration::ZERO, MEBIBYTE);
    expect_that!(newcomer.resize(2 * MEBIBYTE), err(anything()));
    expect_that!(budget.stream().is_err(), eq(false));
    expect_that!(newcomer.is_evicted(), eq(true));
    expect_that!(passed_on.is_evicted(), eq(false));
}

/// Guards against requests that are given up for one that would not fit anyway.
#[gtest]
fn nothing_is_evicted_in_vain() {
    let budget = budget();
    let received = receive(&budget, Duration::from_secs(1), MEBIBYTE);
    let mut newcomer = budget.receive(MemoryKind::RequestBody, Instant::now());
    expect_that!(newcomer.resize(9 * MEBIBYTE), err(anything()));
    expect_that!(received.is_evicted(), eq(false));
}

/// Guards against callers that don't read their answers and leave no room for requests.
#[gtest]
fn answers_leave_room_for_requests_and_streams() {
    let budget = budget();
    let mut answers = budget.hold(MemoryKind::Answer);
    answers.resize(4 * MEBIBYTE).expect("room");
    let mut more = budget.hold(MemoryKind::Answer);
    expect_that!(more.resize(1), err(anything()));
    expect_that!(budget.stream().is_ok(), eq(true));
    let _received = receive(&budget, Duration::ZERO, 3 * MEBIBYTE);
    drop(answers);
    expect_that!(more.resize(4 * MEBIBYTE), ok(anything()));
}

/// Guards against metrics that drift from what is held.
#[gtest]
fn the_metrics_show_what_is_held_and_evicted() {
    let metrics = metrics();
    let budget = MemoryBudget::new(MEMORY_BYTES, metrics.clone());
    let gauge = |kind: MemoryKind| metrics.memory_bytes.with_label_values(&[kind.name()]).get();
    let _evicted = receive(&budget, Duration::from_secs(1), 8 * MEBIBYTE);
    let stream = budget.stream().expect("room");
    expect_that!(gauge(MemoryKind::RequestBody), eq(0));
    expect_that!(gauge(MemoryKind::Stream), eq(STREAM_BYTES as i64));
    drop(stream);
    expect_that!(gauge(MemoryKind::Stream), eq(0));
    let evicted = metrics.memory_refusals.with_label_values(&["evicted"]);
    expect_that!(evicted.get(), eq(1));
}

/// Guards against a small machine on which nothing would fit.
#[gtest]
fn the_capacity_has_a_minimum() {
    expect_that!(MemoryBudget::new(1, metrics()).capacity(), ge(4 * MEBIBYTE));
}

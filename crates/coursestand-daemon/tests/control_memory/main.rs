//! Memory of control processes, sampled from outside: it follows the size of the catalog, not
//! the number of changes that led to it or the number of readers.
//!
//! `COURSESTAND_PROGRAM` names another version of the daemon.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod group;

use std::time::Duration;

use googletest::prelude::*;
use group::{CONTROLS, ControlGroup, MIB};

/// Number of routes in a large change.
const ROUTES: usize = 1_400;
/// Peak memory that a control process may reach, in bytes.
const MEMORY_BOUND: u64 = 96 * MIB;

/// Guards against a log that is compacted by its number of entries only. A start reads all of
/// it, so after enough large changes every control process exceeds its memory limit at each
/// start, and the group does not return after a power loss.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn memory_at_start_does_not_grow_with_the_number_of_changes() {
    const FEW_CHANGES: u64 = 20;
    const MANY_CHANGES: u64 = 100;
    let mut group = ControlGroup::start().await;
    for version in 1..=FEW_CHANGES {
        group.set_routes(0, ROUTES, version).await;
    }
    let few = group.restart_all(ROUTES).await;
    for version in FEW_CHANGES + 1..=MANY_CHANGES {
        group.set_routes(0, ROUTES, version).await;
    }
    let many = group.restart_all(ROUTES).await;
    println!("peak at start in bytes: {few} after {FEW_CHANGES}, {many} after {MANY_CHANGES}");
    // At most 1.2 times as much.
    expect_that!(many * 5, le(few * 6));
}

/// Guards against each reader of the catalog holding several copies of it. Readers that retry
/// while a group returns from a power loss then take the control processes over their memory
/// limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn readers_of_a_large_catalog_do_not_multiply_its_memory() {
    const CHANGES: usize = 3;
    const READERS_PER_PROCESS: usize = 12;
    const READ_FOR: Duration = Duration::from_secs(6);
    let mut group = ControlGroup::start().await;
    for change in 0..CHANGES {
        group.set_routes(change * ROUTES, ROUTES, 1).await;
    }
    group.restart_all(CHANGES * ROUTES).await;
    let reads = group.read_repeatedly(READERS_PER_PROCESS, READ_FOR).await;
    let peaks = CONTROLS.map(|host| group.peak_memory(host));
    println!("peaks in bytes {peaks:?}, {reads} reads");
    expect_that!(reads, gt(0));
    for peak in peaks {
        expect_that!(peak, le(MEMORY_BOUND));
    }
}

//! Fences of orders. Guards against a fence that lets an order pass after a newer one, and against
//! orders that are refused although nothing that they concern was ordered.
#![allow(missing_docs)]

use coursestand_catalog::patch::{Removal, Upsert};
use coursestand_catalog::{
    Catalog, Item, ItemKey, Patch, Route, RouteKind, RouteTarget, ServiceItem,
};
use coursestand_coordination::order_admission::{
    AfterSuperseded, CLOSE_DELAY_MS, CallerView, MAX_UNCONFIRMED_AGE_MS, OrderStep,
};
use coursestand_coordination::{Command, OrderAdmission, OrderFence, OrderHistory};
use coursestand_model::{ServiceId, ZoneId};
use googletest::prelude::*;

const TERM: u64 = 3;

fn evacuate(zone: &str, is_active: bool) -> Command {
    Command::Evacuate {
        zone: ZoneId::from(zone),
        is_active,
    }
}

fn service(name: &str) -> Upsert {
    Upsert {
        key: ItemKey::Service(ServiceId::from(name)),
        version: 1,
        item: Item::Service(ServiceItem {
            health_path: String::new(),
            max_connections: 1,
            cold_start_ms: 0,
            cold_per_second: 1.0,
            notation: String::new(),
        }),
    }
}

fn route(name: &str, service: &str) -> Upsert {
    Upsert {
        key: ItemKey::Route(name.to_owned()),
        version: 1,
        item: Item::Route(Route {
            host: "h".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RouteKind::Repeatable,
            timeout_ms: 1_000,
            target_latency_ms: 100,
            priority: 0,
            target: RouteTarget::Service(ServiceId::from(service)),
            max_attempts: 1,
            affinity: false,
            allowed_regions: Vec::new(),
            notation: String::new(),
        }),
    }
}

fn patch(upserts: Vec<Upsert>) -> Command {
    Command::PatchCatalog(Patch {
        upserts,
        removals: Vec::new(),
    })
}

fn permits(history: &mut OrderHistory, command: &Command, fence: u64) -> bool {
    history.permits(TERM, command, OrderFence(fence), &Catalog::default())
}

#[gtest]
fn an_order_passes_up_to_the_last_order_for_its_zone() {
    let mut history = OrderHistory::default();
    history.note_applied(5, &evacuate("a", true));
    expect_that!(permits(&mut history, &evacuate("a", false), 5), eq(true));
    expect_that!(permits(&mut history, &evacuate("a", false), 4), eq(false));
    expect_that!(permits(&mut history, &evacuate("b", false), 0), eq(true));
}

/// An operator that evacuates an evacuated zone again means to overrule what it ordered in between
/// and gave up.
#[gtest]
fn an_order_that_changes_nothing_still_counts() {
    let mut history = OrderHistory::default();
    history.note_applied(5, &evacuate("a", true));
    history.note_applied(7, &evacuate("a", true));
    expect_that!(permits(&mut history, &evacuate("a", false), 6), eq(false));
}

#[gtest]
fn an_order_in_the_log_counts_before_it_is_applied() {
    let mut history = OrderHistory::default();
    history.note_appended(TERM, 5, &evacuate("a", true));
    expect_that!(permits(&mut history, &evacuate("a", false), 9), eq(false));
    expect_that!(permits(&mut history, &evacuate("b", false), 0), eq(true));
    history.note_applied(5, &evacuate("a", true));
    expect_that!(permits(&mut history, &evacuate("a", false), 9), eq(true));
}

/// Another leader may have replaced what this replica appended in an earlier term, so that it is
/// never applied.
#[gtest]
fn orders_appended_in_an_earlier_term_block_nothing() {
    let mut history = OrderHistory::default();
    history.note_appended(TERM - 1, 5, &evacuate("a", true));
    expect_that!(permits(&mut history, &evacuate("a", false), 4), eq(true));
}

#[gtest]
fn orders_that_a_snapshot_replaced_count_as_the_newest_it_may_contain() {
    let mut history = OrderHistory::after_snapshot(10);
    expect_that!(permits(&mut history, &evacuate("a", true), 9), eq(false));
    expect_that!(permits(&mut history, &evacuate("a", true), 10), eq(true));
}

#[gtest]
fn a_change_passes_unless_its_items_or_their_services_changed() {
    let mut catalog = Catalog::default();
    let first = Patch {
        upserts: vec![service("s"), service("t"), route("r", "s")],
        removals: Vec::new(),
    };
    catalog.merge(&first, 5).expect("valid");
    let removal = Patch {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey::Service(ServiceId::from("t")),
            version: 2,
        }],
    };
    catalog.merge(&removal, 8).expect("valid");
    let mut history = OrderHistory::default();
    let mut permits =
        |command: Command, fence: u64| history.permits(TERM, &command, OrderFence(fence), &catalog);
    expect_that!(permits(patch(vec![route("r", "s")]), 4), eq(false));
    expect_that!(permits(patch(vec![route("r", "s")]), 5), eq(true));
    expect_that!(permits(patch(vec![route("other", "s")]), 5), eq(true));
    expect_that!(permits(patch(vec![route("other", "t")]), 7), eq(false));
    expect_that!(permits(patch(vec![route("other", "t")]), 8), eq(true));
}

/// Routes that share a service do not delay each other.
#[gtest]
fn concurrent_changes_of_different_routes_do_not_conflict() {
    let mut history = OrderHistory::default();
    history.note_appended(TERM, 5, &patch(vec![route("one", "s")]));
    let other = patch(vec![route("two", "s")]);
    expect_that!(permits(&mut history, &other, 4), eq(true));
    let same = patch(vec![route("one", "s")]);
    expect_that!(permits(&mut history, &same, 4), eq(false));
}

fn caller(connection_age_ms: Option<u64>) -> CallerView {
    CallerView {
        is_connected: true,
        connection_age_ms,
    }
}

#[gtest]
fn orders_without_a_version_need_a_recent_caller_or_a_confirmation() {
    let mut admission = OrderAdmission::new(&evacuate("a", true), None);
    expect_that!(admission.initial_delay_ms(), eq(CLOSE_DELAY_MS));
    admission.note_fence(4);
    let fence = OrderFence(4);
    let recent = caller(Some(MAX_UNCONFIRMED_AGE_MS));
    expect_that!(admission.next_step(recent), eq(OrderStep::Propose(fence)));
    for doubtful in [caller(Some(MAX_UNCONFIRMED_AGE_MS + 1)), caller(None)] {
        expect_that!(admission.next_step(doubtful), eq(OrderStep::Confirm(fence)));
    }
    let gone = CallerView {
        is_connected: false,
        ..recent
    };
    expect_that!(admission.next_step(gone), eq(OrderStep::Drop));
}

#[gtest]
fn a_confirmed_order_keeps_the_fence_that_its_caller_confirmed() {
    let confirmed = OrderFence(4);
    let mut admission = OrderAdmission::new(&evacuate("a", true), Some(confirmed));
    expect_that!(admission.initial_delay_ms(), eq(0));
    admission.note_fence(9);
    let step = admission.next_step(caller(Some(10 * MAX_UNCONFIRMED_AGE_MS)));
    expect_that!(step, eq(OrderStep::Propose(confirmed)));
    expect_that!(admission.superseded(9), eq(AfterSuperseded::GiveUp));
}

#[gtest]
fn changes_with_versions_need_no_confirmation() {
    let mut admission = OrderAdmission::new(&patch(vec![service("s")]), None);
    expect_that!(admission.initial_delay_ms(), eq(0));
    admission.note_fence(4);
    let step = admission.next_step(caller(None));
    expect_that!(step, eq(OrderStep::Propose(OrderFence(4))));
}

/// Guards against a follower that lags behind and proposes with the same fence again and again.
#[gtest]
fn a_superseded_order_continues_from_what_the_leader_has_applied() {
    let mut admission = OrderAdmission::new(&evacuate("a", true), None);
    admission.note_fence(4);
    expect_that!(admission.superseded(6), eq(AfterSuperseded::TryAgain));
    admission.note_fence(5);
    let step = admission.next_step(caller(Some(0)));
    expect_that!(step, eq(OrderStep::Propose(OrderFence(6))));
    expect_that!(admission.superseded(6), eq(AfterSuperseded::TryLater));
}

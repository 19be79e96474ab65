//! The record of back ends that leave: what it includes, its bounds, and states of older
//! processes.
#![allow(missing_docs)]

use coursestand_coordination::command::StampedCommand;
use coursestand_coordination::departures::{MAX_DEPARTURES, MAX_IDENTITY_BYTES, RETENTION_MS};
use coursestand_coordination::{Command, ControlState, Departure, Departures};
use coursestand_model::{BackendId, Millis};
use googletest::prelude::*;

fn departure(id: &str, born: Option<Millis>) -> Departure {
    Departure {
        backend: BackendId::from(id),
        born,
    }
}

fn includes(departures: &Departures, id: &str, born: Option<Millis>) -> bool {
    departures.includes(&BackendId::from(id), born)
}

#[gtest]
fn a_departure_includes_earlier_incarnations_and_no_later_one() {
    let mut departures = Departures::default();
    departures.record(&departure("a", Some(7)), 0, 1);
    for (born, is_included) in [
        (None, true),
        (Some(6), true),
        (Some(7), true),
        (Some(8), false),
    ] {
        expect_that!(
            includes(&departures, "a", born),
            eq(is_included),
            "{born:?}"
        );
    }
    expect_that!(includes(&departures, "b", None), eq(false));
}

/// Guards against a late order of an earlier incarnation that replaces the record of a later one.
#[gtest]
fn a_late_order_of_an_earlier_incarnation_changes_nothing() {
    let mut departures = Departures::default();
    departures.record(&departure("a", Some(7)), 0, 1);
    departures.record(&departure("a", Some(5)), 0, 2);
    departures.record(&departure("a", None), 0, 3);
    expect_that!(includes(&departures, "a", Some(7)), eq(true));
    expect_that!(departures.len(), eq(1));
}

/// Guards against memory that grows with invented identities.
#[gtest]
fn the_oldest_departures_give_way_beyond_the_limits() {
    let mut departures = Departures::default();
    let count = MAX_DEPARTURES as u64 + 100;
    for index in 1..=count {
        departures.record(&departure(&format!("i-{index}"), None), 0, index);
    }
    expect_that!(departures.len(), eq(MAX_DEPARTURES));
    expect_that!(includes(&departures, "i-100", None), eq(false));
    expect_that!(includes(&departures, "i-101", None), eq(true));
    let long = "x".repeat(MAX_IDENTITY_BYTES / 4);
    for index in 1..=10 {
        departures.record(
            &departure(&format!("{long}{index}"), None),
            0,
            count + index,
        );
    }
    expect_that!(departures.len(), le(4));
    expect_that!(includes(&departures, &format!("{long}10"), None), eq(true));
}

#[gtest]
fn departures_expire_and_a_repeated_order_renews_them() {
    let mut departures = Departures::default();
    departures.record(&departure("a", None), 0, 1);
    departures.record(&departure("b", None), 0, 2);
    departures.record(&departure("a", None), RETENTION_MS, 3);
    departures.record(&departure("c", None), RETENTION_MS + 1, 4);
    expect_that!(includes(&departures, "a", None), eq(true));
    expect_that!(includes(&departures, "b", None), eq(false));
    expect_that!(includes(&departures, "c", None), eq(true));
}

/// Guards against a control process that can't read the snapshot of an older version.
#[gtest]
fn a_state_of_an_older_process_is_read_without_departures() {
    let mut state = ControlState::default();
    let evacuated = Command::Evacuate {
        zone: "z".into(),
        is_active: true,
    };
    state.apply(1, &stamped(evacuated));
    let encoded = postcard::to_stdvec(&state).expect("encoded");
    let departures = postcard::to_stdvec(&Departures::default()).expect("encoded");
    let older = &encoded[..encoded.len() - departures.len()];
    let read: ControlState = postcard::from_bytes(older).expect("decoded");
    expect_that!(read == state, eq(true));
}

#[gtest]
fn a_snapshot_keeps_departures() {
    let mut state = ControlState::default();
    state.apply(
        1,
        &stamped(Command::RecordDeparture(departure("a", Some(7)))),
    );
    let encoded = postcard::to_stdvec(&state).expect("encoded");
    let read: ControlState = postcard::from_bytes(&encoded).expect("decoded");
    expect_that!(
        read.departures().includes(&BackendId::from("a"), Some(7)),
        eq(true)
    );
    expect_that!(read == state, eq(true));
}

fn stamped(command: Command) -> StampedCommand {
    StampedCommand {
        clock: 0,
        wall_ms: 0,
        command,
    }
}

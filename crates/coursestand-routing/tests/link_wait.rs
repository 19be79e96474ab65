//! What round trips tell of how long requests wait before they are read.
#![allow(missing_docs)]

use coursestand_model::Millis;
use coursestand_routing::LinkWait;
use googletest::prelude::*;

const NEAR_MS: f64 = 3.0;
const FAR_MS: f64 = 40.0;

/// Two peers whose round trips are known from a time without a queue.
fn two_peers() -> LinkWait {
    let mut wait = LinkWait::default();
    wait.note_round_trip(0, 1, NEAR_MS);
    wait.note_round_trip(100, 2, FAR_MS);
    wait
}

#[gtest]
fn round_trips_that_are_as_short_as_ever_tell_of_no_wait() {
    expect_that!(two_peers().wait_ms(100), eq(0));
}

#[gtest]
fn what_all_round_trips_take_longer_is_the_wait() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    expect_that!(wait.wait_ms(1_200), eq(600));
}

#[gtest]
fn a_peer_that_is_slow_alone_tells_of_no_wait() {
    let mut wait = two_peers();
    for round in 0..10 {
        wait.note_round_trip(1_000 + round * 400, 1, NEAR_MS + 900.0);
        wait.note_round_trip(1_200 + round * 400, 2, FAR_MS);
        expect_that!(wait.wait_ms(1_200 + round * 400), eq(0));
    }
}

#[gtest]
fn two_peers_that_were_cut_off_together_tell_of_no_wait() {
    let mut wait = two_peers();
    wait.note_round_trip(200, 3, FAR_MS);
    wait.note_round_trip(2_000, 1, NEAR_MS);
    for now in [2_390, 2_391] {
        wait.note_round_trip(now, 2, FAR_MS + 1_900.0);
        wait.note_round_trip(now, 3, FAR_MS + 1_700.0);
    }
    expect_that!(wait.wait_ms(2_391), eq(0));
}

#[gtest]
fn several_late_answers_of_one_peer_count_as_one() {
    let mut wait = two_peers();
    for now in [2_000, 2_100, 2_200] {
        wait.note_round_trip(now, 1, NEAR_MS + 900.0);
    }
    expect_that!(wait.wait_ms(2_200), eq(0));
}

#[gtest]
fn without_recent_round_trips_nothing_is_known() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    expect_that!(wait.wait_ms(1_500), eq(600));
    expect_that!(wait.wait_ms(1_501), eq(0));
}

#[gtest]
fn a_queue_that_has_ended_is_forgotten_with_the_first_round_trip() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    wait.note_round_trip(1_250, 1, NEAR_MS);
    expect_that!(wait.wait_ms(1_250), eq(0));
}

/// A way that became longer is learned within a minute, and is no queue for ever.
#[gtest]
fn ways_that_become_longer_are_learned() {
    let mut wait = two_peers();
    let longer = 200.0;
    let mut now: Millis = 1_000;
    while now < 62_000 {
        wait.note_round_trip(now, 1, NEAR_MS + longer);
        wait.note_round_trip(now + 200, 2, FAR_MS + longer);
        now += 400;
    }
    expect_that!(wait.wait_ms(now - 200), eq(0));
}

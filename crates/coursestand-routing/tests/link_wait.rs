//! Estimation of the wait of requests from round trips to peers.
#![allow(missing_docs)]

use coursestand_model::Millis;
use coursestand_routing::LinkWait;
use googletest::prelude::*;

const NEAR_MS: f64 = 3.0;
const FAR_MS: f64 = 40.0;

/// Two peers whose minimum round trips were measured without a queue.
fn two_peers() -> LinkWait {
    let mut wait = LinkWait::default();
    wait.note_round_trip(0, 1, NEAR_MS);
    wait.note_round_trip(100, 2, FAR_MS);
    wait
}

#[gtest]
fn minimum_round_trips_show_no_wait() {
    expect_that!(two_peers().wait_ms(100), eq(0));
}

#[gtest]
fn the_wait_is_the_minimum_excess_of_all_peers() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    expect_that!(wait.wait_ms(1_200), eq(600));
}

#[gtest]
fn a_single_slow_peer_shows_no_wait() {
    let mut wait = two_peers();
    for round in 0..10 {
        wait.note_round_trip(1_000 + round * 400, 1, NEAR_MS + 900.0);
        wait.note_round_trip(1_200 + round * 400, 2, FAR_MS);
        expect_that!(wait.wait_ms(1_200 + round * 400), eq(0));
    }
}

#[gtest]
fn two_peers_that_were_disconnected_together_show_no_wait() {
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
fn without_recent_round_trips_the_wait_is_zero() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    expect_that!(wait.wait_ms(1_500), eq(600));
    expect_that!(wait.wait_ms(1_501), eq(0));
}

#[gtest]
fn the_wait_ends_with_the_first_undelayed_round_trip() {
    let mut wait = two_peers();
    wait.note_round_trip(1_000, 1, NEAR_MS + 600.0);
    wait.note_round_trip(1_200, 2, FAR_MS + 700.0);
    wait.note_round_trip(1_250, 1, NEAR_MS);
    expect_that!(wait.wait_ms(1_250), eq(0));
}

/// A permanently longer network path becomes the new minimum within a minute and does not
/// count as a queue permanently.
#[gtest]
fn a_longer_network_path_becomes_the_new_minimum() {
    let mut wait = two_peers();
    let added_ms = 200.0;
    let mut now: Millis = 1_000;
    while now < 62_000 {
        wait.note_round_trip(now, 1, NEAR_MS + added_ms);
        wait.note_round_trip(now + 200, 2, FAR_MS + added_ms);
        now += 400;
    }
    expect_that!(wait.wait_ms(now - 200), eq(0));
}

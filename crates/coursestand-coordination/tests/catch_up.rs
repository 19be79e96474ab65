//! What a follower lacks passes its link once while its sources are sound, and arrives as
//! long as one of them is.
#![allow(missing_docs)]

use coursestand_coordination::CatchUp;
use googletest::prelude::*;

const PATIENCE: u64 = 1_000;

fn told(sources: &[u8], version: u64) -> CatchUp<u8> {
    let mut catch_up = CatchUp::default();
    for source in sources {
        catch_up.note_told(*source, version);
    }
    catch_up
}

#[gtest]
fn one_source_is_asked_while_something_comes_from_it() {
    let mut catch_up = told(&[1, 2, 3], 7);
    expect_that!(catch_up.should_ask(&2, 0, PATIENCE), eq(true));
    for now in (0..10_000).step_by(100) {
        for source in [1, 2, 3] {
            expect_that!(catch_up.should_ask(&source, now, PATIENCE), eq(false));
        }
        catch_up.note_progress(&2, now);
    }
}

#[gtest]
fn the_next_source_is_asked_when_nothing_comes() {
    let mut catch_up = told(&[1, 2], 7);
    expect_that!(catch_up.should_ask(&1, 0, PATIENCE), eq(true));
    expect_that!(catch_up.should_ask(&2, 999, PATIENCE), eq(false));
    expect_that!(catch_up.should_ask(&2, 1_000, PATIENCE), eq(true));
    // The first one is not begun anew: what it sends may still be on its way.
    expect_that!(catch_up.should_ask(&1, 9_000, PATIENCE), eq(false));
}

#[gtest]
fn a_source_whose_connection_is_another_one_is_asked_again() {
    let mut catch_up = told(&[1], 7);
    expect_that!(catch_up.should_ask(&1, 0, PATIENCE), eq(true));
    catch_up.forget(&1);
    expect_that!(catch_up.should_ask(&1, 1, PATIENCE), eq(false));
    catch_up.note_told(1, 7);
    expect_that!(catch_up.should_ask(&1, 2, PATIENCE), eq(true));
}

#[gtest]
fn nobody_is_asked_for_what_is_there() {
    let mut catch_up = told(&[1, 2], 7);
    catch_up.hold(7);
    expect_that!(catch_up.should_ask(&1, 0, PATIENCE), eq(false));
    catch_up.note_told(2, 9);
    expect_that!(catch_up.should_ask(&1, 0, PATIENCE), eq(false));
    expect_that!(catch_up.should_ask(&2, 0, PATIENCE), eq(true));
}

#[gtest]
fn what_came_from_elsewhere_is_waited_for_no_longer() {
    let mut catch_up = told(&[1, 2], 7);
    expect_that!(catch_up.should_ask(&1, 0, PATIENCE), eq(true));
    catch_up.hold(7);
    catch_up.note_told(2, 9);
    expect_that!(catch_up.should_ask(&2, 1, PATIENCE), eq(true));
}

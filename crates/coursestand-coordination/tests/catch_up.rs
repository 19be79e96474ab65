//! Missing changes are transferred once while the sources respond, and arrive as long as one
//! source responds.
#![allow(missing_docs)]

use coursestand_coordination::CatchUp;
use googletest::prelude::*;

const SILENCE_TIMEOUT_MS: u64 = 1_000;

fn with_sources(sources: &[u8], version: u64) -> CatchUp<u8> {
    let mut catch_up = CatchUp::default();
    for source in sources {
        catch_up.note_available(*source, version);
    }
    catch_up
}

#[gtest]
fn one_source_is_used_while_it_makes_progress() {
    let mut catch_up = with_sources(&[1, 2, 3], 7);
    expect_that!(catch_up.should_request(&2, 0, SILENCE_TIMEOUT_MS), eq(true));
    for now in (0..10_000).step_by(100) {
        for source in [1, 2, 3] {
            expect_that!(
                catch_up.should_request(&source, now, SILENCE_TIMEOUT_MS),
                eq(false)
            );
        }
        catch_up.note_progress(&2, now);
    }
}

#[gtest]
fn the_next_source_is_asked_when_the_first_is_silent() {
    let mut catch_up = with_sources(&[1, 2], 7);
    expect_that!(catch_up.should_request(&1, 0, SILENCE_TIMEOUT_MS), eq(true));
    expect_that!(
        catch_up.should_request(&2, 999, SILENCE_TIMEOUT_MS),
        eq(false)
    );
    expect_that!(
        catch_up.should_request(&2, 1_000, SILENCE_TIMEOUT_MS),
        eq(true)
    );
    // The first request is not repeated: its data may still be in transit.
    expect_that!(
        catch_up.should_request(&1, 9_000, SILENCE_TIMEOUT_MS),
        eq(false)
    );
}

#[gtest]
fn a_source_is_asked_again_after_its_connection_was_replaced() {
    let mut catch_up = with_sources(&[1], 7);
    expect_that!(catch_up.should_request(&1, 0, SILENCE_TIMEOUT_MS), eq(true));
    catch_up.forget(&1);
    expect_that!(
        catch_up.should_request(&1, 1, SILENCE_TIMEOUT_MS),
        eq(false)
    );
    catch_up.note_available(1, 7);
    expect_that!(catch_up.should_request(&1, 2, SILENCE_TIMEOUT_MS), eq(true));
}

#[gtest]
fn no_source_is_asked_for_changes_that_the_follower_has() {
    let mut catch_up = with_sources(&[1, 2], 7);
    catch_up.advance_version(7);
    expect_that!(
        catch_up.should_request(&1, 0, SILENCE_TIMEOUT_MS),
        eq(false)
    );
    catch_up.note_available(2, 9);
    expect_that!(
        catch_up.should_request(&1, 0, SILENCE_TIMEOUT_MS),
        eq(false)
    );
    expect_that!(catch_up.should_request(&2, 0, SILENCE_TIMEOUT_MS), eq(true));
}

#[gtest]
fn changes_that_arrived_from_elsewhere_close_open_requests() {
    let mut catch_up = with_sources(&[1, 2], 7);
    expect_that!(catch_up.should_request(&1, 0, SILENCE_TIMEOUT_MS), eq(true));
    catch_up.advance_version(7);
    catch_up.note_available(2, 9);
    expect_that!(catch_up.should_request(&2, 1, SILENCE_TIMEOUT_MS), eq(true));
}

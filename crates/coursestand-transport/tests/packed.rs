//! Frames are packed for narrow links and come out as they were; what can't be unpacked
//! is an error.
#![allow(missing_docs)]

use coursestand_transport::MAX_FRAME_BYTES;
use coursestand_transport::packed::{pack, unpack};
use googletest::prelude::*;

#[gtest]
fn a_frame_comes_out_as_it_was() {
    let frame: Vec<u8> = (0..20_000_u32).map(|number| (number % 251) as u8).collect();
    let packed = pack(&frame).expect("packed");
    expect_that!(packed.len(), lt(frame.len()));
    expect_that!(unpack(&packed).expect("unpacked"), eq(&frame));
}

#[gtest]
fn a_damaged_frame_is_an_error() {
    let mut packed = pack(&[7; 5_000]).expect("packed");
    packed.truncate(packed.len() / 2);
    expect_that!(unpack(&packed), err(anything()));
}

#[gtest]
fn a_frame_longer_than_allowed_is_an_error() {
    let packed = pack(&vec![0; MAX_FRAME_BYTES + 1]).expect("packed");
    expect_that!(packed.len(), lt(100_000));
    expect_that!(unpack(&packed), err(anything()));
}

//! Compression of frames: a round trip restores the frame, and invalid data is an error.
#![allow(missing_docs)]

use coursestand_transport::MAX_FRAME_BYTES;
use coursestand_transport::compression::{compress, decompress};
use googletest::prelude::*;

#[gtest]
fn a_round_trip_restores_the_frame() {
    let frame: Vec<u8> = (0..20_000_u32).map(|number| (number % 251) as u8).collect();
    let compressed = compress(&frame).expect("compressed");
    expect_that!(compressed.len(), lt(frame.len()));
    expect_that!(decompress(&compressed).expect("decompressed"), eq(&frame));
}

#[gtest]
fn a_truncated_frame_is_an_error() {
    let mut compressed = compress(&[7; 5_000]).expect("compressed");
    compressed.truncate(compressed.len() / 2);
    expect_that!(decompress(&compressed), err(anything()));
}

#[gtest]
fn a_frame_longer_than_allowed_is_an_error() {
    let compressed = compress(&vec![0; MAX_FRAME_BYTES + 1]).expect("compressed");
    expect_that!(compressed.len(), lt(100_000));
    expect_that!(decompress(&compressed), err(anything()));
}

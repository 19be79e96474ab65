//! Tests of the disks and of the check of what is read back.

use std::time::SystemTime;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::disks::{Disks, HEADER_BYTES, Lengths, PowerLoss, Remains, last_frame};
use super::ledger::{Versions, check_read};

const HOST: u8 = 1;
const SEGMENT: &str = "00000000000000000002.wal";
const DRAWS: usize = 200;

/// Returns a frame whose checksums are not valid.
fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend([7; 8]);
    bytes.extend(payload);
    bytes
}

fn versions(items: &[(&str, u64)]) -> Versions {
    let items = items
        .iter()
        .map(|(key, version)| ((*key).to_owned(), *version));
    items.collect()
}

/// Guards against a run that passes over a missing, older or invented item.
#[gtest]
fn reads_that_break_a_promise_are_reported() {
    let acknowledged = versions(&[("a", 2)]);
    let sent = versions(&[("a", 3), ("b", 1)]);
    let check = |read: &[(&str, u64)]| check_read(&acknowledged, &sent, &versions(read));
    expect_that!(check(&[("a", 2)]), ok(anything()));
    expect_that!(check(&[("a", 3), ("b", 1)]), ok(anything()));
    expect_that!(check(&[]), err(contains_substring("is missing")));
    expect_that!(
        check(&[("a", 1)]),
        err(contains_substring("was acknowledged"))
    );
    expect_that!(check(&[("a", 4)]), err(contains_substring("was sent")));
    expect_that!(
        check(&[("a", 2), ("c", 1)]),
        err(contains_substring("was sent"))
    );
}

/// Guards against a torn write that leaves the whole record, and so tears nothing.
#[gtest]
fn no_record_remains_whole() {
    let record = frame(&[0, 1, 0]);
    for remains in [
        Remains::Nothing,
        Remains::Zeros,
        Remains::AllButFirst(HEADER_BYTES),
        Remains::Header,
        Remains::CutAt(4),
        Remains::AllButRange(HEADER_BYTES + 2, HEADER_BYTES + 3),
    ] {
        expect_that!(remains.of(&record), not(eq(&record)));
    }
}

/// Guards against records that are missed or found in a segment that ends in an incomplete one.
#[gtest]
fn the_last_complete_record_is_found() {
    let mut bytes = frame(&[1, 2, 3]);
    let begin = bytes.len();
    bytes.extend(frame(&[0, 9]));
    let last = last_frame(&bytes).expect("a record");
    expect_that!(last.begin, eq(begin));
    expect_that!(last.has_hard_state, eq(false));
    expect_that!(last_frame(&bytes[..bytes.len() - 1]), none());
    expect_that!(last_frame(&[]), none());
}

/// Guards against a disk that loses what was acknowledged, or what other processes acted on.
#[gtest]
fn only_the_write_in_progress_is_torn() {
    let mut random = StdRng::seed_from_u64(1);
    let synced = frame(&[1, 2, 3]);
    for (payload, is_total, is_acknowledged, may_be_torn) in [
        (0, true, false, true),
        (0, true, true, false),
        (0, false, false, false),
        (1, true, false, false),
    ] {
        let mut is_torn = false;
        for _ in 0..DRAWS {
            let folder = tempfile::tempdir().expect("a folder");
            let path = folder.path().join(SEGMENT);
            let mut bytes = synced.clone();
            bytes.extend(frame(&[payload, 8, 9, 10]));
            std::fs::write(&path, &bytes).expect("written");
            let length = match is_acknowledged {
                true => synced.len() + 1,
                false => synced.len(),
            };
            let loss = PowerLoss {
                at: SystemTime::now(),
                acknowledged: Lengths::from([(path.clone(), length as u64)]),
                is_total,
            };
            let disks = Disks::new([(HOST, folder.path().to_owned())].into());
            disks.tear(HOST, None, &loss, &mut random);
            let left = std::fs::read(&path).expect("read");
            assert_that!(left.starts_with(&synced), eq(true));
            is_torn |= !left.starts_with(&bytes);
            // The process has not replaced its segment since its start.
            expect_that!(disks.tear(HOST, Some(&path), &loss, &mut random), none());
        }
        expect_that!(is_torn, eq(may_be_torn));
    }
}

//! `coursestand explain` finds the cause of a failed request from logs alone.
#![allow(missing_docs)]

use std::process::Command;

use googletest::prelude::*;

const EDGE_LOG: &str = r#"
prefix of a collector {"time":"100.000","process":"edge-1","level":"INFO","part":"proxy","message":"an attempt failed","request":"r-lost","instance":"i-1","rank":0,"load":3.5,"load_age_ms":40,"attempt":1,"left_ms":700,"outcome":"lost","version":7}
{"time":"100.200","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-lost","instance":"i-1","attempts":1,"limit_ms":800,"took_ms":350,"status":502,"outcome":"answer-lost"}
{"time":"100.300","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-busy","limit_ms":800,"took_ms":1,"status":503,"outcome":"busy","attempts":0}
{"time":"101.000","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-late","instance":"i-2","limit_ms":800,"took_ms":880,"status":504,"outcome":"timed-out","attempts":1}
{"time":"102.000","process":"edge-1","level":"INFO","part":"proxy","message":"an attempt failed","request":"r-died","instance":"i-2","outcome":"shed","attempt":1}
{"time":"103.000","process":"edge-1","level":"INFO","part":"proxy","message":"no token for a rate-limited back end","request":"r-limited","instance":"i-3","limit_per_second":5.1,"again_in_ms":221,"outcome":"denied"}
{"time":"103.001","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-limited","limit_ms":800,"took_ms":12,"status":503,"outcome":"rate-limited","attempts":0}
{"time":"104.000","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-link","limit_ms":800,"took_ms":0,"status":503,"outcome":"link-full","attempts":0}
{"time":"104.100","process":"edge-1","level":"INFO","part":"proxy","message":"a request ended","request":"r-headers","limit_ms":800,"took_ms":0,"status":431,"outcome":"headers-too-long","attempts":0}
not a log line
"#;
const CONTROL_LOG: &str = r#"
{"time":"98.000","process":"control-1","level":"INFO","part":"hub","message":"a back end changed","instance":"i-1","phase":"Draining","sequence":9}
{"time":"98.001","process":"control-2","level":"INFO","part":"hub","message":"a back end changed","instance":"i-1","phase":"Draining","sequence":9}
{"time":"99.000","process":"control-1","level":"INFO","part":"consensus","message":"the evacuation of a zone changed","zone":"z-1","is_active":true,"index":6,"term":1,"replaced_index":5}
{"time":"99.004","process":"control-2","level":"INFO","part":"consensus","message":"the evacuation of a zone changed","zone":"z-1","is_active":true,"index":6,"term":1,"replaced_index":5}
{"time":"50.000","process":"control-1","level":"INFO","part":"hub","message":"a back end changed","instance":"i-1","phase":"Ready","sequence":1}
"#;

fn explain(request: &str) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let edge = folder.path().join("edge.log");
    let control = folder.path().join("control.log");
    std::fs::write(&edge, EDGE_LOG).expect("written");
    std::fs::write(&control, CONTROL_LOG).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_coursestand"))
        .arg("explain")
        .arg(request)
        .args([&edge, &control])
        .output()
        .expect("the tool runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

#[gtest]
fn a_lost_answer_is_explained_with_the_state_changes_of_its_back_end() {
    let output = explain("r-lost");
    expect_that!(
        output,
        contains_substring("cause: the back end's answer was lost")
    );
    expect_that!(output, contains_substring("i-1 (lost)"));
    expect_that!(output, contains_substring("left_ms=700"));
    // Two processes log the same change, which is printed once; the earlier change is outside
    // of the time window.
    expect_that!(output.matches("Draining").count(), eq(1));
    expect_that!(output, not(contains_substring("phase=Ready")));
}

/// A zone that opens or closes explains why requests met other back ends.
#[gtest]
fn a_zone_that_was_evacuated_before_the_request_is_shown() {
    let output = explain("r-lost");
    expect_that!(
        output,
        contains_substring("the evacuation of a zone changed")
    );
    expect_that!(output, contains_substring("zone=z-1"));
}

#[gtest]
fn refused_timed_out_unfinished_and_unknown_requests_have_their_causes() {
    expect_that!(
        explain("r-busy"),
        contains_substring("refused at once and has not run")
    );
    expect_that!(
        explain("r-late"),
        contains_substring("no answer within the 800 ms")
    );
    expect_that!(explain("r-died"), contains_substring("did not log its end"));
    expect_that!(
        explain("r-unknown"),
        contains_substring("no log line names the request")
    );
}

#[gtest]
fn requests_refused_for_the_link_or_their_headers_have_their_causes() {
    expect_that!(
        explain("r-link"),
        contains_substring("link of the daemon's machine was full")
    );
    expect_that!(
        explain("r-headers"),
        contains_substring("headers are longer than the limits allow")
    );
}

#[gtest]
fn the_error_names_a_missing_log_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_coursestand"))
        .args(["explain", "r", "/not/there.log"])
        .output()
        .expect("the tool runs");
    expect_that!(output.status.code(), eq(Some(3)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(text, contains_substring("/not/there.log"));
}

/// Guards against a rate-limit refusal whose explanation doesn't identify the back end.
#[gtest]
fn a_rate_limit_refusal_names_the_back_end_and_its_limit() {
    let output = explain("r-limited");
    expect_that!(output, contains_substring("i-3 (denied, 5.1 per second)"));
    expect_that!(output, contains_substring("has not run"));
}

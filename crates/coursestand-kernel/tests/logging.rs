//! Logs are bounded and never hold up the process.
#![allow(missing_docs)]

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coursestand_kernel::logging::{Allowed, KindLimit, LineQueue, json_line};
use googletest::prelude::*;
use log::{Level, Record};

const QUEUE: usize = 16;
const LONGEST: Duration = Duration::from_secs(20);

/// An output whose reader does not read until it is told to.
struct Stuck {
    gate: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            let _ = self.gate.recv();
            self.is_open = true;
        }
        self.written.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_reader_that_stops_reading_holds_nobody_up_and_the_loss_is_told() {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output, "edge-1".to_owned(), QUEUE).expect("a thread");
    // Ten times what fits, with nobody reading: each push must return.
    for number in 0..QUEUE * 10 {
        queue.push(format!("line {number}\n"), true);
    }
    let dropped = queue.dropped();
    expect_that!(dropped, ge(QUEUE as u64));
    open.send(()).expect("the writer waits");
    queue.wait_until_written(LONGEST);
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("text");
    expect_that!(text, contains_substring("line 0\n"));
    expect_that!(text, contains_substring(format!("\"dropped\":{dropped}")));
}

#[gtest]
fn failures_have_room_when_successes_no_longer_have() {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output, "edge-1".to_owned(), QUEUE).expect("a thread");
    for number in 0..QUEUE * 2 {
        queue.push(format!("success {number}\n"), false);
    }
    let before = queue.dropped();
    queue.push("failure\n".to_owned(), true);
    expect_that!(queue.dropped(), eq(before));
    open.send(()).expect("the writer waits");
    queue.wait_until_written(LONGEST);
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("text");
    expect_that!(text, contains_substring("failure\n"));
}

fn record_at(line: u32) -> Record<'static> {
    Record::builder()
        .level(Level::Info)
        .target("proxy")
        .file_static(Some("here.rs"))
        .line(Some(line))
        .build()
}

#[gtest]
fn lines_of_a_kind_are_limited_each_second_and_those_left_out_are_counted() {
    let mut limit = KindLimit::new(2);
    let yes = |left_out| Allowed::Yes { left_out };
    expect_that!(limit.check(1, &record_at(7)), eq(yes(0)));
    expect_that!(limit.check(1, &record_at(7)), eq(yes(0)));
    expect_that!(limit.check(1, &record_at(7)), eq(Allowed::No));
    expect_that!(limit.check(1, &record_at(7)), eq(Allowed::No));
    // Another kind has a limit of its own.
    expect_that!(limit.check(1, &record_at(8)), eq(yes(0)));
    expect_that!(limit.check(2, &record_at(7)), eq(yes(2)));
}

#[gtest]
fn a_line_is_one_json_object_with_its_values() {
    let values: &[(&str, log::kv::Value<'_>)] = &[
        ("request", log::kv::Value::from("9c41")),
        ("attempt", log::kv::Value::from(2_u64)),
        // A field of the line itself can't be overwritten.
        ("process", log::kv::Value::from("forged")),
    ];
    let record = Record::builder()
        .level(Level::Info)
        .target("proxy")
        .args(format_args!("a request \"ended\"\nlate"))
        .key_values(&values)
        .build();
    let line = json_line(Duration::from_millis(1_500), "edge-1", &record, 3);
    expect_that!(line.matches('\n').count(), eq(1));
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    expect_that!(value["time"], eq(&serde_json::json!("1.500")));
    expect_that!(value["process"], eq(&serde_json::json!("edge-1")));
    expect_that!(value["part"], eq(&serde_json::json!("proxy")));
    expect_that!(value["request"], eq(&serde_json::json!("9c41")));
    expect_that!(value["attempt"], eq(&serde_json::json!(2)));
    expect_that!(value["left_out"], eq(&serde_json::json!(3)));
}

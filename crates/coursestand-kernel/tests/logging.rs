//! The log queue is bounded, and logging never blocks the process.
#![allow(missing_docs)]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coursestand_kernel::logging::{CallSiteLimit, LineDecision, LineQueue, json_line};
use googletest::prelude::*;
use log::{Level, Record};

const QUEUE_CAPACITY: usize = 16;
const MAX_WAIT: Duration = Duration::from_secs(20);
/// The queue counts as written before the note that follows the last line.
const AFTER_LAST_NOTE: Duration = Duration::from_millis(600);
/// More writes than any of these tests causes.
const MAX_WRITES: usize = 8;

/// An output that blocks until the test opens its gate, like a pipe that is not read.
struct BlockedOutput {
    gate: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
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
fn a_blocked_output_does_not_block_callers_and_dropped_lines_are_reported() {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output, "edge-1".to_owned(), QUEUE_CAPACITY).expect("a thread");
    // Ten times the capacity while the output is blocked: each push must return.
    for number in 0..QUEUE_CAPACITY * 10 {
        queue.push(format!("line {number}\n"), true);
    }
    let dropped = queue.dropped();
    expect_that!(dropped, ge(QUEUE_CAPACITY as u64));
    open.send(()).expect("the writer waits");
    queue.wait_until_written(MAX_WAIT);
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("text");
    expect_that!(text, contains_substring("line 0\n"));
    expect_that!(text, contains_substring(format!("\"dropped\":{dropped}")));
}

#[gtest]
fn failures_are_queued_after_the_share_of_successes_is_full() {
    let (open, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        gate,
        is_open: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::start(output, "edge-1".to_owned(), QUEUE_CAPACITY).expect("a thread");
    for number in 0..QUEUE_CAPACITY * 2 {
        queue.push(format!("success {number}\n"), false);
    }
    let dropped_before = queue.dropped();
    queue.push("failure\n".to_owned(), true);
    expect_that!(queue.dropped(), eq(dropped_before));
    open.send(()).expect("the writer waits");
    queue.wait_until_written(MAX_WAIT);
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("text");
    expect_that!(text, contains_substring("failure\n"));
}

/// An output that reports each write before it waits for a permission to finish it.
struct SteppedOutput {
    entered: Sender<()>,
    permissions: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for SteppedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Both fail once the test has ended.
        let _ = self.entered.send(());
        let _ = self.permissions.recv();
        self.written.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

struct SteppedQueue {
    queue: LineQueue,
    entered: Receiver<()>,
    permissions: Sender<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl SteppedQueue {
    /// Starts a queue whose writer has written one line and now waits for its next batch.
    fn start() -> SteppedQueue {
        let (entered_sender, entered) = channel();
        let (permissions, permission_receiver) = channel();
        let written = Arc::new(Mutex::new(Vec::new()));
        let output = SteppedOutput {
            entered: entered_sender,
            permissions: permission_receiver,
            written: Arc::clone(&written),
        };
        let queue = LineQueue::start(output, "edge-1".to_owned(), QUEUE_CAPACITY);
        let stepped = SteppedQueue {
            queue: queue.expect("a thread"),
            entered,
            permissions,
            written,
        };
        stepped.queue.push("first\n".to_owned(), false);
        stepped.finish_write();
        stepped.queue.wait_until_written(MAX_WAIT);
        stepped
    }

    fn finish_write(&self) {
        self.entered.recv_timeout(MAX_WAIT).expect("a write");
        self.permissions.send(()).expect("the writer waits");
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().expect("lock").clone()).expect("text")
    }
}

/// Guards against a dropped line that is not reported until the next line is logged, possibly
/// never: the writer had taken all queued lines and was blocked by the output.
#[gtest]
fn a_line_dropped_while_the_last_batch_is_written_is_reported() {
    let stepped = SteppedQueue::start();
    // The writer pauses between batches, and then takes all of these lines at once.
    for number in 0..QUEUE_CAPACITY * 3 / 4 {
        stepped.queue.push(format!("line {number}\n"), false);
    }
    stepped.entered.recv_timeout(MAX_WAIT).expect("a write");
    stepped.queue.push("dropped\n".to_owned(), false);
    expect_that!(stepped.queue.dropped(), eq(1));
    for _ in 0..MAX_WRITES {
        // Fails if the writer has ended.
        let _ = stepped.permissions.send(());
    }
    stepped.queue.wait_until_written(MAX_WAIT);
    std::thread::sleep(AFTER_LAST_NOTE);
    expect_that!(stepped.text(), contains_substring("\"dropped\":1"));
}

/// Guards against a total of dropped lines that a reader has to add up from all notes: if the
/// writer runs between two pushes, it reports the dropped lines in several notes.
#[gtest]
fn the_last_note_tells_the_whole_number_of_dropped_lines() {
    let stepped = SteppedQueue::start();
    // Lines are dropped before and during the write of a batch, which reports the former.
    for _ in 0..2 {
        for number in 0..QUEUE_CAPACITY * 2 {
            stepped.queue.push(format!("line {number}\n"), true);
        }
        stepped.entered.recv_timeout(MAX_WAIT).expect("a write");
        stepped.permissions.send(()).expect("the writer waits");
    }
    let dropped = stepped.queue.dropped();
    for _ in 0..MAX_WRITES {
        // Fails if the writer has ended.
        let _ = stepped.permissions.send(());
    }
    stepped.queue.wait_until_written(MAX_WAIT);
    std::thread::sleep(AFTER_LAST_NOTE);
    let text = stepped.text();
    let notes = text.matches("log lines were dropped").count();
    expect_that!(notes, ge(2));
    expect_that!(text, contains_substring(format!("\"dropped\":{dropped},")));
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
fn each_call_site_is_limited_per_second_and_suppressed_lines_are_counted() {
    let mut limiter = CallSiteLimit::new(2);
    let emitted = |suppressed| LineDecision::Emit { suppressed };
    expect_that!(limiter.check(1, &record_at(7)), eq(emitted(0)));
    expect_that!(limiter.check(1, &record_at(7)), eq(emitted(0)));
    expect_that!(limiter.check(1, &record_at(7)), eq(LineDecision::Suppress));
    expect_that!(limiter.check(1, &record_at(7)), eq(LineDecision::Suppress));
    // Each call site has its own limit.
    expect_that!(limiter.check(1, &record_at(8)), eq(emitted(0)));
    expect_that!(limiter.check(2, &record_at(7)), eq(emitted(2)));
}

#[gtest]
fn a_line_is_one_json_object_with_the_key_values_of_the_record() {
    let values: &[(&str, log::kv::Value<'_>)] = &[
        ("request", log::kv::Value::from("9c41")),
        ("attempt", log::kv::Value::from(2_u64)),
        // A reserved field can't be overwritten.
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

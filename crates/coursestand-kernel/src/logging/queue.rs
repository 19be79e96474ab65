//! The bounded queue of lines and the thread that writes them.

use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use serde_json::json;

/// Lines are written at most this often: fewer wake-ups and system calls.
const PAUSE: Duration = Duration::from_millis(250);
/// Part of the queue that lines about successes may fill; the rest is kept for
/// failures.
const PART_FOR_SUCCESSES: f64 = 0.75;

#[derive(Default)]
struct Counts {
    queued: AtomicUsize,
    dropped: AtomicU64,
    counter: OnceLock<IntCounter>,
}

/// Takes lines without waiting.
pub struct LineQueue {
    lines: SyncSender<String>,
    counts: Arc<Counts>,
    most: usize,
}

impl LineQueue {
    /// Writes to `output` on a thread of its own; `most` lines wait at most.
    pub fn start(
        output: impl Write + Send + 'static,
        process: String,
        most: usize,
    ) -> std::io::Result<LineQueue> {
        let (lines, queue) = sync_channel(most);
        let counts = Arc::new(Counts::default());
        let writer = Writer {
            output: BufWriter::new(output),
            queue,
            counts: Arc::clone(&counts),
            process,
            told: 0,
        };
        std::thread::Builder::new()
            .name("logs".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || writer.run())?;
        Ok(LineQueue {
            lines,
            counts,
            most,
        })
    }

    /// Takes a line, or drops and counts it when the queue is full. Lines about
    /// failures have room when others no longer have.
    pub fn push(&self, line: String, is_failure: bool) {
        let queued = self.counts.queued.load(Ordering::Relaxed) as f64;
        let has_room = is_failure || queued < self.most as f64 * PART_FOR_SUCCESSES;
        if has_room {
            // Counted first: the writer may take it out at once.
            self.counts.queued.fetch_add(1, Ordering::Relaxed);
            if self.lines.try_send(line).is_ok() {
                return;
            }
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
        }
        self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        if let Some(counter) = self.counts.counter.get() {
            counter.inc();
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Counts dropped lines into a metric from now on.
    pub fn count_into(&self, counter: IntCounter) {
        // The first registry of the process has the metric.
        let _ = self.counts.counter.set(counter);
    }

    /// Waits until all lines are written, `longest` at most.
    pub fn wait_until_written(&self, longest: Duration) {
        let started = Instant::now();
        while self.counts.queued.load(Ordering::Relaxed) > 0 && started.elapsed() < longest {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

struct Writer<W: Write> {
    output: BufWriter<W>,
    queue: Receiver<String>,
    counts: Arc<Counts>,
    process: String,
    /// Dropped lines that were told.
    told: u64,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            if self.write_batch(first).is_err() {
                // Nobody reads any more; lines are dropped from here on.
                return;
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn write_batch(&mut self, first: String) -> std::io::Result<()> {
        let mut written = 1;
        self.output.write_all(first.as_bytes())?;
        while let Ok(line) = self.queue.try_recv() {
            self.output.write_all(line.as_bytes())?;
            written += 1;
        }
        self.tell_dropped()?;
        self.output.flush()?;
        self.counts.queued.fetch_sub(written, Ordering::Relaxed);
        Ok(())
    }

    fn tell_dropped(&mut self) -> std::io::Result<()> {
        let dropped = self.counts.dropped.load(Ordering::Relaxed);
        if dropped == self.told {
            return Ok(());
        }
        let line = json!({
            "process": self.process,
            "level": "WARN",
            "part": "kernel",
            "message": "log lines were dropped",
            "dropped": dropped - self.told,
        });
        self.told = dropped;
        writeln!(self.output, "{line}")
    }
}

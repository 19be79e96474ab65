//! The bounded queue of log lines and its writer thread.

use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use serde_json::json;

/// Pause between two writes. Batching saves wake-ups and system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the queue that lines below `warn` may fill; the rest is reserved for
/// failures.
const SUCCESS_SHARE: f64 = 0.75;

#[derive(Default)]
struct Counts {
    queued: AtomicUsize,
    dropped: AtomicU64,
    counter: OnceLock<IntCounter>,
}

/// Queues log lines without blocking the caller.
pub struct LineQueue {
    lines: SyncSender<String>,
    counts: Arc<Counts>,
    capacity: usize,
}

impl LineQueue {
    /// Starts a thread that writes to `output`. The queue holds up to `capacity` lines.
    pub fn start(
        output: impl Write + Send + 'static,
        process: String,
        capacity: usize,
    ) -> std::io::Result<LineQueue> {
        let (lines, queue) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let writer = Writer {
            output: BufWriter::new(output),
            queue,
            counts: Arc::clone(&counts),
            process,
            reported: 0,
        };
        std::thread::Builder::new()
            .name("logs".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || writer.run())?;
        Ok(LineQueue {
            lines,
            counts,
            capacity,
        })
    }

    /// Queues a line; drops and counts it if the queue is full. Lines about failures
    /// may use the reserved part of the queue.
    pub fn push(&self, line: String, is_failure: bool) {
        let queued = self.counts.queued.load(Ordering::Relaxed) as f64;
        let has_capacity = is_failure || queued < self.capacity as f64 * SUCCESS_SHARE;
        if has_capacity {
            // Counted before it is sent, because the writer may receive it at once.
            self.counts.queued.fetch_add(1, Ordering::Relaxed);
            if self.lines.try_send(line).is_ok() {
                return;
            }
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
        }
        self.counts.dropped.fetch_add(1, Ordering::SeqCst);
        if let Some(counter) = self.counts.counter.get() {
            counter.inc();
        }
        self.wake_idle_writer();
    }

    /// Wakes the writer if it waits for a line, so that it reports a line that was dropped while
    /// it finished its last batch.
    fn wake_idle_writer(&self) {
        if self.counts.queued.load(Ordering::SeqCst) == 0 {
            self.counts.queued.fetch_add(1, Ordering::SeqCst);
            if self.lines.try_send(String::new()).is_err() {
                self.counts.queued.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Adds lines dropped after this call to `counter`.
    pub fn export_dropped(&self, counter: IntCounter) {
        // Only the first counter is kept: a process has one metrics registry.
        let _ = self.counts.counter.set(counter);
    }

    /// Blocks until all queued lines are written, for up to `max_wait`.
    pub fn wait_until_written(&self, max_wait: Duration) {
        let started = Instant::now();
        while self.counts.queued.load(Ordering::Relaxed) > 0 && started.elapsed() < max_wait {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

struct Writer<W: Write> {
    output: BufWriter<W>,
    queue: Receiver<String>,
    counts: Arc<Counts>,
    process: String,
    /// Dropped lines that are already reported in the log.
    reported: u64,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            if self.write_batch(first).is_err() {
                // The output is closed. Later lines are dropped, because the queue's
                // receiver is dropped.
                return;
            }
            std::thread::sleep(WRITE_INTERVAL);
        }
    }

    fn write_batch(&mut self, first: String) -> std::io::Result<()> {
        let mut written = 1;
        self.output.write_all(first.as_bytes())?;
        while let Ok(line) = self.queue.try_recv() {
            self.output.write_all(line.as_bytes())?;
            written += 1;
        }
        self.report_dropped()?;
        self.output.flush()?;
        self.counts.queued.fetch_sub(written, Ordering::SeqCst);
        // Lines may have been dropped while the output was blocked, and no further line may
        // follow for a long time.
        self.report_dropped()?;
        self.output.flush()
    }

    /// Writes the number of lines dropped since the start, if it has changed. A reader that
    /// misses an earlier note still learns the whole number.
    fn report_dropped(&mut self) -> std::io::Result<()> {
        let dropped = self.counts.dropped.load(Ordering::SeqCst);
        if dropped == self.reported {
            return Ok(());
        }
        let line = json!({
            "process": self.process,
            "level": "WARN",
            "part": "kernel",
            "message": "log lines were dropped",
            "dropped": dropped,
            "dropped_since_last_note": dropped - self.reported,
        });
        self.reported = dropped;
        writeln!(self.output, "{line}")
    }
}

//! Structured logs: one JSON object per line on standard output, with the time, the
//! process, the level and the log target (field `part`).
//!
//! Logging never blocks the process. Lines are queued in a bounded queue, which a
//! separate thread writes out. When the queue is full, lines are dropped and counted,
//! and the count is logged. Each call site is limited to a number of lines per second.

mod limit;
mod line;
mod queue;

use std::str::FromStr;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::{IntCounter, Registry};
use snafu::{ResultExt, Snafu};

pub use limit::{CallSiteLimit, LineDecision};
pub use line::json_line;
pub use queue::LineQueue;

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Limit on the lines per second of one call site.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The level is not a valid log level.
    #[snafu(display("unknown log level {level}"))]
    Level {
        /// The configured level.
        level: String,
        /// Cause.
        source: log::ParseLevelError,
    },
    /// Logging is already set up.
    #[snafu(display("logging is already set up"))]
    AlreadySetUp {
        /// Cause.
        source: log::SetLoggerError,
    },
    /// The writer thread could not be started.
    #[snafu(display("cannot start the log writer thread: {source}"))]
    Writer {
        /// Cause.
        source: std::io::Error,
    },
}

static LINE_QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Writes messages of `level` and above to standard output. Messages of third-party
/// libraries are written only from `warn` on.
pub fn set_up(process: &str, level: &str) -> Result<(), LoggingError> {
    let level = log::LevelFilter::from_str(level).context(LevelSnafu { level })?;
    let queue = LineQueue::start(std::io::stdout(), process.to_owned(), QUEUE_CAPACITY_LINES)
        .context(WriterSnafu)?;
    let queue = LINE_QUEUE.get_or_init(|| queue);
    let limiter = std::sync::Mutex::new(CallSiteLimit::new(MAX_LINES_PER_SECOND));
    let process = process.to_owned();
    let mut dispatch = fern::Dispatch::new().level(level.min(log::LevelFilter::Warn));
    for target in LOG_TARGETS {
        dispatch = dispatch.level_for(target, level);
    }
    let output = fern::Output::call(move |record| {
        let now = since_epoch();
        let decision = limiter
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .check(now.as_secs(), record);
        let suppressed = match decision {
            LineDecision::Suppress => return,
            LineDecision::Emit { suppressed } => suppressed,
        };
        let line = json_line(now, &process, record, suppressed);
        queue.push(line, record.level() <= log::Level::Warn);
    });
    dispatch.chain(output).apply().context(AlreadySetUpSnafu)
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Waits up to 200 ms until the queued lines are written. Called before the process
/// exits.
pub fn flush() {
    const MAX_WAIT: Duration = Duration::from_millis(200);
    if let Some(queue) = LINE_QUEUE.get() {
        queue.wait_until_written(MAX_WAIT);
    }
}

/// Registers the metric `coursestand_log_lines_dropped_total`.
pub fn register(registry: &Registry) -> Result<(), prometheus::Error> {
    let counter = IntCounter::new(
        "coursestand_log_lines_dropped_total",
        "Log lines dropped because the queue was full",
    )?;
    registry.register(Box::new(counter.clone()))?;
    if let Some(queue) = LINE_QUEUE.get() {
        queue.export_dropped(counter);
    }
    Ok(())
}

/// Log targets of coursestand itself, in contrast to those of libraries.
pub const LOG_TARGETS: [&str; 16] = [
    "clock",
    "admin",
    "consensus",
    "control",
    "daemon",
    "edge",
    "follower",
    "formation",
    "gateway",
    "hub",
    "kernel",
    "lab",
    "mesh",
    "prober",
    "proxy",
    "transport",
];

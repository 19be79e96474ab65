//! Log set-up: one line a message, with the time, the level and the fixed prefix
//! of the part that speaks. A part's prefix is the target of its messages.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use snafu::{ResultExt, Snafu};

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// The level is not one that logging knows.
    #[snafu(display("log level {level} is not known"))]
    Level {
        /// Level asked for.
        level: String,
        /// Cause.
        source: log::ParseLevelError,
    },
    /// Logging was set up before.
    #[snafu(display("logging is set up already"))]
    Twice {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Writes messages of `level` and above to standard error. Libraries speak only
/// from `warn` on.
pub fn set_up(process: &str, level: &str) -> Result<(), LoggingError> {
    let process = process.to_owned();
    let level = log::LevelFilter::from_str(level).context(LevelSnafu { level })?;
    let library_level = level.min(log::LevelFilter::Warn);
    let mut dispatch = fern::Dispatch::new().level(library_level);
    for target in PARTS {
        dispatch = dispatch.level_for(target, level);
    }
    dispatch
        .format(move |out, message, record| {
            let since_epoch = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "{}.{:03} {} {:<5} [{}] {}",
                since_epoch.as_secs(),
                since_epoch.subsec_millis(),
                process,
                record.level(),
                record.target(),
                message
            ));
        })
        .chain(std::io::stderr())
        .apply()
        .context(TwiceSnafu)
}

/// Prefixes of the parts of coursestand.
pub const PARTS: [&str; 10] = [
    "admin",
    "consensus",
    "control",
    "daemon",
    "follower",
    "gateway",
    "kernel",
    "lab",
    "prober",
    "transport",
];

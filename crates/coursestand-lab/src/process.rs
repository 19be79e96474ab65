//! Processor time and memory of this process, from `/proc`.

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
/// Indexes of fields of `/proc/self/stat`, counted after the program name.
const USER_TIME_INDEX: usize = 11;
const SYSTEM_TIME_INDEX: usize = 12;

/// Returns the processor time of the process in seconds, user and system.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let Some((_, fields)) = text.rsplit_once(") ") else {
        return 0.0;
    };
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields
            .get(index)
            .and_then(|field| field.parse().ok())
            .unwrap_or(0.0)
    };
    (ticks(USER_TIME_INDEX) + ticks(SYSTEM_TIME_INDEX)) / TICKS_PER_SECOND
}

/// Returns the resident memory of the process in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

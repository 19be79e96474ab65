//! What this process costs, as the operating system counts it.

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
/// Fields of `/proc/self/stat` after the name of the program.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Processor time that the process has used, in seconds.
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
    (ticks(USER_TIME) + ticks(SYSTEM_TIME)) / TICKS_PER_SECOND
}

/// Memory of the process that is resident, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

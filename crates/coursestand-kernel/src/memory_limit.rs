//! The memory that this process may use.

use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;

/// Returns the memory in bytes that this process may use: the smallest of the machine's memory,
/// the process's soft limits on data and address space, and `setting`.
pub fn memory_limit_bytes(setting: Option<u64>) -> u64 {
    let machine = sysinfo();
    let physical = machine.totalram.saturating_mul(u64::from(machine.mem_unit));
    let limits = [Resource::Data, Resource::As].map(|resource| getrlimit(resource).current);
    limits
        .into_iter()
        .chain([setting])
        .flatten()
        .fold(physical, u64::min)
}

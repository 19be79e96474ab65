//! How much memory this process may use.

use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;

/// Returns the memory that this process may use, in bytes: the smallest of `setting`, of the
/// soft limits on its data and address space, and of the machine's physical memory.
pub fn memory_limit_bytes(setting: Option<u64>) -> u64 {
    let machine = sysinfo();
    let physical = (machine.totalram as u64).saturating_mul(u64::from(machine.mem_unit));
    [
        setting,
        getrlimit(Resource::Data).current,
        getrlimit(Resource::As).current,
    ]
    .into_iter()
    .flatten()
    .fold(physical, u64::min)
}

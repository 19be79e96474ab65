//! The memory of a process of the fleet.

use coursestand_kernel::memory_limit_bytes;
use coursestand_model::fleet::FleetSettings;

/// Returns the memory in bytes that a process with these settings may use.
pub fn process_memory_bytes(settings: &FleetSettings) -> u64 {
    memory_limit_bytes(settings.memory_bytes())
}

//! Limits on what the callers of an HTTP server may hold of the process's memory and descriptors.

use std::time::Duration;

use rustix::process::{Resource, getrlimit};

use crate::memory_limit::memory_limit_bytes;

/// Maximum length of the head of a call in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time for the head of a call to arrive, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the body of a call to arrive. Handlers that read bodies have shorter limits.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a connection without a call is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without progress after which a response is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Divisor of the descriptor limit that gives the connections of one server. The servers of a
/// control process and its unknown peers take half of the descriptors together, and leave the
/// other half to its known peers and its files.
const DESCRIPTOR_DIVISOR: u64 = 6;
/// Descriptors of a process without a limit.
const UNLIMITED_DESCRIPTORS: u64 = 65_536;
/// Divisor of the memory limit that gives the bytes of heads that arrive at one server. A process
/// has four servers at most, which take a quarter together.
const HEADS_DIVISOR: u64 = 16;
/// Divisor of the memory limit that gives the memory of connections to one server.
const CONNECTIONS_DIVISOR: u64 = 16;
/// Memory of a connection in bytes: its task, and buffers for reading and writing.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// A server accepts at least this many connections.
const MIN_CONNECTIONS: u64 = 16;
/// Maximum number of connections to a server for few callers.
const FEW_CONNECTIONS: usize = 32;
/// Divisor of the connections of a server that gives those of a server for few callers.
const FEW_CONNECTIONS_DIVISOR: usize = 4;

/// Limits on the connections of an HTTP server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections. Beyond it, those that have not completed a call for
    /// longest are closed.
    pub max_connections: usize,
    /// Maximum length of the head of a call in bytes, at least 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum bytes kept for the heads of all calls of which the rest of head or body is awaited.
    /// Beyond it, the connections that have waited longest are closed.
    pub max_incomplete_bytes: usize,
    /// Time for the head of a call to arrive, from its first byte.
    pub head_timeout: Duration,
    /// Time for the body of a call to arrive.
    pub body_timeout: Duration,
    /// Time after which a connection without a call is closed.
    pub idle_timeout: Duration,
    /// Time without progress after which a response is given up.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits::for_memory(memory_limit_bytes(None))
    }
}

impl ServerLimits {
    /// Returns the limits of one of the servers of a process that may use `memory_bytes`.
    pub fn for_memory(memory_bytes: u64) -> ServerLimits {
        let by_descriptors = descriptor_limit() / DESCRIPTOR_DIVISOR;
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        ServerLimits {
            max_connections: by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize,
            max_head_bytes: MAX_HEAD_BYTES,
            max_incomplete_bytes: (memory_bytes / HEADS_DIVISOR) as usize,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        }
    }

    /// Returns these limits for a server that few callers use, such as readiness checks.
    pub fn for_few_callers(self) -> ServerLimits {
        ServerLimits {
            max_connections: FEW_CONNECTIONS.min(self.max_connections / FEW_CONNECTIONS_DIVISOR),
            ..self
        }
    }
}

/// Returns the number of descriptors that this process may have open.
pub fn descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(UNLIMITED_DESCRIPTORS)
}

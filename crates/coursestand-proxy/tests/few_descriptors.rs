//! New callers are accepted when the process has no file descriptor left for them. The test
//! lowers the limit of its process, so it must be the only test in it.
#![allow(missing_docs)]

mod common;

use common::{Edge, RouteSettings, connect_many, request_status};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const GOOD: Behaviour = Behaviour::Answer(200);
/// Idle callers, more than there are descriptors for.
const IDLE_CALLERS: usize = 120;

/// Keeps the limit of file descriptors low until dropped.
struct LoweredDescriptorLimit(Rlimit);

impl LoweredDescriptorLimit {
    /// Leaves `free` descriptors for use.
    fn leave_free(free: u64) -> LoweredDescriptorLimit {
        let before = getrlimit(Resource::Nofile);
        let open = std::fs::read_dir("/proc/self/fd").expect("a list").count() as u64;
        let low = Rlimit {
            current: Some(open + free),
            ..before
        };
        setrlimit(Resource::Nofile, low).expect("lowered");
        LoweredDescriptorLimit(before)
    }
}

impl Drop for LoweredDescriptorLimit {
    fn drop(&mut self) {
        // Can't fail: this limit was in force before.
        let _ = setrlimit(Resource::Nofile, self.0);
    }
}

#[gtest]
#[tokio::test]
async fn new_callers_are_accepted_when_file_descriptors_are_exhausted() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let address = edge.server.address();
    let idle = connect_many(address, IDLE_CALLERS);
    let late = connect_many(address, 1).remove(0);
    let lowered = LoweredDescriptorLimit::leave_free(24);
    expect_that!(request_status(late).await, some(eq(200)));
    expect_that!(edge.server.is_accepting(), eq(true));
    drop(lowered);
    drop(idle);
}

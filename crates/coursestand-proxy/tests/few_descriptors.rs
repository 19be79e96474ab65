//! New callers are taken when the process has no descriptor left for them. The test
//! lowers the limit of its process, so it is alone in it.
#![allow(missing_docs)]

mod common;

use common::{Edge, Rules, asks, pile_up};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const GOOD: Behaviour = Behaviour::Answer(200);
/// Callers that rest, more than there are descriptors for.
const RESTING: usize = 120;

/// Keeps the limit of descriptors low until dropped.
struct FewDescriptors(Rlimit);

impl FewDescriptors {
    /// Leaves so many descriptors free.
    fn leave(free: u64) -> FewDescriptors {
        let before = getrlimit(Resource::Nofile);
        let open = std::fs::read_dir("/proc/self/fd").expect("a list").count() as u64;
        let low = Rlimit {
            current: Some(open + free),
            ..before
        };
        setrlimit(Resource::Nofile, low).expect("lowered");
        FewDescriptors(before)
    }
}

impl Drop for FewDescriptors {
    fn drop(&mut self) {
        // The limit was in force before.
        let _ = setrlimit(Resource::Nofile, self.0);
    }
}

#[gtest]
#[tokio::test]
async fn new_callers_are_taken_when_descriptors_are_spent() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let address = edge.server.address();
    let resting = pile_up(address, RESTING);
    let late = pile_up(address, 1).remove(0);
    let few = FewDescriptors::leave(24);
    expect_that!(asks(late).await, some(eq(200)));
    expect_that!(edge.server.is_accepting(), eq(true));
    drop(few);
    drop(resting);
}

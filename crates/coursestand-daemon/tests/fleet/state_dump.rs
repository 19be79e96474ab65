//! Guards against a deadlock by lock order while a daemon's state is read: if the dump and the
//! metrics lock the routing state and then the state of the connections with control, and a
//! message of control locks the two in the other order, the daemon hangs for good. It needs
//! two threads; a daemon with a single-threaded runtime is not affected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use coursestand_daemon::fleet::Node;
use googletest::prelude::*;

use crate::deployment::{TEST_TIMEOUT, first_items};
use crate::{EDGE, SEEDS, form_group};

const READERS: usize = 4;
/// Messages of control arrive at least once a second.
const READ_DURATION: Duration = Duration::from_secs(4);

/// Starts threads that read the daemon's state until `stop` is set. Each then sends its number
/// of reads.
fn read_state(node: &Arc<Node>, stop: &Arc<AtomicBool>) -> Receiver<u64> {
    let (done, reads) = channel();
    for _ in 0..READERS {
        let node = Arc::clone(node);
        let stop = Arc::clone(stop);
        let done = done.clone();
        std::thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                node.kernel().dump();
                count += 1;
            }
            // The receiver is dropped if the test has failed.
            let _ = done.send(count);
        });
    }
    reads
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn reading_the_state_does_not_deadlock_the_daemon() {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let stop = Arc::new(AtomicBool::new(false));
    let node = Arc::new(deployment.nodes.remove(&EDGE).expect("the daemon runs"));
    let reads = read_state(&node, &stop);
    tokio::time::sleep(READ_DURATION).await;
    stop.store(true, Ordering::Relaxed);
    for _ in 0..READERS {
        let Ok(count) = reads.recv_timeout(TEST_TIMEOUT) else {
            // Deadlocked threads can't be unwound.
            eprintln!("a reader of the daemon's state is deadlocked");
            std::process::abort();
        };
        expect_that!(count, gt(0));
    }
}

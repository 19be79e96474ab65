//! A daemon stood still for good while its state was read: the dump and the metrics locked
//! what the daemon believes and then what it knows of control, and news of control locked
//! the two the other way round. It showed as a test of a restarted daemon that never ended;
//! the stacks of the threads told the two orders. One thread can't meet itself so, which is
//! why daemons that run on one never did.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use coursestand_daemon::fleet::Node;
use googletest::prelude::*;

use crate::deployment::{WITHIN, first_items};
use crate::{EDGE, SEEDS, formed};

const READERS: usize = 4;
/// News of control come at least once a second.
const READING: Duration = Duration::from_secs(4);

/// Reads the daemon's state until told to stop; tells how often it was read.
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
            // Nobody listens once the test has failed.
            let _ = done.send(count);
        });
    }
    reads
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_goes_on_while_its_state_is_read() {
    let mut deployment = formed(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let stop = Arc::new(AtomicBool::new(false));
    let node = Arc::new(deployment.nodes.remove(&EDGE).expect("it runs"));
    let reads = read_state(&node, &stop);
    tokio::time::sleep(READING).await;
    stop.store(true, Ordering::Relaxed);
    for _ in 0..READERS {
        let Ok(count) = reads.recv_timeout(WITHIN) else {
            // Threads that wait for each other can't be unwound.
            eprintln!("a reader of the state stands still");
            std::process::abort();
        };
        expect_that!(count, gt(0));
    }
}

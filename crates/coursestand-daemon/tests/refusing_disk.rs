//! A control replica whose disk refuses writes when it starts.
#![allow(missing_docs)]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use coursestand_consensus::wal::WriteAheadLog;
use coursestand_consensus::{ReplicaId, StorageError};
use coursestand_daemon::control::driver::Driver;
use coursestand_daemon::control::identity::{self, Identity};
use coursestand_daemon::control::peers::{OutgoingMessage, PeerSender};
use coursestand_daemon::control::shared::ControlShared;
use coursestand_kernel::MonotonicClock;
use googletest::prelude::*;

struct NoPeers;

impl PeerSender for NoPeers {
    fn send(&mut self, _: u64, _: ReplicaId, _: Vec<OutgoingMessage>) {}
}

/// Guards against a process that ends at each start while its disk refuses writes: a replica whose
/// disk fails while it runs stays up and retries.
#[gtest]
fn a_replica_starts_although_its_disk_refuses_writes() {
    let folder = tempfile::tempdir().expect("a folder");
    let identity = Identity {
        cluster: 1,
        replica: 1,
    };
    drop(WriteAheadLog::open(folder.path()).expect("a log"));
    identity::write(folder.path(), identity).expect("an identity");
    let opened = AtomicUsize::new(0);
    let driver = Driver::with_storage(
        Arc::new(ControlShared::new(MonotonicClock::default())),
        Box::new(NoPeers),
        folder.path().to_owned(),
        Box::new(move |folder| {
            if opened.fetch_add(1, Ordering::Relaxed) == 0 {
                return Err(StorageError::File {
                    path: folder.to_owned(),
                    operation: "write",
                    source: std::io::Error::from(std::io::ErrorKind::StorageFull),
                });
            }
            let (log, restored) = WriteAheadLog::open(folder)?;
            Ok((Box::new(log), restored))
        }),
        1,
    );
    expect_that!(driver.err().map(|error| error.to_string()), none());
}

//! The catalog messages from one control process to one daemon: the daemon misses no change
//! across lost connections, and neither one large change nor many small ones saturate its
//! link. A change of 1,400 routes in one message occupies the link for five seconds.
#![allow(missing_docs)]

use std::collections::VecDeque;

use coursestand_catalog::{Catalog, Patch};
use coursestand_daemon::fleet::catalog_parts::CatalogParts;
use coursestand_daemon::fleet::catalog_updates::{
    CatalogDistribution, CatalogMessage, CatalogUpdates,
};
use coursestand_daemon::fleet::wire::ToEdge;
use coursestand_lab::items;
use coursestand_transport::frame::{decode, encode};
use googletest::prelude::*;
use proptest::prelude::*;

/// A control process, a daemon and the connection between them. Messages are queued until the
/// test makes the daemon read them.
struct Connection {
    catalog: Catalog,
    updates: CatalogUpdates,
    distribution: CatalogDistribution,
    in_flight: VecDeque<ToEdge>,
    parts: CatalogParts,
    daemon: Catalog,
    routes: usize,
    sent_bytes: usize,
}

impl Connection {
    fn new() -> Connection {
        let mut connection = Connection {
            catalog: Catalog::default(),
            updates: CatalogUpdates::default(),
            distribution: CatalogDistribution::new(0),
            in_flight: VecDeque::new(),
            parts: CatalogParts::default(),
            daemon: Catalog::default(),
            routes: 0,
            sent_bytes: 0,
        };
        connection.merge(vec![items::service("s"), items::limits()], 1);
        connection
    }

    fn merge(&mut self, upserts: Vec<coursestand_catalog::patch::Upsert>, version: u64) {
        let patch = Patch {
            upserts,
            removals: Vec::new(),
        };
        self.catalog.merge(&patch, version).expect("valid");
    }

    fn add_routes(&mut self, count: usize) {
        let version = self.catalog.version() + 1;
        let routes = items::realistic_routes("s", self.routes, count, version);
        self.routes += count;
        self.merge(routes, version);
    }

    fn send(&mut self, catalog_message: CatalogMessage) {
        let message = match catalog_message {
            CatalogMessage::Frame(frame) => decode(&frame).expect("a message"),
            CatalogMessage::Message(message) => message,
        };
        self.sent_bytes += encode(&message).expect("a frame").len();
        self.in_flight.push_back(message);
    }

    fn send_next(&mut self) {
        let read = |since| self.catalog.steering_delta(since);
        let version = self.catalog.version();
        let catalog_message = self.distribution.next_message(version, &self.updates, read);
        if let Some(catalog_message) = catalog_message.expect("encoded") {
            self.send(catalog_message);
        }
    }

    fn fetch(&mut self) {
        let read = |since| self.catalog.steering_delta(since);
        let (have, version) = (self.daemon.version(), self.catalog.version());
        let fetched = self.distribution.fetch(have, version, &self.updates, read);
        for catalog_message in fetched.expect("encoded") {
            self.send(catalog_message);
        }
    }

    /// Makes the daemon read one message. Returns whether there was one.
    fn read(&mut self) -> bool {
        let Some(message) = self.in_flight.pop_front() else {
            return false;
        };
        match message {
            ToEdge::Catalog(delta) => {
                self.daemon.adopt(delta);
            }
            ToEdge::CatalogPart(part) => {
                let version = part.version;
                if version <= self.daemon.version() {
                    return true;
                }
                match self.parts.add(part).expect("sound") {
                    Some(ToEdge::Catalog(delta)) => {
                        self.daemon.adopt(delta);
                    }
                    Some(other) => panic!("unexpected: {other:?}"),
                    None => {
                        if let Some(part) = self.distribution.part_received(version) {
                            self.send(part);
                        }
                    }
                }
            }
            _ => {}
        }
        true
    }

    /// Whether the daemon has every item up to its version: those that it lacks changed later
    /// at the control process.
    fn is_complete_up_to_its_version(&self) -> bool {
        let version = self.daemon.version();
        let received = self.daemon.live_items().count();
        let changed_later = self.catalog.delta(version).items.len();
        received + changed_later >= self.catalog.live_items().count()
    }

    fn has_all(&self) -> bool {
        let count = |catalog: &Catalog| catalog.live_items().count();
        count(&self.daemon) == count(&self.catalog)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Add(usize),
    SendNext,
    Fetch,
    Read(usize),
    /// The daemon received all changes from another control process and confirms them.
    SyncElsewhere,
    /// The connection is lost and re-established.
    Reconnect,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_usize..4).prop_map(Step::Add),
        (200_usize..900).prop_map(Step::Add),
        Just(Step::SendNext),
        Just(Step::SendNext),
        Just(Step::Fetch),
        (1_usize..6).prop_map(Step::Read),
        Just(Step::SyncElsewhere),
        Just(Step::Reconnect),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]
    #[test]
    fn a_daemon_misses_no_change(steps in prop::collection::vec(step(), 1..25)) {
        let mut connection = Connection::new();
        for step in steps {
            match step {
                Step::Add(count) => connection.add_routes(count),
                Step::SendNext => connection.send_next(),
                Step::Fetch => connection.fetch(),
                Step::Read(count) => {
                    for _ in 0..count {
                        connection.read();
                    }
                }
                Step::SyncElsewhere => {
                    let rest = connection.catalog.steering_delta(connection.daemon.version());
                    connection.daemon.adopt(rest);
                    connection.distribution.note_version(connection.daemon.version());
                }
                Step::Reconnect => {
                    connection.in_flight.clear();
                    connection.parts = CatalogParts::default();
                    connection.distribution = CatalogDistribution::new(connection.daemon.version());
                }
            }
            prop_assert!(connection.is_complete_up_to_its_version());
        }
        // After a final fetch, the daemon has every item.
        while connection.read() {}
        connection.fetch();
        while connection.read() {}
        prop_assert!(connection.has_all());
    }
}

#[gtest]
fn a_large_change_is_not_sent_faster_than_it_is_read() {
    let mut connection = Connection::new();
    connection.send_next();
    connection.read();
    connection.add_routes(1_400);
    connection.sent_bytes = 0;
    connection.send_next();
    expect_that!(
        connection.sent_bytes,
        lt(16),
        "only its version is announced"
    );
    connection.fetch();
    // 0.14 s of a 2 Mbit/s link.
    const MAX_UNREAD_BYTES: usize = 35_000;
    let mut read_bytes = 0;
    loop {
        expect_that!(connection.sent_bytes - read_bytes, lt(MAX_UNREAD_BYTES));
        let Some(next) = connection.in_flight.front() else {
            break;
        };
        read_bytes += encode(next).expect("a frame").len();
        connection.read();
    }
    expect_that!(connection.has_all(), eq(true));
}

#[gtest]
fn many_small_changes_are_sent_together() {
    /// Five control processes at this rate use a quarter of a 2 Mbit/s link.
    const BYTES_PER_SECOND: usize = 12_500;
    const CHANGES: usize = 1_400;
    let mut connection = Connection::new();
    connection.send_next();
    connection.read();
    connection.sent_bytes = 0;
    let mut next_at_ms = 0;
    let mut max_lag = 0;
    for now_ms in 0..CHANGES as u64 {
        connection.add_routes(1);
        if now_ms >= next_at_ms {
            connection.send_next();
            next_at_ms = now_ms + connection.distribution.pause().as_millis() as u64;
        }
        while connection.read() {}
        let behind = connection.catalog.version() - connection.daemon.version();
        max_lag = behind.max(max_lag);
    }
    expect_that!(
        connection.sent_bytes,
        lt(CHANGES * BYTES_PER_SECOND / 1_000)
    );
    // With a larger lag, changes are sent only in reply to a request.
    expect_that!(max_lag, gt(100));
    connection.fetch();
    while connection.read() {}
    expect_that!(connection.has_all(), eq(true));
}

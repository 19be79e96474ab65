//! The catalog messages from one control process to one daemon: the daemon misses no change
//! across lost connections, and neither one large change nor many small ones saturate its
//! link. A change of 1,400 routes in one message occupies the link for five seconds.
#![allow(missing_docs)]

use std::collections::VecDeque;

use coursestand_catalog::{Catalog, Patch};
use coursestand_daemon::fleet::catalog_news::{CatalogNews, CatalogTelling, Telling};
use coursestand_daemon::fleet::catalog_parts::CatalogParts;
use coursestand_daemon::fleet::wire::ToEdge;
use coursestand_lab::items;
use coursestand_transport::frame::{decode, encode};
use googletest::prelude::*;
use proptest::prelude::*;

/// A control process, a daemon and the connection between them. Messages are queued until the
/// test makes the daemon read them.
struct Connection {
    catalog: Catalog,
    news: CatalogNews,
    telling: CatalogTelling,
    on_the_way: VecDeque<ToEdge>,
    parts: CatalogParts,
    daemon: Catalog,
    routes: usize,
    sent_bytes: usize,
}

impl Connection {
    fn new() -> Connection {
        let mut connection = Connection {
            catalog: Catalog::default(),
            news: CatalogNews::default(),
            telling: CatalogTelling::new(0),
            on_the_way: VecDeque::new(),
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
        let routes = items::written_routes("s", self.routes, count, version);
        self.routes += count;
        self.merge(routes, version);
    }

    fn send(&mut self, telling: Telling) {
        let message = match telling {
            Telling::Frame(frame) => decode(&frame).expect("a message"),
            Telling::Message(message) => message,
        };
        self.sent_bytes += encode(&message).expect("a frame").len();
        self.on_the_way.push_back(message);
    }

    fn tell(&mut self) {
        let read = |since| self.catalog.steering_delta(since);
        let version = self.catalog.version();
        let telling = self.telling.tell(version, &self.news, read);
        if let Some(telling) = telling.expect("encoded") {
            self.send(telling);
        }
    }

    fn fetch(&mut self) {
        let read = |since| self.catalog.steering_delta(since);
        let (have, version) = (self.daemon.version(), self.catalog.version());
        let fetched = self.telling.fetch(have, version, &self.news, read);
        for telling in fetched.expect("encoded") {
            self.send(telling);
        }
    }

    /// Makes the daemon read one message. Returns whether there was one.
    fn read(&mut self) -> bool {
        let Some(message) = self.on_the_way.pop_front() else {
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
                match self.parts.take(part).expect("sound") {
                    Some(ToEdge::Catalog(delta)) => {
                        self.daemon.adopt(delta);
                    }
                    Some(other) => panic!("unexpected: {other:?}"),
                    None => {
                        if let Some(part) = self.telling.part_taken(version) {
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
        let known = self.daemon.standing().count();
        let changed_later = self.catalog.delta(version).items.len();
        known + changed_later >= self.catalog.standing().count()
    }

    fn has_all(&self) -> bool {
        let count = |catalog: &Catalog| catalog.standing().count();
        count(&self.daemon) == count(&self.catalog)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Add(usize),
    Tell,
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
        Just(Step::Tell),
        Just(Step::Tell),
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
                Step::Tell => connection.tell(),
                Step::Fetch => connection.fetch(),
                Step::Read(count) => {
                    for _ in 0..count {
                        connection.read();
                    }
                }
                Step::SyncElsewhere => {
                    let rest = connection.catalog.steering_delta(connection.daemon.version());
                    connection.daemon.adopt(rest);
                    connection.telling.note_have(connection.daemon.version());
                }
                Step::Reconnect => {
                    connection.on_the_way.clear();
                    connection.parts = CatalogParts::default();
                    connection.telling = CatalogTelling::new(connection.daemon.version());
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
    connection.tell();
    connection.read();
    connection.add_routes(1_400);
    connection.sent_bytes = 0;
    connection.tell();
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
        let Some(next) = connection.on_the_way.front() else {
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
    connection.tell();
    connection.read();
    connection.sent_bytes = 0;
    let mut next_at_ms = 0;
    let mut max_lag = 0;
    for now_ms in 0..CHANGES as u64 {
        connection.add_routes(1);
        if now_ms >= next_at_ms {
            connection.tell();
            next_at_ms = now_ms + connection.telling.pause().as_millis() as u64;
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

//! An operator gives an order up, gets the same order acknowledged by another process, and later
//! orders the opposite. Guards against the first order taking effect after that: a zone that is
//! evacuated would get requests again, and a sound zone would get none for good. Real processes;
//! the order is held up by a suspended process, leader or follower, or by the network.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod operator;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_catalog::Patch;
use coursestand_lab::items;
use coursestand_model::fleet::FleetSettings;
use deployment::{Deployment, TEST_TIMEOUT, first_items, key_of, one_route};
use googletest::prelude::*;
use operator::{Call, PATIENCE, call_once, call_until_answered, read_answer, write_call};
use processes::{Processes, Signal};
use serde_json::Value;
use tokio::net::TcpStream;

const CONTROLS: [u8; 3] = [1, 2, 3];
/// Two of three processes acknowledge orders while one is suspended.
const LOST_DISKS: usize = 1;
const ZONE: &str = "z-1";
/// How long a process is suspended: long enough for the newer order to be acknowledged.
const SUSPENSION: Duration = Duration::from_secs(4);
/// Time after which a late order would have taken effect.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Time between a call that the network delivered late and the close that follows it.
const CLOSE_AFTER_BYTES: Duration = Duration::from_millis(40);
/// Time within which orders are acknowledged while the group is stable.
const MAX_ACKNOWLEDGEMENT: Duration = Duration::from_secs(1);

/// Which process gets the order that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
}

/// Three control processes.
struct Group {
    /// Dropped before `deployment`, which releases the network.
    processes: Processes,
    deployment: Deployment,
    settings: BTreeMap<u8, FleetSettings>,
}

impl Group {
    async fn start() -> Group {
        let deployment = Deployment::new(&CONTROLS);
        let mut processes = Processes::new(&deployment.folder.path().join("processes"));
        let settings: BTreeMap<u8, FleetSettings> = CONTROLS
            .into_iter()
            .map(|host| {
                let mut settings = deployment.control_settings(host, true);
                settings.bounds.lost_disks = LOST_DISKS;
                (host, settings)
            })
            .collect();
        for (host, settings) in &settings {
            processes.start(*host, settings);
        }
        let group = Group {
            processes,
            deployment,
            settings,
        };
        let accepted = group.order(&CONTROLS, &Call::patch(&first_items())).await;
        assert_eq!(accepted, 200);
        group
    }

    fn address(&self, host: u8) -> SocketAddr {
        let control = self.settings[&host].control.as_ref();
        control.expect("a control process").listen
    }

    /// Returns the state dump of a process.
    async fn state(&self, host: u8) -> Value {
        let url = format!("http://{}/state", self.settings[&host].admin_listen);
        let answer = self.deployment.http.get(url).send().await;
        let text = answer.expect("an answer").text().await.expect("a body");
        serde_json::from_str(&text).expect("JSON")
    }

    /// Sends a call to these hosts in turn until it is answered.
    async fn order(&self, hosts: &[u8], call: &Call) -> u16 {
        let addresses: Vec<SocketAddr> = hosts.iter().map(|host| self.address(*host)).collect();
        call_until_answered(&addresses, call).await
    }

    async fn host_with(&self, role: Role) -> u8 {
        let started = Instant::now();
        loop {
            for host in CONTROLS {
                let state = self.state(host).await;
                let leads = !state["hub"]["leading_term"].is_null();
                if leads && role == Role::Leader {
                    return host;
                }
                if leads {
                    return CONTROLS
                        .into_iter()
                        .find(|other| *other != host)
                        .expect("one");
                }
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "no leader");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns whether the zone is evacuated according to each host.
    async fn evacuated(&self) -> Vec<bool> {
        let mut evacuated = Vec::new();
        for host in CONTROLS {
            let state = self.state(host).await;
            let zones = state["hub"]["evacuations"].as_array().cloned();
            let mut zones = zones.expect("the dump lists evacuations").into_iter();
            let zone = zones.find(|evacuation| evacuation["zone"] == ZONE);
            evacuated.push(zone.is_some_and(|zone| zone["is_active"] == true));
        }
        evacuated
    }

    /// Orders the opposite of `late`, so that `late` would have an effect, and waits until it is
    /// acknowledged.
    async fn prepare(&self, late: bool) {
        assert_eq!(
            self.order(&CONTROLS, &Call::evacuate(ZONE, true)).await,
            200
        );
        if late {
            assert_eq!(
                self.order(&CONTROLS, &Call::evacuate(ZONE, false)).await,
                200
            );
        }
    }

    /// Orders `late` and then the opposite at these hosts; both are acknowledged.
    async fn order_anew(&self, hosts: &[u8], late: bool) {
        assert_eq!(self.order(hosts, &Call::evacuate(ZONE, late)).await, 200);
        assert_eq!(self.order(hosts, &Call::evacuate(ZONE, !late)).await, 200);
    }
}

fn others(host: u8) -> Vec<u8> {
    CONTROLS
        .into_iter()
        .filter(|other| *other != host)
        .collect()
}

/// A process is suspended, is ordered `late` first, and resumes after newer orders.
async fn order_at_suspended_process(role: Role, late: bool) {
    let group = Group::start().await;
    group.prepare(late).await;
    let suspended = group.host_with(role).await;
    let started = Instant::now();
    group.processes.signal(suspended, Signal::Stop);
    call_once(group.address(suspended), &Call::evacuate(ZONE, late)).await;
    group.order_anew(&others(suspended), late).await;
    tokio::time::sleep(SUSPENSION.saturating_sub(started.elapsed())).await;
    group.processes.signal(suspended, Signal::Continue);
    tokio::time::sleep(SETTLING).await;
    expect_that!(group.evacuated().await, each(eq(&!late)), "{role:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_leader_ends_no_newer_evacuation() {
    order_at_suspended_process(Role::Leader, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_follower_ends_no_newer_evacuation() {
    order_at_suspended_process(Role::Follower, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_leader_evacuates_no_zone_that_was_opened_since() {
    order_at_suspended_process(Role::Leader, true).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_follower_evacuates_no_zone_that_was_opened_since() {
    order_at_suspended_process(Role::Follower, true).await;
}

/// A follower has read the order and asks the leader, which is suspended.
async fn order_that_waits_for_a_suspended_leader(late: bool) {
    let group = Group::start().await;
    group.prepare(late).await;
    let leader = group.host_with(Role::Leader).await;
    let followers = others(leader);
    let started = Instant::now();
    group.processes.signal(leader, Signal::Stop);
    call_once(group.address(followers[0]), &Call::evacuate(ZONE, late)).await;
    group.order_anew(&followers, late).await;
    tokio::time::sleep(SUSPENSION.saturating_sub(started.elapsed())).await;
    group.processes.signal(leader, Signal::Continue);
    tokio::time::sleep(SETTLING).await;
    expect_that!(group.evacuated().await, each(eq(&!late)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_in_the_socket_of_a_suspended_leader_undoes_no_newer_order() {
    let both = [false, true].map(order_that_waits_for_a_suspended_leader);
    futures::future::join_all(both).await;
}

/// What the network delivers late of an order and of the close of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Late {
    /// The bytes of the order; the close does not arrive.
    OnlyBytes,
    /// The bytes of the order, followed by the close.
    Bytes,
    /// The connection itself and the bytes, followed by the close.
    Connection,
}

/// The network delivers the order `late` after newer orders.
async fn order_delivered_late(role: Role, late: bool, delivered: Late) {
    let group = Group::start().await;
    group.prepare(late).await;
    let host = group.host_with(role).await;
    let connected = match delivered {
        Late::Connection => None,
        _ => Some(
            TcpStream::connect(group.address(host))
                .await
                .expect("connected"),
        ),
    };
    tokio::time::sleep(PATIENCE).await;
    group.order_anew(&CONTROLS, late).await;
    let mut stream = match connected {
        Some(stream) => stream,
        None => TcpStream::connect(group.address(host))
            .await
            .expect("connected"),
    };
    write_call(&mut stream, &Call::evacuate(ZONE, late)).await;
    if delivered != Late::OnlyBytes {
        tokio::time::sleep(CLOSE_AFTER_BYTES).await;
        drop(stream);
    }
    tokio::time::sleep(SETTLING).await;
    expect_that!(
        group.evacuated().await,
        each(eq(&!late)),
        "{role:?}, {delivered:?}"
    );
}

async fn orders_delivered_late(delivered: Late) {
    let cases = [Role::Leader, Role::Follower]
        .into_iter()
        .flat_map(|role| [false, true].map(|late| order_delivered_late(role, late, delivered)));
    futures::future::join_all(cases).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_the_network_held_up_undoes_no_newer_one() {
    orders_delivered_late(Late::Bytes).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_close_does_not_arrive_undoes_no_newer_one() {
    orders_delivered_late(Late::OnlyBytes).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_connection_was_held_up_undoes_no_newer_one() {
    orders_delivered_late(Late::Connection).await;
}

/// Guards against late orders being refused for good: a caller that still waits confirms its order
/// and gets it acknowledged, and a confirmation is void after another order.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_waits_confirms_its_late_order() {
    let group = Group::start().await;
    for role in [Role::Leader, Role::Follower] {
        let host = group.host_with(role).await;
        let order = Call::evacuate(ZONE, true);
        let mut stream = TcpStream::connect(group.address(host))
            .await
            .expect("connected");
        tokio::time::sleep(PATIENCE).await;
        write_call(&mut stream, &order).await;
        let answer = read_answer(&mut stream, PATIENCE).await;
        expect_that!(answer.status, eq(307));
        expect_that!(group.evacuated().await, each(eq(&false)));
        let (address, path) = answer.location.expect("a location");
        let confirmed = order.redirected(&path);
        expect_that!(call_once(address, &confirmed).await.status, eq(200));
        expect_that!(group.evacuated().await, contains(eq(&true)));
        // The zone is opened again, and the confirmation arrives once more.
        assert_eq!(
            group.order(&CONTROLS, &Call::evacuate(ZONE, false)).await,
            200
        );
        expect_that!(call_once(address, &confirmed).await.status, eq(503));
        expect_that!(group.evacuated().await, each(eq(&false)));
    }
}

/// Guards against orders that get in each other's way: eight at once, of two operators and in both
/// directions, are each acknowledged within a second, also when they are sent again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_and_repeated_orders_are_acknowledged_in_time() {
    let group = Group::start().await;
    for _ in 0..4 {
        let calls = (0..8_u8).map(|number| {
            let host = CONTROLS[usize::from(number) % CONTROLS.len()];
            let call = Call::evacuate(ZONE, number % 4 < 2);
            let address = group.address(host);
            async move {
                let started = Instant::now();
                let status = call_once(address, &call).await.status;
                (status, started.elapsed())
            }
        });
        for (status, took) in futures::future::join_all(calls).await {
            expect_that!(status, eq(200));
            expect_that!(took, lt(MAX_ACKNOWLEDGEMENT));
        }
    }
}

/// Guards against a change that was refused and given up, and is carried out once it has become
/// valid.
async fn refused_change_at_suspended_process(role: Role) {
    let group = Group::start().await;
    let mut refused = one_route("late", 7);
    refused.upserts[0].item = route_to("t");
    let suspended = group.host_with(role).await;
    let started = Instant::now();
    group.processes.signal(suspended, Signal::Stop);
    call_once(group.address(suspended), &Call::patch(&refused)).await;
    let hosts = others(suspended);
    expect_that!(group.order(&hosts, &Call::patch(&refused)).await, eq(400));
    let service = Patch {
        upserts: vec![items::service("t")],
        removals: Vec::new(),
    };
    expect_that!(group.order(&hosts, &Call::patch(&service)).await, eq(200));
    tokio::time::sleep(SUSPENSION.saturating_sub(started.elapsed())).await;
    group.processes.signal(suspended, Signal::Continue);
    tokio::time::sleep(SETTLING).await;
    let items = group.deployment.read(hosts[0]).await;
    expect_that!(items.get(&key_of("late")), none(), "{role:?}");
}

fn route_to(service: &str) -> coursestand_catalog::Item {
    let kind = coursestand_catalog::RouteKind::Repeatable;
    coursestand_catalog::Item::Route(items::route("late", service, kind, 2_000))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_change_is_not_carried_out_once_it_is_valid() {
    let roles = [Role::Leader, Role::Follower].map(refused_change_at_suspended_process);
    futures::future::join_all(roles).await;
}

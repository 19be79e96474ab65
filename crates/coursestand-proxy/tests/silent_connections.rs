//! Open connections to back ends stop carrying data, without a FIN or a reset, while new
//! connections work. A repeatable request is retried and answered long before its deadline;
//! a request that may run once never runs twice; and after one such failure the other
//! connections that were opened before it are not used again.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, NOT_RUN_STATUSES, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_lab::silent_relay::{Forwarding, SilentRelay};
use googletest::prelude::*;
use tokio::time::Instant;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Longer than the time within which a silent connection must be detected.
const TIMEOUT: Duration = Duration::from_secs(4);
/// A request is retried after half of its timeout at the latest, on an idle machine after
/// half a second; the remainder is for the answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2_500);

/// A daemon whose back ends are behind relays that can stop forwarding.
struct Fleet {
    edge: Edge,
    backends: Vec<ScriptedBackend>,
    relays: Vec<SilentRelay>,
}

impl Fleet {
    async fn start(settings: RouteSettings, scripts: Vec<(Vec<Behaviour>, Behaviour)>) -> Fleet {
        let edge = Edge::start(settings, vec![]).await;
        let mut backends = Vec::new();
        let mut relays = Vec::new();
        for (number, (script, otherwise)) in scripts.into_iter().enumerate() {
            let backend = ScriptedBackend::start(script, otherwise)
                .await
                .expect("a back end");
            let relay = SilentRelay::start(backend.address())
                .await
                .expect("a relay");
            let ready = instance_update(number, relay.address(), InstancePhase::Ready);
            edge.state.adopt_instances(vec![ready]);
            backends.push(backend);
            relays.push(relay);
        }
        Fleet {
            edge,
            backends,
            relays,
        }
    }

    /// Starts one back end that answers with 200.
    async fn with_one_backend() -> Fleet {
        Fleet::start(settings(), vec![(vec![], GOOD)]).await
    }

    fn silence(&self, forwarding: Forwarding) {
        for relay in &self.relays {
            relay.restrict_open_connections(forwarding);
        }
    }

    fn connections(&self) -> usize {
        self.relays.iter().map(SilentRelay::connections).sum()
    }

    /// Returns the number of requests that were retried because a connection was silent.
    fn silent_failures(&self) -> u64 {
        let failures = &self.edge.exchange.metrics().failures;
        failures.with_label_values(&["silent"]).get()
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.backends.iter().flat_map(ScriptedBackend::runs);
        runs.filter(|run| run.id == id).count()
    }

    /// Requests the object `id`; with distinct ids all back ends get requests.
    async fn request(&self, path: &str, id: &str) -> (Answer, Duration) {
        let started = Instant::now();
        let mut caller = Caller::connect(self.edge.server.address()).await;
        caller.send_for_object(path, id, id).await;
        (caller.receive().await, started.elapsed())
    }

    /// Sends `count` requests at once, so that as many connections are opened and kept.
    async fn request_concurrently(
        &self,
        path: &str,
        name: &str,
        count: usize,
    ) -> Vec<(Answer, Duration)> {
        let ids: Vec<String> = (0..count).map(|number| format!("{name}{number}")).collect();
        let requests = ids.iter().map(|id| self.request(path, id));
        futures::future::join_all(requests).await
    }
}

fn settings() -> RouteSettings {
    RouteSettings {
        timeout_ms: TIMEOUT.as_millis() as u64,
        ..RouteSettings::default()
    }
}

/// Slow enough that concurrent requests are in flight at the same time.
fn slow() -> Behaviour {
    Behaviour::Slow(Duration::from_millis(30))
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[gtest]
#[tokio::test]
async fn silent_pooled_connections_cost_one_retry_and_exceed_no_deadline() {
    for forwarding in [
        Forwarding::Discard,
        Forwarding::RequestsOnly,
        Forwarding::DropSegments,
    ] {
        let fleet = Fleet::start(settings(), vec![(vec![], slow())]).await;
        fleet.request_concurrently("/safe/a", "warm", 4).await;
        settle().await;
        expect_that!(fleet.connections(), ge(3));
        fleet.silence(forwarding);
        settle().await;
        let (answer, took) = fleet.request("/safe/a", "first").await;
        expect_that!(answer.status, eq(200), "{forwarding:?}");
        expect_that!(took, lt(ANSWERED_WITHIN), "{forwarding:?}");
        for number in 0..4 {
            let (answer, _) = fleet.request("/safe/a", &format!("later{number}")).await;
            expect_that!(answer.status, eq(200), "{forwarding:?}");
        }
        expect_that!(fleet.silent_failures(), eq(1), "{forwarding:?}");
    }
}

#[gtest]
#[tokio::test]
async fn requests_in_flight_on_connections_that_fall_silent_are_served() {
    for _ in 0..3 {
        let pause = Behaviour::Slow(Duration::from_millis(150));
        let fleet = Fleet::start(settings(), vec![(vec![], pause)]).await;
        fleet.request_concurrently("/safe/a", "warm", 3).await;
        settle().await;
        let answers = fleet.request_concurrently("/safe/a", "flying", 3);
        let silenced = async {
            settle().await;
            fleet.silence(Forwarding::Discard);
        };
        let (answers, ()) = tokio::join!(answers, silenced);
        for (answer, took) in answers {
            expect_that!(answer.status, eq(200));
            expect_that!(took, lt(Duration::from_millis(2_500)));
        }
    }
}

#[gtest]
#[tokio::test]
async fn each_time_connections_fall_silent_costs_one_retry() {
    let fleet = Fleet::with_one_backend().await;
    fleet.request("/safe/a", "warm").await;
    for round in 0..4 {
        fleet.silence(Forwarding::Discard);
        settle().await;
        let (answer, took) = fleet.request("/safe/a", &format!("first{round}")).await;
        expect_that!(answer.status, eq(200));
        expect_that!(took, lt(ANSWERED_WITHIN));
        let (answer, _) = fleet.request("/safe/a", &format!("second{round}")).await;
        expect_that!(answer.status, eq(200));
        expect_that!(fleet.silent_failures(), eq(round + 1));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_must_not_be_repeated_runs_at_most_once_on_a_silent_connection() {
    for (forwarding, runs) in [
        (Forwarding::Discard, 0),
        (Forwarding::RequestsOnly, 1),
        (Forwarding::DropSegments, 0),
    ] {
        let fleet = Fleet::start(
            RouteSettings {
                timeout_ms: 2_500,
                ..settings()
            },
            vec![(vec![], slow())],
        )
        .await;
        fleet.request_concurrently("/once/a", "warm", 3).await;
        fleet.request_concurrently("/safe/a", "warmed", 3).await;
        settle().await;
        fleet.silence(forwarding);
        settle().await;
        let (answer, _) = fleet.request("/once/a", "lost").await;
        expect_that!(fleet.runs_of("lost"), eq(runs), "{forwarding:?}");
        expect_that!(answer.status, any![eq(502), eq(504)], "{forwarding:?}");
        expect_that!(NOT_RUN_STATUSES.contains(&answer.status), eq(false));
        // The other pooled connections were closed after this failure.
        for number in 0..3 {
            let (answer, _) = fleet.request("/once/a", &format!("later{number}")).await;
            expect_that!(answer.status, eq(200), "{forwarding:?}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn silent_connections_to_two_back_ends_close_those_to_all_others() {
    let scripts = (0..6).map(|_| (vec![], slow())).collect();
    let fleet = Fleet::start(settings(), scripts).await;
    for round in 0..4 {
        fleet
            .request_concurrently("/safe/a", &format!("warm{round}-"), 12)
            .await;
    }
    settle().await;
    let warm = fleet.relays.iter().filter(|relay| relay.connections() > 0);
    expect_that!(warm.count(), eq(6));
    fleet.silence(Forwarding::Discard);
    settle().await;
    for number in 0..20 {
        let (answer, _) = fleet.request("/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(fleet.silent_failures(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_slow_back_end_is_not_abandoned_once_the_retry_budget_is_spent() {
    let long = Behaviour::Slow(Duration::from_millis(1_500));
    let settings = RouteSettings {
        retry_ratio: 0.0,
        ..settings()
    };
    let fleet = Fleet::start(settings, vec![(vec![GOOD; 3], long)]).await;
    for number in 0..3 {
        fleet.request("/safe/a", &format!("warm{number}")).await;
    }
    let mut retries = 0;
    for number in 0..3 {
        let id = format!("slow{number}");
        let (answer, _) = fleet.request("/safe/a", &id).await;
        expect_that!(answer.status, eq(200));
        retries += fleet.runs_of(&id) - 1;
    }
    // Six requests earn less than one retry.
    expect_that!(retries, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_retry_after_silence_counts_as_an_attempt_of_its_route() {
    let settings = RouteSettings {
        max_attempts: 1,
        timeout_ms: 1_500,
        ..settings()
    };
    let fleet = Fleet::start(settings, vec![(vec![], GOOD)]).await;
    fleet.request("/safe/a", "warm").await;
    settle().await;
    fleet.silence(Forwarding::RequestsOnly);
    settle().await;
    let (answer, _) = fleet.request("/safe/a", "lost").await;
    expect_that!(answer.status, eq(504));
    expect_that!(fleet.runs_of("lost"), eq(1));
}

#[gtest]
#[tokio::test]
async fn an_idle_connection_whose_peer_acknowledges_nothing_is_closed() {
    let fleet = Fleet::with_one_backend().await;
    fleet.request("/once/a", "warm").await;
    settle().await;
    fleet.silence(Forwarding::DropSegments);
    // Shorter than the time for which an idle connection is kept.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let (answer, _) = fleet.request("/once/a", "r1").await;
    expect_that!(answer.status, eq(200));
    expect_that!(fleet.connections(), eq(2));
}

//! Connections to back ends that fall silent for good, without an end or a reset,
//! while new ones work. A request that may be repeated is served all the same, long
//! before its deadline; one that may run once never runs twice; and one loss is not
//! repeated on each connection that was kept since before it.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, PROMISES, Rules, news};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_lab::silent_relay::{Forwarding, SilentRelay};
use googletest::prelude::*;
use tokio::time::Instant;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Long against the time within which a silence is to be noticed.
const TIMEOUT: Duration = Duration::from_secs(4);
/// A request is repeated once half of its time has passed at the latest, half a second
/// where nothing else keeps the machine busy; the rest is for the answer.
const NOTICED: Duration = Duration::from_millis(2_500);

/// Back ends behind relays, and a daemon in front of them.
struct Fleet {
    edge: Edge,
    backends: Vec<ScriptedBackend>,
    relays: Vec<SilentRelay>,
}

impl Fleet {
    async fn start(rules: Rules, scripts: Vec<(Vec<Behaviour>, Behaviour)>) -> Fleet {
        let edge = Edge::start(rules, vec![]).await;
        let mut backends = Vec::new();
        let mut relays = Vec::new();
        for (number, (script, otherwise)) in scripts.into_iter().enumerate() {
            let backend = ScriptedBackend::start(script, otherwise)
                .await
                .expect("a back end");
            let relay = SilentRelay::start(backend.address())
                .await
                .expect("a relay");
            let ready = news(number, relay.address(), InstancePhase::Ready);
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

    /// One good back end.
    async fn of_one() -> Fleet {
        Fleet::start(rules(), vec![(vec![], GOOD)]).await
    }

    fn silence(&self, carriage: Forwarding) {
        for relay in &self.relays {
            relay.restrict_open_connections(carriage);
        }
    }

    fn connections(&self) -> usize {
        self.relays.iter().map(SilentRelay::connections).sum()
    }

    /// Requests that were repeated for a silence so far.
    fn repeated(&self) -> u64 {
        let failures = &self.edge.exchange.metrics().failures;
        failures.with_label_values(&["silent"]).get()
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.backends.iter().flat_map(ScriptedBackend::runs);
        runs.filter(|run| run.id == id).count()
    }

    /// Asks for another object each time, so that all back ends get requests.
    async fn ask(&self, path: &str, id: &str) -> (Answer, Duration) {
        let asked_at = Instant::now();
        let mut caller = Caller::connect(self.edge.server.address()).await;
        caller.send_about(path, id, id).await;
        (caller.receive().await, asked_at.elapsed())
    }

    /// So many requests at once, so that as many connections are kept.
    async fn ask_together(&self, path: &str, name: &str, count: usize) -> Vec<(Answer, Duration)> {
        let ids: Vec<String> = (0..count).map(|number| format!("{name}{number}")).collect();
        let asked = ids.iter().map(|id| self.ask(path, id));
        futures::future::join_all(asked).await
    }
}

fn rules() -> Rules {
    Rules {
        timeout_ms: TIMEOUT.as_millis() as u64,
        ..Rules::default()
    }
}

/// Long enough for requests that are sent together to be under way together.
fn slow() -> Behaviour {
    Behaviour::Slow(Duration::from_millis(30))
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[gtest]
#[tokio::test]
async fn kept_connections_that_are_silent_cost_one_repeat_and_no_deadline() {
    for carriage in [
        Forwarding::Discard,
        Forwarding::RequestsOnly,
        Forwarding::DropSegments,
    ] {
        let fleet = Fleet::start(rules(), vec![(vec![], slow())]).await;
        fleet.ask_together("/safe/a", "warm", 4).await;
        settle().await;
        expect_that!(fleet.connections(), ge(3));
        fleet.silence(carriage);
        settle().await;
        let (answer, took) = fleet.ask("/safe/a", "first").await;
        expect_that!(answer.status, eq(200), "{carriage:?}");
        expect_that!(took, lt(NOTICED), "{carriage:?}");
        for number in 0..4 {
            let (answer, _) = fleet.ask("/safe/a", &format!("later{number}")).await;
            expect_that!(answer.status, eq(200), "{carriage:?}");
        }
        expect_that!(fleet.repeated(), eq(1), "{carriage:?}");
    }
}

#[gtest]
#[tokio::test]
async fn requests_in_flight_on_connections_that_fall_silent_are_served() {
    for _ in 0..3 {
        let pause = Behaviour::Slow(Duration::from_millis(150));
        let fleet = Fleet::start(rules(), vec![(vec![], pause)]).await;
        fleet.ask_together("/safe/a", "warm", 3).await;
        settle().await;
        let asked = fleet.ask_together("/safe/a", "flying", 3);
        let silenced = async {
            settle().await;
            fleet.silence(Forwarding::Discard);
        };
        let (answers, ()) = tokio::join!(asked, silenced);
        for (answer, took) in answers {
            expect_that!(answer.status, eq(200));
            expect_that!(took, lt(Duration::from_millis(2_500)));
        }
    }
}

#[gtest]
#[tokio::test]
async fn connections_that_fall_silent_again_and_again_cost_as_much_each_time() {
    let fleet = Fleet::of_one().await;
    fleet.ask("/safe/a", "warm").await;
    for round in 0..4 {
        fleet.silence(Forwarding::Discard);
        settle().await;
        let (answer, took) = fleet.ask("/safe/a", &format!("first{round}")).await;
        expect_that!(answer.status, eq(200));
        expect_that!(took, lt(NOTICED));
        let (answer, _) = fleet.ask("/safe/a", &format!("second{round}")).await;
        expect_that!(answer.status, eq(200));
        expect_that!(fleet.repeated(), eq(round + 1));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_must_not_be_repeated_runs_once_at_most_on_a_silent_connection() {
    for (carriage, runs) in [
        (Forwarding::Discard, 0),
        (Forwarding::RequestsOnly, 1),
        (Forwarding::DropSegments, 0),
    ] {
        let fleet = Fleet::start(
            Rules {
                timeout_ms: 2_500,
                ..rules()
            },
            vec![(vec![], slow())],
        )
        .await;
        fleet.ask_together("/once/a", "warm", 3).await;
        fleet.ask_together("/safe/a", "warmed", 3).await;
        settle().await;
        fleet.silence(carriage);
        settle().await;
        let (answer, _) = fleet.ask("/once/a", "lost").await;
        expect_that!(fleet.runs_of("lost"), eq(runs), "{carriage:?}");
        expect_that!(answer.status, any![eq(502), eq(504)], "{carriage:?}");
        expect_that!(PROMISES.contains(&answer.status), eq(false));
        // Its silence told of the others that were kept.
        for number in 0..3 {
            let (answer, _) = fleet.ask("/once/a", &format!("later{number}")).await;
            expect_that!(answer.status, eq(200), "{carriage:?}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn silence_at_two_back_ends_tells_of_the_connections_to_all_others() {
    let scripts = (0..6).map(|_| (vec![], slow())).collect();
    let fleet = Fleet::start(rules(), scripts).await;
    for round in 0..4 {
        fleet
            .ask_together("/safe/a", &format!("warm{round}-"), 12)
            .await;
    }
    settle().await;
    let warm = fleet.relays.iter().filter(|relay| relay.connections() > 0);
    expect_that!(warm.count(), eq(6));
    fleet.silence(Forwarding::Discard);
    settle().await;
    for number in 0..20 {
        let (answer, _) = fleet.ask("/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(fleet.repeated(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_is_slow_is_not_broken_off_once_the_budget_is_spent() {
    let long = Behaviour::Slow(Duration::from_millis(1_500));
    let rules = Rules {
        retry_ratio: 0.0,
        ..rules()
    };
    let fleet = Fleet::start(rules, vec![(vec![GOOD; 3], long)]).await;
    for number in 0..3 {
        fleet.ask("/safe/a", &format!("warm{number}")).await;
    }
    let mut repeats = 0;
    for number in 0..3 {
        let id = format!("slow{number}");
        let (answer, _) = fleet.ask("/safe/a", &id).await;
        expect_that!(answer.status, eq(200));
        repeats += fleet.runs_of(&id) - 1;
    }
    // Six requests earn less than one repeat.
    expect_that!(repeats, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_repeat_counts_among_the_attempts_of_its_route() {
    let rules = Rules {
        max_attempts: 1,
        timeout_ms: 1_500,
        ..rules()
    };
    let fleet = Fleet::start(rules, vec![(vec![], GOOD)]).await;
    fleet.ask("/safe/a", "warm").await;
    settle().await;
    fleet.silence(Forwarding::RequestsOnly);
    settle().await;
    let (answer, _) = fleet.ask("/safe/a", "lost").await;
    expect_that!(answer.status, eq(504));
    expect_that!(fleet.runs_of("lost"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_connection_whose_peer_confirms_nothing_is_not_kept() {
    let fleet = Fleet::of_one().await;
    fleet.ask("/once/a", "warm").await;
    settle().await;
    fleet.silence(Forwarding::DropSegments);
    // Within the time for which an idle connection is kept.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let (answer, _) = fleet.ask("/once/a", "r1").await;
    expect_that!(answer.status, eq(200));
    expect_that!(fleet.connections(), eq(2));
}

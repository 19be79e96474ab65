//! How often a request is sent: at most once where it must not be repeated, within
//! its attempts and the budget elsewhere, and never to a back end that leaves.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, PROMISES, Rules, news};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_proxy::answer::Reason;
use coursestand_proxy::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, PendingToken, RequestHead, RequestPhases,
    Target,
};
use coursestand_proxy::retry::RetryVerdict;
use coursestand_proxy::router::Router;
use coursestand_routing::{BackendReport, Fingerprint};
use googletest::prelude::*;
use tokio::sync::oneshot;

const GOOD: Behaviour = Behaviour::Answer(200);

fn lossy() -> Vec<Behaviour> {
    vec![
        Behaviour::CloseWithoutAnswer,
        Behaviour::TruncatedAnswer,
        Behaviour::Garbage,
        Behaviour::WrongId,
        Behaviour::UnprovenRefusal,
        Behaviour::Answer(500),
    ]
}

/// The phases with one mechanism off: everything is sent again.
struct RetryAll(Router);

impl RequestPhases for RetryAll {
    fn match_request(&self, head: &RequestHead) -> std::result::Result<Matched, Reason> {
        self.0.match_request(head)
    }
    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>> {
        self.0.ask_for_trial(matched)
    }
    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<PendingToken> {
        self.0.ask_for_token(matched, attempts)
    }
    fn choose(
        &self,
        matched: &Matched,
        attempts: &Attempts,
    ) -> std::result::Result<Target, Reason> {
        self.0.choose(matched, attempts)
    }
    fn may_still_send(&self, target: &Target) -> bool {
        self.0.may_still_send(target)
    }
    fn head_received(&self, target: &Target, report: &BackendReport) {
        self.0.head_received(target, report);
    }
    fn answered(&self, target: &Target, report: &BackendReport) {
        self.0.answered(target, report);
    }
    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport) {
        self.0.failed(target, failure, report);
    }
    fn crashed(&self, target: &Target, witnesses: Vec<Fingerprint>) {
        self.0.crashed(target, witnesses);
    }
    fn finished(&self, target: &Target, ending: AttemptEnding) {
        self.0.finished(target, ending);
    }
    fn may_retry(&self, _: &Matched, _: &Attempts, _: AttemptFailure, _: Duration) -> RetryVerdict {
        RetryVerdict::Free
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_must_not_be_repeated_runs_once_whatever_is_lost() {
    for behaviour in lossy() {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], behaviour.clone())];
        let edge = Edge::start(Rules::default(), scripts).await;
        let answer = edge.ask("/once/a", "r1").await;
        expect_that!(edge.runs_of("r1"), eq(1), "{behaviour:?}");
        expect_that!(
            PROMISES.contains(&answer.status),
            eq(false),
            "{behaviour:?}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn with_the_mechanism_off_it_runs_twice() {
    let scripts = vec![
        (vec![], Behaviour::CloseWithoutAnswer),
        (vec![], Behaviour::CloseWithoutAnswer),
    ];
    let edge = Edge::start_with(Rules::default(), scripts, |state| {
        Arc::new(RetryAll(Router::new(state)))
    })
    .await;
    edge.ask("/once/a", "r1").await;
    expect_that!(edge.runs_of("r1"), gt(1));
}

#[gtest]
#[tokio::test]
async fn a_refusal_with_proof_is_tried_elsewhere_and_else_told_as_not_run() {
    let scripts = vec![(vec![], Behaviour::Shed), (vec![], GOOD)];
    let edge = Edge::start(Rules::default(), scripts).await;
    for number in 0..4 {
        let id = format!("r{number}");
        expect_that!(edge.ask("/once/a", &id).await.status, eq(200));
        expect_that!(edge.runs_of(&id), eq(1));
    }
    for behaviour in [Behaviour::Shed, Behaviour::Misdirected] {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], behaviour)];
        let edge = Edge::start(Rules::default(), scripts).await;
        let answer = edge.ask("/once/a", "r1").await;
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("retry-after"), some(anything()));
        expect_that!(edge.runs_of("r1"), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_refuses_though_it_is_idle_gets_the_request_again() {
    let script = vec![Behaviour::ShedWithLoad("1,0,4")];
    let edge = Edge::start(Rules::default(), vec![(script, GOOD)]).await;
    expect_that!(edge.ask("/once/a", "r1").await.status, eq(200));
    expect_that!(edge.runs_of("r1"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_refuses_because_requests_wait_does_not_get_it_again() {
    let script = vec![Behaviour::ShedWithLoad("4,12,4")];
    let edge = Edge::start(Rules::default(), vec![(script, GOOD)]).await;
    expect_that!(edge.ask("/once/a", "r1").await.status, eq(503));
    expect_that!(edge.arrivals(), eq(1));
}

#[gtest]
#[tokio::test]
async fn refusals_of_an_idle_back_end_do_not_make_it_count_as_full() {
    let script = vec![Behaviour::ShedWithLoad("0,0,4"); 2];
    let edge = Edge::start(Rules::default(), vec![(script, GOOD)]).await;
    // Both attempts of the first request are refused; the next one is served.
    expect_that!(edge.ask("/once/a", "r1").await.status, eq(503));
    expect_that!(edge.ask("/once/a", "r2").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn once_any_attempt_may_have_run_the_answer_promises_nothing() {
    let scripts = vec![
        (vec![Behaviour::CloseWithoutAnswer], Behaviour::Shed),
        (vec![Behaviour::CloseWithoutAnswer], Behaviour::Shed),
    ];
    let edge = Edge::start(
        Rules {
            max_attempts: 4,
            ..Rules::default()
        },
        scripts,
    )
    .await;
    let answer = edge.ask("/safe/a", "r1").await;
    expect_that!(answer.status, eq(502));
}

#[gtest]
#[tokio::test]
async fn a_request_goes_to_no_more_back_ends_than_its_route_allows() {
    let scripts: Vec<_> = (0..5).map(|_| (vec![], Behaviour::Shed)).collect();
    let rules = Rules {
        max_attempts: 2,
        ..Rules::default()
    };
    let edge = Edge::start(rules, scripts.clone()).await;
    edge.ask("/safe/a", "r1").await;
    expect_that!(edge.arrivals(), eq(2));
    let all = Edge::start_with(rules, scripts, |state| {
        Arc::new(RetryAll(Router::new(state)))
    })
    .await;
    all.ask("/safe/a", "r1").await;
    expect_that!(all.arrivals(), gt(2));
}

#[gtest]
#[tokio::test]
async fn repeats_end_when_the_budget_is_spent() {
    let rules = Rules {
        retry_ratio: 0.2,
        ..Rules::default()
    };
    let scripts = vec![
        (vec![], Behaviour::CloseWithoutAnswer),
        (vec![], Behaviour::CloseWithoutAnswer),
    ];
    let edge = Edge::start(rules, scripts).await;
    let requests: usize = 100;
    for number in 0..requests {
        edge.ask("/safe/a", &format!("r{number}")).await;
    }
    let repeats = edge.arrivals().saturating_sub(requests);
    expect_that!(repeats as f64, le(0.2 * requests as f64));
    expect_that!(repeats, gt(0));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_leaves_gets_nothing_more() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD), (vec![], GOOD)]).await;
    for phase in [InstancePhase::Draining, InstancePhase::Gone] {
        let address = edge.backends[0].address();
        edge.state.adopt_instances(vec![news(0, address, phase)]);
        let before = edge.backends[0].arrival_count();
        for number in 0..20 {
            let answer = edge.ask("/safe/a", &format!("{phase:?}{number}")).await;
            expect_that!(answer.status, eq(200));
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
        // A late word that it is ready changes nothing.
        edge.state
            .adopt_instances(vec![news(0, address, InstancePhase::Ready)]);
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_is_given_no_more_time_than_is_left() {
    let rules = Rules {
        timeout_ms: 800,
        ..Rules::default()
    };
    let edge = Edge::start(rules, vec![(vec![], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller
        .ask("/safe/a", "long", "x-deadline-ms: 2500\r\n")
        .await;
    caller
        .ask("/safe/a", "short", "x-deadline-ms: 300\r\n")
        .await;
    let given: Vec<u64> = edge.backends[0]
        .runs()
        .iter()
        .filter_map(|run| run.deadline_ms)
        .collect();
    expect_that!(given, elements_are![le(&800), le(&300)]);
}

#[gtest]
#[tokio::test]
async fn a_request_that_gets_no_answer_is_given_up_at_its_time_out() {
    let rules = Rules {
        timeout_ms: 200,
        ..Rules::default()
    };
    let edge = Edge::start(rules, vec![(vec![], Behaviour::NeverAnswer)]).await;
    let answer = edge.ask("/once/a", "r1").await;
    expect_that!(answer.status, eq(504));
    tokio::time::timeout(common::WITHIN, edge.backends[0].wait_for_abandoned(1))
        .await
        .expect("the back end is told to stop");
}

#[gtest]
#[tokio::test]
async fn a_dead_back_end_costs_no_attempt() {
    let rules = Rules {
        max_attempts: 1,
        ..Rules::default()
    };
    let edge = Edge::start(rules, vec![(vec![], GOOD)]).await;
    // A port on which nobody listens.
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let dead = port.local_addr().expect("an address");
    drop(port);
    edge.state
        .adopt_instances(vec![news(7, dead, InstancePhase::Ready)]);
    for number in 0..10 {
        let answer = edge.ask("/once/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_daemon_that_is_cut_off_sends_nothing_to_cold_back_ends() {
    let edge = Edge::start(Rules::default(), vec![]).await;
    let backend = ScriptedBackend::start(vec![], GOOD)
        .await
        .expect("a back end");
    let mut cold = news(0, backend.address(), InstancePhase::Ready);
    cold.cold_ms = 600_000;
    edge.state.adopt_instances(vec![cold]);
    for is_following in [false, true, false] {
        edge.state.set_following(is_following);
        let before = backend.arrival_count();
        let answer = edge
            .ask("/safe/a", &format!("{before}{is_following}"))
            .await;
        expect_that!(answer.status, eq(if is_following { 200 } else { 503 }));
        expect_that!(backend.arrival_count() > before, eq(is_following));
    }
}

/// How often retries to the service were decided like this.
fn retries_counted(edge: &Edge, verdict: &str) -> u64 {
    let metrics = edge.exchange.metrics();
    let labels = ["s", verdict];
    let granted = metrics.service_retries.with_label_values(&labels);
    let denied = metrics.denied_retries.with_label_values(&labels);
    granted.get() + denied.get()
}

#[gtest]
#[tokio::test]
async fn each_decision_about_a_retry_is_counted_with_its_reason() {
    let scripts = || {
        vec![
            (vec![], Behaviour::CloseWithoutAnswer),
            (vec![], Behaviour::CloseWithoutAnswer),
        ]
    };
    let edge = Edge::start(Rules::default(), scripts()).await;
    edge.ask("/safe/a", "r1").await;
    expect_that!(retries_counted(&edge, "paid"), eq(1));
    expect_that!(retries_counted(&edge, "attempts-spent"), eq(1));
    edge.ask("/once/a", "r2").await;
    expect_that!(retries_counted(&edge, "may-have-run"), eq(1));
    let poor = Rules {
        retry_ratio: 0.0,
        ..Rules::default()
    };
    let edge = Edge::start(poor, scripts()).await;
    edge.ask("/safe/a", "r3").await;
    expect_that!(retries_counted(&edge, "paid"), eq(0));
    expect_that!(retries_counted(&edge, "budget-spent"), eq(1));
}

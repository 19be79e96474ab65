//! How often a request is sent: at most once if it must not be repeated, otherwise within the
//! attempts of its route and the retry budget, and never to a back end that is leaving.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, NOT_RUN_STATUSES, RouteSettings, instance_update};
use coursestand_discovery::{Instance, InstancePhase};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::ServiceId;
use coursestand_proxy::answer::Reason;
use coursestand_proxy::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, PendingToken, RequestHead, RequestPhases,
    Target,
};
use coursestand_proxy::retry::RetryVerdict;
use coursestand_proxy::router::Router;
use coursestand_routing::backends::ProbeOutcome;
use coursestand_routing::{BackendReport, Fingerprint};
use googletest::prelude::*;
use tokio::sync::{oneshot, watch};

const GOOD: Behaviour = Behaviour::Answer(200);

fn ambiguous_failures() -> Vec<Behaviour> {
    vec![
        Behaviour::CloseWithoutAnswer,
        Behaviour::TruncatedAnswer,
        Behaviour::Garbage,
        Behaviour::WrongId,
        Behaviour::UnprovenRefusal,
        Behaviour::Answer(500),
    ]
}

/// Request phases that grant every retry.
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
    fn take_due_probes(&self, service: &ServiceId) -> Vec<Instance> {
        self.0.take_due_probes(service)
    }
    fn probed(&self, instance: &Instance, outcome: ProbeOutcome) {
        self.0.probed(instance, outcome);
    }
    fn crash_record_changes(&self) -> watch::Receiver<u64> {
        self.0.crash_record_changes()
    }
    fn is_recalled(&self, target: &Target) -> bool {
        self.0.is_recalled(target)
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
    fn crashed(&self, target: &Target, in_flight_requests: Vec<Fingerprint>) {
        self.0.crashed(target, in_flight_requests);
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
async fn a_request_that_must_not_be_repeated_runs_once_after_any_failure() {
    for behaviour in ambiguous_failures() {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], behaviour.clone())];
        let edge = Edge::start(RouteSettings::default(), scripts).await;
        let answer = edge.request("/once/a", "r1").await;
        expect_that!(edge.runs_of("r1"), eq(1), "{behaviour:?}");
        expect_that!(
            NOT_RUN_STATUSES.contains(&answer.status),
            eq(false),
            "{behaviour:?}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_request_runs_more_than_once_when_every_retry_is_granted() {
    let scripts = vec![
        (vec![], Behaviour::CloseWithoutAnswer),
        (vec![], Behaviour::CloseWithoutAnswer),
    ];
    let edge = Edge::start_with(RouteSettings::default(), scripts, |state| {
        Arc::new(RetryAll(Router::new(state)))
    })
    .await;
    edge.request("/once/a", "r1").await;
    expect_that!(edge.runs_of("r1"), gt(1));
}

#[gtest]
#[tokio::test]
async fn a_refusal_with_proof_is_retried_elsewhere_or_reported_as_not_run() {
    let scripts = vec![(vec![], Behaviour::Shed), (vec![], GOOD)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    for number in 0..4 {
        let id = format!("r{number}");
        expect_that!(edge.request("/once/a", &id).await.status, eq(200));
        expect_that!(edge.runs_of(&id), eq(1));
    }
    for behaviour in [Behaviour::Shed, Behaviour::Misdirected] {
        let scripts = vec![(vec![], behaviour.clone()), (vec![], behaviour)];
        let edge = Edge::start(RouteSettings::default(), scripts).await;
        let answer = edge.request("/once/a", "r1").await;
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("retry-after"), some(anything()));
        expect_that!(edge.runs_of("r1"), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn an_idle_back_end_that_refuses_gets_the_request_again() {
    let script = vec![Behaviour::ShedWithLoad("1,0,4")];
    let edge = Edge::start(RouteSettings::default(), vec![(script, GOOD)]).await;
    expect_that!(edge.request("/once/a", "r1").await.status, eq(200));
    expect_that!(edge.runs_of("r1"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_refuses_with_queued_requests_does_not_get_it_again() {
    let script = vec![Behaviour::ShedWithLoad("4,12,4")];
    let edge = Edge::start(RouteSettings::default(), vec![(script, GOOD)]).await;
    expect_that!(edge.request("/once/a", "r1").await.status, eq(503));
    expect_that!(edge.arrival_count(), eq(1));
}

#[gtest]
#[tokio::test]
async fn refusals_of_an_idle_back_end_do_not_mark_it_as_full() {
    let script = vec![Behaviour::ShedWithLoad("0,0,4"); 2];
    let edge = Edge::start(RouteSettings::default(), vec![(script, GOOD)]).await;
    // Both attempts of the first request are refused; the second request is served.
    expect_that!(edge.request("/once/a", "r1").await.status, eq(503));
    expect_that!(edge.request("/once/a", "r2").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn once_an_attempt_may_have_run_the_answer_is_not_a_not_run_status() {
    let scripts = vec![
        (vec![Behaviour::CloseWithoutAnswer], Behaviour::Shed),
        (vec![Behaviour::CloseWithoutAnswer], Behaviour::Shed),
    ];
    let edge = Edge::start(
        RouteSettings {
            max_attempts: 4,
            ..RouteSettings::default()
        },
        scripts,
    )
    .await;
    let answer = edge.request("/safe/a", "r1").await;
    expect_that!(answer.status, eq(502));
}

#[gtest]
#[tokio::test]
async fn a_request_is_sent_no_more_often_than_its_route_allows() {
    let scripts: Vec<_> = (0..5).map(|_| (vec![], Behaviour::Shed)).collect();
    let settings = RouteSettings {
        max_attempts: 2,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, scripts.clone()).await;
    edge.request("/safe/a", "r1").await;
    expect_that!(edge.arrival_count(), eq(2));
    let unlimited = Edge::start_with(settings, scripts, |state| {
        Arc::new(RetryAll(Router::new(state)))
    })
    .await;
    unlimited.request("/safe/a", "r1").await;
    expect_that!(unlimited.arrival_count(), gt(2));
}

#[gtest]
#[tokio::test]
async fn retries_end_when_the_budget_is_spent() {
    let settings = RouteSettings {
        retry_ratio: 0.2,
        ..RouteSettings::default()
    };
    let scripts = vec![
        (vec![], Behaviour::CloseWithoutAnswer),
        (vec![], Behaviour::CloseWithoutAnswer),
    ];
    let edge = Edge::start(settings, scripts).await;
    let requests: usize = 100;
    for number in 0..requests {
        edge.request("/safe/a", &format!("r{number}")).await;
    }
    let retries = edge.arrival_count().saturating_sub(requests);
    expect_that!(retries as f64, le(0.2 * requests as f64));
    expect_that!(retries, gt(0));
}

#[gtest]
#[tokio::test]
async fn a_leaving_back_end_gets_no_more_requests() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], GOOD), (vec![], GOOD)],
    )
    .await;
    for phase in [InstancePhase::Draining, InstancePhase::Gone] {
        let address = edge.backends[0].address();
        edge.state
            .adopt_instances(vec![instance_update(0, address, phase)]);
        let before = edge.backends[0].arrival_count();
        for number in 0..20 {
            let answer = edge.request("/safe/a", &format!("{phase:?}{number}")).await;
            expect_that!(answer.status, eq(200));
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
        // A late update that it is ready has no effect.
        edge.state
            .adopt_instances(vec![instance_update(0, address, InstancePhase::Ready)]);
    }
}

#[gtest]
#[tokio::test]
async fn the_deadline_sent_to_a_back_end_is_the_remaining_time() {
    let settings = RouteSettings {
        timeout_ms: 800,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, vec![(vec![], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller
        .request("/safe/a", "long", "x-deadline-ms: 2500\r\n")
        .await;
    caller
        .request("/safe/a", "short", "x-deadline-ms: 300\r\n")
        .await;
    let deadlines: Vec<u64> = edge.backends[0]
        .runs()
        .iter()
        .filter_map(|run| run.deadline_ms)
        .collect();
    expect_that!(deadlines, elements_are![le(&800), le(&300)]);
}

#[gtest]
#[tokio::test]
async fn a_request_without_an_answer_is_cancelled_at_its_timeout() {
    let settings = RouteSettings {
        timeout_ms: 200,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, vec![(vec![], Behaviour::NeverAnswer)]).await;
    let answer = edge.request("/once/a", "r1").await;
    expect_that!(answer.status, eq(504));
    tokio::time::timeout(common::TEST_TIMEOUT, edge.backends[0].wait_for_abandoned(1))
        .await
        .expect("the request was not cancelled at the back end");
}

#[gtest]
#[tokio::test]
async fn a_refused_connection_costs_no_attempt() {
    let settings = RouteSettings {
        max_attempts: 1,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, vec![(vec![], GOOD)]).await;
    // A port on which nothing listens.
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let dead = port.local_addr().expect("an address");
    drop(port);
    edge.state
        .adopt_instances(vec![instance_update(7, dead, InstancePhase::Ready)]);
    for number in 0..10 {
        let answer = edge.request("/once/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_daemon_without_control_sends_nothing_to_cold_back_ends() {
    let edge = Edge::start(RouteSettings::default(), vec![]).await;
    let backend = ScriptedBackend::start(vec![], GOOD)
        .await
        .expect("a back end");
    let mut cold = instance_update(0, backend.address(), InstancePhase::Ready);
    cold.cold_ms = 600_000;
    edge.state.adopt_instances(vec![cold]);
    for is_following in [false, true, false] {
        edge.state.set_following(is_following);
        let before = backend.arrival_count();
        let answer = edge
            .request("/safe/a", &format!("{before}{is_following}"))
            .await;
        expect_that!(answer.status, eq(if is_following { 200 } else { 503 }));
        expect_that!(backend.arrival_count() > before, eq(is_following));
    }
}

/// Returns the number of retry decisions for the service with this label.
fn counted_decisions(edge: &Edge, verdict: &str) -> u64 {
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
    let edge = Edge::start(RouteSettings::default(), scripts()).await;
    edge.request("/safe/a", "r1").await;
    expect_that!(counted_decisions(&edge, "paid"), eq(1));
    expect_that!(counted_decisions(&edge, "attempts-spent"), eq(1));
    edge.request("/once/a", "r2").await;
    expect_that!(counted_decisions(&edge, "may-have-run"), eq(1));
    let without_budget = RouteSettings {
        retry_ratio: 0.0,
        ..RouteSettings::default()
    };
    let edge = Edge::start(without_budget, scripts()).await;
    edge.request("/safe/a", "r3").await;
    expect_that!(counted_decisions(&edge, "paid"), eq(0));
    expect_that!(counted_decisions(&edge, "budget-spent"), eq(1));
}

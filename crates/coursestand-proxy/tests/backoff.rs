//! Back ends that request a back-off with a refusal, or report in an answer that they are
//! draining.
//!
//! Guards against daemons that ignore the back-off. A back end that refuses everything and
//! reports a load of 0 looks idle, so each retry goes to it again at once, and its share of
//! the requests grows while it refuses them.
#![allow(missing_docs)]

mod common;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use common::hooked_phases::{AfterChoice, HookedPhases};
use common::{Answer, Caller, Edge, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_model::BackendId;
use coursestand_proxy::EdgeState;
use coursestand_proxy::phases::{RequestPhases, Target};
use coursestand_proxy::router::Router;
use coursestand_routing::{BackendReport, Finding, Rate, RateLimitSignal, SharedFinding};
use googletest::prelude::*;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Refuses with a reported load of 0 and requests a back-off of two seconds.
const REQUESTS_BACKOFF: Behaviour =
    Behaviour::ShedWithHeaders("x-load: 0,0,4\r\nretry-after: 2\r\n");
const BACKOFF: Duration = Duration::from_secs(2);
/// Pause between two requests of a test.
const PAUSE: Duration = Duration::from_millis(10);
/// Upper bound for an immediate refusal, far below any timeout.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);

fn retry_after_seconds(answer: &Answer) -> Option<f64> {
    answer.header("retry-after")?.parse().ok()
}

/// Requests the object `id`, so that requests spread over the back ends.
async fn request(edge: &Edge, path: &str, id: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_for_object(path, id, id).await;
    caller.receive().await
}

/// Sends requests until one reaches the back end, and returns that time.
async fn request_until_arrival(edge: &Edge, backend: usize) -> Instant {
    let begin = Instant::now();
    for number in 0.. {
        if edge.backends[backend].arrival_count() > 0 {
            break;
        }
        assert!(
            begin.elapsed() < common::TEST_TIMEOUT,
            "no request reached the back end in time"
        );
        request(edge, "/safe/a", &format!("before-{number}")).await;
    }
    Instant::now()
}

#[gtest]
#[tokio::test]
async fn a_back_end_gets_no_requests_during_its_backoff() {
    for refusal in [
        REQUESTS_BACKOFF,
        Behaviour::UnprovenRefusalWithHeaders("x-load: 0,0,4\r\nretry-after: 2\r\n"),
    ] {
        let scripts = vec![(vec![], refusal), (vec![], GOOD), (vec![], GOOD)];
        let edge = Edge::start(RouteSettings::default(), scripts).await;
        let arrived_at = request_until_arrival(&edge, 0).await;
        let before = edge.backends[0].arrival_count();
        let mut number = 0;
        while arrived_at.elapsed() < BACKOFF - REFUSED_WITHIN {
            number += 1;
            let answer = request(&edge, "/safe/a", &format!("r{number}")).await;
            expect_that!(answer.status, eq(200));
            tokio::time::sleep(PAUSE).await;
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_is_not_retried_at_a_back_end_in_backoff() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], REQUESTS_BACKOFF)]).await;
    let answer = request(&edge, "/once/a", "r1").await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrival_count(), eq(1));
    expect_that!(retry_after_seconds(&answer), some(ge(1.9)));
}

#[gtest]
#[tokio::test]
async fn with_all_back_ends_in_backoff_requests_are_refused_at_once() {
    let longer = Behaviour::ShedWithHeaders("x-load: 0,0,4\r\nretry-after: 30\r\n");
    let scripts = vec![(vec![], REQUESTS_BACKOFF), (vec![], longer)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    for backend in [0, 1] {
        request_until_arrival(&edge, backend).await;
    }
    let before = edge.arrival_count();
    for number in 0..20 {
        let started = Instant::now();
        let answer = request(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(started.elapsed(), le(REFUSED_WITHIN));
        expect_that!(answer.status, eq(503));
        // The earliest end of a back-off, plus jitter so that callers do not all retry together.
        expect_that!(retry_after_seconds(&answer), some(all![gt(1.0), lt(4.0)]));
    }
    expect_that!(edge.arrival_count(), eq(before));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_reports_draining_in_an_answer_gets_no_more_requests() {
    let header = "x-draining: 1\r\n";
    for behaviour in [
        Behaviour::AnswerWithHeaders(200, header),
        Behaviour::AnswerWithHeaders(500, header),
        Behaviour::ShedWithHeaders(header),
        Behaviour::UnprovenRefusalWithHeaders(header),
        Behaviour::TruncatedAnswerWithHeaders(header),
    ] {
        let scripts = vec![(vec![], behaviour), (vec![], GOOD)];
        let edge = Edge::start(RouteSettings::default(), scripts).await;
        request_until_arrival(&edge, 0).await;
        let before = edge.backends[0].arrival_count();
        // A later update of discovery that it is ready has no effect.
        let mut ready = instance_update(0, edge.backends[0].address(), InstancePhase::Ready);
        ready.instance.sequence = 100;
        edge.state.adopt_instances(vec![ready]);
        for number in 0..20 {
            let answer = request(&edge, "/safe/a", &format!("r{number}")).await;
            expect_that!(answer.status, eq(200));
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_gets_requests_again_after_its_backoff() {
    let refusal = Behaviour::ShedWithHeaders("retry-after: 0.3\r\n");
    let scripts = vec![(vec![refusal], GOOD)];
    let edge = Edge::start(RouteSettings::default(), scripts).await;
    request(&edge, "/safe/a", "first").await;
    tokio::time::sleep(Duration::from_millis(350)).await;
    for number in 0..10 {
        let answer = request(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
}

/// Sends a request to two back ends; the hook runs after each choice.
async fn request_with_hook(after_choice: AfterChoice) -> (Edge, Answer) {
    let scripts = vec![(vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start_with(RouteSettings::default(), scripts, |state| {
        Arc::new(HookedPhases {
            after_choice,
            ..HookedPhases::new(state)
        })
    })
    .await;
    let answer = edge.request("/once/a", "r1").await;
    (edge, answer)
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_a_backoff_begins() {
    let report = BackendReport {
        backoff_ms: Some(BACKOFF.as_millis() as u64),
        ..BackendReport::default()
    };
    let after_choice =
        move |router: &Router, target: &Target| router.head_received(target, &report);
    let (edge, answer) = request_with_hook(Box::new(after_choice)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(retry_after_seconds(&answer), some(ge(1.9)));
    expect_that!(edge.arrival_count(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_its_back_end_is_draining() {
    let report = BackendReport {
        is_draining: true,
        ..BackendReport::default()
    };
    let after_choice =
        move |router: &Router, target: &Target| router.head_received(target, &report);
    let (edge, answer) = request_with_hook(Box::new(after_choice)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrival_count(), eq(0));
}

/// Guards against sending a request whose back end was chosen before it reported a rate
/// limit.
#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_a_rate_limit_is_reported() {
    let report = BackendReport {
        rate: RateLimitSignal::Limited(Rate::per_second(0.2)),
        ..BackendReport::default()
    };
    let after_choice =
        move |router: &Router, target: &Target| router.head_received(target, &report);
    let (edge, answer) = request_with_hook(Box::new(after_choice)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrival_count(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_into_an_evacuated_zone() {
    let shared: Arc<OnceLock<Arc<EdgeState>>> = Arc::default();
    let scripts = vec![(vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start_with(RouteSettings::default(), scripts, |state| {
        let shared = Arc::clone(&shared);
        Arc::new(HookedPhases {
            after_choice: Box::new(move |_, target| {
                let state = shared.get().expect("set before the first request");
                let mut routing = state.routing();
                routing.catalog.set_evacuation(&target.zone, true, 100);
            }),
            ..HookedPhases::new(state)
        })
    })
    .await;
    assert!(shared.set(Arc::clone(&edge.state)).is_ok());
    let answer = edge.request("/once/a", "r1").await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrival_count(), eq(0));
}

/// A back end that can't reach control reports only in its answers that it is draining. A
/// daemon applies this once two other daemons have reported it, not after one.
#[gtest]
#[tokio::test]
async fn draining_applies_when_two_other_daemons_report_it_but_not_one() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], GOOD), (vec![], GOOD)],
    )
    .await;
    let backend = {
        let routing = edge.state.routing();
        let known = routing.backends.get(&BackendId::from("i-0"));
        known.expect("known").incarnation_hash
    };
    let report = |number, reporter| SharedFinding {
        number,
        reporter,
        finding: Finding::Drains { backend },
    };
    for number in 0..3 {
        edge.state.adopt_finding(&report(number, 1));
    }
    request_until_arrival(&edge, 0).await;
    edge.state.adopt_finding(&report(3, 2));
    let before = edge.backends[0].arrival_count();
    for number in 0..20 {
        let answer = request(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(edge.backends[0].arrival_count(), eq(before));
}

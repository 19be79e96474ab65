//! Back ends that ask for a back-off with a refusal, or say with an answer that they
//! drain.
//!
//! Six of a service's twenty back ends refused everything for nine seconds, told that
//! nothing runs or waits there, and asked each daemon for three seconds without requests.
//! One got 20 requests of one daemon in that time. Nobody read the back-off, a refusal
//! made the back end look idle, and the repeat of a request went to the same back end at
//! once: arrivals at the six rose while every fourth request of the service was refused.
//! The log showed a believed load of 0, 0 ms old, at each pick after a refusal.
#![allow(missing_docs)]

mod common;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use common::{Answer, Caller, Edge, Rules, news};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_model::BackendId;
use coursestand_proxy::EdgeState;
use coursestand_proxy::answer::Reason;
use coursestand_proxy::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, PendingToken, RequestHead, RequestPhases,
    Target,
};
use coursestand_proxy::retry::RetryVerdict;
use coursestand_proxy::router::Router;
use coursestand_routing::{
    BackendReport, Finding, Fingerprint, Rate, RateLimitSignal, SharedFinding,
};
use googletest::prelude::*;
use tokio::sync::oneshot;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Refuses as an idle back end would, and asks for two seconds without requests.
const ASKING: Behaviour = Behaviour::ShedWithHeaders("x-load: 0,0,4\r\nretry-after: 2\r\n");
const ASKED: Duration = Duration::from_secs(2);
/// Between two requests of a test.
const PAUSE: Duration = Duration::from_millis(10);
/// Far less than any time-out, far more than a refusal takes.
const AT_ONCE: Duration = Duration::from_millis(200);

fn seconds_of(answer: &Answer) -> Option<f64> {
    answer.header("retry-after")?.parse().ok()
}

/// Asks about an object of its own.
async fn ask(edge: &Edge, path: &str, id: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_about(path, id, id).await;
    caller.receive().await
}

/// Asks until the back end has got a request, and returns when that was.
async fn until_it_is_met(edge: &Edge, backend: usize) -> Instant {
    let begin = Instant::now();
    for number in 0.. {
        if edge.backends[backend].arrival_count() > 0 {
            break;
        }
        assert!(begin.elapsed() < common::WITHIN, "no request meets it");
        ask(edge, "/safe/a", &format!("before-{number}")).await;
    }
    Instant::now()
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_asks_for_a_backoff_gets_nothing_until_its_end() {
    for asking in [
        ASKING,
        Behaviour::UnprovenRefusalWithHeaders("x-load: 0,0,4\r\nretry-after: 2\r\n"),
    ] {
        let scripts = vec![(vec![], asking), (vec![], GOOD), (vec![], GOOD)];
        let edge = Edge::start(Rules::default(), scripts).await;
        let met = until_it_is_met(&edge, 0).await;
        let before = edge.backends[0].arrival_count();
        let mut number = 0;
        while met.elapsed() < ASKED - AT_ONCE {
            number += 1;
            let answer = ask(&edge, "/safe/a", &format!("r{number}")).await;
            expect_that!(answer.status, eq(200));
            tokio::time::sleep(PAUSE).await;
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_is_not_sent_again_to_a_back_end_that_asked_for_a_backoff() {
    let edge = Edge::start(Rules::default(), vec![(vec![], ASKING)]).await;
    let answer = ask(&edge, "/once/a", "r1").await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrivals(), eq(1));
    expect_that!(seconds_of(&answer), some(ge(1.9)));
}

#[gtest]
#[tokio::test]
async fn with_all_back_ends_backing_off_requests_are_refused_at_once() {
    let longer = Behaviour::ShedWithHeaders("x-load: 0,0,4\r\nretry-after: 30\r\n");
    let scripts = vec![(vec![], ASKING), (vec![], longer)];
    let edge = Edge::start(Rules::default(), scripts).await;
    for backend in [0, 1] {
        until_it_is_met(&edge, backend).await;
    }
    let before = edge.arrivals();
    for number in 0..20 {
        let asked = Instant::now();
        let answer = ask(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(asked.elapsed(), le(AT_ONCE));
        expect_that!(answer.status, eq(503));
        // The earliest end, and a little more so that not all come back at once.
        expect_that!(seconds_of(&answer), some(all![gt(1.0), lt(4.0)]));
    }
    expect_that!(edge.arrivals(), eq(before));
}

#[gtest]
#[tokio::test]
async fn a_back_end_that_says_with_an_answer_that_it_drains_gets_nothing_more() {
    let said = "x-draining: 1\r\n";
    for saying in [
        Behaviour::AnswerWithHeaders(200, said),
        Behaviour::AnswerWithHeaders(500, said),
        Behaviour::ShedWithHeaders(said),
        Behaviour::UnprovenRefusalWithHeaders(said),
        Behaviour::TruncatedAnswerWithHeaders(said),
    ] {
        let scripts = vec![(vec![], saying), (vec![], GOOD)];
        let edge = Edge::start(Rules::default(), scripts).await;
        until_it_is_met(&edge, 0).await;
        let before = edge.backends[0].arrival_count();
        // What discovery still tells of it changes nothing.
        let mut ready = news(0, edge.backends[0].address(), InstancePhase::Ready);
        ready.instance.sequence = 100;
        edge.state.adopt_instances(vec![ready]);
        for number in 0..20 {
            let answer = ask(&edge, "/safe/a", &format!("r{number}")).await;
            expect_that!(answer.status, eq(200));
        }
        expect_that!(edge.backends[0].arrival_count(), eq(before));
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_serves_again_once_its_backoff_has_ended() {
    let asking = Behaviour::ShedWithHeaders("retry-after: 0.3\r\n");
    let scripts = vec![(vec![asking], GOOD)];
    let edge = Edge::start(Rules::default(), scripts).await;
    ask(&edge, "/safe/a", "first").await;
    tokio::time::sleep(Duration::from_millis(350)).await;
    for number in 0..10 {
        let answer = ask(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
}

/// What happens once a back end was chosen and before the request is written to it.
type Meanwhile = Box<dyn Fn(&Router, &Target) + Send + Sync>;

/// The phases where something happens just after a back end was chosen.
struct Overtaken {
    router: Router,
    meanwhile: Meanwhile,
}

impl RequestPhases for Overtaken {
    fn match_request(&self, head: &RequestHead) -> std::result::Result<Matched, Reason> {
        self.router.match_request(head)
    }
    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>> {
        self.router.ask_for_trial(matched)
    }
    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<PendingToken> {
        self.router.ask_for_token(matched, attempts)
    }
    fn choose(
        &self,
        matched: &Matched,
        attempts: &Attempts,
    ) -> std::result::Result<Target, Reason> {
        let target = self.router.choose(matched, attempts)?;
        (self.meanwhile)(&self.router, &target);
        Ok(target)
    }
    fn may_still_send(&self, target: &Target) -> bool {
        self.router.may_still_send(target)
    }
    fn head_received(&self, target: &Target, report: &BackendReport) {
        self.router.head_received(target, report);
    }
    fn answered(&self, target: &Target, report: &BackendReport) {
        self.router.answered(target, report);
    }
    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport) {
        self.router.failed(target, failure, report);
    }
    fn crashed(&self, target: &Target, witnesses: Vec<Fingerprint>) {
        self.router.crashed(target, witnesses);
    }
    fn finished(&self, target: &Target, ending: AttemptEnding) {
        self.router.finished(target, ending);
    }
    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        left: Duration,
    ) -> RetryVerdict {
        self.router.may_retry(matched, attempts, failure, left)
    }
}

/// Two back ends, of which each is overtaken once it was chosen.
async fn overtaken(meanwhile: Meanwhile) -> (Edge, Answer) {
    let scripts = vec![(vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start_with(Rules::default(), scripts, |state| {
        Arc::new(Overtaken {
            router: Router::new(state),
            meanwhile,
        })
    })
    .await;
    let answer = edge.ask("/once/a", "r1").await;
    (edge, answer)
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_a_backoff_begins() {
    let asking = BackendReport {
        backoff_ms: Some(ASKED.as_millis() as u64),
        ..BackendReport::default()
    };
    let meanwhile = move |router: &Router, target: &Target| router.head_received(target, &asking);
    let (edge, answer) = overtaken(Box::new(meanwhile)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(seconds_of(&answer), some(ge(1.9)));
    expect_that!(edge.arrivals(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_its_back_end_drains() {
    let draining = BackendReport {
        is_draining: true,
        ..BackendReport::default()
    };
    let meanwhile = move |router: &Router, target: &Target| router.head_received(target, &draining);
    let (edge, answer) = overtaken(Box::new(meanwhile)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrivals(), eq(0));
}

/// Guards against requests that were chosen before a rate limit was named and sent after.
#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_once_a_rate_limit_is_named() {
    let naming = BackendReport {
        rate: RateLimitSignal::Limited(Rate::per_second(0.2)),
        ..BackendReport::default()
    };
    let meanwhile = move |router: &Router, target: &Target| router.head_received(target, &naming);
    let (edge, answer) = overtaken(Box::new(meanwhile)).await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrivals(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_sent_into_an_evacuated_zone() {
    let shared: Arc<OnceLock<Arc<EdgeState>>> = Arc::default();
    let scripts = vec![(vec![], GOOD), (vec![], GOOD)];
    let edge = Edge::start_with(Rules::default(), scripts, |state| {
        let shared = Arc::clone(&shared);
        Arc::new(Overtaken {
            router: Router::new(state),
            meanwhile: Box::new(move |_, target| {
                let state = shared.get().expect("set before the first request");
                let mut routing = state.routing();
                routing.catalog.set_evacuation(&target.zone, true, 100);
            }),
        })
    })
    .await;
    assert!(shared.set(Arc::clone(&edge.state)).is_ok());
    let answer = edge.ask("/once/a", "r1").await;
    expect_that!(answer.status, eq(503));
    expect_that!(edge.arrivals(), eq(0));
}

/// A back end that can't reach control says only with its answers that it drains. One
/// daemon's word binds no other one, two daemons' words do.
#[gtest]
#[tokio::test]
async fn what_two_other_daemons_heard_of_draining_binds_and_one_word_does_not() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD), (vec![], GOOD)]).await;
    let backend = {
        let routing = edge.state.routing();
        let known = routing.backends.get(&BackendId::from("i-0"));
        known.expect("known").incarnation_hash
    };
    let says = |number, reporter| SharedFinding {
        number,
        reporter,
        finding: Finding::Drains { backend },
    };
    for number in 0..3 {
        edge.state.adopt_finding(&says(number, 1));
    }
    until_it_is_met(&edge, 0).await;
    edge.state.adopt_finding(&says(3, 2));
    let before = edge.backends[0].arrival_count();
    for number in 0..20 {
        let answer = ask(&edge, "/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(edge.backends[0].arrival_count(), eq(before));
}

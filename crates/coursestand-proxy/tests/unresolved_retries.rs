//! A retry that may not have arrived withholds one retry from the budget until its back end
//! answers a later request or crashes.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Edge, RouteSettings};
use coursestand_lab::items;
use coursestand_lab::scripted::Behaviour;
use coursestand_model::ServiceId;
use coursestand_proxy::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, RequestHead, RequestPhases, Target,
};
use coursestand_proxy::router::Router;
use coursestand_routing::{BackendReport, Finding};
use googletest::prelude::*;
use http::Method;

const REMAINING_TIME: Duration = Duration::from_secs(1);

struct Fixture {
    edge: Edge,
    router: Router,
}

impl Fixture {
    async fn start() -> Fixture {
        let settings = RouteSettings {
            // Each request earns one retry.
            retry_ratio: 2.0,
            ..RouteSettings::default()
        };
        let edge = Edge::start(settings, vec![(vec![], Behaviour::Answer(200))]).await;
        let router = Router::new(Arc::clone(&edge.state));
        Fixture { edge, router }
    }

    fn request(&self) -> Matched {
        let head = RequestHead {
            id: None,
            method: Method::GET,
            host: items::HOST.to_owned(),
            path: "/safe/a".to_owned(),
            query: None,
            affinity_key: None,
            caller_timeout: None,
        };
        self.router.match_request(&head).expect("a route")
    }

    fn retry_target(&self, matched: &Matched) -> Target {
        let attempts = Attempts {
            arrived: 1,
            ..Attempts::default()
        };
        self.router.choose(matched, &attempts).expect("a back end")
    }

    fn first_target(&self, matched: &Matched) -> Target {
        let attempts = Attempts::default();
        self.router.choose(matched, &attempts).expect("a back end")
    }

    fn withheld(&self) -> usize {
        let routing = self.edge.state.routing();
        let budget = &routing.budgets[&ServiceId::from("s")];
        budget.withheld(self.edge.state.now(), self.edge.state.bounds().retries)
    }

    fn may_retry(&self, matched: &Matched) -> bool {
        let failure = AttemptFailure::Lost;
        let attempts = Attempts::default();
        let verdict = self
            .router
            .may_retry(matched, &attempts, failure, REMAINING_TIME);
        verdict.is_granted()
    }
}

#[gtest]
#[tokio::test]
async fn an_abandoned_retry_withholds_one_until_its_back_end_answers() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let retry = fixture.retry_target(&matched);
    expect_that!(fixture.withheld(), eq(0));
    fixture.router.finished(&retry, AttemptEnding::Unresolved);
    expect_that!(fixture.withheld(), eq(1));
    expect_that!(fixture.may_retry(&matched), eq(false));
    let later = fixture.first_target(&matched);
    fixture.router.answered(&later, &BackendReport::default());
    expect_that!(fixture.withheld(), eq(0));
    expect_that!(fixture.may_retry(&matched), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_answered_retry_withholds_nothing() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let retry = fixture.retry_target(&matched);
    fixture.router.finished(&retry, AttemptEnding::Resolved);
    expect_that!(fixture.withheld(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_retried_after_silence_withholds_one_for_its_first_copy() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let first = fixture.first_target(&matched);
    let report = BackendReport::default();
    fixture
        .router
        .failed(&first, AttemptFailure::Silent, &report);
    fixture.router.finished(&first, AttemptEnding::Unresolved);
    expect_that!(fixture.withheld(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_crashed_back_end_withholds_nothing_for_unread_copies() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let retry = fixture.retry_target(&matched);
    fixture.router.finished(&retry, AttemptEnding::Unresolved);
    fixture.edge.state.publish_finding(Finding::Ended {
        backend: retry.incarnation_hash,
        in_flight_requests: Vec::new(),
    });
    expect_that!(fixture.withheld(), eq(0));
}

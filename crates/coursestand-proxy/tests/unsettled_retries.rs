//! A retry of which nobody knows whether it has arrived holds another one back until its
//! back end answers something later, or has ended.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Edge, Rules};
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

const LEFT: Duration = Duration::from_secs(1);

struct Fixture {
    edge: Edge,
    router: Router,
}

impl Fixture {
    async fn start() -> Fixture {
        let rules = Rules {
            // Each request earns one retry.
            retry_ratio: 2.0,
            ..Rules::default()
        };
        let edge = Edge::start(rules, vec![(vec![], Behaviour::Answer(200))]).await;
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

    fn repeat(&self, matched: &Matched) -> Target {
        let attempts = Attempts {
            arrived: 1,
            ..Attempts::default()
        };
        self.router.choose(matched, &attempts).expect("a back end")
    }

    fn first(&self, matched: &Matched) -> Target {
        let attempts = Attempts::default();
        self.router.choose(matched, &attempts).expect("a back end")
    }

    fn held(&self) -> usize {
        let routing = self.edge.state.routing();
        let budget = &routing.budgets[&ServiceId::from("s")];
        budget.withheld(self.edge.state.now(), self.edge.state.bounds().retries)
    }

    fn may_retry(&self, matched: &Matched) -> bool {
        let failure = AttemptFailure::Lost;
        let attempts = Attempts::default();
        let verdict = self.router.may_retry(matched, &attempts, failure, LEFT);
        verdict.is_granted()
    }
}

#[gtest]
#[tokio::test]
async fn a_retry_that_was_given_up_holds_another_back_until_its_back_end_answers() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let repeat = fixture.repeat(&matched);
    expect_that!(fixture.held(), eq(0));
    fixture.router.finished(&repeat, AttemptEnding::Unresolved);
    expect_that!(fixture.held(), eq(1));
    expect_that!(fixture.may_retry(&matched), eq(false));
    let later = fixture.first(&matched);
    fixture.router.answered(&later, &BackendReport::default());
    expect_that!(fixture.held(), eq(0));
    expect_that!(fixture.may_retry(&matched), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_retry_that_was_answered_holds_nothing_back() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let repeat = fixture.repeat(&matched);
    fixture.router.finished(&repeat, AttemptEnding::Resolved);
    expect_that!(fixture.held(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_that_is_sent_again_after_a_silence_holds_one_back_for_its_first_copy() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let first = fixture.first(&matched);
    let report = BackendReport::default();
    fixture
        .router
        .failed(&first, AttemptFailure::Silent, &report);
    fixture.router.finished(&first, AttemptEnding::Unresolved);
    expect_that!(fixture.held(), eq(1));
}

#[gtest]
#[tokio::test]
async fn what_a_back_end_that_has_ended_did_not_read_holds_nothing_back() {
    let fixture = Fixture::start().await;
    let matched = fixture.request();
    let repeat = fixture.repeat(&matched);
    fixture.router.finished(&repeat, AttemptEnding::Unresolved);
    fixture.edge.state.publish_finding(Finding::Ended {
        backend: repeat.incarnation_hash,
        in_flight_requests: Vec::new(),
    });
    expect_that!(fixture.held(), eq(0));
}

//! The check of a run detects each kind of violation.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_lab::callers::{FinishedRequest, RequestOutcome};
use coursestand_lab::load::default_request;
use coursestand_lab::records::{Ending, Record};
use coursestand_lab::verdict::{LEAVING_GRACE_MS, Verdict, check};
use googletest::prelude::*;

fn finished_request(token: &str, outcome: RequestOutcome, key: Option<&str>) -> FinishedRequest {
    let mut request = default_request("desk", "10.1.0.1".to_owned(), token, Duration::from_secs(1));
    request.key = key.map(str::to_owned);
    FinishedRequest {
        request,
        outcome,
        not_run_attempts: 0,
        any_unknown: false,
        elapsed: Duration::ZERO,
    }
}

fn record(token: &str, ending: Ending) -> Record {
    Record {
        token: token.to_owned(),
        request_id: String::new(),
        service: "desk".into(),
        backend: "b".into(),
        zone: "z".into(),
        origin: "z".into(),
        started_ms: 0,
        ended_ms: Some(1),
        ending,
        running: 1,
        connections: 1,
        leaving_for_ms: None,
    }
}

#[gtest]
fn a_run_without_violations_passes() {
    let records = [record("a", Ending::Completed)];
    let requests = [
        finished_request("a", RequestOutcome::Answered, Some("1-a")),
        finished_request("b", RequestOutcome::NotRun, Some("1-b")),
    ];
    expect_that!(check(&requests, &records).has_no_violations(), eq(true));
}

#[gtest]
fn each_kind_of_violation_is_detected() {
    let run = record("a", Ending::Completed);
    let late_at_leaving = Record {
        leaving_for_ms: Some(LEAVING_GRACE_MS + 1),
        ..run.clone()
    };
    let none = Verdict::default();
    let wrong = RequestOutcome::WrongAnswer("another's".to_owned());
    for (request, records, verdict) in [
        (
            finished_request("a", wrong, None),
            vec![run.clone()],
            Verdict {
                wrong_answers: 1,
                ..none.clone()
            },
        ),
        (
            finished_request("a", RequestOutcome::NotRun, None),
            vec![run.clone()],
            Verdict {
                false_not_run: 1,
                ..none.clone()
            },
        ),
        (
            finished_request("a", RequestOutcome::Answered, None),
            vec![],
            Verdict {
                answered_unrun: 1,
                ..none.clone()
            },
        ),
        (
            finished_request("a", RequestOutcome::Unknown, Some("1-a")),
            vec![run.clone(), record("a", Ending::Cancelled)],
            Verdict {
                ran_twice: 1,
                ..none.clone()
            },
        ),
        (
            finished_request("a", RequestOutcome::Unknown, None),
            vec![record("a", Ending::Shed)],
            Verdict {
                over_slots: 1,
                ..none.clone()
            },
        ),
        (
            finished_request("a", RequestOutcome::Answered, None),
            vec![late_at_leaving],
            Verdict {
                to_leaving: 1,
                ..none
            },
        ),
    ] {
        expect_that!(check(&[request], &records), eq(&verdict));
    }
}

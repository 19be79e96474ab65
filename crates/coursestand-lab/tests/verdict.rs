//! The checker finds each broken promise: one that can't fail proves nothing.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_lab::callers::{Finding, Finished};
use coursestand_lab::load::errand;
use coursestand_lab::records::{Ending, Record};
use coursestand_lab::verdict::{LEAVING_WITHIN_MS, Verdict, check};
use googletest::prelude::*;

fn finished(token: &str, finding: Finding, key: Option<&str>) -> Finished {
    let mut errand = errand("desk", "10.1.0.1".to_owned(), token, Duration::from_secs(1));
    errand.key = key.map(str::to_owned);
    Finished {
        errand,
        finding,
        not_run_attempts: 0,
        any_unknown: false,
        took: Duration::ZERO,
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
fn a_good_run_is_good() {
    let records = [record("a", Ending::Completed)];
    let told = [
        finished("a", Finding::Answered, Some("1-a")),
        finished("b", Finding::NotRun, Some("1-b")),
    ];
    expect_that!(check(&told, &records).is_good(), eq(true));
}

#[gtest]
fn each_broken_promise_is_found() {
    let run = record("a", Ending::Completed);
    let late = Record {
        leaving_for_ms: Some(LEAVING_WITHIN_MS + 1),
        ..run.clone()
    };
    let none = Verdict::default();
    let wrong = Finding::WrongAnswer("another's".to_owned());
    for (told, records, verdict) in [
        (
            finished("a", wrong, None),
            vec![run.clone()],
            Verdict {
                wrong_answers: 1,
                ..none.clone()
            },
        ),
        (
            finished("a", Finding::NotRun, None),
            vec![run.clone()],
            Verdict {
                false_not_run: 1,
                ..none.clone()
            },
        ),
        (
            finished("a", Finding::Answered, None),
            vec![],
            Verdict {
                answered_unrun: 1,
                ..none.clone()
            },
        ),
        (
            finished("a", Finding::Unknown, Some("1-a")),
            vec![run.clone(), record("a", Ending::Cancelled)],
            Verdict {
                ran_twice: 1,
                ..none.clone()
            },
        ),
        (
            finished("a", Finding::Unknown, None),
            vec![record("a", Ending::Shed)],
            Verdict {
                over_slots: 1,
                ..none.clone()
            },
        ),
        (
            finished("a", Finding::Answered, None),
            vec![late],
            Verdict {
                to_leaving: 1,
                ..none
            },
        ),
    ] {
        expect_that!(check(&[told], &records), eq(&verdict));
    }
}

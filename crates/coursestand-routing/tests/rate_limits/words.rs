//! What answers of one back end say of its limit, in every order.

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{
    KnownLimit, LimitChange, Rate, RateWord, Reading, TokenIssuer, TokenRequest, TokenVerdict,
};
use googletest::prelude::*;

fn limited(per_second: f64) -> RateWord {
    RateWord::Limited(Rate::per_second(per_second))
}

fn whole(word: RateWord, sent_at: Millis) -> Reading {
    Reading {
        word,
        sent_at,
        is_whole: true,
    }
}

fn rate_of(limit: &Option<KnownLimit>) -> Option<f64> {
    limit.as_ref().map(|known| known.rate().as_per_second())
}

/// Guards against answers that overtake each other and lift a limit that still holds.
#[gtest]
fn an_answer_to_an_earlier_request_lifts_and_raises_nothing() {
    let mut limit = None;
    KnownLimit::read(&mut limit, 100, whole(limited(5.0), 50));
    for word in [RateWord::Unlimited, limited(9.0)] {
        let change = KnownLimit::read(&mut limit, 200, whole(word, 100));
        expect_that!(change, none());
    }
    expect_that!(rate_of(&limit), some(eq(5.0)));
    let change = KnownLimit::read(&mut limit, 300, whole(limited(9.0), 101));
    expect_that!(
        change,
        some(eq(LimitChange::Limited(Rate::per_second(9.0))))
    );
    let change = KnownLimit::read(&mut limit, 400, whole(RateWord::Unlimited, 301));
    expect_that!(change, some(eq(LimitChange::Lifted)));
}

/// Guards against a lower limit that waits for a newer answer.
#[gtest]
fn a_lower_limit_binds_at_once_whichever_answer_names_it() {
    let mut limit = None;
    KnownLimit::read(&mut limit, 100, whole(limited(5.0), 50));
    let cut = Reading {
        is_whole: false,
        ..whole(limited(2.0), 10)
    };
    KnownLimit::read(&mut limit, 110, cut);
    expect_that!(rate_of(&limit), some(eq(2.0)));
}

/// Guards against an answer that was cut, or a failure that names no limit, lifting one.
#[gtest]
fn a_cut_answer_and_a_failure_lift_nothing() {
    let mut limit = None;
    KnownLimit::read(&mut limit, 100, whole(limited(5.0), 50));
    let cut = Reading {
        is_whole: false,
        ..whole(RateWord::Unlimited, 150)
    };
    expect_that!(KnownLimit::read(&mut limit, 200, cut), none());
    let failure = whole(RateWord::Untold, 150);
    expect_that!(KnownLimit::read(&mut limit, 210, failure), none());
    expect_that!(limit.is_some(), eq(true));
}

/// Guards against news of a lifted limit that end one which was named later.
#[gtest]
fn a_limit_is_lifted_by_others_only_if_it_is_older() {
    let mut limit = None;
    KnownLimit::read(&mut limit, 100, whole(limited(5.0), 50));
    expect_that!(KnownLimit::hear_lifted(&mut limit, 100), none());
    expect_that!(
        KnownLimit::hear_lifted(&mut limit, 101),
        some(eq(LimitChange::Lifted))
    );
}

fn request(per_second: f64, age_ms: Millis, priority: u32) -> TokenRequest {
    TokenRequest {
        backend: 7,
        rate: Rate::per_second(per_second),
        age_ms,
        priority,
    }
}

fn issued(issuer: &mut TokenIssuer, now: Millis, request: &TokenRequest) -> bool {
    issuer.ask(now, request) == TokenVerdict::Issued
}

/// Guards against a new leader that issues what its predecessor issued already.
#[gtest]
fn a_leader_begins_with_empty_buckets() {
    let mut issuer = TokenIssuer::default();
    expect_that!(issued(&mut issuer, 0, &request(5.0, 0, 0)), eq(false));
    expect_that!(issued(&mut issuer, 1_000, &request(5.0, 0, 0)), eq(true));
    issuer.begin(1_000);
    expect_that!(issued(&mut issuer, 1_000, &request(5.0, 0, 0)), eq(false));
}

/// Guards against a daemon with an old limit that changes it for all.
#[gtest]
fn the_newest_limit_is_issued_by() {
    let mut issuer = TokenIssuer::default();
    let rate_at = |issuer: &mut TokenIssuer, now, request: &TokenRequest| {
        issuer.ask(now, request);
        issuer.views()[0].per_second
    };
    expect_that!(
        rate_at(&mut issuer, 10_000, &request(5.0, 0, 0)),
        some(eq(5.0))
    );
    expect_that!(
        rate_at(&mut issuer, 10_500, &request(2.0, 5_000, 0)),
        some(eq(5.0))
    );
    expect_that!(
        rate_at(&mut issuer, 10_600, &request(9.0, 580, 0)),
        some(eq(5.0))
    );
    expect_that!(
        rate_at(&mut issuer, 10_700, &request(9.0, 0, 0)),
        some(eq(9.0))
    );
    expect_that!(
        rate_at(&mut issuer, 10_710, &request(3.0, 0, 0)),
        some(eq(3.0))
    );
}

/// Guards against daemons that ask on for a limit that is over.
#[gtest]
fn a_lifted_limit_issues_nothing_until_it_is_named_again() {
    let mut issuer = TokenIssuer::default();
    issuer.ask(1_000, &request(5.0, 0, 0));
    issuer.take_news(2_000, 7, None, 1_900);
    let verdict = issuer.ask(2_100, &request(5.0, 1_100, 0));
    expect_that!(verdict, eq(&TokenVerdict::Lifted { age_ms: 200 }));
    let verdict = issuer.ask(2_200, &request(5.0, 0, 0));
    expect_that!(matches!(verdict, TokenVerdict::Lifted { .. }), eq(false));
}

/// Guards against less urgent requests that take the tokens of urgent ones.
#[gtest]
fn tokens_go_to_the_more_urgent_requests_first() {
    let mut issuer = TokenIssuer::default();
    let (urgent, patient) = (request(5.0, 0, 0), request(5.0, 0, 2));
    let mut counts = [0, 0];
    for now in (0..20_000).step_by(40) {
        counts[0] += u32::from(issued(&mut issuer, now, &urgent));
        counts[1] += u32::from(issued(&mut issuer, now, &patient));
    }
    expect_that!(counts[0], ge(90));
    expect_that!(counts[1], le(5));
}

/// Guards against a back end that names 0 and is never heard again.
#[gtest]
fn a_back_end_that_takes_nothing_is_tried_once_in_ten_seconds() {
    let mut issuer = TokenIssuer::default();
    let issued = (0..60_000)
        .step_by(100)
        .filter(|now| issuer.ask(*now, &request(0.0, 0, 0)) == TokenVerdict::Issued);
    expect_that!(issued.count(), all![ge(4), le(6)]);
}

/// Guards against back ends without number that fill the leader's memory.
#[gtest]
fn the_number_of_buckets_is_bounded() {
    let mut issuer = TokenIssuer::default();
    for backend in 0..10_000 {
        let request = TokenRequest {
            backend,
            ..request(5.0, 0, 0)
        };
        issuer.ask(1_000, &request);
    }
    expect_that!(issuer.limited(), le(4_096));
}

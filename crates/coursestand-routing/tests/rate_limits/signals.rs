//! Rate limit signals in the answers of one back end, in different orders, and the token issuer.

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{
    KnownLimit, LimitChange, Rate, RateLimitSignal, Reading, TokenIssuer, TokenRequest,
    TokenVerdict,
};
use googletest::prelude::*;

fn limited(per_second: f64) -> RateLimitSignal {
    RateLimitSignal::Limited(Rate::per_second(per_second))
}

fn whole(signal: RateLimitSignal, sent_at: Millis) -> Reading {
    Reading {
        signal,
        sent_at,
        is_whole: true,
    }
}

fn rate_of(limit: &Option<KnownLimit>) -> Option<f64> {
    limit.as_ref().map(|known| known.rate().as_per_second())
}

/// Guards against an answer that arrives out of order and lifts a limit that still applies.
#[gtest]
fn an_answer_to_an_earlier_request_neither_lifts_nor_raises_a_limit() {
    let mut limit = None;
    KnownLimit::apply_reading(&mut limit, 100, whole(limited(5.0), 50));
    for signal in [RateLimitSignal::Unlimited, limited(9.0)] {
        let change = KnownLimit::apply_reading(&mut limit, 200, whole(signal, 100));
        expect_that!(change, none());
    }
    expect_that!(rate_of(&limit), some(eq(5.0)));
    let change = KnownLimit::apply_reading(&mut limit, 300, whole(limited(9.0), 101));
    expect_that!(
        change,
        some(eq(LimitChange::Limited(Rate::per_second(9.0))))
    );
    let change = KnownLimit::apply_reading(&mut limit, 400, whole(RateLimitSignal::Unlimited, 301));
    expect_that!(change, some(eq(LimitChange::Lifted)));
}

/// Guards against applying a lower limit only with a newer answer.
#[gtest]
fn a_lower_limit_applies_at_once_whichever_answer_reports_it() {
    let mut limit = None;
    KnownLimit::apply_reading(&mut limit, 100, whole(limited(5.0), 50));
    let truncated = Reading {
        is_whole: false,
        ..whole(limited(2.0), 10)
    };
    KnownLimit::apply_reading(&mut limit, 110, truncated);
    expect_that!(rate_of(&limit), some(eq(2.0)));
}

/// Guards against lifting a limit by a truncated answer or by a failure without a limit.
#[gtest]
fn a_truncated_answer_or_a_failure_does_not_lift_a_limit() {
    let mut limit = None;
    KnownLimit::apply_reading(&mut limit, 100, whole(limited(5.0), 50));
    let truncated = Reading {
        is_whole: false,
        ..whole(RateLimitSignal::Unlimited, 150)
    };
    expect_that!(
        KnownLimit::apply_reading(&mut limit, 200, truncated),
        none()
    );
    let failure = whole(RateLimitSignal::NotReported, 150);
    expect_that!(KnownLimit::apply_reading(&mut limit, 210, failure), none());
    expect_that!(limit.is_some(), eq(true));
}

/// Guards against lifting a limit by a report that is older than the limit.
#[gtest]
fn a_reported_lift_applies_only_to_an_older_limit() {
    let mut limit = None;
    KnownLimit::apply_reading(&mut limit, 100, whole(limited(5.0), 50));
    expect_that!(KnownLimit::apply_reported_lift(&mut limit, 100), none());
    expect_that!(
        KnownLimit::apply_reported_lift(&mut limit, 101),
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

/// Guards against a new leader that issues tokens which its predecessor has issued already.
#[gtest]
fn a_new_leader_starts_with_empty_buckets() {
    let mut issuer = TokenIssuer::default();
    expect_that!(issued(&mut issuer, 0, &request(5.0, 0, 0)), eq(false));
    expect_that!(issued(&mut issuer, 1_000, &request(5.0, 0, 0)), eq(true));
    issuer.empty_buckets(1_000);
    expect_that!(issued(&mut issuer, 1_000, &request(5.0, 0, 0)), eq(false));
}

/// Guards against a daemon with an outdated limit that changes the limit for all daemons.
#[gtest]
fn tokens_are_issued_by_the_newest_limit() {
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

/// Guards against daemons that continue to request tokens after the limit was lifted.
#[gtest]
fn no_tokens_are_issued_for_a_lifted_limit_until_it_is_reported_again() {
    let mut issuer = TokenIssuer::default();
    issuer.ask(1_000, &request(5.0, 0, 0));
    issuer.apply_update(2_000, 7, None, 1_900);
    let verdict = issuer.ask(2_100, &request(5.0, 1_100, 0));
    expect_that!(verdict, eq(&TokenVerdict::Lifted { age_ms: 200 }));
    let verdict = issuer.ask(2_200, &request(5.0, 0, 0));
    expect_that!(matches!(verdict, TokenVerdict::Lifted { .. }), eq(false));
}

/// Guards against less urgent requests that use up the tokens of urgent ones.
#[gtest]
fn tokens_go_to_the_more_urgent_requests_first() {
    let mut issuer = TokenIssuer::default();
    let (urgent, less_urgent) = (request(5.0, 0, 0), request(5.0, 0, 2));
    let mut counts = [0, 0];
    for now in (0..20_000).step_by(40) {
        counts[0] += u32::from(issued(&mut issuer, now, &urgent));
        counts[1] += u32::from(issued(&mut issuer, now, &less_urgent));
    }
    expect_that!(counts[0], ge(90));
    expect_that!(counts[1], le(5));
}

/// Guards against a back end with a limit of 0 that never gets a request again, so that it cannot
/// report another limit.
#[gtest]
fn a_back_end_with_a_limit_of_zero_gets_one_request_in_ten_seconds() {
    let mut issuer = TokenIssuer::default();
    let issued = (0..60_000)
        .step_by(100)
        .filter(|now| issuer.ask(*now, &request(0.0, 0, 0)) == TokenVerdict::Issued);
    expect_that!(issued.count(), all![ge(4), le(6)]);
}

/// Guards against unbounded memory use of the leader with many back ends.
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

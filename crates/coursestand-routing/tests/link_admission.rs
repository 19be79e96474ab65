//! Admission control by the link: load beyond the link's speed is refused before a queue
//! builds up, the most urgent routes last; a link that is fast enough or has no queue refuses
//! nothing; the retry delay grows with the number of refused requests.
#![allow(missing_docs)]

use coursestand_catalog::{Route, RouteKind, RouteTarget};
use coursestand_model::ServiceId;
use coursestand_routing::RouteEntry;
use coursestand_routing::link_admission::{Arrival, LinkAdmission};
use googletest::prelude::*;

/// 2 Mbit/s, in bytes per second.
const NARROW: f64 = 250_000.0;
const WIDE: f64 = 125_000_000.0;
const ANSWER_BYTES: u64 = 3_000;

fn route(name: &str, priority: u32) -> RouteEntry {
    route_to(name, name, priority)
}

fn route_to(service: &str, name: &str, priority: u32) -> RouteEntry {
    RouteEntry {
        name: name.to_owned(),
        version: 1,
        route: Route {
            host: "h.example".to_owned(),
            path_prefix: format!("/{name}/"),
            kind: RouteKind::Repeatable,
            timeout_ms: 1_000,
            target_latency_ms: 250,
            priority,
            target: RouteTarget::Service(ServiceId::from(service)),
            max_attempts: 2,
            affinity: true,
            allowed_regions: Vec::new(),
            notation: String::new(),
        },
    }
}

/// Low-discrepancy sequence in `0.0..=1.0`.
struct Draws(u32);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(2_654_435_769);
        f64::from(self.0) / f64::from(u32::MAX)
    }
}

/// Offers requests of 500 bytes at this rate for ten seconds, alternating between `routes`
/// (given with the sizes of their answers); answers take 200 ms. Returns for each route the
/// fraction of requests that was admitted in the last eight seconds.
fn offer(
    admission: &mut LinkAdmission,
    routes: &[(RouteEntry, u64)],
    per_second: u64,
    delay_ms: f64,
) -> Vec<f64> {
    let mut draws = Draws(7);
    let mut offered = vec![0.0; routes.len()];
    let mut admitted = vec![0.0; routes.len()];
    let mut waiting = std::collections::VecDeque::new();
    for number in 0..per_second * 10 {
        let now = number * 1_000 / per_second;
        while let Some((due, index, reservation)) = waiting.pop_front() {
            if due > now {
                waiting.push_front((due, index, reservation));
                break;
            }
            let (route, bytes): &(RouteEntry, u64) = &routes[index];
            admission.answered(now, route, reservation, *bytes);
            admission.note_delay(now, delay_ms);
        }
        let index = number as usize % routes.len();
        let arrival = Arrival {
            route: &routes[index].0,
            bytes: 500,
        };
        let result = admission.admit(now, &arrival, draws.next());
        let counts = f64::from(u8::from(now >= 2_000));
        offered[index] += counts;
        if let Ok(reservation) = result {
            admitted[index] += counts;
            waiting.push_back((now + 200, index, reservation));
        }
    }
    let fractions = admitted.iter().zip(&offered);
    fractions
        .map(|(admitted, offered)| admitted / offered)
        .collect()
}

#[gtest]
fn load_within_the_link_speed_is_admitted() {
    let routes = [(route("a", 0), ANSWER_BYTES)];
    let mut admission = LinkAdmission::new(Some(NARROW));
    // 3,750 bytes each including the connection overhead: three fifths of the link.
    let admitted = offer(&mut admission, &routes, 40, 0.0);
    expect_that!(admitted[0], ge(0.99));
}

#[gtest]
fn overload_is_admitted_up_to_the_link_speed() {
    let routes = [(route("a", 0), ANSWER_BYTES)];
    let mut admission = LinkAdmission::new(Some(NARROW));
    let admitted = offer(&mut admission, &routes, 150, 0.0);
    // The requests take 112,500 bytes per second; the rest suffices for 45 answers.
    expect_that!(admitted[0] * 150.0, all![ge(40.0), le(47.0)]);
}

#[gtest]
fn urgent_routes_are_refused_less_and_no_route_is_starved() {
    let routes = [
        (route("urgent", 0), ANSWER_BYTES),
        (route("usual", 5), ANSWER_BYTES),
    ];
    let mut admission = LinkAdmission::new(Some(NARROW));
    let admitted = offer(&mut admission, &routes, 120, 0.0);
    expect_that!(admitted[0], ge(admitted[1] + 0.1));
    expect_that!(admitted[1], ge(0.1));
}

#[gtest]
fn small_answers_are_preferred_to_large_ones() {
    let routes = [(route("small", 0), 300), (route("large", 0), 6_000)];
    let mut admission = LinkAdmission::new(Some(NARROW));
    let admitted = offer(&mut admission, &routes, 120, 0.0);
    // Refusing these saves nothing: the retried request is larger than the answer.
    expect_that!(admitted[0], ge(0.95));
    expect_that!(admitted[1], le(0.6));
}

#[gtest]
fn an_urgent_route_with_large_answers_is_preferred_within_its_service() {
    let routes = [
        (route_to("s", "urgent", 0), 6_000),
        (route_to("s", "usual", 1), 300),
    ];
    let mut admission = LinkAdmission::new(Some(NARROW));
    let admitted = offer(&mut admission, &routes, 120, 0.0);
    expect_that!(admitted[0], ge(admitted[1]));
}

#[gtest]
fn a_route_with_small_answers_is_refused_if_it_is_the_only_load() {
    let routes = [(route("small", 0), 300)];
    let mut admission = LinkAdmission::new(Some(NARROW));
    let admitted = offer(&mut admission, &routes, 290, 0.0);
    // The requests take 217,500 bytes per second; the rest suffices for 108 answers.
    expect_that!(admitted[0] * 290.0, all![ge(80.0), le(118.0)]);
}

#[gtest]
fn a_fast_link_refuses_nothing_despite_delays() {
    let routes = [(route("a", 0), ANSWER_BYTES)];
    let mut admission = LinkAdmission::new(Some(WIDE));
    let admitted = offer(&mut admission, &routes, 1_500, 300.0);
    expect_that!(admitted[0], eq(1.0));
}

#[gtest]
fn a_link_of_unknown_speed_is_limited_only_with_a_standing_queue() {
    let routes = [(route("a", 0), ANSWER_BYTES)];
    let mut free = LinkAdmission::new(None);
    let admitted = offer(&mut free, &routes, 150, 0.0);
    expect_that!(admitted[0], eq(1.0));
    expect_that!(free.rate(), none());
    let mut queued = LinkAdmission::new(None);
    let admitted = offer(&mut queued, &routes, 150, 200.0);
    expect_that!(queued.rate(), some(anything()));
    expect_that!(admitted[0], le(0.9));
}

#[gtest]
fn a_standing_queue_lowers_the_rate_and_its_end_restores_it() {
    let routes = [(route("a", 0), ANSWER_BYTES)];
    let mut admission = LinkAdmission::new(Some(NARROW));
    offer(&mut admission, &routes, 40, 200.0);
    let lowered = admission.rate();
    expect_that!(lowered, some(le(0.7 * NARROW)));
    // Only advances time: the clock of a second offer would start again at 0.
    for round in 0..100 {
        admission.note_delay(10_000 + round * 200, 0.0);
    }
    expect_that!(admission.rate(), some(eq(NARROW)));
}

#[gtest]
fn the_retry_delay_grows_with_the_refused_load() {
    let route = route("a", 0);
    let mut admission = LinkAdmission::new(Some(NARROW));
    let arrival = Arrival {
        route: &route,
        bytes: 2_000,
    };
    admission.note_delay(200, 0.0);
    let mut delays = Vec::new();
    for now in 200..1_200 {
        if let Err(full) = admission.admit(now, &arrival, 0.0) {
            delays.push(full.drained_in_ms);
        }
    }
    expect_that!(delays.first(), some(le(&400)));
    expect_that!(delays.last(), some(eq(&2_000)));
}

#[gtest]
fn demand_includes_refused_requests_and_is_smoothed() {
    let route = route("a", 0);
    let mut admission = LinkAdmission::new(Some(NARROW));
    let arrival = Arrival {
        route: &route,
        bytes: 12_250,
    };
    let mut demands = Vec::new();
    let first = admission.admit(0, &arrival, 0.99).expect("admitted");
    admission.answered(0, &route, first, 0);
    admission.sample_demand(0);
    for second in 0..6 {
        // Forty requests of 12,500 bytes including the connection overhead: twice the link
        // speed.
        for number in 0..40 {
            let _ = admission.admit(second * 1_000 + number * 25, &arrival, 0.0);
        }
        demands.push(admission.sample_demand((second + 1) * 1_000));
    }
    // The first second includes one more request, with the default answer size of 4,000
    // bytes; each new second has a weight of one half.
    let first_second = (41.0 * 12_500.0 + 4_000.0) / NARROW;
    let sixth = 2.0 + (first_second / 2.0 - 2.0) / 32.0;
    expect_that!(demands[0], some(near(first_second / 2.0, 0.001)));
    expect_that!(demands[5], some(near(sixth, 0.001)));
    expect_that!(
        admission.sample_demand(7_000),
        some(near(sixth / 2.0, 0.001))
    );
    let mut free = LinkAdmission::new(None);
    expect_that!(free.sample_demand(1_000), none());
}

#[gtest]
fn an_unanswered_request_releases_its_reservation() {
    let route = route("a", 0);
    let mut admission = LinkAdmission::new(Some(NARROW));
    let arrival = Arrival {
        route: &route,
        bytes: 100,
    };
    let first = admission.admit(0, &arrival, 0.99).expect("admitted");
    admission.answered(10, &route, first, 100_000);
    // With the measured answer size, one more request fills the link for several seconds.
    let second = admission.admit(2_000, &arrival, 0.99).expect("admitted");
    expect_that!(admission.admit(2_010, &arrival, 0.99), err(anything()));
    admission.abandoned(2_020, second);
    expect_that!(admission.admit(2_100, &arrival, 0.99), ok(anything()));
}

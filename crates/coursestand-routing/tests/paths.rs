//! Detects partitions of this daemon from back ends, and tells them from back ends that crash,
//! are slow or are overloaded.
#![allow(missing_docs)]

use std::collections::BTreeSet;

use coursestand_discovery::{Instance, InstancePhase};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_routing::{ConnectionAge, PathProbeOutcome, PathScope, PathTicket, PathUse, Paths};
use googletest::prelude::*;

const SERVICES: [&str; 2] = ["s", "t"];
const ZONES: [&str; 2] = ["x", "y"];
/// Back ends of each service in each zone.
const PER_ZONE: u64 = 4;
const ANY_REQUEST: PathTicket = PathTicket {
    draw: 0.99,
    is_trial: false,
    has_failed: false,
};
/// Far longer than any answer takes.
const USUAL_MS: Millis = 400;

fn instance(service: &str, zone: &str, number: u64) -> Instance {
    Instance {
        id: BackendId(format!("{service}-{zone}-{number}")),
        born: None,
        service: ServiceId::from(service),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneId::from(zone),
        capacity: 4,
        software: "v1".to_owned(),
        sequence: 1,
        phase: InstancePhase::Ready,
    }
}

fn hash_of(instance: &Instance) -> u64 {
    coursestand_routing::hash::hash_of(instance.id.as_str())
}

fn size_of(scope: &PathScope) -> usize {
    let all = SERVICES.len() * ZONES.len() * PER_ZONE as usize;
    match scope {
        PathScope::All => all,
        PathScope::Service(_) | PathScope::Zone(_) => all / 2,
    }
}

/// Fails attempts at back ends of a service in a zone, at `now`.
fn fail(paths: &mut Paths, now: Millis, service: &str, zone: &str, count: u64) {
    for number in 0..count {
        let instance = instance(service, zone, number);
        let hash = hash_of(&instance);
        paths.note_failed(now, now, &instance, hash, ConnectionAge::New, size_of);
    }
}

fn probed_scopes(paths: &mut Paths, now: Millis) -> Vec<PathScope> {
    let due = paths.take_due_probes(now);
    due.into_iter().map(|due| due.scope).collect()
}

/// Answers the probes that are due: those of scopes in `lost` reach nothing.
fn answer_probes(paths: &mut Paths, now: Millis, lost: &BTreeSet<PathScope>) {
    for scope in probed_scopes(paths, now) {
        let outcome = match lost.contains(&scope) {
            true => PathProbeOutcome::Unreached,
            false => PathProbeOutcome::Reached,
        };
        paths.note_probe(now, &scope, outcome);
    }
}

fn use_of(paths: &Paths, now: Millis, service: &str, zone: &str) -> PathUse {
    paths.path_use(now, &instance(service, zone, 0), ANY_REQUEST)
}

fn service(name: &str) -> PathScope {
    PathScope::Service(ServiceId::from(name))
}

fn zone(name: &str) -> PathScope {
    PathScope::Zone(ZoneId::from(name))
}

/// Guards against a daemon that does not notice that it has lost all back ends.
#[gtest]
fn failures_without_an_answer_and_failed_probes_show_a_partition() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    expect_that!(use_of(&paths, 100, "t", "y"), eq(PathUse::Open));
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    expect_that!(use_of(&paths, 150, "t", "y"), eq(PathUse::Closed));
    expect_that!(paths.is_all_affected(), eq(true));
}

/// Guards against a daemon that takes the crash of several back ends for its own partition.
#[gtest]
fn crashes_of_some_back_ends_are_no_partition() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::new());
    expect_that!(use_of(&paths, 150, "s", "x"), eq(PathUse::Open));
    expect_that!(paths.is_all_affected(), eq(false));
}

/// Guards against failures that count although back ends answer in between.
#[gtest]
fn an_answer_on_a_new_connection_clears_the_evidence() {
    let mut paths = Paths::default();
    for round in 0..10 {
        let now = 100 * round;
        fail(&mut paths, now, "s", "x", 2);
        let answering = instance("s", "x", 3);
        paths.note_answered(now, now, &answering, ConnectionAge::New);
    }
    expect_that!(probed_scopes(&mut paths, 1_000), is_empty());
}

/// Guards against a partition from one zone or service that counts for all of them.
#[gtest]
fn a_partial_partition_closes_only_its_part() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    let lost = BTreeSet::from([zone("x")]);
    // First those of all back ends, then those of the parts.
    answer_probes(&mut paths, 100, &lost);
    answer_probes(&mut paths, 110, &lost);
    expect_that!(use_of(&paths, 150, "s", "x"), eq(PathUse::Closed));
    expect_that!(use_of(&paths, 150, "t", "x"), eq(PathUse::Closed));
    expect_that!(use_of(&paths, 150, "s", "y"), eq(PathUse::Open));
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    let lost = BTreeSet::from([service("s")]);
    answer_probes(&mut paths, 100, &lost);
    answer_probes(&mut paths, 110, &lost);
    expect_that!(use_of(&paths, 150, "s", "y"), eq(PathUse::Closed));
    expect_that!(use_of(&paths, 150, "t", "x"), eq(PathUse::Open));
}

/// Guards against failed probes behind a daemon's own full link that count as a partition.
#[gtest]
fn inconclusive_probes_show_no_partition() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    for scope in probed_scopes(&mut paths, 100) {
        paths.note_probe(150, &scope, PathProbeOutcome::Inconclusive);
    }
    expect_that!(use_of(&paths, 150, "s", "x"), eq(PathUse::Open));
}

/// Guards against connections that continue to work and are not used, because no new ones can be
/// opened.
#[gtest]
fn kept_connections_are_used_while_they_answer() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    paths.note_answered(200, 200, &instance("s", "x", 0), ConnectionAge::Kept);
    expect_that!(use_of(&paths, 250, "s", "y"), eq(PathUse::KeptConnections));
    expect_that!(use_of(&paths, 5_000, "s", "y"), eq(PathUse::Closed));
}

/// Guards against requests that wait for their deadline because connections are accepted but
/// carry nothing.
#[gtest]
fn silence_of_all_back_ends_shows_a_partition_even_if_probes_succeed() {
    let mut paths = Paths::default();
    for number in 0..100 {
        let at = 1_000 + 20 * number;
        paths.note_sent(at, number);
        paths.note_answered(at, at, &instance("s", "x", 0), ConnectionAge::Kept);
    }
    for number in 0..3 {
        paths.note_sent(3_000, number);
    }
    expect_that!(paths.check_silence(3_150, || Some(USUAL_MS)), none());
    expect_that!(
        paths.check_silence(3_201, || Some(USUAL_MS)),
        some(anything())
    );
    answer_probes(&mut paths, 3_201, &BTreeSet::new());
    expect_that!(paths.check_silence(3_399, || Some(USUAL_MS)), none());
    expect_that!(use_of(&paths, 3_399, "s", "x"), eq(PathUse::Open));
    expect_that!(
        paths.check_silence(3_401, || Some(USUAL_MS)),
        some(anything())
    );
    expect_that!(use_of(&paths, 3_401, "s", "x"), eq(PathUse::Closed));
}

/// Guards against slow back ends that are taken for a partition: one answer refutes it.
#[gtest]
fn an_answer_ends_a_suspicion_by_silence() {
    let mut paths = Paths::default();
    for number in 0..3 {
        paths.note_sent(1_000, number);
    }
    paths.check_silence(1_400, || Some(USUAL_MS));
    answer_probes(&mut paths, 1_400, &BTreeSet::new());
    paths.note_answered(1_500, 1_500, &instance("s", "x", 0), ConnectionAge::Kept);
    paths.check_silence(9_000, || Some(USUAL_MS));
    expect_that!(use_of(&paths, 9_000, "s", "x"), eq(PathUse::Open));
}

/// Guards against a daemon that sends all its requests over a path that has just come back, or
/// none for good.
#[gtest]
fn a_path_returns_by_a_trial_and_then_step_by_step() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    answer_probes(&mut paths, 400, &BTreeSet::new());
    expect_that!(use_of(&paths, 450, "s", "x"), eq(PathUse::Closed));
    // A request that can't be sent again is no trial.
    expect_that!(paths.take_trial(450, || false), eq(false));
    expect_that!(paths.take_trial(450, || true), eq(true));
    expect_that!(paths.take_trial(460, || true), eq(false));
    let answering = instance("s", "x", 0);
    paths.note_answered(500, 500, &answering, ConnectionAge::New);
    let share = |paths: &Paths, now| {
        let draws = (0..100).map(|draw| PathTicket {
            draw: f64::from(draw) / 100.0,
            ..ANY_REQUEST
        });
        draws
            .filter(|ticket| paths.path_use(now, &answering, *ticket) == PathUse::Open)
            .count()
    };
    expect_that!(share(&paths, 500), eq(13));
    expect_that!(share(&paths, 700), eq(25));
    expect_that!(share(&paths, 900), eq(50));
    paths.note_answered(1_100, 1_100, &answering, ConnectionAge::New);
    expect_that!(share(&paths, 1_100), eq(100));
    expect_that!(paths.are_open(), eq(true));
}

/// Guards against a path that returns although the trial fails, and against frequent probes of a
/// path that is lost for long.
#[gtest]
fn a_failed_trial_closes_the_path_again_for_longer() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    answer_probes(&mut paths, 400, &BTreeSet::new());
    expect_that!(paths.take_trial(450, || true), eq(true));
    let failing = instance("s", "x", 0);
    let hash = hash_of(&failing);
    // An attempt from before the return says nothing about it.
    paths.note_failed(460, 90, &failing, hash, ConnectionAge::New, size_of);
    expect_that!(paths.take_due_probes(650), not(is_empty()));
    paths.note_failed(700, 450, &failing, hash, ConnectionAge::New, size_of);
    expect_that!(paths.take_due_probes(1_100), is_empty());
    expect_that!(paths.take_due_probes(1_200), not(is_empty()));
}

/// Guards against probes without end on a daemon that gets no requests.
#[gtest]
fn a_path_that_no_request_uses_opens_after_some_probes() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    let mut probes = 0;
    for now in (400..60_000).step_by(100) {
        let due = probed_scopes(&mut paths, now);
        probes += due.len();
        for scope in due {
            paths.note_probe(now, &scope, PathProbeOutcome::Reached);
        }
    }
    expect_that!(paths.are_open(), eq(true));
    expect_that!(probes, le(10));
}

/// Guards against a suspicion that never ends because no request follows.
#[gtest]
fn a_suspicion_ends_without_further_requests() {
    let mut paths = Paths::default();
    for number in 0..3 {
        paths.note_sent(1_000, number);
    }
    paths.check_silence(1_400, || Some(USUAL_MS));
    answer_probes(&mut paths, 1_400, &BTreeSet::new());
    expect_that!(paths.are_open(), eq(false));
    answer_probes(&mut paths, 12_000, &BTreeSet::new());
    expect_that!(paths.are_open(), eq(true));
}

/// Guards against a daemon that takes the first, slow answers of a day for a partition.
#[gtest]
fn silence_shows_nothing_before_the_time_of_answers_is_known() {
    let mut paths = Paths::default();
    for number in 0..3 {
        paths.note_sent(1_000, number);
    }
    paths.check_silence(1_400, || None);
    answer_probes(&mut paths, 1_400, &BTreeSet::new());
    paths.check_silence(9_000, || None);
    expect_that!(use_of(&paths, 9_000, "s", "x"), eq(PathUse::Open));
}

/// Guards against a partition that silence seemed to show and that lasts although back ends
/// answer.
#[gtest]
fn an_answer_refutes_a_partition_that_only_silence_showed() {
    let mut paths = Paths::default();
    for number in 0..3 {
        paths.note_sent(1_000, number);
    }
    paths.check_silence(1_400, || Some(USUAL_MS));
    answer_probes(&mut paths, 1_400, &BTreeSet::new());
    paths.check_silence(9_000, || Some(USUAL_MS));
    expect_that!(paths.is_all_affected(), eq(true));
    paths.note_answered(9_100, 1_000, &instance("s", "x", 0), ConnectionAge::New);
    expect_that!(paths.are_open(), eq(true));
}

/// Guards against connections from before a partition whose answers seem to show that new ones
/// can be opened again.
#[gtest]
fn an_answer_on_a_connection_from_before_the_partition_opens_nothing() {
    let mut paths = Paths::default();
    fail(&mut paths, 100, "s", "x", 3);
    answer_probes(&mut paths, 100, &BTreeSet::from([PathScope::All]));
    paths.note_answered(200, 50, &instance("s", "x", 0), ConnectionAge::New);
    expect_that!(use_of(&paths, 250, "s", "y"), eq(PathUse::KeptConnections));
}

/// Guards against probes in every moment while back ends reset new connections under load.
#[gtest]
fn refuted_suspicions_are_limited() {
    let mut paths = Paths::default();
    let mut probes = 0;
    for now in (0..60_000).step_by(100) {
        fail(&mut paths, now, "s", "x", 3);
        let due = probed_scopes(&mut paths, now);
        probes += due.len();
        for scope in due {
            paths.note_probe(now, &scope, PathProbeOutcome::Reached);
        }
    }
    // Three scopes, every 2 s after the first ones.
    expect_that!(probes, le(3 * 33));
}
